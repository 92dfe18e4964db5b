//! Authentication tags of hop requests and responses.

use super::parse::{self, HopError};
use crate::auth::KeyRing;
use crate::headers;
use http::{HeaderMap, HeaderValue, Method};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Maximum difference, in both directions, between the send time of a hop request and the clock of
/// the guard. A guard keeps request ids for more than twice this time, so a copied request is
/// either detected by its id or refused because of its send time.
pub const MAX_REQUEST_AGE: Duration = Duration::from_secs(30);

/// Headers covered by the tag of a request besides method, target and send time, in this order.
const REQUEST_HEADERS: [&str; 10] = [
    headers::REQUEST_ID,
    headers::ATTEMPT,
    headers::SERVER,
    headers::INCARNATION,
    headers::DEADLINE_MS,
    headers::KIND,
    headers::IDEMPOTENT,
    headers::PRIORITY,
    headers::BASELINE,
    headers::IDEMPOTENCY_KEY,
];
/// Headers covered by the tag of a response besides the status, in this order.
const RESPONSE_HEADERS: [&str; 4] =
    [headers::VERDICT, headers::LOAD, headers::HEALTH, headers::SERVICE_TIME_US];

/// Signs a hop request at wall-clock time `now`. All other headers of the request must have been
/// written.
pub fn sign_request(
    keys: &KeyRing,
    now: SystemTime,
    method: &Method,
    target: &str,
    map: &mut HeaderMap,
) {
    let sent_ms = millis(now).to_string();
    let tag = keys.sign(&request_parts(method, target, &sent_ms, map));
    insert_tag(map, format!("{sent_ms}.{}", to_hex(&tag)));
}

/// Verifies a hop request at wall-clock time `now`.
///
/// # Errors
///
/// Returns [`HopError::NotAuthentic`] if the tag is wrong, or if the send time differs from `now`
/// by more than [`MAX_REQUEST_AGE`]. Returns another error if the tag header is missing, repeated
/// or not text.
pub fn verify_request(
    keys: &KeyRing,
    now: SystemTime,
    method: &Method,
    target: &str,
    map: &HeaderMap,
) -> Result<(), HopError> {
    let mac_value = parse::required(map, headers::MAC)?;
    let (sent_ms, tag) = mac_value.split_once('.').ok_or(HopError::NotAuthentic)?;
    let sent_at_ms: u64 = sent_ms.parse().map_err(|_| HopError::NotAuthentic)?;
    if millis(now).abs_diff(sent_at_ms) > MAX_REQUEST_AGE.as_millis() as u64 {
        return Err(HopError::NotAuthentic);
    }
    let tag = from_hex(tag).ok_or(HopError::NotAuthentic)?;
    let parts = request_parts(method, target, sent_ms, map);
    if keys.verify(&parts, &tag) { Ok(()) } else { Err(HopError::NotAuthentic) }
}

/// Signs the response to the request with the tag `request_tag`. All other headers of the response
/// must have been written.
pub fn sign_response(keys: &KeyRing, request_tag: &str, status: u16, map: &mut HeaderMap) {
    let tag = keys.sign(&response_parts(request_tag, &status.to_be_bytes(), map));
    insert_tag(map, to_hex(&tag));
}

/// Verifies that a response belongs to the request with the tag `request_tag`.
///
/// # Errors
///
/// Returns [`HopError::NotAuthentic`] if the tag is wrong, for example because the response belongs
/// to another request. Returns another error if the tag header is missing, repeated or not text.
pub fn verify_response(
    keys: &KeyRing,
    request_tag: &str,
    status: u16,
    map: &HeaderMap,
) -> Result<(), HopError> {
    let tag = from_hex(parse::required(map, headers::MAC)?).ok_or(HopError::NotAuthentic)?;
    let status = status.to_be_bytes();
    let parts = response_parts(request_tag, &status, map);
    if keys.verify(&parts, &tag) { Ok(()) } else { Err(HopError::NotAuthentic) }
}

fn request_parts<'a>(
    method: &'a Method,
    target: &'a str,
    sent_ms: &'a str,
    map: &'a HeaderMap,
) -> Vec<&'a [u8]> {
    let mut parts: Vec<&[u8]> =
        vec![b"request", method.as_str().as_bytes(), target.as_bytes(), sent_ms.as_bytes()];
    parts.extend(REQUEST_HEADERS.iter().map(|name| header_value(map, name)));
    parts
}

fn response_parts<'a>(request_tag: &'a str, status: &'a [u8], map: &'a HeaderMap) -> Vec<&'a [u8]> {
    let mut parts: Vec<&[u8]> = vec![b"answer", request_tag.as_bytes(), status];
    parts.extend(RESPONSE_HEADERS.iter().map(|name| header_value(map, name)));
    parts
}

/// Returns the bytes of the header, or no bytes if the header is absent.
fn header_value<'a>(map: &'a HeaderMap, name: &str) -> &'a [u8] {
    map.get(name).map(HeaderValue::as_bytes).unwrap_or_default()
}

fn insert_tag(map: &mut HeaderMap, tag_text: String) {
    if let Ok(mac_value) = HeaderValue::try_from(tag_text) {
        map.insert(headers::MAC, mac_value);
    }
}

fn millis(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok()).collect()
}
