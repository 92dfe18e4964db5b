//! Overload and routing measurements: a queueing model of one service that runs the components of
//! `fescuemux-core` for ingresses and guards on a virtual clock.
//!
//! This module must not depend on sockets or the daemon.

pub mod backpressure;
pub mod callers;
pub mod degrading;
mod events;
mod guard;
pub mod hedging;
mod ingress;
pub mod report;
pub mod route_cost;
pub mod routing;
mod setup;
mod stats;
pub mod storm;
mod world;

pub use setup::{Fault, Phase, Policy, QueuePolicy, RetryPolicy, RoutePolicy, Setup};
pub use stats::{SecondCounts, Stats};
pub use world::run;

#[cfg(test)]
mod tests;
