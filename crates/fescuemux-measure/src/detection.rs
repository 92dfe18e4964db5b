//! Detection time and false ejections of the real detector, state machine and ledger against
//! three baselines.
//!
//! Each run drives one service of 6, 8 or 10 backend servers with 20 requests/s a server through
//! one trace. There is no network model: an ingress knows the published state of each server, and
//! only store operations take time.

mod baselines;
mod engine;
mod fleet;
mod options;
mod plot;
mod queue;
mod report;
mod result;
mod run;
mod trace;
mod workload;

#[cfg(test)]
mod tests;

pub use options::{Method, Options};
pub use plot::write_plots;
pub use report::{Report, Row};
pub use result::Tally;
pub use run::{run, run_one};
pub use trace::Trace;
