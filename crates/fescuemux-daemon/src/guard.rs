//! The guard: the only way of work to the backend servers of this instance.
//!
//! Must not know routes, callers' limits or other instances.

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

pub(crate) use announce::serve_announcements;
pub(crate) use event::GuardEvent;
pub(crate) use policy::ServicePolicy;
pub(crate) use snapshot::ServerSnapshot;

use self::forward::Forwarder;
use self::refused::Refused;
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
/// signed time may lie that far in the future as well as in the past.
const REQUEST_ID_RETENTION: Duration = Duration::from_secs(3 * MAX_REQUEST_AGE.as_secs());
/// Most request ids remembered: 90 s at 400 requests/s, four times the rate of a full node.
const MAX_REQUEST_IDS: usize = 36_000;
/// A server that has not announced itself for this long is taken off.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(3);

/// What the guard needs from the daemon around it.
#[derive(Clone, Debug)]
pub(crate) struct GuardContext {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) keys: KeyRing,
    pub(crate) incarnation: Incarnation,
    pub(crate) limits: HttpLimits,
    /// Most requests that wait at one server.
    pub(crate) max_queue_len: usize,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) events: flume::Sender<GuardEvent>,
    pub(crate) stop: StopSignal,
}

/// The guard of one instance.
#[derive(Debug)]
pub(crate) struct Guard {
    cx: GuardContext,
    forwarder: Forwarder,
    table: SharedState<RequestTable>,
    servers: RwLock<HashMap<ServerId, Arc<GuardedServer>>>,
    policies: RwLock<HashMap<ServiceId, ServicePolicy>>,
}

impl Guard {
    pub(crate) fn new(cx: GuardContext, pool: Arc<Pool>) -> Arc<Guard> {
        let table = RequestTable::new(REQUEST_ID_RETENTION, MAX_REQUEST_IDS);
        Arc::new(Guard {
            forwarder: Forwarder::new(pool, cx.limits),
            table: SharedState::new(Arc::clone(&cx.clock), cx.incarnation, table),
            servers: RwLock::default(),
            policies: RwLock::default(),
            cx,
        })
    }

    /// Answers a request of an ingress.
    pub(crate) async fn handle(self: Arc<Guard>, req: Request<Incoming>) -> Response<OutgoingBody> {
        let target = req.uri().path_and_query().map_or("/", |target| target.as_str());
        let wall = self.cx.clock.wall();
        let verified = verify_request(&self.cx.keys, wall, req.method(), target, req.headers());
        if let Err(e) = verified {
            tracing::warn!(error = %e, "refused a hop request");
            return refused::unauthenticated();
        }
        let mac = mac_of(req.headers());
        let mut answer = match HopRequest::try_from(req.headers()) {
            Ok(hop) => self.run(hop, req).await,
            Err(e) => Refused::malformed(&e).into_response(),
        };
        let status = answer.status().as_u16();
        sign_response(&self.cx.keys, &mac, status, answer.headers_mut());
        answer
    }

    async fn run(&self, hop: HopRequest, req: Request<Incoming>) -> Response<OutgoingBody> {
        let server = match self.check(&hop) {
            Ok(server) => server,
            Err(refused) => return refused.into_response(),
        };
        let started = self.forwarder.run(&server, &hop, req).await;
        let (answer, verdict) = started;
        self.table.with(|_, table| table.finish(hop.id, hop.attempt, verdict));
        self.cx.metrics.count_guard_response(&server.service(), &server.id, verdict);
        answer
    }

    /// Finds the server of a request that is meant for this guard and has not been here before.
    fn check(&self, hop: &HopRequest) -> Result<Arc<GuardedServer>, Refused> {
        if self.cx.stop.phase() >= StopPhase::Closing {
            return Err(Refused::not_run("the guard is stopping"));
        }
        if hop.incarnation != self.cx.incarnation {
            return Err(Refused::not_run("the guard has restarted"));
        }
        let server = self.server(&hop.server);
        let server = server.ok_or_else(|| Refused::not_run("the guard has no such server"))?;
        let seen = self.table.with(|cx, table| table.register(cx, hop.id, hop.attempt));
        match seen {
            Some(Registration::New) => Ok(server),
            Some(Registration::Duplicate(verdict)) => Err(Refused::duplicate(verdict)),
            None => Err(Refused::not_run("the table of request ids is full")),
        }
    }

