//! Syncs, and joining through seeds. In a sync, two members compare the digests of their records
//! and exchange the records that differ.

use super::digest::DIGEST_BUCKETS;
use super::membership::Membership;
use super::message::{Body, Update};
use super::output::{OutgoingMessage, Output};
use super::record::RecordSummary;
use crate::base::{Cx, HashMap, InstanceId};
use rand::Rng as _;
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use std::net::SocketAddr;

/// Maximum number of seed addresses.
const MAX_SEEDS: usize = 64;

impl Membership {
    /// Replaces the seed addresses and syncs with one random seed. Seeds are retried each probe
    /// period while no other member is known; afterwards, each reconnect interval tries one seed.
    pub fn join(&mut self, cx: &mut Cx, mut seeds: Vec<SocketAddr>) -> Vec<OutgoingMessage> {
        let local_addr = self.local_record().addresses.rpc;
        seeds.retain(|addr| *addr != local_addr);
        seeds.truncate(MAX_SEEDS);
        self.seeds = seeds;
        self.next_join_at = cx.now + self.config.probe_period;
        self.sync_with_seed(cx).into_iter().collect()
    }

    /// Syncs with one random seed, unless a member that is not dead has the address of this seed.
    pub(super) fn sync_with_absent_seed(&mut self, cx: &mut Cx) -> Option<OutgoingMessage> {
        let addr = self.random_seed(cx)?;
        let present = self.members().any(|r| r.addresses.rpc == addr);
        if present { None } else { Some(self.seed_sync_request(cx, addr)) }
    }

    /// Syncs with one random seed.
    pub(super) fn sync_with_seed(&mut self, cx: &mut Cx) -> Option<OutgoingMessage> {
        let addr = self.random_seed(cx)?;
        Some(self.seed_sync_request(cx, addr))
    }

    fn random_seed(&self, cx: &mut Cx) -> Option<SocketAddr> {
        self.seeds.choose(&mut cx.rng).copied()
    }

    fn seed_sync_request(&self, cx: &Cx, addr: SocketAddr) -> OutgoingMessage {
        let updates = self.update_about(cx, &self.local_id, true).into_iter().collect();
        let message = self.message(self.sync_request(), updates);
        OutgoingMessage { to: InstanceId::default(), addr, message }
    }

    /// Starts a sync with `peer` if `digest`, the digest of `peer`, differs and the last sync is
    /// long enough ago.
    pub(super) fn maybe_sync(
        &mut self,
        cx: &mut Cx,
        peer: &InstanceId,
        digest: u64,
        out: &mut Vec<Output>,
    ) {
        if digest == self.table.digest_total() || cx.now < self.next_sync_at {
            return;
        }
        self.start_sync(cx, peer, out);
    }

    /// Starts a sync with `peer`.
    pub(super) fn start_sync(&mut self, cx: &mut Cx, peer: &InstanceId, out: &mut Vec<Output>) {
        // Jitter of half an interval prevents simultaneous syncs after a fleet-wide event.
        let jitter = cx.rng.random_range(0.75..1.25);
        self.next_sync_at = cx.now + self.config.min_sync_interval.mul_f64(jitter);
        self.counters.syncs += 1;
        let body = self.sync_request();
        out.extend(self.build_send(cx, peer, body).map(Output::Send));
    }

    fn sync_request(&self) -> Body {
        Body::SyncRequest { buckets: Box::new(*self.table.buckets()) }
    }

    /// Responds to a sync with the record summaries of buckets that differ, up to a limit. After a
    /// network partition between regions every bucket differs, and unlimited responses caused 62
    /// KB/s of traffic at the first member that started a sync.
    pub(super) fn on_sync_request(
        &mut self,
        cx: &mut Cx,
        from: &InstanceId,
        buckets: &[u64; DIGEST_BUCKETS],
        out: &mut Vec<Output>,
    ) {
        let local_buckets = self.table.buckets();
        let mut differing: Vec<usize> =
            (0..DIGEST_BUCKETS).filter(|b| local_buckets[*b] != buckets[*b]).collect();
        if !self.take_sync_token(cx) {
            return;
        }
        // Random buckets let syncs with several members cover different records.
        differing.shuffle(&mut cx.rng);
        let records_per_bucket = self.table.len().div_ceil(DIGEST_BUCKETS).max(1);
        let max_buckets = (self.config.max_sync_summaries / records_per_bucket).max(1);
        let more = differing.len() > max_buckets;
        differing.truncate(max_buckets);
        let covered_buckets = differing.iter().fold(0_u64, |bits, b| bits | 1 << b);
        let summaries =
            self.table.peers_in_buckets(covered_buckets).map(|p| p.summary(cx.now)).collect();
        let body = Body::SyncResponse { covered_buckets, summaries, more };
        out.extend(self.build_send(cx, from, body).map(Output::Send));
    }

