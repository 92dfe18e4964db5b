//! Driver of the membership: delivers its messages and passes its view on.

use super::clients::PeerClients;
use crate::config_sync::ConfigEvent;
use crate::decisions::SharedState;
use crate::guard::{Guard, ServerSnapshot};
use crate::ingress::{Ingress, PeerEndpoint};
use crate::metrics::Metrics;
use fescuemux_core::base::{Cx, DomainId, Generation, HashMap, InstanceId, ServerId};
use fescuemux_core::member::{InstanceRecord, MemberState, Membership, Output, Send, ServerRecord};
use fescuemux_core::route::Endpoint;
use fescuemux_wire::member::{decode, encode};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Interval of the driver's own calls.
pub(super) const TICK: Duration = Duration::from_millis(50);
/// A tick that comes this much too late shows that the process was paused.
const PAUSE: Duration = Duration::from_millis(500);
/// Longest time for the delivery of one message.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(800);

/// What the driver needs from the daemon around it.
#[derive(Debug)]
pub(crate) struct MembershipContext {
    pub(crate) clients: Arc<PeerClients>,
    pub(crate) ingress: Arc<Ingress>,
    pub(crate) guard: Arc<Guard>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) config: flume::Sender<ConfigEvent>,
}

/// The membership with its surroundings.
#[derive(Debug)]
pub(crate) struct MembershipDriver {
    cx: MembershipContext,
    own: InstanceId,
    membership: SharedState<Membership>,
    /// Servers of each instance that the router knows.
    routed: Mutex<HashMap<InstanceId, Vec<ServerId>>>,
}

impl MembershipDriver {
    pub(crate) fn new(
        cx: MembershipContext,
        membership: SharedState<Membership>,
    ) -> Arc<MembershipDriver> {
        let own = membership.with(|_, membership| membership.local_instance().clone());
        Arc::new(MembershipDriver { cx, own, membership, routed: Mutex::default() })
    }

    /// Takes a message of another daemon.
    pub(crate) fn receive(self: &Arc<MembershipDriver>, from: InstanceId, bytes: &[u8]) {
        self.cx.metrics.control_received.inc_by(bytes.len() as u64);
        match decode(bytes) {
            Ok(message) => self.drive(|cx, m| m.on_message(cx, from, message)),
            Err(e) => tracing::warn!(%from, error = %e, "refused a membership message"),
        }
    }

    /// Calls the membership regularly and notices pauses of this process.
    pub(crate) async fn run(self: Arc<MembershipDriver>) {
        let mut last = Instant::now();
        let mut superseded = false;
        loop {
            tokio::time::sleep(TICK).await;
            let late = last.elapsed().saturating_sub(TICK);
            last = Instant::now();
            if late >= PAUSE {
                self.cx.metrics.pauses.inc();
                self.cx.guard.on_pause(late);
            }
            self.drive(|cx, m| m.tick(cx));
            self.cx.guard.tick();
            let other = self.membership.with(|_, m| m.superseded_by());
            if other.is_some() && !superseded {
                superseded = true;
                tracing::error!(
                    incarnation = other,
                    "another process runs under this name; \
                    give each instance a name of its own, or stop this process"
                );
            }
        }
    }

    /// Publishes the servers of the own guard.
    pub(crate) fn publish_servers(self: &Arc<MembershipDriver>) {
        let servers = self.cx.guard.snapshots().iter().map(record_of).collect();
        self.drive(|cx, m| sends(m.set_servers(cx, servers)));
        self.route(&self.own);
    }

    /// Publishes the generation in force.
    pub(crate) fn set_generation(
        self: &Arc<MembershipDriver>,
        generation: Generation,
        head: [u8; 16],
    ) {
        self.drive(|cx, m| sends(m.set_generation(cx, generation, head)));
    }

    /// Announces the planned stop of this instance.
    pub(crate) fn leave(self: &Arc<MembershipDriver>) {
        self.drive(|cx, m| sends(m.leave(cx)));
        self.route(&self.own);
    }

    /// Joins the members at the addresses.
    pub(crate) fn join(self: &Arc<MembershipDriver>, seeds: Vec<std::net::SocketAddr>) {
        self.drive(|cx, m| sends(m.join(cx, seeds)));
    }

    /// Calls `f` with the membership.
    pub(crate) fn with<R>(&self, f: impl FnOnce(&mut Cx, &mut Membership) -> R) -> R {
        self.membership.with(f)
    }

