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

pub use meter::{Meter, Traffic, thread_cpu};
pub use report::{Bounds, Row, print_rows};
pub use scenarios::{
    Scenario, config_spread, domain_lost, join, lossy, measure_memory, rack_lost, rack_paused,
    region_cut, steady,
};
pub use sim::Fleet;
pub use slopes::{Fit, fit, print_slopes};
