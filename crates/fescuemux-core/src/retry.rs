//! Decides whether a failed attempt is retried and when a slow one is hedged.
//!
//! Must not know how the next backend server is chosen or how requests are sent.

mod attempt;
mod budget;
mod latency;

pub use attempt::{Attempt, GiveUpReason, RetryDecision};
pub use budget::{RetryBudget, RetryConfig};
pub use latency::LatencyHistogram;

#[cfg(test)]
mod tests;
