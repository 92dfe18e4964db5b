//! Chooses the backend server of each request at an ingress.
//!
//! Must not know how requests are sent, how membership spreads or how health is judged.

mod breaker;
mod choose;
mod config;
mod endpoint;
mod entry;
mod load;
mod query;
mod reports;
mod router;
mod service;

pub use crate::base::{RequestKind, ServerHealth};
pub use breaker::{BreakerConfig, BreakerState};
pub use config::RouterConfig;
pub use endpoint::Endpoint;
pub use query::{AttemptAnswer, Choice, RouteQuery, ServerLoad};
pub use router::Router;

#[cfg(test)]
mod tests;
