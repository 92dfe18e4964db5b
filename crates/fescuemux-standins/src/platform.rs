//! Stand-ins for the key-value store and the application servers of the users' platform. The
//! stand-ins speak the platform's protocols.
//!
//! This module must not depend on how the fleet uses the stand-ins.

mod app_fault;
mod app_server;
mod http;
mod kv_http;
mod kv_state;
mod kv_store;
mod link;
mod run_log;

pub use app_fault::AppFault;
pub use app_server::{AppOptions, AppServer, Variation};
pub use kv_store::{KvFault, KvStore};
pub use link::{FaultProxy, ProxyFault};
pub use run_log::{Execution, ExecutionLog};
