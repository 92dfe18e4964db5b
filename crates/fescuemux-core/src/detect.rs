//! Detection of faulty backend servers from the requests that their guard observes.
//!
//! [`Detector`] collects evidence about one backend server and compares it with the service-wide
//! values of a [`BaselineEstimator`]. The module scores the evidence that a server is faulty; it
//! is independent of ejection, routing and the capacity that a service needs.

mod assessment;
mod baseline;
mod config;
mod detector;
mod estimator;
mod in_flight;
mod latency_model;
mod observation;
mod reference;
mod window;

#[cfg(test)]
mod tests;

pub use assessment::{Assessment, Level, Reason};
pub use baseline::Baseline;
pub use config::DetectorConfig;
pub use detector::Detector;
pub use estimator::BaselineEstimator;
pub use observation::{Observation, Outcome, ProbeResult, TrialOutcome};
