//! Membership of an instance, and the updates of its router and of its directory of peers.

use super::events::PeerMessage;
use super::instance::{PendingCall, index_of, instance_at, instance_id, server_id, service_id};
use super::world::World;
use fescuemux_core::base::{Generation, InstanceId, ServerId};
use fescuemux_core::eject::HealthState;
use fescuemux_core::member::{MemberState, Message, Output};
use fescuemux_core::member::{ServerHealth, ServerRecord};
use fescuemux_core::route::Endpoint;
use std::time::Duration;

/// Time between two ticks from which the process is assumed to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);
/// Timeout for pulling a configuration generation from a peer.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

impl World {
    pub(super) fn tick_membership(&mut self, i: usize) {
        let instance = self.instance(i);
        let since_last_tick = instance.cx.now.saturating_duration_since(instance.last_tick);
        instance.last_tick = instance.cx.now;
        if since_last_tick >= PAUSE_THRESHOLD {
            for server in instance.servers.values_mut() {
                server.detector.on_pause(&mut instance.cx, since_last_tick);
            }
        }
        let outputs = instance.membership.tick(&mut instance.cx);
        self.apply_outputs(i, outputs);
    }

    pub(super) fn on_membership_message(&mut self, i: usize, from: usize, message: Message) {
        let instance = self.instance(i);
        let outputs = instance.membership.on_message(&mut instance.cx, instance_id(from), message);
        self.apply_outputs(i, outputs);
    }

    pub(super) fn on_undelivered(&mut self, i: usize, to: usize) {
        let instance = self.instance(i);
        let to = instance_id(to);
        let outputs = instance.membership.on_delivery_failure(&mut instance.cx, &to);
        self.apply_outputs(i, outputs);
    }

    /// Publishes the servers of the instance's guard to the fleet.
    pub(super) fn publish_servers(&mut self, i: usize) {
        let instance = self.instance(i);
        let to_record = |(index, server): (&usize, &super::instance::GuardedServer)| ServerRecord {
            server: server_id(*index),
            service: service_id(index % 2),
            slots: super::check::SLOTS_PER_SERVER as u16,
            phase: server.phase,
            health: match server.health.state() {
                HealthState::Serving => ServerHealth::Serving,
                HealthState::Steered => ServerHealth::Steered,
                HealthState::Ejected => ServerHealth::Ejected,
                HealthState::Probation => ServerHealth::Probation,
            },
            incarnation: 1,
        };
        let servers = instance.servers.iter().map(to_record).collect();
        let sends = instance.membership.set_servers(&mut instance.cx, servers);
        self.send_all(i, sends);
        self.update_routes(i, &instance_id(i));
    }

    pub(super) fn publish_generation(&mut self, i: usize, generation: Generation) {
        let instance = self.instance(i);
        let mut digest = [0; 16];
        digest[..8].copy_from_slice(&generation.to_be_bytes());
        let sends = instance.membership.set_generation(&mut instance.cx, generation, digest);
        if !self.has_bug(super::broken::InjectedBug::NoSpread) {
            self.send_all(i, sends);
        }
    }

    pub(super) fn leave_fleet(&mut self, i: usize) {
        let instance = self.instance(i);
        let sends = instance.membership.leave(&mut instance.cx);
        self.send_all(i, sends);
        self.update_routes(i, &instance_id(i));
    }

    pub(super) fn send_all(
        &mut self,
        i: usize,
        sends: Vec<fescuemux_core::member::OutgoingMessage>,
    ) {
        for send in sends {
            let to = instance_at(send.addr);
            self.send(i, to, PeerMessage::Member(Box::new(send.message)));
        }
    }

    fn apply_outputs(&mut self, i: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(send) => {
                    let to = instance_at(send.addr);
                    self.send(i, to, PeerMessage::Member(Box::new(send.message)));
                }
                Output::RecordChanged(instance) => self.update_routes(i, &instance),
                Output::NewerGeneration { from, generation } => {
                    self.pull(i, index_of(&from), generation);
                }
            }
        }
    }

    fn pull(&mut self, i: usize, from: usize, generation: Generation) {
        let instance = &mut self.instances[i];
        let own = instance.current_head.generation();
        let is_redundant = generation <= own || instance.watch.pull_pending;
        if is_redundant || self.has_bug(super::broken::InjectedBug::NoSpread) {
            return;
        }
        self.instances[i].watch.pull_pending = true;
        self.call(i, from, PULL_TIMEOUT, PendingCall::Pull, |call_id| PeerMessage::Pull {
            call_id,
            generation: own,
        });
    }

    /// Updates router and directory from the membership record of an instance.
    fn update_routes(&mut self, i: usize, of: &InstanceId) {
        let instance = self.instance(i);
        let record = instance.membership.record(of).cloned();
        let record = record.filter(|record| record.state != MemberState::Dead);
        let previous = instance.routed_servers.remove(of).unwrap_or_default();
        let Some(record) = record else {
            instance.directory.remove(&index_of(of));
            previous.iter().for_each(|server| instance.router.remove(server));
            return;
        };
        instance.directory.insert(index_of(of), record.incarnation);
        let is_leaving = record.state == MemberState::Leaving;
        let servers = if is_leaving { &[][..] } else { &record.servers };
        let server_ids: Vec<ServerId> =
            servers.iter().map(|server| server.server.clone()).collect();
        for removed in previous.iter().filter(|server| !server_ids.contains(server)) {
            instance.router.remove(removed);
        }
        for server in servers {
            instance.router.upsert(&mut instance.cx, Endpoint::from_record(&record, server));
        }
        instance.routed_servers.insert(of.clone(), server_ids);
    }
}
