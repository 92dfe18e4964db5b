//! The records held, with the lists and digests that follow from them.

use super::digest::{DIGEST_BUCKETS, Digest, bucket_of};
use super::record::{InstanceRecord, MemberState, RecordSummary};
use crate::base::{Cx, HashMap, InstanceId, stable_hash};
use rand::Rng as _;
use rand::seq::SliceRandom as _;
use std::time::{Duration, Instant};

/// A record and what this member knows about the instance beyond it.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) record: InstanceRecord,
    pub(super) last_heard: Option<Instant>,
    pub(super) last_answer: Option<Instant>,
    /// Whether the instance got this member's own record in its present incarnation.
    pub(super) introduced: bool,
    /// Whether the instance claimed that this member is suspect or dead and has not yet got the
    /// own standing since.
    pub(super) doubts_own: bool,
    /// Time of the last change into the present state.
    pub(super) since: Instant,
    /// Whether the instance was asked for the last time in its present suspicion.
    pub(super) asked_last: bool,
    name: u64,
    /// Whether the record takes part in digests and repair.
    listed: bool,
}

impl Peer {
    /// Returns the standing of the record with its age in the dead state.
    pub(super) fn summary(&self, now: Instant) -> RecordSummary {
        RecordSummary {
            instance: self.record.instance.clone(),
            precedence: self.record.precedence(),
            dead_for_secs: self.dead_for_secs(now),
        }
    }

    pub(super) fn dead_for_secs(&self, now: Instant) -> u32 {
        match self.record.state {
            MemberState::Dead => now.saturating_duration_since(self.since).as_secs() as u32,
            _ => 0,
        }
    }
}

/// All records held, the own one included.
#[derive(Clone, Debug)]
pub(super) struct Table {
    own: InstanceId,
    peers: HashMap<InstanceId, Peer>,
    digest: Digest,
    /// Other instances that are not dead, in probe order.
    order: Vec<InstanceId>,
    cursor: usize,
    suspects: Vec<InstanceId>,
    dead: Vec<InstanceId>,
}

impl Table {
    pub(super) fn new(own: InstanceRecord, now: Instant) -> Table {
        let mut table = Table {
            own: own.instance.clone(),
            peers: HashMap::default(),
            digest: Digest::new(),
            order: Vec::new(),
            cursor: 0,
            suspects: Vec::new(),
            dead: Vec::new(),
        };
        table.insert(own, now);
        table
    }

    pub(super) fn own(&self) -> &InstanceRecord {
        &self.peers.get(&self.own).expect("the own record is never removed").record
    }

