//! Decides which requests start, which wait and which are refused with the verdict "not run".
//!
//! Must not know how requests run, where callers connect or how server health is determined.

mod caller_demand;
mod caller_limits;
mod deadline_queue;
mod limit;
mod queue_types;
mod slots;

pub use caller_demand::{CallerDemand, CallerDemandAggregator};
pub use caller_limits::{
    CallerDecision, CallerRateLimit, CallerRateLimiter, CallerRateLimiterConfig,
};
pub use deadline_queue::DeadlineQueue;
pub use limit::{AdaptiveLimit, AdaptiveLimitConfig, LimitSample};
pub use queue_types::{
    PushOutcome, QueueConfig, QueueRejectReason, QueuedRequest, RejectedRequest,
};
pub use slots::{PermitId, Slots};

#[cfg(test)]
mod tests;
