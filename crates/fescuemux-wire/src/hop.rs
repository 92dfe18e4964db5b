//! Requests from an ingress to a guard and their answers, as HTTP headers.
//!
//! Must not know sockets or how a guard decides.

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
