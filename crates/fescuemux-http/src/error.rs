//! Errors of responses.

use std::io;
use thiserror::Error;

/// Error that prevented a complete response. The request may have run.
#[derive(Debug, Error)]
pub enum ResponseError {
    /// The connection failed.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The connection was closed before the first byte of a response.
    #[error("connection closed before the response")]
    Closed,
    /// The connection ended within a response.
    #[error("response truncated")]
    Truncated,
    /// The response violates the protocol.
    #[error("malformed response")]
    Malformed,
    /// The response exceeds a size limit.
    #[error("response too large")]
    TooLarge,
}
