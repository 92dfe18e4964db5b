//! Translation between the product's types and what callers, backend servers and operators
//! speak.

use crate::FleetConfig;
use fescuemux_core::base::ServerId;
use fescuemux_core::placement::ServerReport;
use std::fmt;

/// Spelling of the headers, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id of a request, set by the caller and echoed by the backend server.
    pub request_id: &'static str,
    /// Milliseconds for which the caller or the ingress still waits.
    pub deadline_ms: &'static str,
    /// Service beside which a request began.
    pub caller_service: &'static str,
    /// Id of the only server that may run the request.
    pub target_server: &'static str,
    /// Marks an answer of a server that did not run the request.
    pub not_run: &'static str,
    /// Proof that a server made the answer.
    pub response_stamp: &'static str,
}

/// A call of a backend server to its daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// The server reports its state.
    Report(ServerReport),
    /// The server leaves; its work under way ends first.
    Leave(ServerId),
}

/// Why something from outside was not understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError(pub String);

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for DecodeError {}

/// Names and formats of the world around the fleet. Implementations decide nothing.
pub trait Dialect {
    /// Returns the spelling of the headers.
    fn headers(&self) -> HeaderNames;

    /// Decodes a configuration as the operator stored it.
    ///
    /// # Errors
    /// Fails when the bytes are no valid configuration.
    fn decode_config(&self, raw: &[u8]) -> Result<FleetConfig, DecodeError>;

    /// Decodes a call of a backend server.
    ///
    /// # Errors
    /// Fails when the call is unknown or names no usable server.
    fn decode_control(&self, path_and_query: &str, body: &[u8])
    -> Result<ControlCall, DecodeError>;

    /// Returns the body of an acknowledgement of a server's call.
    fn control_ack(&self) -> &'static str;

    /// Returns the store key that holds the newest configuration.
    fn config_key(&self) -> &'static str;
}
