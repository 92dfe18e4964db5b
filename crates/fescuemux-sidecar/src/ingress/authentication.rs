//! Authentication of requests by the keys of customers.

use super::CallerResponse;
use crate::FleetConfig;
use crate::node::Node;
use fescuemux_core::caller_keys::{
    CallerAccount, CallerKeys, KeyContext, KeyRefusal, PresentedKey,
};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use std::sync::Arc;

/// Scheme of the header that carries a key, in lower case.
const KEY_SCHEME: &[u8] = b"bearer";

/// What is known of a request before its authentication.
pub(super) struct Unauthenticated<'a> {
    pub(super) headers: &'a HeaderMap,
    /// Whether the route needs no key. A request without a route runs nowhere and needs none either.
    pub(super) public: bool,
    pub(super) request_id: Option<&'a str>,
    /// Whether the id derives from that of a request running at the local backend server.
    pub(super) nested: bool,
}

impl Unauthenticated<'_> {
    /// Returns the customer of the request, or `None` if it has none.
    ///
    /// # Errors
    /// Returns the response to send if the request must not run.
    pub(super) fn authenticate(
        &self,
        node: &Node,
        config: &FleetConfig,
        keys: &CallerKeys,
    ) -> Result<Option<Arc<CallerAccount>>, Box<CallerResponse>> {
        let key = presented_key(self.headers);
        let unknown_parent_for = self.request_id.filter(|_| key == PresentedKey::Missing);
        let unknown_parent_for = unknown_parent_for.and_then(|id| {
            let parents = node.unfinished_parents.borrow();
            parents.may_run_for(node.now(), id, config.routes.longest_timeout())
        });
        let cx = KeyContext { public: self.public, nested: self.nested, unknown_parent_for };
        keys.authenticate(key, cx).map_err(|refusal| Box::new(refusal_response(refusal)))
    }
}

fn refusal_response(refusal: KeyRefusal) -> CallerResponse {
    let unauthorized = |reason| {
        let mut response = CallerResponse::refused(StatusCode::UNAUTHORIZED, reason, None);
        let scheme = HeaderValue::from_static("Bearer");
        response.headers.insert(header::WWW_AUTHENTICATE, scheme);
        response
    };
    match refusal {
        KeyRefusal::UnknownKey => unauthorized("unknown_key"),
        KeyRefusal::MissingKey => unauthorized("no_key"),
        KeyRefusal::UnknownParent { retry_in } => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            CallerResponse::refused(status, "unknown_parent", Some(retry_in))
        }
    }
}

/// Returns the key that a request presents. Credentials of another scheme are no key.
fn presented_key(headers: &HeaderMap) -> PresentedKey<'_> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let Some(value) = values.next() else { return PresentedKey::Missing };
    if values.next().is_some() {
        return PresentedKey::Unreadable;
    }
    let value = value.as_bytes().trim_ascii();
    let scheme_end = value.iter().position(u8::is_ascii_whitespace).unwrap_or(value.len());
    let (scheme, key) = value.split_at(scheme_end);
    match (scheme.eq_ignore_ascii_case(KEY_SCHEME), key.trim_ascii_start()) {
        (true, key) if !key.is_empty() => PresentedKey::Key(key),
        _ => PresentedKey::Missing,
    }
}
