//! Measures detection time and false ejections of the detector, health state machine and ledger of
//! `fescuemux-core`, compared with three baseline methods.
//!
//! Each run simulates one service with 6, 8 or 10 backend servers by default, and 20 requests/s per
//! server, over one trace, which defines how each server behaves over time. The network is not
//! modeled: an ingress knows the published state of each server immediately, and only requests and
//! store operations take time.

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
