//! The guard: admits and forwards all requests to the backend servers of this instance, and tracks
//! their health.
//!
//! Must not depend on routes, caller limits or other instances.

mod announce;
mod event;
mod forward;
mod lease;
mod policy;
mod probe;
mod refused;
mod server;
mod server_state;
mod snapshot;
mod work;
mod work_body;

pub(crate) use announce::handle_announcement;
pub(crate) use event::GuardEvent;
pub(crate) use policy::ServicePolicy;
pub(crate) use snapshot::ServerSnapshot;

use self::forward::Forwarder;
use self::refused::GuardError;
use self::server::GuardedServer;
use crate::decisions::SharedState;
use crate::http::{HttpLimits, OutgoingBody, Pool};
use crate::metrics::Metrics;
use crate::stop::{StopPhase, StopSignal};
use fescuemux_core::base::{Clock, DetectionPreference, HashMap, Incarnation, ServerId, ServiceId};
use fescuemux_core::dedup::{Registration, RequestTable};
use fescuemux_core::eject::{Ledger, PermitAnswer, ServiceCapacity};
use fescuemux_wire::announce::Announcement;
use fescuemux_wire::auth::KeyRing;
use fescuemux_wire::headers;
use fescuemux_wire::hop::{
    HopBaseline, HopRequest, MAX_REQUEST_AGE, sign_response, verify_request,
};
use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

/// Time for which a guard remembers request ids. More than twice [`MAX_REQUEST_AGE`], because a
/// request is accepted while its signed time is at most [`MAX_REQUEST_AGE`] in the past or the
/// future.
const REQUEST_ID_RETENTION: Duration = Duration::from_secs(3 * MAX_REQUEST_AGE.as_secs());
/// Maximum number of request ids remembered: 90 s at 400 requests/s, four times the rate of a
/// fully loaded instance.
const MAX_REQUEST_IDS: usize = 36_000;
/// Time without an announcement after which a server is removed.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Dependencies and limits of the guard.
#[derive(Clone, Debug)]
pub(crate) struct GuardContext {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) keys: KeyRing,
    pub(crate) incarnation: Incarnation,
    pub(crate) limits: HttpLimits,
    /// Maximum number of requests queued for one server.
    pub(crate) max_queue_len: usize,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) events: flume::Sender<GuardEvent>,
    pub(crate) stop: StopSignal,
}

/// The guard of one instance.
#[derive(Debug)]
pub(crate) struct Guard {
    context: GuardContext,
    forwarder: Forwarder,
    request_table: SharedState<RequestTable>,
    servers: RwLock<HashMap<ServerId, Arc<GuardedServer>>>,
    policies: RwLock<HashMap<ServiceId, ServicePolicy>>,
}

impl Guard {
    pub(crate) fn new(context: GuardContext, pool: Arc<Pool>) -> Arc<Guard> {
        let table = RequestTable::new(REQUEST_ID_RETENTION, MAX_REQUEST_IDS);
        Arc::new(Guard {
            forwarder: Forwarder::new(pool, context.limits),
            request_table: SharedState::new(Arc::clone(&context.clock), context.incarnation, table),
            servers: RwLock::default(),
            policies: RwLock::default(),
            context,
        })
    }

    /// Handles a request of an ingress.
    pub(crate) async fn handle(self: Arc<Guard>, req: Request<Incoming>) -> Response<OutgoingBody> {
        let target = req.uri().path_and_query().map_or("/", |target| target.as_str());
        let wall = self.context.clock.wall();
        let verified =
            verify_request(&self.context.keys, wall, req.method(), target, req.headers());
        if let Err(e) = verified {
            tracing::warn!(error = %e, "hop request rejected");
            return refused::unauthenticated_response();
        }
        let mac = request_mac(req.headers());
        let mut response = match HopRequest::try_from(req.headers()) {
            Ok(hop) => self.execute(hop, req).await,
            Err(e) => GuardError::malformed(&e).into_response(),
        };
        let status = response.status().as_u16();
        sign_response(&self.context.keys, &mac, status, response.headers_mut());
        response
    }

    async fn execute(&self, hop: HopRequest, req: Request<Incoming>) -> Response<OutgoingBody> {
        let server = match self.register_request(&hop) {
            Ok(server) => server,
            Err(error) => return error.into_response(),
        };
        let outcome = self.forwarder.forward(&server, &hop, req).await;
        let (response, verdict) = outcome;
        self.request_table.with(|_, table| table.finish(hop.id, hop.attempt, verdict));
        self.context.metrics.count_guard_response(&server.service(), &server.id, verdict);
        response
    }

    /// Checks that a request is for this guard and has not been received before, registers its id,
    /// and returns its server.
    fn register_request(&self, hop: &HopRequest) -> Result<Arc<GuardedServer>, GuardError> {
        if self.context.stop.phase() >= StopPhase::Closing {
            return Err(GuardError::not_run("the guard is stopping"));
        }
        if hop.incarnation != self.context.incarnation {
            return Err(GuardError::not_run("the guard has restarted"));
        }
        let server = self.server(&hop.server);
        let server = server.ok_or_else(|| GuardError::not_run("the guard has no such server"))?;
        let registration =
            self.request_table.with(|cx, table| table.register(cx, hop.id, hop.attempt));
        match registration {
            Some(Registration::New) => Ok(server),
            Some(Registration::Duplicate(verdict)) => Err(GuardError::duplicate(verdict)),
            None => Err(GuardError::not_run("the table of request ids is full")),
        }
    }

