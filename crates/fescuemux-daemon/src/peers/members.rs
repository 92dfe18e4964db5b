//! Driver of the membership state machine: delivers its messages and applies its view to routing.

use super::clients::PeerClients;
use crate::config_sync::ConfigEvent;
use crate::decisions::SharedState;
use crate::guard::{Guard, ServerSnapshot};
use crate::ingress::{Ingress, PeerEndpoint};
use crate::metrics::Metrics;
use fescuemux_core::base::{Cx, DomainId, Generation, HashMap, InstanceId, ServerId};
use fescuemux_core::member::{
    InstanceRecord, MemberState, Membership, OutgoingMessage, Output, ServerRecord,
};
use fescuemux_core::route::Endpoint;
use fescuemux_wire::member::{decode, encode};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Interval between ticks of the state machine.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum delay of a tick for the process to count as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);
/// Timeout for the delivery of one message.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(800);

/// Dependencies of the membership driver.
#[derive(Debug)]
pub(crate) struct MembershipContext {
    pub(crate) clients: Arc<PeerClients>,
    pub(crate) ingress: Arc<Ingress>,
    pub(crate) guard: Arc<Guard>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) config_events: flume::Sender<ConfigEvent>,
}

/// Drives the membership state machine.
#[derive(Debug)]
pub(crate) struct MembershipDriver {
    context: MembershipContext,
    local_instance: InstanceId,
    membership: SharedState<Membership>,
    /// Servers of each instance that were added to the router.
    routed_servers: Mutex<HashMap<InstanceId, Vec<ServerId>>>,
}

impl MembershipDriver {
    pub(crate) fn new(
        context: MembershipContext,
        membership: SharedState<Membership>,
    ) -> Arc<MembershipDriver> {
        let local_instance = membership.with(|_, membership| membership.local_instance().clone());
        Arc::new(MembershipDriver {
            context,
            local_instance,
            membership,
            routed_servers: Mutex::default(),
        })
    }

    /// Processes a membership message of another daemon.
    pub(crate) fn receive(self: &Arc<MembershipDriver>, from: InstanceId, bytes: &[u8]) {
        self.context.metrics.control_received.inc_by(bytes.len() as u64);
        match decode(bytes) {
            Ok(message) => self.apply(|cx, m| m.on_message(cx, from, message)),
            Err(e) => tracing::warn!(%from, error = %e, "membership message rejected"),
        }
    }

