//! Measures the control traffic of a whole fleet of daemons, also called nodes. The membership
//! state of every daemon runs in one process, and a seeded event queue delivers messages that are
//! encoded as on the wire.
//!
//! The `tarpc` envelope, TCP and IP headers and the CPU time of socket operations are not counted.

mod frame;
mod meter;
mod names;
mod report;
mod scenarios;
mod sim;
mod slopes;

pub use meter::{Traffic, TrafficMeter, thread_cpu_time};
pub use report::{Bounds, Row, print_rows};
pub use scenarios::{
    Scenario, config_propagation, domain_lost, join_fleet, measure_memory, message_loss, rack_lost,
    rack_paused, region_partition, steady_state,
};
pub use sim::Fleet;
pub use slopes::{LinearFit, fit_line, print_slopes};
