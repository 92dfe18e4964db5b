//! The membership protocol: its state and what the driver reads from it.

use super::config::MemberConfig;
use super::gossip::GossipQueue;
use super::health::LocalHealth;
use super::message::ConfigVersion;
use super::probe::{Probe, Relay};
use super::record::{InstanceRecord, MemberState, RecordPrecedence, ServerRecord};
use super::table::Table;
use crate::base::{Cx, DomainId, Incarnation, InstanceId, stable_hash};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Members of a failure domain that watch the store.
const WATCHERS: usize = 2;

/// Counts since the start, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Own probes that ended without an answer.
    pub failed_probes: u64,
    /// Members that this one held for dead, whoever found out.
    pub deaths: u64,
    /// Suspicions about this member that it refuted.
    pub refutations: u64,
    /// Pauses of this process.
    pub pauses: u64,
    /// Digest repairs that this member started.
    pub syncs: u64,
    /// Messages from instances without a record here.
    pub unknown_senders: u64,
    /// Records refused because the table was full.
    pub refused_records: u64,
    /// Messages with the own generation and another head digest. It is never above zero unless
    /// the store lost confirmed content.
    pub head_conflicts: u64,
}

/// The view of one member and the protocol that keeps it current.
///
/// The driver delivers every [`Send`](super::Send), passes every received message to
/// [`Membership::on_message`], and calls [`Membership::tick`] at [`Membership::next_wake`] or
/// at a fixed interval of at most 100 ms. A clone is an independent copy of the state.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) config: MemberConfig,
    pub(super) own: InstanceId,
    pub(super) table: Table,
    pub(super) queue: GossipQueue,
    pub(super) health: LocalHealth,
    pub(super) stamp: ConfigVersion,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) probe: Option<Probe>,
    pub(super) relays: Vec<Relay>,
    pub(super) next_seq: u64,
    pub(super) next_probe: Instant,
    pub(super) next_sync: Instant,
    /// Answers to repairs that are allowed now, and when they were last refilled.
    pub(super) sync_tokens: (u32, Instant),
    pub(super) next_reconnect: Instant,
    pub(super) next_join: Instant,
    pub(super) next_sweep: Instant,
    pub(super) wake: Instant,
    pub(super) superseded_by: Option<Incarnation>,
    pub(super) counters: Counters,
}

impl Membership {
    /// Returns the view of a member that knows only itself. `own` counts as alive.
    pub fn new(config: MemberConfig, mut own: InstanceRecord, now: Instant) -> Membership {
        own.state = MemberState::Alive;
        let instance = own.instance.clone();
        let mut queue = GossipQueue::default();
        queue.push(&instance, true);
        // Members that start at the same moment would otherwise probe in step.
        let share = stable_hash(&[instance.as_bytes()]) as f64 / u64::MAX as f64;
        let next_probe = now + config.probe_period.mul_f64(share);
        let next_reconnect = now + config.reconnect_interval.mul_f64(share);
        let stamp = ConfigVersion { generation: own.generation, head_digest: [0; 16] };
        Membership {
            own: instance,
            table: Table::new(own, now),
            queue,
            health: LocalHealth::new(config.max_health_score),
            stamp,
            seeds: Vec::new(),
            probe: None,
            relays: Vec::new(),
            next_seq: 0,
            next_probe,
            next_sync: now,
            sync_tokens: (config.sync_burst, now),
            next_reconnect,
            next_join: now,
            next_sweep: now,
            wake: now,
            superseded_by: None,
            counters: Counters::default(),
            config,
        }
    }

    /// Returns the own name.
    pub fn local_instance(&self) -> &InstanceId {
        &self.own
    }

    /// Returns the own record.
    pub fn local_record(&self) -> &InstanceRecord {
        self.table.own()
    }

    /// Returns the records of all instances that are not dead, the own one included.
    pub fn members(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.table.peers().map(|p| &p.record).filter(|r| r.state != MemberState::Dead)
    }

    /// Returns the record of `instance`, dead or not.
    pub fn record(&self, instance: &InstanceId) -> Option<&InstanceRecord> {
        self.table.get(instance).map(|p| &p.record)
    }

    /// Returns the number of records held, dead ones included.
    pub fn record_count(&self) -> usize {
        self.table.len()
    }

    /// Returns the time of the last message from `instance`. A message that arrives proves only
    /// the path towards this member; see [`Membership::last_answer`].
    pub fn last_heard(&self, instance: &InstanceId) -> Option<Instant> {
        self.table.get(instance)?.last_heard
    }

