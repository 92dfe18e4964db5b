//! Detection of sick backend servers from the requests that their guard sees.
//!
//! [`Detector`] holds the evidence about one backend server; [`BaselineEstimator`] gives the
//! service-wide values that the evidence is compared with. Must not know ejection, routing or
//! how many backend servers a service needs: it only states how likely it is that one server
//! is sick.

mod assessment;
mod baseline;
mod config;
mod detector;
mod estimator;
mod in_flight;
mod observation;
mod reference;
mod tail;
mod window;

#[cfg(test)]
mod tests;

pub use assessment::{Assessment, Level, Reason};
pub use baseline::Baseline;
pub use config::DetectorConfig;
pub use detector::Detector;
pub use estimator::BaselineEstimator;
pub use observation::{Observation, Outcome, ProbeResult, TrialOutcome};
