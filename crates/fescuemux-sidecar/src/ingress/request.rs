//! Requests from callers, with their route and deadline.

use super::authentication::Unauthenticated;
use super::{CallerResponse, DEFAULT_RETRY_AFTER};
use crate::FleetConfig;
use crate::guard::is_hop_by_hop;
use crate::node::Node;
use fescuemux_core::base::{InstanceId, ServiceId, stable_hash};
use fescuemux_core::caller_keys::CallerAccount;
use fescuemux_core::fair_queue::FairShare;
use fescuemux_core::placement::{Precedence, RoutePolicy};
use http::{HeaderMap, StatusCode, header};
use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Request from a caller, with its routing policy and the state of its attempts.
#[derive(Debug)]
pub(super) struct CallerRequest {
    pub(super) request_id: String,
    pub(super) method: String,
    pub(super) path: String,
    pub(super) headers: Vec<(String, Vec<u8>)>,
    pub(super) policy: Arc<RoutePolicy>,
    pub(super) service: ServiceId,
    /// Customer that sent the request; `None` if the configuration names no customers, or if the
    /// request is nested or came without a key on a public route.
    pub(super) account: Option<Arc<CallerAccount>>,
    /// Priority of the customer, or else of the route.
    pub(super) priority: u8,
    /// Whether a request that runs at the local backend server, the parent request, waits for this
    /// request.
    pub(super) nested: bool,
    /// Tie breaker derived from the parent request and shared by all requests nested in the parent;
    /// zero if this request is not nested.
    pub(super) tie_breaker: u16,
    /// Whether the parent request is a retry or itself nested in a retry.
    pub(super) nested_in_retry: bool,
    /// Hash of the route id, the same at every instance.
    pub(super) route_hash: u64,
    pub(super) arrival: Instant,
    pub(super) deadline: Instant,
    /// Number of attempts sent to a guard, except those that certainly reached no backend server.
    pub(super) sent_attempts: Cell<u32>,
    /// Number of attempts that count against the limit of the route, including the first.
    pub(super) counted_attempts: Cell<u32>,
    /// Whether any attempt may have run.
    pub(super) may_have_run: Cell<bool>,
    /// Failure probability of the last attempt's backend server when its guard was queried.
    pub(super) failure_probability: Cell<f64>,
    /// Instances to which the request was sent.
    pub(super) tried_instances: RefCell<Vec<InstanceId>>,
    /// Time at which a hedged attempt starts if there is no response yet.
    pub(super) hedge_at: Cell<Option<Instant>>,
    /// Notifies the retry loop that an attempt was sent, so that `hedge_at` has changed, or evicted.
    pub(super) attempt_notify: Notify,
}

impl CallerRequest {
    /// Determines the route, service and deadline of a request.
    ///
    /// # Errors
    /// Returns the response to send if the request cannot be served.
    pub(super) fn new(
        node: &Node,
        parts: &http::request::Parts,
        arrival: Instant,
    ) -> Result<CallerRequest, Box<CallerResponse>> {
        let Some(config) = node.config.borrow().clone() else {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(Box::new(CallerResponse::refused(
                status,
                "no_configuration",
                Some(DEFAULT_RETRY_AFTER),
            )));
        };
        if node.refuse_requests_from.get().is_some_and(|from| arrival >= from) {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(Box::new(CallerResponse::refused(
                status,
                "stopping",
                Some(DEFAULT_RETRY_AFTER),
            )));
        }
        let header_names = node.dialect.headers();
        let header_text =
            |name: &str| parts.headers.get(name).and_then(|value| value.to_str().ok());
        let policy = lookup_route(&config, parts);
        let request_id = header_text(header_names.request_id);
        let mut parent = request_id.and_then(|id| node.running_parent(id));
        let account = match &config.caller_keys {
            Some(keys) => {
                let request = Unauthenticated {
                    headers: &parts.headers,
                    public: policy.as_ref().is_none_or(|policy| policy.public),
                    request_id,
                    nested: parent.is_some(),
                };
                request.authenticate(node, &config, keys)?
            }
            None => None,
        };
        if account.is_some() {
            // A nested request carries no key, so the id is only similar to that of a running one.
            parent = None;
        }
        let Some(policy) = policy else {
            return Err(Box::new(CallerResponse::refused(StatusCode::NOT_FOUND, "no_route", None)));
        };
        let Some(request_id) = request_id.map(str::to_owned) else {
            return Err(Box::new(CallerResponse::refused(
                StatusCode::BAD_REQUEST,
                "no_request_id",
                None,
            )));
        };
        let selected_service = node
            .with_cx(|cx| node.traffic_splitter.borrow_mut().choose_service(cx, &policy).cloned());
        let Some(service) = selected_service else {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(Box::new(CallerResponse::refused(
                status,
                "no_service",
                Some(DEFAULT_RETRY_AFTER),
            )));
        };
        let timeout = header_text(header_names.deadline_ms).and_then(|ms| ms.parse().ok());
        let timeout = timeout.map_or(policy.timeout, Duration::from_millis).min(policy.timeout);
        Ok(CallerRequest {
            nested: parent.is_some(),
            tie_breaker: parent.as_ref().map_or(0, |parent| tie_breaker(&parent.id)),
            nested_in_retry: parent.as_ref().is_some_and(|parent| parent.is_part_of_retry),
            request_id,
            method: parts.method.to_string(),
            path: parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned(),
            headers: end_to_end_headers(node, &config, &parts.headers, account.as_deref()),
            priority: CallerAccount::effective_priority(account.as_deref(), policy.priority),
            account,
            route_hash: stable_hash(&[policy.id.as_bytes()]),
            policy,
            service,
            arrival,
            deadline: arrival + timeout,
            sent_attempts: Cell::new(0),
            counted_attempts: Cell::new(1),
            may_have_run: Cell::new(false),
            failure_probability: Cell::new(0.0),
            tried_instances: RefCell::default(),
            hedge_at: Cell::new(None),
            attempt_notify: Notify::new(),
        })
    }