    /// Returns the time at which this member sent the last probe that `instance` itself
    /// answered. At that time or later `instance` heard from this member, so the two ends of a
    /// one-way partition cannot disagree about it.
    pub fn last_answer(&self, instance: &InstanceId) -> Option<Instant> {
        self.table.get(instance)?.last_answer
    }

    /// Records an exchange with `instance` that another protocol had: `asked` is the time at
    /// which this member sent the request that `instance` answered.
    pub fn record_answer(&mut self, cx: &mut Cx, instance: &InstanceId, asked: Instant) {
        let Some(peer) = self.table.get_mut(instance) else { return };
        peer.last_heard = Some(cx.now);
        peer.last_answer = peer.last_answer.max(Some(asked));
    }

    /// Returns the members of `domain` that watch the store: the two live ones with the lowest
    /// rendezvous rank. Suspect members keep the task, because a suspicion that is refuted
    /// would otherwise move a watch twice.
    pub fn watchers(&self, domain: &DomainId) -> Vec<InstanceId> {
        let live = self.members().filter(|r| r.domain == *domain && r.is_live());
        let mut ranked: Vec<(u64, &InstanceId)> = live
            .map(|r| (stable_hash(&[domain.as_bytes(), r.instance.as_bytes()]), &r.instance))
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().take(WATCHERS).map(|(_, instance)| instance.clone()).collect()
    }

    /// Returns the configuration in force here.
    pub fn config_version(&self) -> ConfigVersion {
        self.stamp
    }

    /// Returns the digest of the records held. Two members with equal digests hold the same
    /// records.
    pub fn digest(&self) -> u64 {
        self.table.digest_total()
    }

    /// Returns the incarnation of a later process with the own name, if one was heard of. The
    /// process then stops, or starts again with a higher incarnation when its wall clock was
    /// set back.
    pub fn superseded_by(&self) -> Option<Incarnation> {
        self.superseded_by
    }

    /// Returns counts for metrics.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the number of updates still to be sent.
    pub fn pending_updates(&self) -> usize {
        self.queue.len()
    }

    /// Returns the factor by which doubt about the own view lengthens timeouts now.
    pub fn timeout_factor(&self) -> u32 {
        self.health.factor()
    }

    /// Returns the time at which [`Membership::tick`] has work to do.
    pub fn next_wake(&self) -> Instant {
        self.wake
    }

    /// Replaces the servers behind the own guard and tells `fanout` members at once.
    pub fn set_servers(&mut self, cx: &mut Cx, servers: Vec<ServerRecord>) -> Vec<super::Send> {
        if self.local_record().servers == servers {
            return Vec::new();
        }
        let mut record = self.local_record().clone();
        record.servers = servers;
        record.version += 1;
        record.refutation = 0;
        self.put_own(cx, record);
        self.queue.push(&self.own, true);
        self.push_own(cx, true)
    }

    /// Announces the planned stop of this instance and tells `fanout` members at once.
    pub fn leave(&mut self, cx: &mut Cx) -> Vec<super::Send> {
        let mut record = self.local_record().clone();
        if record.state == MemberState::Leaving {
            return Vec::new();
        }
        record.state = MemberState::Leaving;
        record.refutation += 1;
        self.put_own(cx, record);
        self.queue.push(&self.own, false);
        self.push_own(cx, false)
    }

    /// Answers a claim about this instance that is newer than its own record.
    pub(super) fn refute(&mut self, cx: &mut Cx, claim: RecordPrecedence) {
        let mut record = self.local_record().clone();
        if claim.incarnation > record.incarnation {
            self.superseded_by = self.superseded_by.max(Some(claim.incarnation));
            return;
        }
        if claim <= record.precedence() {
            return;
        }
        let full = claim.version > record.version;
        if full {
            record.version = claim.version.saturating_add(1);
        }
        record.refutation = if full { 0 } else { claim.refutation.saturating_add(1) };
        self.put_own(cx, record);
        self.queue.push(&self.own, full);
        self.counters.refutations += 1;
    }

    pub(super) fn put_own(&mut self, cx: &mut Cx, record: InstanceRecord) {
        let now = cx.now;
        self.table.put(cx, record, now);
    }

    /// Returns how long a suspicion lasts at the present size and local health.
    pub(super) fn suspicion(&self) -> Duration {
        self.config.suspicion(self.table.present()) * self.health.factor()
    }
}
