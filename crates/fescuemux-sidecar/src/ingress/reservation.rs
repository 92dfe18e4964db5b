//! Reservation of a slot for a request at one of the guards.

use super::DEFAULT_RETRY_AFTER;
use super::locality::Search;
use super::request::CallerRequest;
use crate::hop::{HopConnection, HopError, Message, Reserve};
use crate::load_query::{self, LoadQuery, LoadReply};
use crate::node::Node;
use fescuemux_core::base::InstanceId;
use fescuemux_core::locality::LeaveReason;
use fescuemux_core::placement::{LoadReport, Peer, Refusal, SlotRefusalReason, UnplacedRequest};
use std::time::{Duration, Instant};

/// Number of query rounds without a slot or queue place after which a request is refused, unless
/// [`should_keep_looking`] allows more rounds.
const MAX_ROUNDS: usize = 4;

/// Pause after a query round without a reservation.
const ROUND_PAUSE: Duration = Duration::from_millis(30);

/// Interval at which other guards are queried for a free slot while a request is queued at one
/// guard.
const REQUERY_INTERVAL: Duration = Duration::from_millis(120);

/// Time after the start of the process in which backend servers may not have reported to their
/// sidecars yet: two heartbeat intervals of 1.5 s.
const STARTUP_PERIOD: Duration = Duration::from_secs(3);

/// Timeout of a reservation, including connecting. It is short because the guard has just replied
/// to a load query.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(120);

/// Slot, or place in the queue for a slot, that a guard holds for the request.
#[derive(Debug)]
pub(super) struct Reservation {
    pub(super) hop: HopConnection,
    pub(super) peer: Peer,
    /// Expected running time at the backend server.
    pub(super) expected_running_time: Duration,
    /// Load report of the guard.
    pub(super) load_report: LoadReport,
    /// Why the guard is in another failure domain, if it is.
    pub(super) left_home: Option<LeaveReason>,
    /// Time of the reservation.
    reserved_at: Instant,
}

impl Reservation {
    /// Returns the load report with the remaining wait of the queued request. A wait that is longer
    /// than expected is expected to last as long again as it exceeds the estimate.
    pub(super) fn waiting(&self, now: Instant) -> LoadReport {
        let elapsed = now.saturating_duration_since(self.reserved_at);
        let expected_wait = self.load_report.expected_wait.abs_diff(elapsed);
        LoadReport { expected_wait, ..self.load_report }
    }
}

/// Reply to a reservation.
enum ReserveReply {
    Granted(Reservation),
    Queued(Reservation),
    Refused(Refusal),
    /// No valid reply: the network path or the instance has failed.
    NoReply,
}

