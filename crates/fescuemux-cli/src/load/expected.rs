//! What a stand-in server echoes when it received a request whole.

use serde::Deserialize;

/// Echo of a stand-in server.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub(crate) struct Expected {
    pub(crate) tag: String,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) body_bytes: u64,
    pub(crate) body_sha256: String,
}
