//! Table of all records, with the lists and digests derived from them.

use super::digest::{DIGEST_BUCKETS, Digest, bucket_of};
use super::record::{InstanceRecord, MemberState, RecordSummary};
use crate::base::{Cx, HashMap, InstanceId, stable_hash};
use rand::Rng as _;
use rand::seq::SliceRandom as _;
use std::time::{Duration, Instant};

/// Record of an instance with local observations about it.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) record: InstanceRecord,
    /// See [`Membership::last_heard`](super::Membership::last_heard).
    pub(super) last_heard: Option<Instant>,
    /// See [`Membership::last_answer`](super::Membership::last_answer).
    pub(super) last_answer: Option<Instant>,
    /// Whether the current incarnation of the instance has received a version of the local record.
    pub(super) has_local_record: bool,
    /// Whether the instance reported that this member is suspect or dead, and the summary of the
    /// local record has not been sent to the instance since.
    pub(super) needs_local_summary: bool,
    /// Time at which the instance entered its current state, or at which this member last restarted
    /// or extended the suspicion.
    pub(super) state_since: Instant,
    /// Whether the final ping of the current suspicion was sent.
    pub(super) final_ping_sent: bool,
    name_hash: u64,
    /// Whether the record is included in digests and syncs.
    in_digest: bool,
}

impl Peer {
    /// Returns the summary of the record, including the time for which the instance has been dead.
    pub(super) fn summary(&self, now: Instant) -> RecordSummary {
        RecordSummary {
            instance: self.record.instance.clone(),
            precedence: self.record.precedence(),
            dead_for_secs: self.dead_for_secs(now),
        }
    }

    pub(super) fn dead_for_secs(&self, now: Instant) -> u32 {
        match self.record.state {
            MemberState::Dead => now.saturating_duration_since(self.state_since).as_secs() as u32,
            _ => 0,
        }
    }
}

/// All records, including the local one.
#[derive(Clone, Debug)]
pub(super) struct Table {
    local_id: InstanceId,
    peers: HashMap<InstanceId, Peer>,
    digest: Digest,
    /// Instances to probe, in the order of the current round: all instances that are not dead,
    /// except this instance.
    probe_order: Vec<InstanceId>,
    next_probe_index: usize,
    suspects: Vec<InstanceId>,
    dead: Vec<InstanceId>,
}

impl Table {
    pub(super) fn new(local_record: InstanceRecord, now: Instant) -> Table {
        let mut table = Table {
            local_id: local_record.instance.clone(),
            peers: HashMap::default(),
            digest: Digest::new(),
            probe_order: Vec::new(),
            next_probe_index: 0,
            suspects: Vec::new(),
            dead: Vec::new(),
        };
        table.insert(local_record, now);
        table
    }

    pub(super) fn local_record(&self) -> &InstanceRecord {
        &self.peers.get(&self.local_id).expect("the local record is never removed").record
    }

    pub(super) fn local_record_mut(&mut self) -> &mut InstanceRecord {
        &mut self.peers.get_mut(&self.local_id).expect("the local record is never removed").record
    }

    pub(super) fn get(&self, instance: &InstanceId) -> Option<&Peer> {
        self.peers.get(instance)
    }

    pub(super) fn get_mut(&mut self, instance: &InstanceId) -> Option<&mut Peer> {
        self.peers.get_mut(instance)
    }

    pub(super) fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    pub(super) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns the number of instances that are not dead, including this instance.
    pub(super) fn member_count(&self) -> usize {
        self.probe_order.len() + 1
    }

    pub(super) fn suspects(&self) -> &[InstanceId] {
        &self.suspects
    }

    pub(super) fn dead(&self) -> &[InstanceId] {
        &self.dead
    }

    pub(super) fn digest_total(&self) -> u64 {
        self.digest.total()
    }

    pub(super) fn buckets(&self) -> &[u64; DIGEST_BUCKETS] {
        self.digest.buckets()
    }

