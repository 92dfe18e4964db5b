//! HTTP headers of hops: requests from an ingress to a guard, and their responses.
//!
//! This module does not depend on sockets or on the decisions of a guard.

mod answer;
mod kind;
mod parse;
mod request;
mod signing;

#[cfg(test)]
mod tests;

pub use answer::{HopResponse, ServerLoad};
pub use kind::{HopHealth, HopKind};
pub use parse::HopError;
pub use request::{HopBaseline, HopRequest};
pub use signing::{MAX_REQUEST_AGE, sign_request, sign_response, verify_request, verify_response};
