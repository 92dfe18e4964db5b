//! Measures the control traffic of a whole fleet: the membership state of every daemon in one
//! process, with messages moved by a seeded queue and encoded as on the wire.
//!
//! Not counted: the envelope of `tarpc`, TCP and IP headers, and the processor time of sockets.

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
