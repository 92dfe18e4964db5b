//! Connects the placement of requests to the locality policy of the process.

use super::request::CallerRequest;
use super::reservation::{Reservation, assumed_running_time};
use crate::load_query::LoadReply;
use crate::node::Node;
use fescuemux_core::base::InstanceId;
use fescuemux_core::locality::{
    LeaveReason, LocalityPolicy, Offered, PlacedRequest, RemoteAttempt, RemoteOutcome,
};
use fescuemux_core::placement::{LoadReport, Peer, PlacementCost, rank, should_query_more};

/// Number of guards queried at once. Without a locality policy, at most two thirds are in the local
/// failure domain if other domains have guards, so there is a choice both among local and among
/// remote guards.
const GUARDS_PER_BATCH: usize = 5;

/// One round of load queries for a request.
pub(super) struct Search<'a> {
    pub(super) node: &'a Node,
    pub(super) placed: PlacedRequest,
    /// State of the server at which the request already waits.
    pub(super) waiting: Option<LoadReport>,
}

impl<'a> Search<'a> {
    pub(super) fn new(
        node: &'a Node,
        request: &CallerRequest,
        body_len: u64,
        refused_at_home: bool,
        queued_reservation: Option<&Reservation>,
    ) -> Search<'a> {
        let now = node.now();
        let objective = request.arrival + request.policy.objective;
        let mean_response_kb =
            node.mean_response_kb.borrow().get(&request.route_hash).copied().unwrap_or(1.0);
        let placed = PlacedRequest {
            home: node.settings.borrow().domain.clone(),
            service: request.service.clone(),
            idempotent: request.policy.class.is_idempotent(),
            nested: request.nested,
            kilobytes: mean_response_kb + body_len as f64 / 1024.0,
            running_time: assumed_running_time(node, request),
            time_to_objective: objective.saturating_duration_since(now),
            time_left: request.time_left(now),
            refused_at_home,
        };
        Search { node, placed, waiting: queued_reservation.map(|queued| queued.waiting(now)) }
    }

    fn has_policy(&self) -> bool {
        self.node.settings.borrow().locality
    }

    /// Returns the guards to query after `batch_count` batches with these replies.
    pub(super) fn sample(
        &self,
        batch_count: usize,
        replies: &[LoadReply],
        excluded: &[InstanceId],
    ) -> Vec<Peer> {
        let PlacedRequest { home, service, .. } = &self.placed;
        let directory = self.node.directory.borrow();
        if !self.has_policy() {
            return self
                .node
                .with_cx(|cx| directory.sample(cx, service, home, GUARDS_PER_BATCH, excluded));
        }
        let policy = self.node.locality.borrow();
        let now = self.node.now();
        let is_first = batch_count == 0 && self.waiting.is_none();
        let stays = |waiting| !policy.should_requery(now, &self.placed, waiting);
        if self.waiting.as_ref().is_some_and(stays) {
            return Vec::new();
        }
        let remote_count = match is_first {
            true => policy.first_remote_query_count(now, &self.placed),
            false => {
                let offers: Vec<_> = self.home_reports(replies).chain(self.waiting).collect();
                policy.remote_query_count(now, &self.placed, &offers)
            }
        };
        self.node.with_cx(|cx| {
            let mut sample = |remote| {
                directory.sample_domains(cx, service, home, GUARDS_PER_BATCH, remote, excluded)
            };
            let peers = sample(remote_count);
            match is_first && peers.is_empty() {
                true => sample(GUARDS_PER_BATCH),
                false => peers,
            }
        })
    }

    /// Returns whether another batch is queried after `batch_count` batches with these replies.
    pub(super) fn should_query_more(&self, batch_count: usize, replies: &[LoadReply]) -> bool {
        if !self.has_policy() {
            return should_query_more(batch_count, replies.iter().map(|reply| reply.load_report));
        }
        let offers: Vec<_> = replies.iter().map(LoadReply::offered).collect();
        let policy = self.node.locality.borrow();
        policy.should_query_more(self.node.now(), &self.placed, batch_count, &offers)
    }

    /// Sorts the replies, best first, and returns why the request leaves its domain if it is sent to
    /// another one.
    pub(super) fn order(&self, replies: &mut Vec<LoadReply>) -> LeaveReason {
        let jitter = match self.has_policy() {
            true => self.node.with_cx(LocalityPolicy::jitter),
            false => 1.0,
        };
        self.order_with(jitter, replies)
    }

    /// Sorts as [`Search::order`] does, with `jitter` as the random factor of the cost of leaving.
    pub(super) fn order_with(&self, jitter: f64, replies: &mut Vec<LoadReply>) -> LeaveReason {
        if !self.has_policy() {
            let cost = PlacementCost::default();
            let PlacedRequest { home, kilobytes, idempotent, .. } = &self.placed;
            rank(replies, &cost, *kilobytes, *idempotent, |reply| {
                (reply.peer.domain == *home, reply.load_report)
            });
            return LeaveReason::Cost;
        }
        let reports: Vec<_> = self.home_reports(replies).chain(self.waiting).collect();
        self.node.locality.borrow().order(
            self.node.now(),
            jitter,
            &self.placed,
            replies,
            self.waiting,
            LoadReply::offered,
        );
        LocalityPolicy::leave_reason(&self.placed, &reports)
    }

    fn home_reports(&self, replies: &[LoadReply]) -> impl Iterator<Item = LoadReport> {
        let is_home = |reply: &&LoadReply| reply.peer.domain == self.placed.home;
        replies.iter().filter(is_home).map(|reply| reply.load_report)
    }
}

impl LoadReply {
    pub(super) fn offered(&self) -> Offered<'_> {
        Offered { domain: &self.peer.domain, report: self.load_report }
    }
}

/// Request in flight at a server, as the locality policy and the metrics count it. It counts as
/// canceled if it is dropped.
pub(super) struct DomainAttempt<'a> {
    node: &'a Node,
    peer: Peer,
    left_home: Option<LeaveReason>,
    attempt: RemoteAttempt,
    outcome: RemoteOutcome,
}

impl<'a> DomainAttempt<'a> {
    pub(super) fn start(
        node: &'a Node,
        reservation: &Reservation,
        request_bytes: u64,
    ) -> DomainAttempt<'a> {
        let peer = reservation.peer.clone();
        let running_time = reservation.expected_running_time;
        let attempt = node.locality.borrow_mut().on_sent(node.now(), &peer.domain, running_time);
        let left_home = reservation.left_home;
        node.metrics.record_sent(&peer.domain, left_home);
        node.metrics.record_bytes(&peer.domain, left_home, request_bytes);
        DomainAttempt { node, peer, left_home, attempt, outcome: RemoteOutcome::Canceled }
    }

    /// Counts a response of `response_bytes` to a request of `request_bytes`.
    pub(super) fn on_response(&self, request_bytes: u64, response_bytes: u64) {
        self.node.metrics.record_bytes(&self.peer.domain, self.left_home, response_bytes);
        let kilobytes = (request_bytes + response_bytes) as f64 / 1024.0;
        self.node.locality.borrow_mut().on_size(kilobytes);
    }

    /// Ends the request.
    pub(super) fn end(mut self, outcome: RemoteOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for DomainAttempt<'_> {
    fn drop(&mut self) {
        let now = self.node.now();
        self.node.locality.borrow_mut().on_ended(now, &self.attempt, self.outcome);
    }
}
