//! JSON bodies of the store's HTTP protocol. Every call is a `POST` to the path of its request
//! type. Values travel as base64.

use crate::{Effect, Entry, Failure, Listed, Renewal, StoreError, Swap, Watched};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Path of [`GetRequest`].
pub const GET: &str = "/v1/get";
/// Path of [`SwapRequest`].
pub const SWAP: &str = "/v1/compare-and-swap";
/// Path of [`ListRequest`].
pub const LIST: &str = "/v1/list";
/// Path of [`WatchRequest`].
pub const WATCH: &str = "/v1/watch";
/// Path of [`GrantRequest`].
pub const LEASE_GRANT: &str = "/v1/lease/grant";
/// Path of [`LeaseRequest`] for a renewal.
pub const LEASE_RENEW: &str = "/v1/lease/renew";
/// Path of [`LeaseRequest`] for a revocation.
pub const LEASE_REVOKE: &str = "/v1/lease/revoke";

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
pub struct GetAnswer {
    /// The entry, if the key exists.
    pub entry: Option<EntryBody>,
}

/// A value with its version.
#[derive(Debug, Serialize, Deserialize)]
pub struct EntryBody {
    /// Version of the last write.
    pub version: u64,
    /// Content.
    pub value: Blob,
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
    pub value: Option<Blob>,
    /// Lease to bind the key to.
    pub lease: Option<u64>,
}

/// Answer to [`SwapRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub struct SwapAnswer {
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
pub struct ListAnswer {
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
pub enum WatchAnswer {
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
pub struct LeaseAnswer {
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
pub struct Blob(
    /// The bytes.
    pub Vec<u8>,
);

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Blob, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Blob).map_err(serde::de::Error::custom)
    }
}

impl From<Entry> for EntryBody {
    fn from(entry: Entry) -> EntryBody {
        EntryBody { version: entry.version, value: Blob(entry.value), lease: entry.lease }
    }
}

impl From<EntryBody> for Entry {
    fn from(body: EntryBody) -> Entry {
        Entry { version: body.version, value: body.value.0, lease: body.lease }
    }
}

impl From<Swap> for SwapAnswer {
    fn from(swap: Swap) -> SwapAnswer {
        match swap {
            Swap::Done(version) => SwapAnswer { done: true, version },
            Swap::Conflict(version) => SwapAnswer { done: false, version: version.unwrap_or(0) },
        }
    }
}

impl From<SwapAnswer> for Swap {
    fn from(answer: SwapAnswer) -> Swap {
        match (answer.done, answer.version) {
            (true, version) => Swap::Done(version),
            (false, 0) => Swap::Conflict(None),
            (false, version) => Swap::Conflict(Some(version)),
        }
    }
}

impl From<Vec<Listed>> for ListAnswer {
    fn from(listed: Vec<Listed>) -> ListAnswer {
        ListAnswer { keys: listed.into_iter().map(|l| (l.key, l.version)).collect() }
    }
}

impl From<ListAnswer> for Vec<Listed> {
    fn from(answer: ListAnswer) -> Vec<Listed> {
        answer.keys.into_iter().map(|(key, version)| Listed { key, version }).collect()
    }
}

impl From<Watched> for WatchAnswer {
    fn from(watched: Watched) -> WatchAnswer {
        match watched {
            Watched::Changed(entry) => WatchAnswer::Changed(entry.into()),
            Watched::Deleted => WatchAnswer::Deleted,
            Watched::TimedOut => WatchAnswer::TimedOut,
        }
    }
}

impl From<WatchAnswer> for Watched {
    fn from(answer: WatchAnswer) -> Watched {
        match answer {
            WatchAnswer::Changed(body) => Watched::Changed(body.into()),
            WatchAnswer::Deleted => Watched::Deleted,
            WatchAnswer::TimedOut => Watched::TimedOut,
        }
    }
}

impl From<LeaseAnswer> for Renewal {
    fn from(answer: LeaseAnswer) -> Renewal {
        if answer.alive { Renewal::Renewed } else { Renewal::Lapsed }
    }
}

impl From<&StoreError> for ErrorBody {
    fn from(error: &StoreError) -> ErrorBody {
        ErrorBody { error: error.detail.clone(), no_effect: error.effect == Effect::None }
    }
}

/// Returns the HTTP status for an error that the store itself answers with.
pub fn status_of(failure: Failure) -> u16 {
    match failure {
        Failure::Refused => 400,
        Failure::BadAnswer => 500,
        Failure::Unreachable | Failure::NoAnswer | Failure::Unavailable => 503,
    }
}
