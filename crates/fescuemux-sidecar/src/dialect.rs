//! Translation between the types of this crate and the protocols of callers, backend servers and
//! operators.

use crate::FleetConfig;
use crate::h1::ResponseHead;
use fescuemux_core::base::{Incarnation, ServerId};
use fescuemux_core::placement::{ServerNotice, ServerReport};
use std::fmt;

/// Header names, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Request id, set by the caller and echoed by the backend server.
    pub request_id: &'static str,
    /// Time left until the deadline of the request, in milliseconds.
    pub deadline_ms: &'static str,
    /// Service of the instance whose ingress received the request.
    pub caller_service: &'static str,
    /// Name of the customer that sent the request.
    pub caller_account: &'static str,
    /// Id of the only backend server that may run the request.
    pub target_server: &'static str,
    /// Id of the backend server that responds.
    pub server_id: &'static str,
    /// Set on a response if the backend server did not run the request.
    pub not_run: &'static str,
    /// Set by a backend server on a response, as proof that the response comes from the server.
    pub response_stamp: &'static str,
}

/// Call of a backend server to its sidecar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// The server reports its state.
    Report(ServerReport),
    /// The server must get no more requests. Requests in flight still complete.
    Leave {
        /// Id of the server.
        server: ServerId,
        /// Incarnation of the server, if it states one.
        incarnation: Option<Incarnation>,
    },
}

/// Error from decoding external data, with a description.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError(pub String);

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for DecodeError {}

/// Names and formats of the protocols around the fleet. Implementations only translate and make
/// no decisions.
pub trait Dialect {
    /// Returns the header names.
    fn headers(&self) -> HeaderNames;

    /// Decodes a configuration as the operator stored it.
    ///
    /// # Errors
    /// Fails if the bytes are not a valid configuration.
    fn decode_config(&self, raw: &[u8]) -> Result<FleetConfig, DecodeError>;

    /// Decodes a call of a backend server.
    ///
    /// # Errors
    /// Fails if the call is unknown or invalid.
    fn decode_control(&self, path_and_query: &str, body: &[u8])
    -> Result<ControlCall, DecodeError>;

    /// Decodes what a backend server says about itself in the head of a response.
    fn decode_notice(&self, head: &ResponseHead) -> ServerNotice;

    /// Returns the response body that acknowledges a server's call.
    fn control_ack(&self) -> &'static str;

    /// Returns the store key of the configuration.
    fn config_key(&self) -> &'static str;
}
