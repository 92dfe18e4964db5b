//! State of the membership protocol and its accessors for the driver.

use super::config::MemberConfig;
use super::gossip::GossipQueue;
use super::health::LocalHealth;
use super::message::ConfigVersion;
use super::probe::{IndirectProbe, Probe};
use super::record::{InstanceRecord, MemberState, RecordPrecedence, ServerRecord};
use super::table::Table;
use crate::base::{Cx, DomainId, Incarnation, InstanceId, stable_hash};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Number of members per failure domain that watch the store.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Duration of the turns in which the other members of a failure domain read the store, one each.
const FOLLOWER_TURN: Duration = Duration::from_millis(500);

/// Event counts since the start, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Probes by this member that were acked neither directly nor through a helper.
    pub failed_probes: u64,
    /// Records of other instances that became dead or were added as dead, regardless of which
    /// member detected the death.
    pub deaths: u64,
    /// Reports about this member, such as suspicions, that this member refuted.
    pub refutations: u64,
    /// Detected pauses of this process.
    pub pauses: u64,
    /// Syncs with known members that this member started.
    pub syncs: u64,
    /// Messages from instances that are not in the table.
    pub unknown_senders: u64,
    /// Records refused because the table was full.
    pub refused_records: u64,
    /// Messages with the local generation but a different head digest. Zero unless the store lost
    /// confirmed content.
    pub head_conflicts: u64,
}

/// One member's view of the fleet, and the protocol that keeps it up to date.
///
/// The driver delivers every [`OutgoingMessage`](super::OutgoingMessage), passes every received
/// message to [`Membership::on_message`], and calls [`Membership::tick`] at
/// [`Membership::next_wake`] or at a fixed interval of at most 100 ms. A clone is an independent
/// copy of the state.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(super) config: MemberConfig,
    pub(super) local_id: InstanceId,
    pub(super) table: Table,
    pub(super) gossip: GossipQueue,
    pub(super) health: LocalHealth,
    pub(super) config_version: ConfigVersion,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) probe: Option<Probe>,
    pub(super) indirect_probes: Vec<IndirectProbe>,
    pub(super) next_seq: u64,
    pub(super) next_probe_at: Instant,
    pub(super) next_sync_at: Instant,
    /// Token bucket for sync responses: available tokens and time of the last refill.
    pub(super) sync_tokens: (u32, Instant),
    pub(super) next_reconnect_at: Instant,
    pub(super) next_join_at: Instant,
    pub(super) next_dead_removal_at: Instant,
    pub(super) next_wake: Instant,
    pub(super) superseded_by: Option<Incarnation>,
    pub(super) counters: Counters,
}

impl Membership {
    /// Returns the view of a member that knows only itself. Sets the state of `local_record` to
    /// alive.
    pub fn new(config: MemberConfig, mut local_record: InstanceRecord, now: Instant) -> Membership {
        local_record.state = MemberState::Alive;
        let local_id = local_record.instance.clone();
        let mut gossip = GossipQueue::default();
        gossip.push(&local_id, true);
        // Spreads the probes of members that start at the same time.
        let period_fraction = stable_hash(&[local_id.as_bytes()]) as f64 / u64::MAX as f64;
        let next_probe_at = now + config.probe_period.mul_f64(period_fraction);
        let next_reconnect_at = now + config.reconnect_interval.mul_f64(period_fraction);
        let config_version =
            ConfigVersion { generation: local_record.generation, head_digest: [0; 16] };
        Membership {
            local_id,
            table: Table::new(local_record, now),
            gossip,
            health: LocalHealth::new(config.max_health_score),
            config_version,
            seeds: Vec::new(),
            probe: None,
            indirect_probes: Vec::new(),
            next_seq: 0,
            next_probe_at,
            next_sync_at: now,
            sync_tokens: (config.sync_burst, now),
            next_reconnect_at,
            next_join_at: now,
            next_dead_removal_at: now,
            next_wake: now,
            superseded_by: None,
            counters: Counters::default(),
            config,
        }
    }

    /// Returns the name of this instance.
    pub fn local_instance(&self) -> &InstanceId {
        &self.local_id
    }

    /// Returns the record of this instance.
    pub fn local_record(&self) -> &InstanceRecord {
        self.table.local_record()
    }

    /// Returns the records of all instances that are not dead, including this instance.
    pub fn members(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.table.peers().map(|p| &p.record).filter(|r| r.state != MemberState::Dead)
    }

    /// Returns the record of `instance`, even if it is dead.
    pub fn record(&self, instance: &InstanceId) -> Option<&InstanceRecord> {
        self.table.get(instance).map(|p| &p.record)
    }

    /// Returns the number of records, including dead ones.
    pub fn record_count(&self) -> usize {
        self.table.len()
    }

    /// Returns the time of the last message from `instance`. This only proves that messages from
    /// `instance` arrive here; see [`Membership::last_answer`] for the opposite direction.
    pub fn last_heard(&self, instance: &InstanceId) -> Option<Instant> {
        self.table.get(instance)?.last_heard
    }

    /// Returns the time at which this member sent the latest probe, or request recorded with
    /// [`Membership::record_answer`], that `instance` itself answered. The probe or request arrived
    /// at `instance` at that time or later, so both ends of a one-way partition agree on whether
    /// they are connected.
    pub fn last_answer(&self, instance: &InstanceId) -> Option<Instant> {
        self.table.get(instance)?.last_answer
    }

