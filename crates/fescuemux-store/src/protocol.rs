//! JSON bodies of the store's HTTP protocol. Every call is a `POST` to the path of its request
//! type. Values travel as base64.

use crate::{
    Effect, Entry, FailureKind, KeyVersion, RenewResult, StoreError, SwapResult, WatchResult,
};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Path of [`GetRequest`].
pub const GET_PATH: &str = "/v1/get";
/// Path of [`SwapRequest`].
pub const SWAP_PATH: &str = "/v1/compare-and-swap";
/// Path of [`ListRequest`].
pub const LIST_PATH: &str = "/v1/list";
/// Path of [`WatchRequest`].
pub const WATCH_PATH: &str = "/v1/watch";
/// Path of [`GrantRequest`].
pub const LEASE_GRANT_PATH: &str = "/v1/lease/grant";
/// Path of [`LeaseRequest`] for a renewal.
pub const LEASE_RENEW_PATH: &str = "/v1/lease/renew";
/// Path of [`LeaseRequest`] for a revocation.
pub const LEASE_REVOKE_PATH: &str = "/v1/lease/revoke";

/// Largest body of either direction: a value in base64 and its surroundings.
pub const MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;

/// Reads one key.
#[derive(Debug, Serialize, Deserialize)]
pub struct GetRequest {
    /// Key.
    pub key: String,
}

/// Answer to [`GetRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub struct GetResponse {
    /// The entry, if the key exists.
    pub entry: Option<EntryBody>,
}

/// A value with its version.
#[derive(Debug, Serialize, Deserialize)]
pub struct EntryBody {
    /// Version of the last write.
    pub version: u64,
    /// Content.
    pub value: Base64Bytes,
    /// Lease that the key is bound to.
    pub lease: Option<u64>,
}

/// Compare-and-swap.
#[derive(Debug, Serialize, Deserialize)]
pub struct SwapRequest {
    /// Key.
    pub key: String,
    /// Expected version; zero for "absent".
    pub expect: u64,
    /// New content; `None` deletes the key.
    pub value: Option<Base64Bytes>,
    /// Lease to bind the key to.
    pub lease: Option<u64>,
}

/// Answer to [`SwapRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub struct SwapResponse {
    /// Whether the write took effect.
    pub done: bool,
    /// Version of the write, or of the key that conflicts; zero for "absent".
    pub version: u64,
}

/// Lists keys.
#[derive(Debug, Serialize, Deserialize)]
pub struct ListRequest {
    /// Start of the keys.
    pub prefix: String,
}

/// Answer to [`ListRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub struct ListResponse {
    /// Keys with their versions, in order.
    pub keys: Vec<(String, u64)>,
}

/// Waits for a change of a key.
#[derive(Debug, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Key.
    pub key: String,
    /// Version that the watcher knows; zero for "absent".
    pub after: u64,
    /// Longest wait, in milliseconds.
    pub timeout_ms: u64,
}

/// Answer to [`WatchRequest`].
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WatchResponse {
    /// Newer entry.
    Changed(EntryBody),
    /// The key is gone.
    Deleted,
    /// Nothing changed.
    TimedOut,
}

/// Creates a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Time to live, in milliseconds.
    pub ttl_ms: u64,
}

/// Renews or revokes a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Lease id.
    pub lease: u64,
}

/// Answer to all lease calls.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Lease id.
    pub lease: u64,
    /// Whether the lease exists after the call.
    pub alive: bool,
}

/// Body of an answer with an error status.
#[derive(Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Text for logs.
    pub error: String,
    /// Whether the store promises that the call has no effect.
    pub no_effect: bool,
}

/// Bytes that are base64 text in JSON.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Base64Bytes(
    /// The bytes.
    pub Vec<u8>,
);

impl Serialize for Base64Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Base64Bytes, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Base64Bytes).map_err(serde::de::Error::custom)
    }
}

impl From<Entry> for EntryBody {
    fn from(entry: Entry) -> EntryBody {
        EntryBody { version: entry.version, value: Base64Bytes(entry.value), lease: entry.lease }
    }
}

impl From<EntryBody> for Entry {
    fn from(body: EntryBody) -> Entry {
        Entry { version: body.version, value: body.value.0, lease: body.lease }
    }
}

impl From<SwapResult> for SwapResponse {
    fn from(swap: SwapResult) -> SwapResponse {
        match swap {
            SwapResult::Applied(version) => SwapResponse { done: true, version },
            SwapResult::Conflict(version) => {
                SwapResponse { done: false, version: version.unwrap_or(0) }
            }
        }
    }
}

impl From<SwapResponse> for SwapResult {
    fn from(answer: SwapResponse) -> SwapResult {
        match (answer.done, answer.version) {
            (true, version) => SwapResult::Applied(version),
            (false, 0) => SwapResult::Conflict(None),
            (false, version) => SwapResult::Conflict(Some(version)),
        }
    }
}

impl From<Vec<KeyVersion>> for ListResponse {
    fn from(listed: Vec<KeyVersion>) -> ListResponse {
        ListResponse { keys: listed.into_iter().map(|l| (l.key, l.version)).collect() }
    }
}

impl From<ListResponse> for Vec<KeyVersion> {
    fn from(answer: ListResponse) -> Vec<KeyVersion> {
        answer.keys.into_iter().map(|(key, version)| KeyVersion { key, version }).collect()
    }
}

impl From<WatchResult> for WatchResponse {
    fn from(watched: WatchResult) -> WatchResponse {
        match watched {
            WatchResult::Changed(entry) => WatchResponse::Changed(entry.into()),
            WatchResult::Deleted => WatchResponse::Deleted,
            WatchResult::TimedOut => WatchResponse::TimedOut,
        }
    }
}

impl From<WatchResponse> for WatchResult {
    fn from(answer: WatchResponse) -> WatchResult {
        match answer {
            WatchResponse::Changed(body) => WatchResult::Changed(body.into()),
            WatchResponse::Deleted => WatchResult::Deleted,
            WatchResponse::TimedOut => WatchResult::TimedOut,
        }
    }
}

impl From<LeaseResponse> for RenewResult {
    fn from(answer: LeaseResponse) -> RenewResult {
        if answer.alive { RenewResult::Renewed } else { RenewResult::Expired }
    }
}

impl From<&StoreError> for ErrorBody {
    fn from(error: &StoreError) -> ErrorBody {
        ErrorBody { error: error.detail.clone(), no_effect: error.effect == Effect::None }
    }
}

/// Returns the HTTP status for an error that the store itself answers with.
pub fn status_code(failure: FailureKind) -> u16 {
    match failure {
        FailureKind::Refused => 400,
        FailureKind::InvalidResponse => 500,
        FailureKind::Unreachable | FailureKind::NoResponse | FailureKind::Unavailable => 503,
    }
}
