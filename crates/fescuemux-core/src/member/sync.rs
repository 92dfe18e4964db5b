//! Digest repair and joining.

use super::digest::DIGEST_BUCKETS;
use super::membership::Membership;
use super::message::{Body, Update};
use super::output::{Output, Send};
use super::record::RecordSummary;
use crate::base::{Cx, HashMap, InstanceId};
use rand::Rng as _;
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use std::net::SocketAddr;

/// Most seed addresses kept.
const MAX_SEEDS: usize = 64;

impl Membership {
    /// Replaces the seed addresses and asks one of them for its records. Seeds are asked again
    /// each probe period while no other member is known, and now and then afterwards.
    pub fn join(&mut self, cx: &mut Cx, mut seeds: Vec<SocketAddr>) -> Vec<Send> {
        let own = self.local_record().addresses.rpc;
        seeds.retain(|s| *s != own);
        seeds.truncate(MAX_SEEDS);
        self.seeds = seeds;
        self.next_join = cx.now + self.config.probe_period;
        self.ask_seed(cx).into_iter().collect()
    }

    /// Asks one random seed that is no present member for its records.
    pub(super) fn absent_seed(&mut self, cx: &mut Cx) -> Option<Send> {
        let addr = self.random_seed(cx)?;
        let present = self.members().any(|r| r.addresses.rpc == addr);
        if present { None } else { Some(self.ask(cx, addr)) }
    }

    /// Asks one random seed for its records.
    pub(super) fn ask_seed(&mut self, cx: &mut Cx) -> Option<Send> {
        let addr = self.random_seed(cx)?;
        Some(self.ask(cx, addr))
    }

    fn random_seed(&self, cx: &mut Cx) -> Option<SocketAddr> {
        self.seeds.choose(&mut cx.rng).copied()
    }

    fn ask(&self, cx: &Cx, addr: SocketAddr) -> Send {
        let updates = self.update_about(cx, &self.own, true).into_iter().collect();
        let message = self.message(self.sync_request(), updates);
        Send { to: InstanceId::default(), addr, message }
    }

    /// Starts a repair with a member whose digest differs, at most once a sync interval.
    pub(super) fn maybe_sync(
        &mut self,
        cx: &mut Cx,
        with: &InstanceId,
        digest: u64,
        out: &mut Vec<Output>,
    ) {
        if digest == self.table.digest_total() || cx.now < self.next_sync {
            return;
        }
        self.start_sync(cx, with, out);
    }

    /// Starts a repair with a member.
    pub(super) fn start_sync(&mut self, cx: &mut Cx, with: &InstanceId, out: &mut Vec<Output>) {
        // Half an interval of jitter keeps members from repairing in step after an event.
        let jitter = cx.rng.random_range(0.75..1.25);
        self.next_sync = cx.now + self.config.min_sync_interval.mul_f64(jitter);
        self.counters.syncs += 1;
        let body = self.sync_request();
        out.extend(self.send(cx, with, body).map(Output::Send));
    }

    fn sync_request(&self) -> Body {
        Body::SyncRequest { buckets: Box::new(*self.table.buckets()) }
    }

    /// Answers a repair with the standings in buckets that differ, up to a bound. After a region
    /// cut every bucket differs from every other member's, and unbounded answers put 62 KB/s on
    /// the first member that repaired.
    pub(super) fn on_sync_request(
        &mut self,
        cx: &mut Cx,
        from: &InstanceId,
        buckets: &[u64; DIGEST_BUCKETS],
        out: &mut Vec<Output>,
    ) {
        let own = self.table.buckets();
        let mut differing: Vec<usize> =
            (0..DIGEST_BUCKETS).filter(|b| own[*b] != buckets[*b]).collect();
        if !self.take_sync_token(cx) {
            return;
        }
        // Random buckets, so that repairs with several members cover different ones.
        differing.shuffle(&mut cx.rng);
        let each = self.table.len().div_ceil(DIGEST_BUCKETS).max(1);
        let fits = (self.config.max_sync_summaries / each).max(1);
        let more = differing.len() > fits;
        differing.truncate(fits);
        let covered_buckets = differing.iter().fold(0_u64, |bits, b| bits | 1 << b);
        let summaries = self.table.listed_in(covered_buckets).map(|p| p.summary(cx.now)).collect();
        let body = Body::SyncResponse { covered_buckets, summaries, more };
        out.extend(self.send(cx, from, body).map(Output::Send));
    }