/// Reserves a slot at a guard. Nothing is sent to a backend server before a slot is granted, so a
/// request that is refused, or whose caller disconnects before the grant, has certainly not run.
///
/// # Errors
/// Returns why no slot was granted, and when a slot is expected.
pub(super) async fn reserve_slot(
    node: &Node,
    request: &CallerRequest,
    body_len: u64,
    may_wait: bool,
) -> Result<Reservation, Refusal> {
    let mut queued_reservation: Option<Reservation> = None;
    let mut skipped: Vec<InstanceId> = Vec::new();
    let mut refusal =
        Refusal { reason: SlotRefusalReason::NoServer, retry_in: DEFAULT_RETRY_AFTER };
    let mut rounds = 0;
    // Guards that refused in the current round, with their reasons.
    let mut refused_by: Vec<(InstanceId, &'static str)> = Vec::new();
    loop {
        if might_outlast_process(node, request) {
            let reason = SlotRefusalReason::Stopping;
            return Err(Refusal { reason, retry_in: DEFAULT_RETRY_AFTER });
        }
        let queued = queued_reservation.as_ref();
        let search = Search::new(node, request, body_len, rounds > 0 && queued.is_none(), queued);
        let (load_replies, leave_reason) =
            query_load_replies(&search, request, &skipped, queued).await;
        for load_reply in load_replies {
            if queued_reservation.is_some() && !load_reply.load_report.is_better_than_queueing() {
                continue;
            }
            let leave_reason = match refused_by.is_empty() {
                true => leave_reason,
                false => LeaveReason::Refused,
            };
            let left_home = (load_reply.peer.domain != search.placed.home).then_some(leave_reason);
            let may_wait = may_wait && queued_reservation.is_none();
            match try_reserve(node, request, &load_reply, left_home, may_wait).await {
                ReserveReply::Granted(reservation) => return Ok(reservation),
                ReserveReply::Queued(reservation) => {
                    queued_reservation = Some(reservation);
                    break;
                }
                ReserveReply::Refused(other) => {
                    refusal = more_informative(refusal, other);
                    refused_by.push((load_reply.peer.id.clone(), other.reason.as_str()));
                    skipped.push(load_reply.peer.id);
                }
                ReserveReply::NoReply => skipped.push(load_reply.peer.id),
            }
        }
        let Some(reservation) = &mut queued_reservation else {
            rounds += 1;
            if rounds >= MAX_ROUNDS && !should_keep_looking(node, request, &refusal, may_wait) {
                log_unplaced(request, &refusal, rounds, &refused_by);
                return Err(refusal);
            }
            refused_by.clear();
            skipped.clear();
            tokio::time::sleep(ROUND_PAUSE).await;
            continue;
        };
        tokio::select! {
            message = reservation.hop.next_message() => {
                let reservation = queued_reservation.take().expect("a queued reservation");
                match message {
                    Ok(Message::Granted) => return Ok(reservation),
                    Ok(Message::Refused(other)) => {
                        refusal = more_informative(refusal, other.into());
                        node.hop_pool.put(reservation.peer.addr, node.now(), reservation.hop);
                    }
                    Ok(_) | Err(_) => node.metrics.record_attempt("wait_broken"),
                }
                skipped.push(reservation.peer.id);
            }
            () = tokio::time::sleep(REQUERY_INTERVAL) => skipped.clear(),
        }
    }
}

/// Logs which guards refused a request in the last round, and why.
fn log_unplaced(
    request: &CallerRequest,
    refusal: &Refusal,
    rounds: usize,
    refused_by: &[(InstanceId, &'static str)],
) {
    let guards: Vec<_> = refused_by.iter().map(|(id, reason)| format!("{id}:{reason}")).collect();
    tracing::info!(
        event = "unplaced",
        request = request.request_id,
        reason = refusal.reason.as_str(),
        rounds,
        guards = guards.join(" "),
    );
}

/// Returns whether the process is stopping and a request sent now might still run when the process
/// exits, or a later refusal might not reach the caller. About one request in twenty runs longer
/// than assumed here.
fn might_outlast_process(node: &Node, request: &CallerRequest) -> bool {
    let Some(shutdown_deadlines) = node.shutdown_deadlines.get() else { return false };
    shutdown_deadlines.refuses_unplaced_request(node.now(), assumed_running_time(node, request))
}

/// Returns whether to query guards for more than [`MAX_ROUNDS`] rounds.
fn should_keep_looking(
    node: &Node,
    request: &CallerRequest,
    refusal: &Refusal,
    may_wait: bool,
) -> bool {
    let now = node.now();
    let unplaced = UnplacedRequest {
        nested: request.nested,
        // A hedged attempt (`may_wait` is false) gives up here; the retry loop starts another
        // hedged attempt later if the first attempt is still running.
        idempotent_retry: may_wait
            && request.sent_attempts.get() > 0
            && request.policy.class.is_idempotent(),
        starting: now.saturating_duration_since(node.started_at) < STARTUP_PERIOD,
        stopping: *node.stopping.borrow(),
        time_left: request.time_left(now),
        time_to_objective: (request.arrival + request.policy.objective)
            .saturating_duration_since(now),
        expected_running_time: assumed_running_time(node, request),
    };
    unplaced.should_keep_searching(refusal)
}

/// Returns the more informative refusal: the refusal that estimates the wait, the shorter wait if
/// both do, and otherwise the later refusal.
fn more_informative(current: Refusal, other: Refusal) -> Refusal {
    match (current.estimates_wait(), other.estimates_wait()) {
        (true, false) => current,
        (true, true) if current.retry_in <= other.retry_in => current,
        _ => other,
    }
}

/// Queries several guards and returns their replies, best first. A request that waits already is
/// only moved to a free slot, so it queries a single batch.
async fn query_load_replies(
    search: &Search<'_>,
    request: &CallerRequest,
    skipped: &[InstanceId],
    queued_reservation: Option<&Reservation>,
) -> (Vec<LoadReply>, LeaveReason) {
    let mut excluded = request.tried_instances.borrow().clone();
    excluded.extend_from_slice(skipped);
    excluded.extend(queued_reservation.map(|reservation| reservation.peer.id.clone()));
    let query = LoadQuery {
        precedence: request.precedence(),
        share: request.share(),
        route_hash: request.route_hash,
        expected_running_time: search.placed.running_time,
    };
    let mut load_replies: Vec<LoadReply> = Vec::new();
    for batch_count in 0.. {
        let peers = search.sample(batch_count, &load_replies, &excluded);
        if peers.is_empty() {
            break;
        }
        excluded.extend(peers.iter().map(|peer| peer.id.clone()));
        load_replies.extend(load_query::query_peers(search.node, peers, query).await);
        if queued_reservation.is_some() || !search.should_query_more(batch_count + 1, &load_replies)
        {
            break;
        }
    }
    let leave_reason = search.order(&mut load_replies);
    (load_replies, leave_reason)
}

async fn try_reserve(
    node: &Node,
    request: &CallerRequest,
    load_reply: &LoadReply,
    left_home: Option<LeaveReason>,
    may_wait: bool,
) -> ReserveReply {
    let sending = send_reserve(node, request, load_reply, left_home, may_wait);
    let reserving = tokio::time::timeout(RESERVE_TIMEOUT, sending);
    let peer = &load_reply.peer;
    let result = reserving.await.unwrap_or(Err(HopError::TimedOut));
    match result {
        Ok(reply) => reply,
        Err(e) => {
            tracing::info!(
                event = "reservation_failed",
                request = request.request_id,
                peer = %peer.id,
                error = %e
            );
            node.metrics.record_attempt("reservation_failed");
            node.hop_pool.drop_all(peer.addr);
            node.directory.borrow_mut().on_timeout(node.now(), &peer.id);
            ReserveReply::NoReply
        }
    }
}

async fn send_reserve(
    node: &Node,
    request: &CallerRequest,
    load_reply: &LoadReply,
    left_home: Option<LeaveReason>,
    may_wait: bool,
) -> Result<ReserveReply, HopError> {
    let peer = load_reply.peer.clone();
    let mut hop = node.hop_pool.take(peer.addr, node.now()).await?;
    let now = node.now();
    let objective = request.arrival + request.policy.objective;
    let message = Message::Reserve(Reserve {
        addressee: peer.id.to_string(),
        service: request.service.to_string(),
        priority: request.priority,
        idempotent: request.policy.class.is_idempotent(),
        nested: request.nested,
        tie_breaker: request.tie_breaker,
        share: request.share().map(Into::into),
        is_retry: request.sent_attempts.get() > 0,
        nested_in_retry: request.nested_in_retry,
        route_hash: request.route_hash,
        time_left_ms: request.time_left(now).as_millis() as u32,
        time_to_objective_ms: objective.saturating_duration_since(now).as_millis() as u32,
        expected_running_ms: expected_running_time(node, request, load_reply).as_millis() as u32,
        may_wait,
        server_notice: node.relayed_notices.borrow().get(&peer.id).cloned().map(Into::into),
    });
    hop.send(message).await?;
    let response = hop.next_message().await?;
    let expected_running_time = expected_running_time(node, request, load_reply);
    let load_report = load_reply.load_report;
    let reserved_at = node.now();
    let reservation =
        |hop| Reservation { hop, peer, expected_running_time, load_report, left_home, reserved_at };
    match response {
        Message::Granted => Ok(ReserveReply::Granted(reservation(hop))),
        Message::Queued(_) => Ok(ReserveReply::Queued(reservation(hop))),
        Message::Refused(refused) => {
            node.hop_pool.put(load_reply.peer.addr, node.now(), hop);
            Ok(ReserveReply::Refused(refused.into()))
        }
        _ => Err(HopError::UnexpectedMessage),
    }
}

/// Returns the mean running time of the route measured at this ingress, or else the value that the
/// guard reported.
fn expected_running_time(node: &Node, request: &CallerRequest, load_reply: &LoadReply) -> Duration {
    node.running_times
        .borrow()
        .route_mean(request.route_hash)
        .unwrap_or(load_reply.load_report.expected_running_time)
}

/// Returns the mean running time of the route measured at this ingress, or else a value derived
/// from the route's objective.
pub(super) fn assumed_running_time(node: &Node, request: &CallerRequest) -> Duration {
    let known = node.running_times.borrow().route_mean(request.route_hash);
    known.unwrap_or_else(|| request.policy.default_running_time())
}
