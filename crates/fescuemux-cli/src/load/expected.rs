//! Expected echo of a stand-in server.

use serde::Deserialize;

/// Echo of a stand-in server that received a request completely.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub(crate) struct Expected {
    pub(crate) tag: String,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) body_bytes: u64,
    pub(crate) body_sha256: String,
}