    /// Returns the name of the customer that sent this request, if there is one.
    pub(super) fn customer(&self) -> Option<&str> {
        self.account.as_ref().map(|account| account.id.as_str())
    }

    /// Returns the share of the request's customer among waiting requests, if there is a customer.
    pub(super) fn share(&self) -> Option<FairShare> {
        self.account.as_deref().map(FairShare::from)
    }

    /// Returns the precedence of this request among queued requests.
    pub(super) fn precedence(&self) -> Precedence {
        Precedence::new(self.nested, self.priority, self.tie_breaker)
    }

    /// Counts another attempt if the limit of the route allows one more, and returns whether the
    /// attempt may start.
    pub(super) fn try_start_attempt(&self) -> bool {
        let allowed = self.has_attempts_left();
        if allowed {
            self.counted_attempts.set(self.counted_attempts.get() + 1);
        }
        allowed
    }

    /// Returns whether the limit of the route allows another attempt.
    pub(super) fn has_attempts_left(&self) -> bool {
        self.counted_attempts.get() < self.policy.max_attempts
    }

    /// Reverts [`CallerRequest::try_start_attempt`] for an attempt that was not sent.
    pub(super) fn release_attempt(&self) {
        self.counted_attempts.set(self.counted_attempts.get() - 1);
    }

    /// Returns the time left until the deadline.
    pub(super) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// Returns the policy of the route of a request.
pub(super) fn lookup_route(
    config: &FleetConfig,
    parts: &http::request::Parts,
) -> Option<Arc<RoutePolicy>> {
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(host, _)| host);
    config.routes.lookup(host, parts.uri.path()).cloned()
}

/// Derives the tie breaker of nested requests from the id of their parent, so that all
/// requests nested in the parent share one tie breaker.
fn tie_breaker(parent_id: &str) -> u16 {
    (stable_hash(&[parent_id.as_bytes()]) >> 48) as u16
}

/// Returns the headers to forward to the backend server. Headers that only a sidecar may set are
/// removed, and the caller service is set to the service of this instance. If the configuration
/// names customers, the key is removed, and the customer is set if there is one.
fn end_to_end_headers(
    node: &Node,
    config: &FleetConfig,
    headers: &HeaderMap,
    account: Option<&CallerAccount>,
) -> Vec<(String, Vec<u8>)> {
    let header_names = node.dialect.headers();
    let connection_options: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let overwritten = [
        header_names.caller_service,
        header_names.deadline_ms,
        header_names.target_server,
        header_names.caller_account,
        header::AUTHORIZATION.as_str(),
    ];
    // The last two concern customers only.
    let overwritten = &overwritten[..if config.caller_keys.is_some() { 5 } else { 3 }];
    let forwarded = headers.iter().filter(|(name, _)| {
        let name = name.as_str();
        !is_hop_by_hop(name)
            && !overwritten.contains(&name)
            && !connection_options.iter().any(|option| option == name)
    });
    let mut forwarded: Vec<_> =
        forwarded.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec())).collect();
    let caller_service = node.settings.borrow().service.to_string();
    forwarded.push((header_names.caller_service.to_owned(), caller_service.into_bytes()));
    if let Some(account) = account {
        forwarded.push((header_names.caller_account.to_owned(), account.id.as_bytes().to_vec()));
    }
    forwarded
}
