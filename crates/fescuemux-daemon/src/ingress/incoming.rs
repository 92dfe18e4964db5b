//! Validation of a caller's request against the active configuration.

use super::effective::EffectiveConfig;
use super::{ErrorResponse, Ingress};
use fescuemux_core::base::{CallerId, RequestId};
use fescuemux_core::config::Service;
use fescuemux_wire::headers;
use http::{HeaderMap, Method, header, request};
use std::time::{Duration, Instant};

/// Maximum deadline in milliseconds that a caller may request.
const MAX_DEADLINE_MS: u64 = 600_000;
/// Maximum length in bytes of an idempotency key or caller id.
const MAX_NAME_BYTES: usize = 128;

/// A validated request.
#[derive(Debug)]
pub(super) struct IncomingRequest {
    pub(super) id: RequestId,
    pub(super) parts: request::Parts,
    /// Configuration key of the limit that applies to the caller.
    pub(super) caller: CallerId,
    pub(super) service: Service,
    pub(super) idempotent: bool,
    /// Idempotency key.
    pub(super) key: Option<String>,
    pub(super) deadline: Instant,
}

impl IncomingRequest {
    pub(super) fn new(
        id: RequestId,
        parts: request::Parts,
        effective: &EffectiveConfig,
        now: Instant,
    ) -> Result<IncomingRequest, ErrorResponse> {
        if parts.method == Method::CONNECT || parts.headers.contains_key(header::UPGRADE) {
            return Err(ErrorResponse::bad_request("tunnels and upgrades are not supported"));
        }
        let path = parts.uri.path();
        if has_dot_segment(path) {
            return Err(ErrorResponse::bad_request("the path has a dot segment"));
        }
        let host = request_host(&parts);
        let route = effective.routes.lookup(parts.method.as_str(), host, path);
        let route = route.ok_or_else(ErrorResponse::no_route)?;
        let service = effective.config.services.get(&route.service);
        let service =
            service.ok_or_else(|| ErrorResponse::unavailable("the service is not set up"))?;
        let requested_deadline = parse_deadline(&parts.headers)?;
        let deadline = requested_deadline.or(route.deadline).unwrap_or(service.default_deadline);
        let caller = parse_name(&parts.headers, headers::CALLER)?.unwrap_or_default();
        let key = parse_name(&parts.headers, headers::IDEMPOTENCY_KEY)?;
        Ok(IncomingRequest {
            id,
            caller: Ingress::limit_key(effective, caller.into()),
            idempotent: route.idempotent,
            service: service.clone(),
            key,
            deadline: now + deadline,
            parts,
        })
    }

    /// Returns the request target to forward: path and query.
    pub(super) fn target(&self) -> &str {
        self.parts.uri.path_and_query().map_or("/", |target| target.as_str())
    }
}

/// Returns whether a path contains `.` or `..` segments, also with dots written as `%2e`. A backend
/// server that normalizes such a path could serve a path outside the prefix of the matched route.
fn has_dot_segment(path: &str) -> bool {
    path.split('/').any(|segment| {
        let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
        decoded == "." || decoded == ".."
    })
}

fn request_host(parts: &request::Parts) -> &str {
    let from_header = || parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    parts.uri.authority().map(|authority| authority.as_str()).or_else(from_header).unwrap_or("")
}

fn parse_deadline(header_map: &HeaderMap) -> Result<Option<Duration>, ErrorResponse> {
    let malformed =
        || ErrorResponse::bad_request("header `fescuemux-deadline-ms` must be 1 to 600000, once");
    let Some(text) = single_value(header_map, headers::DEADLINE_MS).map_err(|()| malformed())?
    else {
        return Ok(None);
    };
    let ms: u64 = text.parse().map_err(|_| malformed())?;
    if !(1..=MAX_DEADLINE_MS).contains(&ms) {
        return Err(malformed());
    }
    Ok(Some(Duration::from_millis(ms)))
}

fn parse_name(header_map: &HeaderMap, name: &'static str) -> Result<Option<String>, ErrorResponse> {
    let malformed = || {
        ErrorResponse::bad_request(format!(
            "header `{name}` must be 1 to 128 visible ASCII bytes, once"
        ))
    };
    let Some(text) = single_value(header_map, name).map_err(|()| malformed())? else {
        return Ok(None);
    };
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    let fits = (1..=MAX_NAME_BYTES).contains(&text.len());
    if fits && visible { Ok(Some(text.to_owned())) } else { Err(malformed()) }
}

fn single_value<'a>(header_map: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, ()> {
    let mut values = header_map.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(());
    }
    value.to_str().map(Some).map_err(|_| ())
}
