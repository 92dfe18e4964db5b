//! Decides whether a failed attempt is repeated and when a slow one is hedged.
//!
//! Must not know which backend server is next or how requests are sent.

mod attempt;
mod budget;
mod latency;

pub use attempt::{Attempt, GiveUpReason, RetryDecision};
pub use budget::{RetryBudget, RetryConfig};
pub use latency::LatencyHistogram;

#[cfg(test)]
mod tests;
