//! HTTP client of the store.

use crate::protocol::{
    ErrorBody, GET_PATH, GetRequest, GetResponse, GrantRequest, LEASE_GRANT_PATH, LEASE_RENEW_PATH,
    LEASE_REVOKE_PATH, LIST_PATH, LeaseRequest, LeaseResponse, ListRequest, ListResponse,
    MAX_BODY_BYTES, SWAP_PATH, SwapRequest, SwapResponse, WATCH_PATH, WatchRequest, WatchResponse,
};
use crate::{
    CallHook, CallKind, Effect, Entry, FailureKind, KeyVersion, LeaseId, MAX_KEY_BYTES,
    MAX_VALUE_BYTES, Mutation, Precondition, RenewResult, Store, StoreError, SwapResult, Version,
    WatchResult, protocol,
};
use fescuemux_http::ResponseError;
use fescuemux_http::blocking::{self, CallError, Limits, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Settings of [`HttpStore`].
#[derive(Clone, Debug)]
pub struct HttpStoreSettings {
    /// Addresses of the store's front ends, at least one.
    pub addrs: Vec<SocketAddr>,
    /// Maximum time to open a connection.
    pub connect_timeout: Duration,
    /// Maximum time for one call to one address, in addition to the timeout of a watch.
    pub call_timeout: Duration,
}

impl HttpStoreSettings {
    /// Returns settings with timeouts of 1 s to connect and 5 s per call.
    pub fn new(addrs: Vec<SocketAddr>) -> HttpStoreSettings {
        HttpStoreSettings {
            addrs,
            connect_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(5),
        }
    }
}

/// Store client over HTTP. It opens a connection for each call.
pub struct HttpStore {
    settings: HttpStoreSettings,
    /// Index of the address that responded last.
    preferred: AtomicUsize,
    call_hook: Option<CallHook>,
}

/// Whether a call may be sent again to another address after an unknown effect.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Retry {
    Safe,
    Unsafe,
}

/// Path of a call, its kind for the call hook, whether it may be sent again after an unknown
/// effect, and how long the store may wait before it responds.
#[derive(Clone, Copy)]
struct Call {
    path: &'static str,
    kind: CallKind,
    retry: Retry,
    max_wait: Duration,
}

impl HttpStore {
    /// Returns a client for the store at the addresses of `settings`.
    ///
    /// # Errors
    /// Fails when `settings` holds no address.
    pub fn new(settings: HttpStoreSettings) -> Result<HttpStore, StoreError> {
        if settings.addrs.is_empty() {
            return Err(StoreError::without_effect(
                FailureKind::Refused,
                "no store address is set",
            ));
        }
        Ok(HttpStore { settings, preferred: AtomicUsize::new(0), call_hook: None })
    }

    /// Sets the function that is called before each request is sent.
    #[must_use]
    pub fn with_call_hook(mut self, call_hook: CallHook) -> HttpStore {
        self.call_hook = Some(call_hook);
        self
    }

    /// Sends a call to the address that responded last, then to the others until one succeeds.
    /// Stops at a failure that is not transient and, unless the call is safe to retry, at an
    /// unknown effect.
    fn call<T: DeserializeOwned>(
        &self,
        call: Call,
        request: &impl Serialize,
    ) -> Result<T, StoreError> {
        let body = serde_json::to_vec(request)
            .map_err(|e| StoreError::without_effect(FailureKind::Refused, e.to_string()))?;
        let addr_count = self.settings.addrs.len();
        let first = self.preferred.load(Ordering::Relaxed);
        let mut effect = Effect::None;
        let mut last_error = None;
        for index in (0..addr_count).map(|offset| (first + offset) % addr_count) {
            let error = match self.call_addr(call, self.settings.addrs[index], &body) {
                Ok(response) => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return Ok(response);
                }
                Err(error) => error,
            };
            if error.effect == Effect::Unknown {
                effect = Effect::Unknown;
            }
            let must_stop = !error.is_transient()
                || (error.effect == Effect::Unknown && call.retry == Retry::Unsafe);
            last_error = Some(error);
            if must_stop {
                break;
            }
        }
        let error = last_error.unwrap_or_else(|| {
            StoreError::without_effect(FailureKind::Unreachable, "no store address")
        });
        Err(StoreError { effect, ..error })
    }

    fn call_addr<T: DeserializeOwned>(
        &self,
        call: Call,
        addr: SocketAddr,
        body: &[u8],
    ) -> Result<T, StoreError> {
        if let Some(call_hook) = &self.call_hook {
            call_hook(call.kind);
        }
        let request = Request {
            method: "POST",
            path: call.path,
            headers: &[("content-type", "application/json")],
            body,
        };
        let limits = Limits {
            connect_timeout: self.settings.connect_timeout,
            timeout: self.settings.call_timeout + call.max_wait,
            max_body_len: MAX_BODY_BYTES,
        };
        let response = blocking::call(addr, &request, &limits, Instant::now)
            .map_err(|e| transport_error(call, addr, &e))?;
        if response.status == 200 {
            return serde_json::from_slice(&response.body).map_err(|error| {
                call_error(call, FailureKind::InvalidResponse, format!("{addr}: {error}"))
            });
        }
        Err(status_error(call, addr, response.status, &response.body))
    }
}

