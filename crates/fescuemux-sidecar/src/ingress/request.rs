//! A request as the ingress takes it.

use super::{Answer, RETRY_IN};
use crate::guard::is_hop_by_hop;
use crate::node::Node;
use fescuemux_core::base::{InstanceId, ServiceId, stable_hash};
use fescuemux_core::placement::{Precedence, RoutePolicy, is_nested_request_of};
use http::{HeaderMap, StatusCode, header};
use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// A request of a caller with the rules that hold for it.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) request_id: String,
    pub(super) method: String,
    pub(super) path: String,
    pub(super) headers: Vec<(String, Vec<u8>)>,
    pub(super) policy: Arc<RoutePolicy>,
    pub(super) service: ServiceId,
    /// Whether a request that runs at the own server waits for this one.
    pub(super) nested: bool,
    /// Lot of that request, equal for all its calls.
    pub(super) lot: u16,
    /// Whether that request is a repeat.
    pub(super) of_repeat: bool,
    /// Hash of the route, the same at every instance.
    pub(super) route: u64,
    pub(super) arrival: Instant,
    pub(super) deadline: Instant,
    /// Times that the request was sent to a backend server that may have seen it.
    pub(super) sent: Cell<u32>,
    /// Attempts that were begun and may be sent.
    pub(super) claimed: Cell<u32>,
    /// Whether some attempt may have run.
    pub(super) may_have_run: Cell<bool>,
    /// Probability of a fault of the server to which it was sent last.
    pub(super) doubt: Cell<f64>,
    /// Instances to which it was sent.
    pub(super) tried: RefCell<Vec<InstanceId>>,
    /// Time at which an attempt that has no answer yet is doubled.
    pub(super) hedge_at: Cell<Option<Instant>>,
    /// Wakes the task that doubles attempts when an attempt was sent.
    pub(super) sent_wake: Notify,
}

impl Call {
    /// Finds route, service and deadline of a request.
    ///
    /// # Errors
    /// Returns the answer when the request is not to be served.
    pub(super) fn new(
        node: &Node,
        parts: &http::request::Parts,
        arrival: Instant,
    ) -> Result<Call, Box<Answer>> {
        let Some(config) = node.config.borrow().clone() else {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(Box::new(Answer::refused(status, "no_configuration", Some(RETRY_IN))));
        };
        if node.refuse_from.get().is_some_and(|from| arrival >= from) {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(Box::new(Answer::refused(status, "stopping", Some(RETRY_IN))));
        }
        let names = node.dialect.headers();
        let text = |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok());
        let host = text("host").or(parts.uri.host()).unwrap_or_default();
        let host = host.rsplit_once(':').map_or(host, |(host, _)| host);
        let Some(policy) = config.routes.lookup(host, parts.uri.path()).cloned() else {
            return Err(Box::new(Answer::refused(StatusCode::NOT_FOUND, "no_route", None)));
        };
        let Some(request_id) = text(names.request_id).map(str::to_owned) else {
            return Err(Box::new(Answer::refused(StatusCode::BAD_REQUEST, "no_request_id", None)));
        };
        let drawn =
            node.decide(|cx| node.splitter.borrow_mut().choose_service(cx, &policy).cloned());
        let Some(service) = drawn else {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(Box::new(Answer::refused(status, "no_service", Some(RETRY_IN))));
        };
        let parent = {
            let running = node.running_here.borrow();
            running.iter().find(|parent| is_nested_request_of(&request_id, &parent.id)).cloned()
        };
        let waits = text(names.deadline_ms).and_then(|ms| ms.parse().ok());
        let waits = waits.map_or(policy.timeout, Duration::from_millis).min(policy.timeout);
        Ok(Call {
            nested: parent.is_some(),
            lot: parent.as_ref().map_or(0, |parent| lot(&parent.id)),
            of_repeat: parent.as_ref().is_some_and(|parent| parent.repeat),
            request_id,
            method: parts.method.to_string(),
            path: parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned(),
            headers: end_to_end(node, &parts.headers),
            route: stable_hash(&[policy.id.as_bytes()]),
            policy,
            service,
            arrival,
            deadline: arrival + waits,
            sent: Cell::new(0),
            claimed: Cell::new(1),
            may_have_run: Cell::new(false),
            doubt: Cell::new(0.0),
            tried: RefCell::default(),
            hedge_at: Cell::new(None),
            sent_wake: Notify::new(),
        })
    }

    /// Returns what decides about its place among waiting requests.
    pub(super) fn precedence(&self) -> Precedence {
        Precedence::new(self.nested, self.policy.priority, self.lot)
    }

    /// Claims another attempt and returns whether the route allows it.
    pub(super) fn claim(&self) -> bool {
        let allowed = self.claimed.get() < self.policy.attempts;
        if allowed {
            self.claimed.set(self.claimed.get() + 1);
        }
        allowed
    }

    /// Gives a claimed attempt back that was not sent.
    pub(super) fn unclaim(&self) {
        self.claimed.set(self.claimed.get() - 1);
    }

    /// Returns the time left for an answer.
    pub(super) fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// Draws the lot of a request from its id, so that each of its calls has the same one.
fn lot(request_id: &str) -> u16 {
    (stable_hash(&[request_id.as_bytes()]) >> 48) as u16
}

/// Returns the headers for the backend server. Those that only the fleet sets are replaced.
fn end_to_end(node: &Node, headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let names = node.dialect.headers();
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let set_here = [names.caller_service, names.deadline_ms, names.target_server];
    let kept = headers.iter().filter(|(name, _)| {
        let name = name.as_str();
        !is_hop_by_hop(name) && !set_here.contains(&name) && !named.iter().any(|n| n == name)
    });
    let mut kept: Vec<_> =
        kept.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec())).collect();
    let caller = node.settings.borrow().service.to_string();
    kept.push((names.caller_service.to_owned(), caller.into_bytes()));
    kept
}