    /// Records that `instance` answered a request of another protocol, which this member sent at
    /// `asked_at`.
    pub fn record_answer(&mut self, cx: &mut Cx, instance: &InstanceId, asked_at: Instant) {
        let Some(peer) = self.table.get_mut(instance) else { return };
        peer.last_heard = Some(cx.now);
        peer.last_answer = peer.last_answer.max(Some(asked_at));
    }

    /// Returns the members of `domain` that watch the store: the two live members with the lowest
    /// rendezvous hash. Suspect members remain watchers, because a refuted suspicion would
    /// otherwise move the watch to another member and back.
    pub fn watchers(&self, domain: &DomainId) -> Vec<InstanceId> {
        self.ranked(domain).into_iter().take(WATCHERS_PER_DOMAIN).cloned().collect()
    }

    /// Returns the turn that a follower, a live member of `domain` that is not a watcher, has at
    /// `since_epoch`, the wall-clock time since 1970; `None` if it is another follower's turn or this
    /// member is no follower. The follower reads the store once in each turn, so that a change is
    /// found although the watchers are dead or frozen or the store fails them, which other members
    /// cannot observe in time. Wall clocks that differ, and different views, only make the turns
    /// overlap and leave gaps.
    pub fn follower_turn(&self, domain: &DomainId, since_epoch: Duration) -> Option<u128> {
        let ranked = self.ranked(domain);
        let followers = ranked.get(WATCHERS_PER_DOMAIN..)?;
        let position = followers.iter().position(|instance| **instance == self.local_id)?;
        let turn = since_epoch.as_millis() / FOLLOWER_TURN.as_millis();
        (turn % followers.len() as u128 == position as u128).then_some(turn)
    }

    /// Returns the live members of `domain` in the order of their rendezvous hashes.
    fn ranked(&self, domain: &DomainId) -> Vec<&InstanceId> {
        let live = self.members().filter(|r| r.domain == *domain && r.is_live());
        let mut ranked: Vec<(u64, &InstanceId)> = live
            .map(|r| (stable_hash(&[domain.as_bytes(), r.instance.as_bytes()]), &r.instance))
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, instance)| instance).collect()
    }

    /// Returns the version of the configuration in force at this member.
    pub fn config_version(&self) -> ConfigVersion {
        self.config_version
    }

    /// Returns the digest of the records. Unless hashes collide, two members with equal digests
    /// hold records of equal precedence for each instance, that is, with the same incarnation,
    /// version, refutation and state. Instances that have been dead for long may differ.
    pub fn digest(&self) -> u64 {
        self.table.digest_total()
    }

    /// Returns the incarnation of a later process with the same name, if such a process is known.
    /// The daemon then stops, or restarts with a higher incarnation if its wall clock was set back.
    pub fn superseded_by(&self) -> Option<Incarnation> {
        self.superseded_by
    }

    /// Returns the event counts for metrics.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the number of queued updates.
    pub fn pending_updates(&self) -> usize {
        self.gossip.len()
    }

    /// Returns the factor by which the local health score currently lengthens timeouts.
    pub fn timeout_factor(&self) -> u32 {
        self.health.factor()
    }

    /// Returns the time at which [`Membership::tick`] must be called next.
    pub fn next_wake(&self) -> Instant {
        self.next_wake
    }

    /// Replaces the backend servers of this instance and notifies `fanout` random members
    /// immediately. Has no effect if the backend servers are unchanged.
    pub fn set_servers(
        &mut self,
        cx: &mut Cx,
        servers: Vec<ServerRecord>,
    ) -> Vec<super::OutgoingMessage> {
        if self.local_record().servers == servers {
            return Vec::new();
        }
        let mut record = self.local_record().clone();
        record.servers = servers;
        record.version += 1;
        record.refutation = 0;
        self.replace_local_record(cx, record);
        self.gossip.push(&self.local_id, true);
        self.push_local_record(cx, true)
    }

    /// Announces the planned stop of this instance and notifies `fanout` random members
    /// immediately. Has no effect if the stop was announced before.
    pub fn leave(&mut self, cx: &mut Cx) -> Vec<super::OutgoingMessage> {
        let mut record = self.local_record().clone();
        if record.state == MemberState::Leaving {
            return Vec::new();
        }
        record.state = MemberState::Leaving;
        record.refutation += 1;
        self.replace_local_record(cx, record);
        self.gossip.push(&self.local_id, false);
        self.push_local_record(cx, false)
    }

    /// Refutes a report about this instance with a precedence above that of the local record. A
    /// report with a higher incarnation is not refuted, but recorded as a later process with the
    /// same name.
    pub(super) fn refute(&mut self, cx: &mut Cx, reported: RecordPrecedence) {
        let mut record = self.local_record().clone();
        if reported.incarnation > record.incarnation {
            self.superseded_by = self.superseded_by.max(Some(reported.incarnation));
            return;
        }
        if reported <= record.precedence() {
            return;
        }
        let raise_version = reported.version > record.version;
        if raise_version {
            record.version = reported.version.saturating_add(1);
        }
        record.refutation = if raise_version { 0 } else { reported.refutation.saturating_add(1) };
        self.replace_local_record(cx, record);
        self.gossip.push(&self.local_id, raise_version);
        self.counters.refutations += 1;
    }

    pub(super) fn replace_local_record(&mut self, cx: &mut Cx, record: InstanceRecord) {
        let now = cx.now;
        self.table.put(cx, record, now);
    }

    /// Returns the suspicion timeout at the current fleet size and local health.
    pub(super) fn suspicion_duration(&self) -> Duration {
        self.config.suspicion_duration(self.table.member_count()) * self.health.factor()
    }
}
