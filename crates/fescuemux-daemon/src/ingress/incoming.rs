//! A caller's request after all checks that need no other instance.

use super::effective::EffectiveConfig;
use super::{ErrorResponse, Ingress};
use fescuemux_core::base::{CallerId, RequestId};
use fescuemux_core::config::Service;
use fescuemux_wire::headers;
use http::{HeaderMap, Method, header, request};
use std::time::{Duration, Instant};

/// Longest deadline that a caller may ask for.
const MAX_DEADLINE_MS: u64 = 600_000;
/// Longest idempotency key and caller id in bytes.
const MAX_NAME_BYTES: usize = 128;

/// A checked request.
#[derive(Debug)]
pub(super) struct IncomingRequest {
    pub(super) id: RequestId,
    pub(super) parts: request::Parts,
    /// Name of the limit that applies to the caller.
    pub(super) caller: CallerId,
    pub(super) service: Service,
    pub(super) idempotent: bool,
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
        let host = host_of(&parts);
        let route = effective.routes.lookup(parts.method.as_str(), host, path);
        let route = route.ok_or_else(ErrorResponse::no_route)?;
        let service = effective.config.services.get(&route.service);
        let service =
            service.ok_or_else(|| ErrorResponse::unavailable("the service is not set up"))?;
        let asked = deadline_of(&parts.headers)?;
        let deadline = asked.or(route.deadline).unwrap_or(service.default_deadline);
        let caller = name_of(&parts.headers, headers::CALLER)?.unwrap_or_default();
        let key = name_of(&parts.headers, headers::IDEMPOTENCY_KEY)?;
        Ok(IncomingRequest {
            id,
            caller: Ingress::caller_or_other(effective, caller.into()),
            idempotent: route.idempotent,
            service: service.clone(),
            key,
            deadline: now + deadline,
            parts,
        })
    }

    /// Returns the target to send on: path and query.
    pub(super) fn target(&self) -> &str {
        self.parts.uri.path_and_query().map_or("/", |target| target.as_str())
    }
}

/// Returns whether a path could mean another one after normalization, so that routes marked by
/// prefix would not hold for what the backend server serves.
fn has_dot_segment(path: &str) -> bool {
    path.split('/').any(|segment| {
        let plain = segment.to_ascii_lowercase().replace("%2e", ".");
        plain == "." || plain == ".."
    })
}

fn host_of(parts: &request::Parts) -> &str {
    let from_header = || parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    parts.uri.authority().map(|authority| authority.as_str()).or_else(from_header).unwrap_or("")
}

fn deadline_of(map: &HeaderMap) -> Result<Option<Duration>, ErrorResponse> {
    let malformed =
        || ErrorResponse::bad_request("header `fescuemux-deadline-ms` must be 1 to 600000, once");
    let Some(text) = single(map, headers::DEADLINE_MS).map_err(|()| malformed())? else {
        return Ok(None);
    };
    let ms: u64 = text.parse().map_err(|_| malformed())?;
    if !(1..=MAX_DEADLINE_MS).contains(&ms) {
        return Err(malformed());
    }
    Ok(Some(Duration::from_millis(ms)))
}

fn name_of(map: &HeaderMap, name: &'static str) -> Result<Option<String>, ErrorResponse> {
    let malformed = || {
        ErrorResponse::bad_request(format!(
            "header `{name}` must be 1 to 128 visible ASCII bytes, once"
        ))
    };
    let Some(text) = single(map, name).map_err(|()| malformed())? else { return Ok(None) };
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    let fits = (1..=MAX_NAME_BYTES).contains(&text.len());
    if fits && visible { Ok(Some(text.to_owned())) } else { Err(malformed()) }
}

fn single<'a>(map: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, ()> {
    let mut values = map.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(());
    }
    value.to_str().map(Some).map_err(|_| ())
}