    /// Ticks the membership and the guard, and detects pauses of this process.
    pub(crate) async fn run(self: Arc<MembershipDriver>) {
        let mut last_tick = Instant::now();
        let mut conflict_reported = false;
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            let delay = last_tick.elapsed().saturating_sub(TICK_INTERVAL);
            last_tick = Instant::now();
            if delay >= PAUSE_THRESHOLD {
                self.context.metrics.pauses.inc();
                self.context.guard.on_pause(delay);
            }
            self.apply(|cx, m| m.tick(cx));
            self.context.guard.tick();
            let superseding_incarnation = self.membership.with(|_, m| m.superseded_by());
            if superseding_incarnation.is_some() && !conflict_reported {
                conflict_reported = true;
                tracing::error!(
                    incarnation = superseding_incarnation,
                    "another process uses this instance name; rename or stop this instance"
                );
            }
        }
    }

    /// Publishes the servers of this instance's guard in the membership record of the instance.
    pub(crate) fn publish_servers(self: &Arc<MembershipDriver>) {
        let servers = self.context.guard.snapshots().iter().map(server_record).collect();
        self.apply(|cx, m| into_outputs(m.set_servers(cx, servers)));
        self.update_routing(&self.local_instance);
    }

    /// Publishes the active generation in the membership record of the instance.
    pub(crate) fn publish_generation(
        self: &Arc<MembershipDriver>,
        generation: Generation,
        head_digest: [u8; 16],
    ) {
        self.apply(|cx, m| into_outputs(m.set_generation(cx, generation, head_digest)));
    }

    /// Announces the planned stop of this instance.
    pub(crate) fn leave(self: &Arc<MembershipDriver>) {
        self.apply(|cx, m| into_outputs(m.leave(cx)));
        self.update_routing(&self.local_instance);
    }

    /// Joins the members at the `seeds` addresses.
    pub(crate) fn join(self: &Arc<MembershipDriver>, seeds: Vec<std::net::SocketAddr>) {
        self.apply(|cx, m| into_outputs(m.join(cx, seeds)));
    }

    /// Calls `f` with the membership state machine.
    pub(crate) fn with<R>(&self, f: impl FnOnce(&mut Cx, &mut Membership) -> R) -> R {
        self.membership.with(f)
    }

    /// Returns the records of all instances that are not dead, including this one.
    pub(crate) fn records(&self) -> Vec<InstanceRecord> {
        self.membership.with(|_, m| m.members().cloned().collect())
    }

    /// Returns the ids of all instances that are neither dead nor leaving, including this one.
    pub(crate) fn live_instances(&self) -> Vec<InstanceId> {
        self.membership.with(|_, m| {
            let not_leaving = m.members().filter(|record| record.state != MemberState::Leaving);
            not_leaving.map(|record| record.instance.clone()).collect()
        })
    }

    /// Returns whether this instance is a watcher of the store for its failure domain.
    pub(crate) fn is_watcher(&self, domain: &DomainId) -> bool {
        self.membership.with(|_, m| m.watchers(domain).contains(&self.local_instance))
    }

    /// Returns the turn of this instance to read the store as a follower at `since_epoch`; see
    /// [`Membership::follower_turn`].
    pub(crate) fn follower_turn(&self, domain: &DomainId, since_epoch: Duration) -> Option<u128> {
        self.membership.with(|_, m| m.follower_turn(domain, since_epoch))
    }

    /// Calls `f` with the membership state machine and performs the outputs that `f` returns.
    fn apply(
        self: &Arc<MembershipDriver>,
        f: impl FnOnce(&mut Cx, &mut Membership) -> Vec<Output>,
    ) {
        let outputs = self.membership.with(f);
        for output in outputs {
            match output {
                Output::Send(send) => self.deliver(send),
                Output::RecordChanged(instance) => self.update_routing(&instance),
                Output::NewerGeneration { from, generation } => {
                    let _ =
                        self.context.config_events.send(ConfigEvent::Newer { from, generation });
                }
            }
        }
    }

    fn deliver(self: &Arc<MembershipDriver>, send: OutgoingMessage) {
        let bytes = match encode(send.message) {
            Ok(bytes) => bytes,
            Err(e) => {
                tracing::error!(error = %e, "failed to encode a membership message");
                return;
            }
        };
        self.context.metrics.control_sent.inc_by(bytes.len() as u64);
        let this = Arc::clone(self);
        tokio::spawn(async move {
            if !this.try_deliver(send.addr, bytes).await {
                this.context.clients.disconnect(send.addr);
                this.apply(|cx, m| m.on_delivery_failure(cx, &send.to));
            }
        });
    }

    async fn try_deliver(&self, addr: std::net::SocketAddr, bytes: Vec<u8>) -> bool {
        let Ok(client) = self.context.clients.get(addr).await else { return false };
        let rpc_context = PeerClients::context(DELIVERY_TIMEOUT);
        client.deliver(rpc_context, self.local_instance.to_string(), bytes).await.is_ok()
    }

    /// Updates the router and the peer directory from an instance's record.
    fn update_routing(&self, instance: &InstanceId) {
        let (record, members) = self.membership.with(|_, m| {
            let record = m.record(instance).filter(|r| r.state != MemberState::Dead).cloned();
            (record, m.members().count())
        });
        self.context.metrics.members.set(members as i64);
        let mut routed_servers = self.routed_servers.lock().unwrap_or_else(PoisonError::into_inner);
        let previous_servers = routed_servers.remove(instance).unwrap_or_default();
        let Some(record) = record else {
            self.context.ingress.directory().remove(instance);
            self.remove_servers(previous_servers.iter());
            return;
        };
        self.context.ingress.directory().set(instance.clone(), peer_endpoint(&record));
        // A leaving instance still responds to calls, but the router sends it no requests.
        let servers = if record.state == MemberState::Leaving { &[][..] } else { &record.servers };
        let server_ids: Vec<ServerId> =
            servers.iter().map(|server| server.server.clone()).collect();
        self.remove_servers(previous_servers.iter().filter(|server| !server_ids.contains(server)));
        for server in servers {
            let endpoint = Endpoint::from_record(&record, server);
            self.context.ingress.router.with(|cx, router| router.upsert(cx, endpoint));
        }
        routed_servers.insert(instance.clone(), server_ids);
    }

    fn remove_servers<'a>(&self, servers: impl Iterator<Item = &'a ServerId>) {
        for server in servers {
            self.context.ingress.router.with(|_, router| router.remove(server));
        }
    }
}

fn into_outputs(sends: Vec<OutgoingMessage>) -> Vec<Output> {
    sends.into_iter().map(Output::Send).collect()
}

fn peer_endpoint(record: &InstanceRecord) -> PeerEndpoint {
    PeerEndpoint {
        hop: record.addresses.hop,
        rpc: record.addresses.rpc,
        incarnation: record.incarnation,
    }
}

fn server_record(snapshot: &ServerSnapshot) -> ServerRecord {
    ServerRecord {
        server: snapshot.server.clone(),
        service: snapshot.service.clone(),
        slots: u16::try_from(snapshot.slots).unwrap_or(u16::MAX),
        phase: snapshot.phase,
        health: snapshot.health_state.into(),
        incarnation: snapshot.incarnation,
    }
}