    /// Processes an announcement of a backend server.
    pub(crate) fn on_announcement(&self, announcement: Announcement) {
        let policy = self.policy(&announcement.service);
        let mut servers = self.servers.write().unwrap_or_else(PoisonError::into_inner);
        match servers.get(&announcement.server) {
            Some(server) if server.on_announcement(&announcement) => {}
            _ => {
                let id = announcement.server.clone();
                tracing::info!(server = %id, service = %announcement.service, "server announced");
                let server = GuardedServer::new(&self.context, announcement, policy);
                servers.insert(id, server);
                drop(servers);
                self.notify_servers_changed();
            }
        }
    }

    /// Replaces the policies of all services and applies them to their servers.
    pub(crate) fn set_policies(&self, policies: HashMap<ServiceId, ServicePolicy>) {
        *self.policies.write().unwrap_or_else(PoisonError::into_inner) = policies;
        for server in self.servers() {
            server.set_policy(self.policy(&server.service()));
        }
    }

    /// Runs time-based updates of all servers and removes servers that no longer announce
    /// themselves and have no requests in flight. Called several times a second.
    pub(crate) fn tick(&self) {
        let servers = self.servers();
        let servers_to_remove: Vec<ServerId> = servers
            .iter()
            .filter(|server| server.silence() > ANNOUNCEMENT_TIMEOUT)
            // A silent server is kept while its requests run. If it were removed and then announced
            // itself again, all its slots would count as free.
            .filter(|server| server.in_flight() == 0)
            .map(|server| server.id.clone())
            .collect();
        for server in &servers {
            server.tick();
        }
        if servers_to_remove.is_empty() {
            return;
        }
        let mut servers = self.servers.write().unwrap_or_else(PoisonError::into_inner);
        for id in servers_to_remove {
            tracing::warn!(server = %id, "server removed: no announcement received");
            servers.remove(&id);
        }
        drop(servers);
        self.notify_servers_changed();
    }

    /// Tells the detector of every server that this process was paused for `length`.
    pub(crate) fn on_pause(&self, length: Duration) {
        tracing::warn!(length_ms = length.as_millis() as u64, "process was paused");
        for server in self.servers() {
            server.on_pause(length);
        }
    }

    /// Passes the answer to a request for an ejection permit, or to its release, to a server.
    pub(crate) fn on_permit_answer(&self, server: &ServerId, answer: PermitAnswer) {
        if let Some(server) = self.server(server) {
            server.on_permit_answer(answer);
        }
    }

    /// Tells a server whether the ledger that was just read has an entry for it.
    pub(crate) fn on_ledger_entry(&self, server: &ServerId, has_entry: bool) {
        if let Some(server) = self.server(server) {
            server.on_ledger_entry(has_entry);
        }
    }

    /// Updates the servers' baselines from this instance's ingress. Requests carry baselines too,
    /// but a steered server receives few requests.
    pub(crate) fn update_baselines(&self, baseline_of: impl Fn(&ServiceId) -> Option<HopBaseline>) {
        for server in self.servers() {
            if let Some(baseline) = baseline_of(&server.service()) {
                server.on_baseline(baseline);
            }
        }
    }

    /// Updates the servers of a service from a ledger that was just read, and returns ejected
    /// servers to service if healthy capacity is below the floor without them.
    pub(crate) fn on_ledger(
        &self,
        service: &ServiceId,
        ledger: &Ledger,
        capacity: &ServiceCapacity,
    ) {
        let must_return = ledger.servers_to_return(capacity, capacity.floor);
        for server in self.servers() {
            if server.service() == *service {
                server.on_ledger_entry(ledger.entry(&server.id).is_some());
                if must_return.contains(&server.id) {
                    server.return_early();
                }
            }
        }
    }

    /// Returns snapshots of all servers, sorted by server id.
    pub(crate) fn snapshots(&self) -> Vec<ServerSnapshot> {
        let mut snapshots: Vec<ServerSnapshot> =
            self.servers().iter().map(|server| server.snapshot()).collect();
        snapshots.sort_by(|a, b| a.server.cmp(&b.server));
        snapshots
    }

    /// Returns the number of requests that hold a slot or wait for a slot.
    pub(crate) fn in_flight(&self) -> u32 {
        self.servers().iter().map(|server| server.in_flight()).sum()
    }

    fn notify_servers_changed(&self) {
        let _ = self.context.events.send(GuardEvent::ServersChanged);
    }

    fn server(&self, id: &ServerId) -> Option<Arc<GuardedServer>> {
        self.servers.read().unwrap_or_else(PoisonError::into_inner).get(id).cloned()
    }

    fn servers(&self) -> Vec<Arc<GuardedServer>> {
        self.servers.read().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
    }

    /// Returns the policy of a service, or the default policy if the service is not configured. The
    /// queue limit is capped by the settings of the instance.
    fn policy(&self, service: &ServiceId) -> ServicePolicy {
        let policies = self.policies.read().unwrap_or_else(PoisonError::into_inner);
        let max_queue_len = self.context.max_queue_len;
        match policies.get(service) {
            Some(policy) => {
                ServicePolicy { queue_limit: policy.queue_limit.min(max_queue_len), ..*policy }
            }
            None => {
                ServicePolicy { favor: DetectionPreference::default(), queue_limit: max_queue_len }
            }
        }
    }
}

fn request_mac(header_map: &HeaderMap) -> String {
    header_map
        .get(headers::MAC)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
