//! Wire types of membership.
//!
//! `TryFrom` checks all sizes before converting to the core types.

mod enums;
mod message;
mod record;
#[cfg(test)]
mod tests;

pub use enums::{Health, Phase, State};
pub use message::{Body, Message, Update};
pub use record::{InstanceRecord, RecordSummary, ServerRecord};

use thiserror::Error;

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Maximum number of backend servers of one instance.
pub const MAX_SERVERS: usize = 64;
/// Maximum number of updates in one message.
pub const MAX_UPDATES: usize = 4096;
/// Maximum number of record summaries in one message, and of requested instances in one message.
pub const MAX_SUMMARIES: usize = 4096;
/// Maximum size of an encoded message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// Error in encoding or decoding a membership message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MemberError {
    /// The message is larger than [`MAX_MESSAGE_BYTES`].
    #[error("message of {0} bytes is too long")]
    TooLong(usize),
    /// The message cannot be encoded or decoded.
    #[error("malformed message: {0}")]
    Malformed(postcard::Error),
    /// There are bytes after the message.
    #[error("{0} bytes after the message")]
    TrailingBytes(usize),
    /// A name is empty or longer than [`MAX_NAME_BYTES`], or the encoded prefix of a server name is
    /// not a prefix of the instance name.
    #[error("name of {0} bytes")]
    InvalidNameLength(usize),
    /// A list has more entries than allowed, or a sync request does not contain exactly one digest
    /// per bucket.
    #[error("list of {0} entries is too long")]
    InvalidEntryCount(usize),
}

/// Encodes a message.
///
/// # Errors
///
/// Returns an error if the message cannot be encoded or is larger than [`MAX_MESSAGE_BYTES`].
pub fn encode(message: fescuemux_core::member::Message) -> Result<Vec<u8>, MemberError> {
    let bytes = postcard::to_stdvec(&Message::from(message)).map_err(MemberError::Malformed)?;
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(MemberError::TooLong(bytes.len()));
    }
    Ok(bytes)
}

/// Decodes a message and checks its sizes.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid message or exceed a limit of this module.
pub fn decode(bytes: &[u8]) -> Result<fescuemux_core::member::Message, MemberError> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(MemberError::TooLong(bytes.len()));
    }
    let (message, rest) =
        postcard::take_from_bytes::<Message>(bytes).map_err(MemberError::Malformed)?;
    if !rest.is_empty() {
        return Err(MemberError::TrailingBytes(rest.len()));
    }
    message.try_into()
}
