//! JSON bodies of the store's HTTP protocol. Every call is a `POST` to the path of its request
//! type. Values are encoded as base64.

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

/// Maximum size of a request or response body, in bytes. It leaves room for the largest value in
/// base64.
pub const MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;

/// Request that reads one key.
#[derive(Debug, Serialize, Deserialize)]
pub struct GetRequest {
    /// Key.
    pub key: String,
}

/// Response to [`GetRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub struct GetResponse {
    /// The entry, if the key exists.
    pub entry: Option<EntryBody>,
}

/// Value of a key with its version and lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct EntryBody {
    /// Version of the last write.
    pub version: u64,
    /// Content of the key.
    pub value: Base64Bytes,
    /// Lease that the key is bound to.
    pub lease: Option<u64>,
}

/// Request for a compare-and-swap.
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

/// Response to [`SwapRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub struct SwapResponse {
    /// Whether the write took effect.
    pub done: bool,
    /// Version of the write, or present version of the key after a conflict; zero for "absent".
    pub version: u64,
}

/// Request that lists keys.
#[derive(Debug, Serialize, Deserialize)]
pub struct ListRequest {
    /// Prefix of the keys.
    pub prefix: String,
}

/// Response to [`ListRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub struct ListResponse {
    /// Keys with their versions, sorted by key.
    pub keys: Vec<(String, u64)>,
}

/// Request that waits for a change of a key.
#[derive(Debug, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Key.
    pub key: String,
    /// Version that the caller knows; zero for "absent".
    pub after: u64,
    /// Maximum wait, in milliseconds.
    pub timeout_ms: u64,
}

/// Response to [`WatchRequest`].
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WatchResponse {
    /// Entry with a version above `after`.
    Changed(EntryBody),
    /// The key no longer exists.
    Deleted,
    /// Nothing changed before the timeout.
    TimedOut,
}

/// Request that creates a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Time to live, in milliseconds.
    pub ttl_ms: u64,
}

/// Request that renews or revokes a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Lease id.
    pub lease: u64,
}

/// Response to all lease calls.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Lease id.
    pub lease: u64,
    /// Whether the lease exists after the call.
    pub alive: bool,
}

/// Body of a response with an error status.
#[derive(Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Details for logs.
    pub error: String,
    /// Whether the store guarantees that the call has no effect.
    pub no_effect: bool,
}

/// Bytes that are encoded as a base64 string in JSON.
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
    fn from(response: SwapResponse) -> SwapResult {
        match (response.done, response.version) {
            (true, version) => SwapResult::Applied(version),
            (false, 0) => SwapResult::Conflict(None),
            (false, version) => SwapResult::Conflict(Some(version)),
        }
    }
}

impl From<Vec<KeyVersion>> for ListResponse {
    fn from(listed: Vec<KeyVersion>) -> ListResponse {
        ListResponse { keys: listed.into_iter().map(|entry| (entry.key, entry.version)).collect() }
    }
}

impl From<ListResponse> for Vec<KeyVersion> {
    fn from(response: ListResponse) -> Vec<KeyVersion> {
        response.keys.into_iter().map(|(key, version)| KeyVersion { key, version }).collect()
    }
}

impl From<WatchResult> for WatchResponse {
    fn from(result: WatchResult) -> WatchResponse {
        match result {
            WatchResult::Changed(entry) => WatchResponse::Changed(entry.into()),
            WatchResult::Deleted => WatchResponse::Deleted,
            WatchResult::TimedOut => WatchResponse::TimedOut,
        }
    }
}

impl From<WatchResponse> for WatchResult {
    fn from(response: WatchResponse) -> WatchResult {
        match response {
            WatchResponse::Changed(body) => WatchResult::Changed(body.into()),
            WatchResponse::Deleted => WatchResult::Deleted,
            WatchResponse::TimedOut => WatchResult::TimedOut,
        }
    }
}

impl From<LeaseResponse> for RenewResult {
    fn from(response: LeaseResponse) -> RenewResult {
        if response.alive { RenewResult::Renewed } else { RenewResult::Expired }
    }
}

impl From<&StoreError> for ErrorBody {
    fn from(error: &StoreError) -> ErrorBody {
        ErrorBody { error: error.detail.clone(), no_effect: error.effect == Effect::None }
    }
}

/// Returns the HTTP status with which the store reports a failure.
pub fn status_code(failure: FailureKind) -> u16 {
    match failure {
        FailureKind::Refused => 400,
        FailureKind::InvalidResponse => 500,
        FailureKind::Unreachable | FailureKind::NoResponse | FailureKind::Unavailable => 503,
    }
}
