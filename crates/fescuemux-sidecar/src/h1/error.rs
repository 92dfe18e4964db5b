//! Errors of an exchange.

use std::io;
use thiserror::Error;

/// Why no whole answer came.
#[derive(Debug, Error)]
pub enum H1Error {
    /// The connection failed.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The connection ended before the first byte of an answer.
    #[error("closed without an answer")]
    Closed,
    /// The connection ended within an answer.
    #[error("answer broke off")]
    Truncated,
    /// The bytes are no answer in the protocol.
    #[error("malformed answer")]
    Malformed,
    /// The answer exceeds a bound of the reader.
    #[error("answer too large")]
    TooLarge,
}
