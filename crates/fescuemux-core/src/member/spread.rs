//! Construction of outgoing messages, and dissemination of generations.

use super::membership::Membership;
use super::message::{Body, ConfigVersion, Message, Update};
use super::output::{Output, Send};
use super::record::MemberState;
use crate::base::{Cx, Generation, InstanceId};

/// Estimated encoded size of an update without record content, in bytes.
const SUMMARY_BYTES: usize = 28;

impl Membership {
    /// Puts a generation in force at this member and notifies `fanout` members immediately. Has no
    /// effect unless the generation is newer than the current one.
    pub fn set_generation(
        &mut self,
        cx: &mut Cx,
        generation: Generation,
        head_digest: [u8; 16],
    ) -> Vec<Send> {
        if generation <= self.config_version.generation {
            return Vec::new();
        }
        self.config_version = ConfigVersion { generation, head_digest };
        self.table.local_mut().generation = generation;
        let local = self.local.clone();
        let targets = self.table.sample(cx, self.config.fanout, &local);
        targets.iter().filter_map(|to| self.send_with(cx, to, Body::Notify, Vec::new())).collect()
    }

    /// Compares the configuration version of a sender with the local one.
    pub(super) fn on_config_version(
        &mut self,
        from: &InstanceId,
        config_version: ConfigVersion,
        out: &mut Vec<Output>,
    ) {
        if let Some(peer) = self.table.get_mut(from) {
            peer.record.generation = peer.record.generation.max(config_version.generation);
        }
        if config_version.generation > self.config_version.generation {
            let generation = config_version.generation;
            out.push(Output::NewerGeneration { from: from.clone(), generation });
        }
        let same = config_version.generation == self.config_version.generation;
        let known =
            self.config_version.head_digest != [0; 16] && config_version.head_digest != [0; 16];
        if same && known && config_version.head_digest != self.config_version.head_digest {
            self.counters.head_conflicts += 1;
        }
    }

    /// Pushes the local record to `fanout` members, as a full record if `full`.
    pub(super) fn push_local_record(&mut self, cx: &mut Cx, full: bool) -> Vec<Send> {
        let local = self.local.clone();
        let targets = self.table.sample(cx, self.config.fanout, &local);
        let mut sends = Vec::new();
        for to in targets {
            let updates = self.update_about(cx, &local, full).into_iter().collect();
            let body = Body::Push { requested: Vec::new(), truncated: false };
            sends.extend(self.send_with(cx, &to, body, updates));
        }
        sends
    }

    /// Builds a message with queued updates.
    pub(super) fn send(&mut self, cx: &mut Cx, to: &InstanceId, body: Body) -> Option<Send> {
        let updates = self.updates_for(cx, to);
        self.send_with(cx, to, body, updates)
    }

    /// Builds a message with `updates`.
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
        Message { config: self.config_version, digest: self.table.digest_total(), updates, body }
    }

    /// Returns an update with the local view of `instance`.
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

    /// Selects the updates for a message to `to`: first the receiver's own record if it is suspect
    /// or dead, so that it can refute this; then the local record if the receiver needs it; then
    /// queued updates.
    fn updates_for(&mut self, cx: &mut Cx, to: &InstanceId) -> Vec<Update> {
        let mut updates = Vec::new();
        if let Some(peer) = self.table.get(to) {
            if matches!(peer.record.state, MemberState::Suspect | MemberState::Dead) {
                updates.push(Update::Summary(peer.summary(cx.now)));
            }
            if peer.doubts_local {
                updates.extend(self.update_about(cx, &self.local, false));
            }
            if !peer.has_local_record {
                updates.extend(self.update_about(cx, &self.local, true));
            }
        }
        if let Some(peer) = self.table.get_mut(to) {
            peer.doubts_local = false;
        }
        // Updates sent to a dead receiver would waste their limited transmissions.
        if self.table.get(to).is_some_and(|p| p.record.state == MemberState::Dead) {
            return updates;
        }
        let limit = self.config.transmit_limit(self.table.member_count());
        let table = &self.table;
        let cost = |instance: &InstanceId, full: bool| {
            let peer = table.get(instance)?;
            Some(if full { peer.record.estimated_bytes() } else { SUMMARY_BYTES })
        };
        let taken = self.gossip.take(self.config.max_piggyback_bytes, limit, cost);
        for (instance, full) in taken {
            updates.extend(self.update_about(cx, &instance, full));
        }
        updates
    }
}