    pub(super) fn own_mut(&mut self) -> &mut InstanceRecord {
        &mut self.peers.get_mut(&self.own).expect("the own record is never removed").record
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

    /// Returns the number of instances that are not dead, this one included.
    pub(super) fn present(&self) -> usize {
        self.order.len() + 1
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

    /// Returns the listed peers in the buckets whose bits are set in `covered`.
    pub(super) fn listed_in(&self, covered_buckets: u64) -> impl Iterator<Item = &Peer> {
        self.peers
            .values()
            .filter(move |p| p.listed && covered_buckets >> bucket_of(p.name) & 1 == 1)
    }

    /// Puts `record`, which is later than the one held, in its place. `since` is the time from
    /// which its state holds.
    pub(super) fn put(&mut self, cx: &mut Cx, record: InstanceRecord, since: Instant) {
        let instance = record.instance.clone();
        let state = record.state;
        let Some(old) = self.unlink(&instance) else {
            self.insert(record, since);
            self.link(cx, &instance, state);
            return;
        };
        let peer = self.peers.get_mut(&instance).expect("unlink found it");
        if peer.record.incarnation != record.incarnation {
            peer.introduced = false;
        }
        peer.record.absorb(record);
        peer.since = since;
        peer.asked_last = false;
        self.relink(cx, &instance, old, state);
    }

    /// Changes refutation counter and state of the record held.
    pub(super) fn restate(
        &mut self,
        cx: &mut Cx,
        instance: &InstanceId,
        refutation: u32,
        state: MemberState,
        since: Instant,
    ) {
        let Some(old) = self.unlink(instance) else { return };
        let peer = self.peers.get_mut(instance).expect("unlink found it");
        peer.record.refutation = refutation;
        peer.record.state = state;
        peer.since = since;
        peer.asked_last = false;
        self.relink(cx, instance, old, state);
    }

    /// Removes a record. Only dead ones are removed.
    pub(super) fn forget(&mut self, instance: &InstanceId) {
        if self.unlink(instance).is_some() {
            self.peers.remove(instance);
            self.dead.retain(|d| d != instance);
        }
    }

    /// Takes records that were dead for `age` out of digests and repair, so that members that
    /// forget at slightly different times do not teach each other the record again.
    pub(super) fn unlist_older(&mut self, now: Instant, age: Duration) {
        for instance in &self.dead {
            let peer = self.peers.get_mut(instance).expect("the dead list names held records");
            if peer.listed && now.saturating_duration_since(peer.since) >= age {
                peer.listed = false;
                self.digest.remove(peer.name, &peer.record.precedence());
            }
        }
    }

    /// Returns the next instance in probe order; every instance comes once a round.
    pub(super) fn next_target(&mut self, cx: &mut Cx) -> Option<InstanceId> {
        if self.order.is_empty() {
            return None;
        }
        if self.cursor >= self.order.len() {
            self.order.shuffle(&mut cx.rng);
            self.cursor = 0;
        }
        let target = self.order[self.cursor].clone();
        self.cursor += 1;
        Some(target)
    }

    /// Returns up to `count` different present instances other than `except`.
    pub(super) fn sample(&self, cx: &mut Cx, count: usize, except: &InstanceId) -> Vec<InstanceId> {
        let mut found: Vec<InstanceId> = Vec::with_capacity(count);
        // Few enough draws to stay cheap, enough to find three in a small fleet.
        for _ in 0..count * 8 {
            if found.len() == count || self.order.is_empty() {
                break;
            }
            let pick = &self.order[cx.rng.random_range(0..self.order.len())];
            if pick != except && !found.contains(pick) {
                found.push(pick.clone());
            }
        }
        found
    }

    fn insert(&mut self, record: InstanceRecord, since: Instant) {
        let name = stable_hash(&[record.instance.as_bytes()]);
        self.digest.add(name, &record.precedence());
        let instance = record.instance.clone();
        let peer = Peer {
            record,
            last_heard: None,
            last_answer: None,
            introduced: false,
            doubts_own: false,
            since,
            asked_last: false,
            name,
            listed: true,
        };
        self.peers.insert(instance, peer);
    }

    /// Takes the record out of the digest and returns its state.
    fn unlink(&mut self, instance: &InstanceId) -> Option<MemberState> {
        let peer = self.peers.get_mut(instance)?;
        if peer.listed {
            self.digest.remove(peer.name, &peer.record.precedence());
        }
        Some(peer.record.state)
    }

    /// Puts a changed record back into digest and lists.
    fn relink(&mut self, cx: &mut Cx, instance: &InstanceId, old: MemberState, new: MemberState) {
        let peer = self.peers.get_mut(instance).expect("only held records are linked");
        peer.listed = true;
        self.digest.add(peer.name, &peer.record.precedence());
        if old == new {
            return;
        }
        match old {
            MemberState::Suspect => self.suspects.retain(|s| s != instance),
            MemberState::Dead => self.dead.retain(|d| d != instance),
            MemberState::Alive | MemberState::Leaving => {}
        }
        let stays = old != MemberState::Dead && new != MemberState::Dead;
        if new == MemberState::Suspect {
            self.suspects.push(instance.clone());
        }
        if stays {
            return;
        }
        if new == MemberState::Dead {
            self.remove_from_order(instance);
            self.dead.push(instance.clone());
            return;
        }
        self.add_to_order(cx, instance);
    }

    fn link(&mut self, cx: &mut Cx, instance: &InstanceId, state: MemberState) {
        match state {
            MemberState::Dead => {
                self.dead.push(instance.clone());
                return;
            }
            MemberState::Suspect => self.suspects.push(instance.clone()),
            MemberState::Alive | MemberState::Leaving => {}
        }
        self.add_to_order(cx, instance);
    }

    fn add_to_order(&mut self, cx: &mut Cx, instance: &InstanceId) {
        if *instance == self.own {
            return;
        }
        let at = cx.rng.random_range(0..=self.order.len());
        self.order.push(instance.clone());
        let last = self.order.len() - 1;
        self.order.swap(at, last);
    }

    fn remove_from_order(&mut self, instance: &InstanceId) {
        if let Some(at) = self.order.iter().position(|o| o == instance) {
            self.order.swap_remove(at);
        }
    }
}