    /// Returns the records of all live instances.
    pub(crate) fn records(&self) -> Vec<InstanceRecord> {
        self.membership.with(|_, m| m.members().cloned().collect())
    }

    /// Returns the names of all live instances that are not leaving.
    pub(crate) fn live_instances(&self) -> Vec<InstanceId> {
        self.membership.with(|_, m| {
            let staying = m.members().filter(|record| record.state != MemberState::Leaving);
            staying.map(|record| record.instance.clone()).collect()
        })
    }

    /// Returns whether this instance watches the store for its failure domain.
    pub(crate) fn is_watcher(&self, domain: &DomainId) -> bool {
        self.membership.with(|_, m| m.watchers(domain).contains(&self.own))
    }

    fn drive(
        self: &Arc<MembershipDriver>,
        f: impl FnOnce(&mut Cx, &mut Membership) -> Vec<Output>,
    ) {
        let outputs = self.membership.with(f);
        for output in outputs {
            match output {
                Output::Send(send) => self.deliver(send),
                Output::RecordChanged(instance) => self.route(&instance),
                Output::NewerGeneration { from, generation } => {
                    let _ = self.cx.config.send(ConfigEvent::Newer { from, generation });
                }
            }
        }
    }

    fn deliver(self: &Arc<MembershipDriver>, send: Send) {
        let bytes = match encode(send.message) {
            Ok(bytes) => bytes,
            Err(e) => {
                tracing::error!(error = %e, "a membership message cannot be encoded");
                return;
            }
        };
        self.cx.metrics.control_sent.inc_by(bytes.len() as u64);
        let this = Arc::clone(self);
        tokio::spawn(async move {
            if !this.try_deliver(send.addr, bytes).await {
                this.cx.clients.disconnect(send.addr);
                this.drive(|cx, m| m.on_delivery_failure(cx, &send.to));
            }
        });
    }

    async fn try_deliver(&self, addr: std::net::SocketAddr, bytes: Vec<u8>) -> bool {
        let Ok(client) = self.cx.clients.get(addr).await else { return false };
        let cx = PeerClients::context(DELIVERY_TIMEOUT);
        client.deliver(cx, self.own.to_string(), bytes).await.is_ok()
    }

    /// Brings router and directory up to date with an instance's record.
    fn route(&self, instance: &InstanceId) {
        let (record, members) = self.membership.with(|_, m| {
            let record = m.record(instance).filter(|r| r.state != MemberState::Dead).cloned();
            (record, m.members().count())
        });
        self.cx.metrics.members.set(members as i64);
        let mut routed = self.routed.lock().unwrap_or_else(PoisonError::into_inner);
        let before = routed.remove(instance).unwrap_or_default();
        let Some(record) = record else {
            self.cx.ingress.directory().remove(instance);
            self.remove_servers(before.iter());
            return;
        };
        self.cx.ingress.directory().set(instance.clone(), peer_of(&record));
        // A leaving instance still answers, but takes no part in routing.
        let servers = if record.state == MemberState::Leaving { &[][..] } else { &record.servers };
        let names: Vec<ServerId> = servers.iter().map(|server| server.server.clone()).collect();
        self.remove_servers(before.iter().filter(|server| !names.contains(server)));
        for server in servers {
            let endpoint = Endpoint::from_record(&record, server);
            self.cx.ingress.router.with(|cx, router| router.upsert(cx, endpoint));
        }
        routed.insert(instance.clone(), names);
    }

    fn remove_servers<'a>(&self, servers: impl Iterator<Item = &'a ServerId>) {
        for server in servers {
            self.cx.ingress.router.with(|_, router| router.remove(server));
        }
    }
}

fn sends(sends: Vec<Send>) -> Vec<Output> {
    sends.into_iter().map(Output::Send).collect()
}

fn peer_of(record: &InstanceRecord) -> PeerEndpoint {
    PeerEndpoint {
        hop: record.addresses.hop,
        rpc: record.addresses.rpc,
        incarnation: record.incarnation,
    }
}

fn record_of(snapshot: &ServerSnapshot) -> ServerRecord {
    ServerRecord {
        server: snapshot.server.clone(),
        service: snapshot.service.clone(),
        slots: u16::try_from(snapshot.slots).unwrap_or(u16::MAX),
        phase: snapshot.phase,
        health: snapshot.state.into(),
        incarnation: snapshot.incarnation,
    }
}
