//! Outgoing messages, and the spread of generations.

use super::membership::Membership;
use super::message::{Body, ConfigVersion, Message, Update};
use super::output::{Output, Send};
use super::record::MemberState;
use crate::base::{Cx, Generation, InstanceId};

/// Estimated bytes of an update without content.
const STANDING_BYTES: usize = 28;

impl Membership {
    /// Puts a generation in force at this member and tells `fanout` members at once. A
    /// generation at or below the present one changes nothing.
    pub fn set_generation(
        &mut self,
        cx: &mut Cx,
        generation: Generation,
        head_digest: [u8; 16],
    ) -> Vec<Send> {
        if generation <= self.stamp.generation {
            return Vec::new();
        }
        self.stamp = ConfigVersion { generation, head_digest };
        self.table.own_mut().generation = generation;
        let own = self.own.clone();
        let targets = self.table.sample(cx, self.config.fanout, &own);
        targets.iter().filter_map(|to| self.send_with(cx, to, Body::Notify, Vec::new())).collect()
    }

    /// Compares a sender's configuration with the own one.
    pub(super) fn on_stamp(
        &mut self,
        from: &InstanceId,
        stamp: ConfigVersion,
        out: &mut Vec<Output>,
    ) {
        if let Some(peer) = self.table.get_mut(from) {
            peer.record.generation = peer.record.generation.max(stamp.generation);
        }
        if stamp.generation > self.stamp.generation {
            let generation = stamp.generation;
            out.push(Output::NewerGeneration { from: from.clone(), generation });
        }
        let same = stamp.generation == self.stamp.generation;
        let known = self.stamp.head_digest != [0; 16] && stamp.head_digest != [0; 16];
        if same && known && stamp.head_digest != self.stamp.head_digest {
            self.counters.head_conflicts += 1;
        }
    }

    /// Pushes the own record to `fanout` members, whole if `full`.
    pub(super) fn push_own(&mut self, cx: &mut Cx, full: bool) -> Vec<Send> {
        let own = self.own.clone();
        let targets = self.table.sample(cx, self.config.fanout, &own);
        let mut sends = Vec::new();
        for to in targets {
            let updates = self.update_about(cx, &own, full).into_iter().collect();
            let body = Body::Push { requested: Vec::new(), truncated: false };
            sends.extend(self.send_with(cx, &to, body, updates));
        }
        sends
    }

    /// Builds a message that carries queued updates.
    pub(super) fn send(&mut self, cx: &mut Cx, to: &InstanceId, body: Body) -> Option<Send> {
        let updates = self.updates_for(cx, to);
        self.send_with(cx, to, body, updates)
    }

    /// Builds a message that carries `updates`.
    pub(super) fn send_with(
        &mut self,
        _cx: &mut Cx,
        to: &InstanceId,
        body: Body,
        updates: Vec<Update>,
    ) -> Option<Send> {
        let addr = self.table.get(to)?.record.addresses.rpc;
        Some(Send { to: to.clone(), addr, message: self.message(body, updates) })
    }

    pub(super) fn message(&self, body: Body, updates: Vec<Update>) -> Message {
        Message { config: self.stamp, digest: self.table.digest_total(), updates, body }
    }

    /// Returns the statement about `instance` as this member holds it.
    pub(super) fn update_about(
        &self,
        cx: &Cx,
        instance: &InstanceId,
        full: bool,
    ) -> Option<Update> {
        let peer = self.table.get(instance)?;
        if !full {
            return Some(Update::Summary(peer.summary(cx.now)));
        }
        let dead_for_secs = peer.dead_for_secs(cx.now);
        Some(Update::Full { record: peer.record.clone(), dead_for_secs })
    }

    /// Chooses the updates for a message to `to`. What this member thinks of the receiver comes
    /// first if it has to be refuted, then the own record if the receiver never had it.
    fn updates_for(&mut self, cx: &mut Cx, to: &InstanceId) -> Vec<Update> {
        let mut updates = Vec::new();
        if let Some(peer) = self.table.get(to) {
            if matches!(peer.record.state, MemberState::Suspect | MemberState::Dead) {
                updates.push(Update::Summary(peer.summary(cx.now)));
            }
            if peer.doubts_own {
                updates.extend(self.update_about(cx, &self.own, false));
            }
            if !peer.introduced {
                updates.extend(self.update_about(cx, &self.own, true));
            }
        }
        if let Some(peer) = self.table.get_mut(to) {
            peer.doubts_own = false;
        }
        // A dead receiver would use up transmissions for nothing.
        if self.table.get(to).is_some_and(|p| p.record.state == MemberState::Dead) {
            return updates;
        }
        let limit = self.config.transmits(self.table.present());
        let table = &self.table;
        let cost = |instance: &InstanceId, full: bool| {
            let peer = table.get(instance)?;
            Some(if full { peer.record.estimated_bytes() } else { STANDING_BYTES })
        };
        let taken = self.queue.take(self.config.max_piggyback_bytes, limit, cost);
        for (instance, full) in taken {
            updates.extend(self.update_about(cx, &instance, full));
        }
        updates
    }
}