    /// Takes what is newer, returns what the other side lacks and asks for missing content.
    pub(super) fn on_sync_response(
        &mut self,
        cx: &mut Cx,
        from: &InstanceId,
        covered_buckets: u64,
        summaries: Vec<RecordSummary>,
        more: bool,
        out: &mut Vec<Output>,
    ) {
        let theirs: HashMap<InstanceId, RecordSummary> =
            summaries.into_iter().map(|s| (s.instance.clone(), s)).collect();
        let (updates, truncated) = self.newer_than(cx, covered_buckets, &theirs);
        let mut requested = Vec::new();
        for summary in theirs.into_values() {
            let instance = summary.instance.clone();
            if self.apply(cx, Update::Summary(summary), true, out) == super::apply::Applied::Missing
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
        out.extend(self.send_with(cx, from, body, updates).map(Output::Send));
    }

    /// Lets the next repair start after one probe period, because the last one left out records.
    /// Going on at once would take a member that joins above the control bytes, and always
    /// asking the member that answered last would take that one above them.
    pub(super) fn continue_sync(&mut self, cx: &Cx) {
        self.next_sync = cx.now + self.config.probe_period;
    }

    fn take_sync_token(&mut self, cx: &Cx) -> bool {
        let (tokens, refilled) = self.sync_tokens;
        let period = self.config.probe_period;
        let due = cx.now.saturating_duration_since(refilled).div_duration_f64(period) as u32;
        let tokens = tokens.saturating_add(due).min(self.config.sync_burst);
        self.sync_tokens = (tokens.saturating_sub(1), refilled + period * due);
        tokens > 0
    }

    /// Sends whole records that a member asked for.
    pub(super) fn on_want(
        &mut self,
        cx: &mut Cx,
        from: &InstanceId,
        requested: &[InstanceId],
        out: &mut Vec<Output>,
    ) {
        let (updates, truncated) = self.bounded(cx, requested.iter().map(|w| (w, true)));
        let body = Body::Push { requested: Vec::new(), truncated };
        out.extend(self.send_with(cx, from, body, updates).map(Output::Send));
    }

    /// Returns updates about the records that are newer here than in `theirs`.
    fn newer_than(
        &self,
        cx: &Cx,
        covered_buckets: u64,
        theirs: &HashMap<InstanceId, RecordSummary>,
    ) -> (Vec<Update>, bool) {
        let newer = self.table.listed_in(covered_buckets).filter_map(|peer| {
            let key = peer.record.precedence();
            let instance = &peer.record.instance;
            match theirs.get(instance) {
                Some(their) if their.precedence >= key => None,
                Some(their) => {
                    Some((instance, their.precedence.content_version() != key.content_version()))
                }
                None => Some((instance, true)),
            }
        });
        self.bounded(cx, newer)
    }

    /// Collects updates up to the size of one repair message and tells whether some were left
    /// out.
    fn bounded<'a>(
        &self,
        cx: &Cx,
        wanted: impl Iterator<Item = (&'a InstanceId, bool)>,
    ) -> (Vec<Update>, bool) {
        let mut left = self.config.max_sync_bytes;
        let mut updates = Vec::new();
        for (instance, full) in wanted {
            let Some(peer) = self.table.get(instance) else { continue };
            let cost = peer.record.estimated_bytes();
            if cost > left && !updates.is_empty() {
                return (updates, true);
            }
            left = left.saturating_sub(cost);
            updates.extend(self.update_about(cx, instance, full));
        }
        (updates, false)
    }
}