/// Returns the error of a call that may have reached the store. A read never has an effect.
fn call_error(call: Call, kind: FailureKind, detail: String) -> StoreError {
    match call.kind {
        CallKind::Read => StoreError::without_effect(kind, detail),
        CallKind::Write => StoreError::with_unknown_effect(kind, detail),
    }
}

/// Returns the error of a call without a complete response.
fn transport_error(call: Call, addr: SocketAddr, e: &CallError) -> StoreError {
    let detail = format!("{addr}: {e}");
    match e {
        CallError::Connect(_) => StoreError::without_effect(FailureKind::Unreachable, detail),
        CallError::Response(
            ResponseError::Io(_) | ResponseError::Closed | ResponseError::Truncated,
        ) => call_error(call, FailureKind::NoResponse, detail),
        CallError::Response(ResponseError::Malformed | ResponseError::TooLarge) => {
            call_error(call, FailureKind::InvalidResponse, detail)
        }
    }
}

fn status_error(call: Call, addr: SocketAddr, status: u16, response_body: &[u8]) -> StoreError {
    let body: Option<ErrorBody> = serde_json::from_slice(response_body).ok();
    let reason = body.as_ref().map_or("", |body| body.error.as_str());
    let detail = format!("{addr}: status {status} {reason}");
    let has_no_effect = body.is_some_and(|body| body.no_effect);
    match status {
        // A front end responds with 408 to a request that it forwarded, and with 429 to a request
        // that it did not forward.
        408 => call_error(call, FailureKind::Unavailable, detail),
        429 => StoreError::without_effect(FailureKind::Unavailable, detail),
        400..=499 => StoreError::without_effect(FailureKind::Refused, detail),
        _ if has_no_effect => StoreError::without_effect(FailureKind::Unavailable, detail),
        _ => call_error(call, FailureKind::Unavailable, detail),
    }
}

/// Checks that the length of a key is within bounds.
fn check_key(key: &str) -> Result<(), StoreError> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let detail = format!("key of {} bytes; 1 to {MAX_KEY_BYTES} are allowed", key.len());
        return Err(StoreError::without_effect(FailureKind::Refused, detail));
    }
    Ok(())
}

fn check_value(value: &[u8]) -> Result<(), StoreError> {
    if value.len() > MAX_VALUE_BYTES {
        let detail = format!("value of {} bytes; {MAX_VALUE_BYTES} are allowed", value.len());
        return Err(StoreError::without_effect(FailureKind::Refused, detail));
    }
    Ok(())
}

const fn read_call(path: &'static str) -> Call {
    Call { path, kind: CallKind::Read, retry: Retry::Safe, max_wait: Duration::ZERO }
}

const fn write_call(path: &'static str, retry: Retry) -> Call {
    Call { path, kind: CallKind::Write, retry, max_wait: Duration::ZERO }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl Store for HttpStore {
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        check_key(key)?;
        let response: GetResponse =
            self.call(read_call(GET_PATH), &GetRequest { key: key.to_owned() })?;
        Ok(response.entry.map(Entry::from))
    }

    fn compare_and_swap(
        &self,
        key: &str,
        precondition: Precondition,
        mutation: Mutation<'_>,
    ) -> Result<SwapResult, StoreError> {
        check_key(key)?;
        let expect = match precondition {
            Precondition::Absent => 0,
            Precondition::Version(version) => version,
        };
        let (value, lease) = match mutation {
            Mutation::Put { value, lease } => {
                check_value(value)?;
                (Some(protocol::Base64Bytes(value.to_vec())), lease)
            }
            Mutation::Delete => (None, None),
        };
        let request = SwapRequest { key: key.to_owned(), expect, value, lease };
        // A retried swap would conflict with its own first attempt.
        let response: SwapResponse = self.call(write_call(SWAP_PATH, Retry::Unsafe), &request)?;
        Ok(response.into())
    }

    fn list(&self, prefix: &str) -> Result<Vec<KeyVersion>, StoreError> {
        let request = ListRequest { prefix: prefix.to_owned() };
        let response: ListResponse = self.call(read_call(LIST_PATH), &request)?;
        Ok(response.into())
    }

    fn watch(
        &self,
        key: &str,
        after: Version,
        timeout: Duration,
    ) -> Result<WatchResult, StoreError> {
        check_key(key)?;
        let call = Call { max_wait: timeout, ..read_call(WATCH_PATH) };
        let request = WatchRequest { key: key.to_owned(), after, timeout_ms: millis(timeout) };
        let response: WatchResponse = self.call(call, &request)?;
        Ok(response.into())
    }

    fn lease_grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let request = GrantRequest { ttl_ms: millis(ttl) };
        let call = write_call(LEASE_GRANT_PATH, Retry::Unsafe);
        let response: LeaseResponse = self.call(call, &request)?;
        Ok(response.lease)
    }

    fn lease_renew(&self, lease: LeaseId) -> Result<RenewResult, StoreError> {
        let call = write_call(LEASE_RENEW_PATH, Retry::Safe);
        let response: LeaseResponse = self.call(call, &LeaseRequest { lease })?;
        Ok(response.into())
    }

    fn lease_revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        let call = write_call(LEASE_REVOKE_PATH, Retry::Safe);
        let _: LeaseResponse = self.call(call, &LeaseRequest { lease })?;
        Ok(())
    }
}
