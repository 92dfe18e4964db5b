//! Selects a backend server for each request at an ingress.
//!
//! In this module, a path is the network path from the ingress to an instance, with its own circuit
//! breaker; it is unrelated to the path of a URL.
//!
//! Independent of how requests are sent, how membership spreads and how health is assessed.

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