    /// Returns the peers included in the digest whose buckets are set in the bit mask
    /// `covered_buckets`.
    pub(super) fn peers_in_buckets(&self, covered_buckets: u64) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(move |p| p.in_digest && covered_buckets >> bucket_of(p.name_hash) & 1 == 1)
    }

    /// Inserts `record`, or replaces the current record of the instance. The current record must
    /// not take precedence over `record`. `state_since` is the time at which the instance entered
    /// the state of `record`.
    pub(super) fn put(&mut self, cx: &mut Cx, record: InstanceRecord, state_since: Instant) {
        let instance = record.instance.clone();
        let state = record.state;
        let Some(old_state) = self.subtract_from_digest(&instance) else {
            self.insert(record, state_since);
            self.add_to_lists(cx, &instance, state);
            return;
        };
        let peer = self.peers.get_mut(&instance).expect("the record was found above");
        if peer.record.incarnation != record.incarnation {
            peer.has_local_record = false;
        }
        peer.record.absorb(record);
        peer.state_since = state_since;
        peer.final_ping_sent = false;
        self.reindex(cx, &instance, old_state, state);
    }

    /// Updates the refutation counter and state of the record of `instance`. `state_since` is the
    /// time at which the instance entered `state`.
    pub(super) fn update_state(
        &mut self,
        cx: &mut Cx,
        instance: &InstanceId,
        refutation: u32,
        state: MemberState,
        state_since: Instant,
    ) {
        let Some(old_state) = self.subtract_from_digest(instance) else { return };
        let peer = self.peers.get_mut(instance).expect("the record was found above");
        peer.record.refutation = refutation;
        peer.record.state = state;
        peer.state_since = state_since;
        peer.final_ping_sent = false;
        self.reindex(cx, instance, old_state, state);
    }

    /// Removes the record of a dead instance.
    pub(super) fn forget(&mut self, instance: &InstanceId) {
        if self.subtract_from_digest(instance).is_some() {
            self.peers.remove(instance);
            self.dead.retain(|d| d != instance);
        }
    }

    /// Excludes records that have been dead for at least `min_dead_time` from digests and syncs.
    /// Otherwise, members that drop a record at slightly different times would restore the record
    /// through syncs.
    pub(super) fn exclude_long_dead_from_digest(&mut self, now: Instant, min_dead_time: Duration) {
        for instance in &self.dead {
            let peer =
                self.peers.get_mut(instance).expect("the dead list contains only existing records");
            if peer.in_digest && now.saturating_duration_since(peer.state_since) >= min_dead_time {
                peer.in_digest = false;
                self.digest.remove(peer.name_hash, &peer.record.precedence());
            }
        }
    }

    /// Returns the next instance to probe. Each round covers every instance once, apart from
    /// instances that join or die during the round.
    pub(super) fn next_probe_target(&mut self, cx: &mut Cx) -> Option<InstanceId> {
        if self.probe_order.is_empty() {
            return None;
        }
        if self.next_probe_index >= self.probe_order.len() {
            self.probe_order.shuffle(&mut cx.rng);
            self.next_probe_index = 0;
        }
        let target = self.probe_order[self.next_probe_index].clone();
        self.next_probe_index += 1;
        Some(target)
    }

    /// Returns up to `count` distinct random instances that are not dead, except this instance and
    /// `except`.
    pub(super) fn sample(&self, cx: &mut Cx, count: usize, except: &InstanceId) -> Vec<InstanceId> {
        let mut sampled: Vec<InstanceId> = Vec::with_capacity(count);
        // This number of draws limits the cost, yet suffices to find three distinct instances in a
        // small fleet.
        for _ in 0..count * 8 {
            if sampled.len() == count || self.probe_order.is_empty() {
                break;
            }
            let candidate = &self.probe_order[cx.rng.random_range(0..self.probe_order.len())];
            if candidate != except && !sampled.contains(candidate) {
                sampled.push(candidate.clone());
            }
        }
        sampled
    }

    fn insert(&mut self, record: InstanceRecord, state_since: Instant) {
        let name_hash = stable_hash(&[record.instance.as_bytes()]);
        self.digest.add(name_hash, &record.precedence());
        let instance = record.instance.clone();
        let peer = Peer {
            record,
            last_heard: None,
            last_answer: None,
            has_local_record: false,
            needs_local_summary: false,
            state_since,
            final_ping_sent: false,
            name_hash,
            in_digest: true,
        };
        self.peers.insert(instance, peer);
    }

    /// Subtracts the record of `instance` from the digest, if included, and returns the state of
    /// the record. [`Table::reindex`] or a removal of the record must follow.
    fn subtract_from_digest(&mut self, instance: &InstanceId) -> Option<MemberState> {
        let peer = self.peers.get_mut(instance)?;
        if peer.in_digest {
            self.digest.remove(peer.name_hash, &peer.record.precedence());
        }
        Some(peer.record.state)
    }

    /// Includes a changed record in the digest and updates the lists.
    fn reindex(
        &mut self,
        cx: &mut Cx,
        instance: &InstanceId,
        old_state: MemberState,
        new_state: MemberState,
    ) {
        let peer = self.peers.get_mut(instance).expect("only existing records are reindexed");
        peer.in_digest = true;
        self.digest.add(peer.name_hash, &peer.record.precedence());
        if old_state == new_state {
            return;
        }
        match old_state {
            MemberState::Suspect => self.suspects.retain(|s| s != instance),
            MemberState::Dead => self.dead.retain(|d| d != instance),
            MemberState::Alive | MemberState::Leaving => {}
        }
        let probe_order_unchanged =
            old_state != MemberState::Dead && new_state != MemberState::Dead;
        if new_state == MemberState::Suspect {
            self.suspects.push(instance.clone());
        }
        if probe_order_unchanged {
            return;
        }
        if new_state == MemberState::Dead {
            self.remove_from_probe_order(instance);
            self.dead.push(instance.clone());
            return;
        }
        self.add_to_probe_order(cx, instance);
    }

    /// Adds a new record to the lists for its state.
    fn add_to_lists(&mut self, cx: &mut Cx, instance: &InstanceId, state: MemberState) {
        match state {
            MemberState::Dead => {
                self.dead.push(instance.clone());
                return;
            }
            MemberState::Suspect => self.suspects.push(instance.clone()),
            MemberState::Alive | MemberState::Leaving => {}
        }
        self.add_to_probe_order(cx, instance);
    }

    fn add_to_probe_order(&mut self, cx: &mut Cx, instance: &InstanceId) {
        if *instance == self.local_id {
            return;
        }
        let at = cx.rng.random_range(0..=self.probe_order.len());
        self.probe_order.push(instance.clone());
        let last = self.probe_order.len() - 1;
        self.probe_order.swap(at, last);
    }

    fn remove_from_probe_order(&mut self, instance: &InstanceId) {
        if let Some(at) = self.probe_order.iter().position(|o| o == instance) {
            self.probe_order.swap_remove(at);
        }
    }
}