    /// Takes an announcement of a backend server.
    pub(crate) fn on_announcement(&self, announcement: Announcement) {
        let policy = self.policy(&announcement.service);
        let mut servers = self.servers.write().unwrap_or_else(PoisonError::into_inner);
        match servers.get(&announcement.server) {
            Some(server) if server.on_announcement(&announcement) => {}
            _ => {
                let id = announcement.server.clone();
                tracing::info!(server = %id, service = %announcement.service, "server announced");
                let server = GuardedServer::new(&self.cx, announcement, policy);
                servers.insert(id, server);
                drop(servers);
                self.publish();
            }
        }
    }

    /// Applies the policy of each service in the configuration.
    pub(crate) fn set_policies(&self, policies: HashMap<ServiceId, ServicePolicy>) {
        *self.policies.write().unwrap_or_else(PoisonError::into_inner) = policies;
        for server in self.servers() {
            server.set_policy(self.policy(&server.service()));
        }
    }

    /// Advances all servers by time. Called several times a second.
    pub(crate) fn tick(&self) {
        let servers = self.servers();
        let silent: Vec<ServerId> = servers
            .iter()
            .filter(|server| server.silence() > ANNOUNCEMENT_TIMEOUT)
            // A silent server keeps its slots while old work runs: announced again, it would
            // otherwise start with all slots free.
            .filter(|server| server.in_flight() == 0)
            .map(|server| server.id.clone())
            .collect();
        for server in &servers {
            server.tick();
        }
        if silent.is_empty() {
            return;
        }
        let mut servers = self.servers.write().unwrap_or_else(PoisonError::into_inner);
        for id in silent {
            tracing::warn!(server = %id, "server stopped announcing itself");
            servers.remove(&id);
        }
        drop(servers);
        self.publish();
    }

    /// Tells every server that this process was paused for `length`.
    pub(crate) fn on_pause(&self, length: Duration) {
        tracing::warn!(length_ms = length.as_millis() as u64, "the process was paused");
        for server in self.servers() {
            server.on_pause(length);
        }
    }

    /// Passes an answer of the ledger to a server.
    pub(crate) fn on_permit(&self, server: &ServerId, answer: PermitAnswer) {
        if let Some(server) = self.server(server) {
            server.on_permit(answer);
        }
    }

    /// Tells a server whether a ledger that was just read has an entry of it.
    pub(crate) fn on_ledger_entry(&self, server: &ServerId, held: bool) {
        if let Some(server) = self.server(server) {
            server.on_ledger(held);
        }
    }

    /// Takes the baselines of the own ingress. A steered server gets few requests that carry one.
    pub(crate) fn update_baselines(&self, baseline_of: impl Fn(&ServiceId) -> Option<HopBaseline>) {
        for server in self.servers() {
            if let Some(baseline) = baseline_of(&server.service()) {
                server.on_baseline(baseline);
            }
        }
    }

    /// Compares the servers of a service with a ledger that was just read.
    pub(crate) fn on_ledger(
        &self,
        service: &ServiceId,
        ledger: &Ledger,
        capacity: &ServiceCapacity,
    ) {
        let returning = ledger.servers_to_return(capacity, capacity.floor);
        for server in self.servers() {
            if server.service() == *service {
                server.on_ledger(ledger.entry(&server.id).is_some());
                if returning.contains(&server.id) {
                    server.return_early();
                }
            }
        }
    }

    /// Returns the state of all servers.
    pub(crate) fn snapshots(&self) -> Vec<ServerSnapshot> {
        let mut snapshots: Vec<ServerSnapshot> =
            self.servers().iter().map(|server| server.snapshot()).collect();
        snapshots.sort_by(|a, b| a.server.cmp(&b.server));
        snapshots
    }

    /// Returns the number of requests that hold a slot or wait for one.
    pub(crate) fn in_flight(&self) -> u32 {
        self.servers().iter().map(|server| server.in_flight()).sum()
    }

    fn publish(&self) {
        let _ = self.cx.events.send(GuardEvent::ServersChanged);
    }

    fn server(&self, id: &ServerId) -> Option<Arc<GuardedServer>> {
        self.servers.read().unwrap_or_else(PoisonError::into_inner).get(id).cloned()
    }

    fn servers(&self) -> Vec<Arc<GuardedServer>> {
        self.servers.read().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
    }

    /// Returns the policy of a service. The settings of the instance bound the queue.
    fn policy(&self, service: &ServiceId) -> ServicePolicy {
        let policies = self.policies.read().unwrap_or_else(PoisonError::into_inner);
        let most = self.cx.max_queue_len;
        match policies.get(service) {
            Some(policy) => ServicePolicy { queue_limit: policy.queue_limit.min(most), ..*policy },
            None => ServicePolicy { favor: DetectionPreference::default(), queue_limit: most },
        }
    }
}

fn mac_of(map: &HeaderMap) -> String {
    map.get(headers::MAC).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}