    /// Applies newer summaries, and sends `from` newer local records and a request for missing
    /// records.
    pub(super) fn on_sync_response(
        &mut self,
        cx: &mut Cx,
        from: &InstanceId,
        covered_buckets: u64,
        summaries: Vec<RecordSummary>,
        more: bool,
        out: &mut Vec<Output>,
    ) {
        let peer_summaries: HashMap<InstanceId, RecordSummary> =
            summaries.into_iter().map(|s| (s.instance.clone(), s)).collect();
        let (updates, truncated) = self.updates_newer_than(cx, covered_buckets, &peer_summaries);
        let mut requested = Vec::new();
        for summary in peer_summaries.into_values() {
            let instance = summary.instance.clone();
            if self.apply(cx, Update::Summary(summary), true, out)
                == super::apply::ApplyResult::Missing
            {
                requested.push(instance);
            }
        }
        if updates.is_empty() && requested.is_empty() {
            return;
        }
        if more && !requested.is_empty() {
            self.continue_sync(cx);
        }
        let body = Body::Push { requested, truncated };
        out.extend(self.build_send_with(cx, from, body, updates).map(Output::Send));
    }

    /// Schedules the next sync after one probe period, because the last sync omitted records. An
    /// immediate sync would exceed the limit on control traffic at a joining member; a sync with
    /// the same peer each time would exceed this limit at that peer.
    pub(super) fn continue_sync(&mut self, cx: &Cx) {
        self.next_sync_at = cx.now + self.config.probe_period;
    }

    fn take_sync_token(&mut self, cx: &Cx) -> bool {
        let (tokens, refilled_at) = self.sync_tokens;
        let period = self.config.probe_period;
        let refilled_tokens =
            cx.now.saturating_duration_since(refilled_at).div_duration_f64(period) as u32;
        let tokens = tokens.saturating_add(refilled_tokens).min(self.config.sync_burst);
        self.sync_tokens = (tokens.saturating_sub(1), refilled_at + period * refilled_tokens);
        tokens > 0
    }

    /// Sends the full records that a member requested.
    pub(super) fn on_records_requested(
        &mut self,
        cx: &mut Cx,
        from: &InstanceId,
        requested: &[InstanceId],
        out: &mut Vec<Output>,
    ) {
        let (updates, truncated) =
            self.bounded_updates(cx, requested.iter().map(|instance| (instance, true)));
        let body = Body::Push { requested: Vec::new(), truncated };
        out.extend(self.build_send_with(cx, from, body, updates).map(Output::Send));
    }

    /// Returns updates about records that take precedence over those in `peer_summaries`, and
    /// whether some updates were omitted.
    fn updates_newer_than(
        &self,
        cx: &Cx,
        covered_buckets: u64,
        peer_summaries: &HashMap<InstanceId, RecordSummary>,
    ) -> (Vec<Update>, bool) {
        let newer = self.table.peers_in_buckets(covered_buckets).filter_map(|peer| {
            let precedence = peer.record.precedence();
            let instance = &peer.record.instance;
            match peer_summaries.get(instance) {
                Some(their_summary) if their_summary.precedence >= precedence => None,
                Some(their_summary) => Some((
                    instance,
                    their_summary.precedence.content_version() != precedence.content_version(),
                )),
                None => Some((instance, true)),
            }
        });
        self.bounded_updates(cx, newer)
    }

    /// Collects updates up to the size of one sync message. The second value tells whether some
    /// updates were omitted.
    fn bounded_updates<'a>(
        &self,
        cx: &Cx,
        wanted: impl Iterator<Item = (&'a InstanceId, bool)>,
    ) -> (Vec<Update>, bool) {
        let mut bytes_left = self.config.max_sync_bytes;
        let mut updates = Vec::new();
        for (instance, full) in wanted {
            let Some(peer) = self.table.get(instance) else { continue };
            let cost = peer.record.estimated_bytes();
            if cost > bytes_left && !updates.is_empty() {
                return (updates, true);
            }
            bytes_left = bytes_left.saturating_sub(cost);
            updates.extend(self.update_about(cx, instance, full));
        }
        (updates, false)
    }
}
