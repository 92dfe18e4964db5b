//! Construction of outgoing messages, and dissemination of generations.

use super::membership::Membership;
use super::message::{Body, ConfigVersion, Message, Update};
use super::output::{OutgoingMessage, Output};
use super::record::MemberState;
use crate::base::{Cx, Generation, InstanceId};

/// Estimated encoded size of a record summary in bytes.
const SUMMARY_BYTES: usize = 28;

impl Membership {
    /// Puts a generation in force at this member and notifies `fanout` random members immediately.
    /// Has no effect unless the generation is newer than the current generation.
    pub fn set_generation(
        &mut self,
        cx: &mut Cx,
        generation: Generation,
        head_digest: [u8; 16],
    ) -> Vec<OutgoingMessage> {
        if generation <= self.config_version.generation {
            return Vec::new();
        }
        self.config_version = ConfigVersion { generation, head_digest };
        self.table.local_record_mut().generation = generation;
        let local_id = self.local_id.clone();
        let targets = self.table.sample(cx, self.config.fanout, &local_id);
        targets
            .iter()
            .filter_map(|to| self.build_send_with(cx, to, Body::Notify, Vec::new()))
            .collect()
    }

    /// Records the configuration version of the sender `from`, reports a newer generation to the
    /// driver, and counts a head digest that conflicts with the local one.
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
        let same_generation = config_version.generation == self.config_version.generation;
        let both_digests_known =
            self.config_version.head_digest != [0; 16] && config_version.head_digest != [0; 16];
        if same_generation
            && both_digests_known
            && config_version.head_digest != self.config_version.head_digest
        {
            self.counters.head_conflicts += 1;
        }
    }

    /// Pushes the local record to `fanout` random members, in full if `full` and else as a summary.
    pub(super) fn push_local_record(&mut self, cx: &mut Cx, full: bool) -> Vec<OutgoingMessage> {
        let local_id = self.local_id.clone();
        let targets = self.table.sample(cx, self.config.fanout, &local_id);
        let mut sends = Vec::new();
        for to in targets {
            let updates = self.update_about(cx, &local_id, full).into_iter().collect();
            let body = Body::Push { requested: Vec::new(), truncated: false };
            sends.extend(self.build_send_with(cx, &to, body, updates));
        }
        sends
    }

    /// Builds a message to `to` with the updates that `to` needs and queued updates. Returns `None`
    /// if `to` is not in the table.
    pub(super) fn build_send(
        &mut self,
        cx: &mut Cx,
        to: &InstanceId,
        body: Body,
    ) -> Option<OutgoingMessage> {
        let updates = self.updates_for(cx, to);
        self.build_send_with(cx, to, body, updates)
    }

    /// Builds a message to `to` with `updates`. Returns `None` if `to` is not in the table.
    pub(super) fn build_send_with(
        &mut self,
        _cx: &mut Cx,
        to: &InstanceId,
        body: Body,
        updates: Vec<Update>,
    ) -> Option<OutgoingMessage> {
        let addr = self.table.get(to)?.record.addresses.rpc;
        Some(OutgoingMessage { to: to.clone(), addr, message: self.message(body, updates) })
    }

    pub(super) fn message(&self, body: Body, updates: Vec<Update>) -> Message {
        Message { config: self.config_version, digest: self.table.digest_total(), updates, body }
    }

    /// Returns an update with the local view of `instance`, as a full record if `full` and else as
    /// a summary.
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

    /// Selects the updates for a message to `to`: first the summary of the receiver's record if the
    /// receiver is suspect or dead, so that the receiver can refute this state; then the local
    /// record if the receiver lacks it or reported this member as suspect or dead; then queued
    /// updates.
    fn updates_for(&mut self, cx: &mut Cx, to: &InstanceId) -> Vec<Update> {
        let mut updates = Vec::new();
        if let Some(peer) = self.table.get(to) {
            if matches!(peer.record.state, MemberState::Suspect | MemberState::Dead) {
                updates.push(Update::Summary(peer.summary(cx.now)));
            }
            if peer.needs_local_summary {
                updates.extend(self.update_about(cx, &self.local_id, false));
            }
            if !peer.has_local_record {
                updates.extend(self.update_about(cx, &self.local_id, true));
            }
        }
        if let Some(peer) = self.table.get_mut(to) {
            peer.needs_local_summary = false;
        }
        // Each queued update has a limited number of transmissions, which a dead receiver would
        // waste.
        if self.table.get(to).is_some_and(|p| p.record.state == MemberState::Dead) {
            return updates;
        }
        let max_transmissions = self.config.max_transmissions(self.table.member_count());
        let table = &self.table;
        let cost_of = |instance: &InstanceId, full: bool| {
            let peer = table.get(instance)?;
            Some(if full { peer.record.estimated_bytes() } else { SUMMARY_BYTES })
        };
        let taken = self.gossip.take(self.config.max_piggyback_bytes, max_transmissions, cost_of);
        for (instance, full) in taken {
            updates.extend(self.update_about(cx, &instance, full));
        }
        updates
    }
}
