//! A single attempt: reserves a slot, sends the request and receives the response.

use super::exchange::Exchange;
use super::locality::DomainAttempt;
use super::request::CallerRequest;
use super::request_body::RequestBody;
use super::reservation::{Reservation, reserve_slot};
use super::response::ServerResponseHead;
use super::{CallerResponse, ResponseBody};
use crate::hop::{Commit, Failure, Frame, HopError, HopResponseHead, Message};
use crate::memory::HeldBuffer;
use crate::node::Node;
use fescuemux_core::base::Verdict;
use fescuemux_core::locality::RemoteOutcome;
use fescuemux_core::memory::MemoryClass;
use fescuemux_core::placement::{EvictedAttempt, Peer, Refusal};
use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Number of response bytes buffered before any is sent to the caller. If the response breaks off
/// within this size, another attempt can still replace it.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Multiple of the expected running time after which an idempotent request without a response is
/// hedged, that is, sent to a second server as well.
const HEDGE_FACTOR: f64 = 2.0;

/// Minimum time between sending a request and hedging it.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(200);

/// Weight of a new response in the exponentially weighted mean response size of its route.
const SIZE_EWMA_WEIGHT: f64 = 0.2;

/// Phase of an attempt in progress.
#[derive(Clone, Copy, Debug, Default)]
pub(super) enum AttemptPhase {
    /// Looks for a slot.
    #[default]
    Searching,
    /// Was sent to a guard that granted a slot.
    Sent {
        /// Time from which the attempt is presumed lost if it is evicted.
        presumed_lost_at: Instant,
    },
    /// Still runs, but the guard wants its slot back.
    Evicted {
        /// As in [`AttemptPhase::Sent`].
        presumed_lost_at: Instant,
    },
}

/// State of an attempt in progress, shared with the retry loop.
#[derive(Debug, Default)]
pub(super) struct AttemptState {
    pub(super) phase: Cell<AttemptPhase>,
    /// Tells an evicted attempt to give up its slot.
    pub(super) break_off: Notify,
}

/// Outcome of an attempt.
pub(super) enum AttemptOutcome {
    /// The backend server responded, possibly with an error.
    Responded(Box<CallerResponse>),
    /// No guard granted a slot.
    NoSlot(Refusal),
    /// The request was committed but did not run. `reached_server` is whether it was sent to a
    /// backend server, which then refused it.
    NotRun { reason: &'static str, reached_server: bool },
    /// No complete response arrived, and the request may have run.
    MayHaveRun { reason: &'static str },
}

/// Reserves a slot, sends the request and returns the outcome. `may_wait` is whether a guard may
/// queue the request if no slot is free. An evicted attempt goes on until it is told to break off.
pub(super) async fn run_attempt(
    node: &Node,
    request: &CallerRequest,
    body: &RequestBody,
    may_wait: bool,
    state: &AttemptState,
) -> AttemptOutcome {
    let request_bytes = body.len.unwrap_or(body.buffered.len() as u64);
    let reservation = match reserve_slot(node, request, request_bytes, may_wait).await {
        Ok(reservation) => reservation,
        Err(refusal) => return AttemptOutcome::NoSlot(refusal),
    };
    let sent_at = node.now();
    request.sent_attempts.set(request.sent_attempts.get() + 1);
    request.may_have_run.set(true);
    request.failure_probability.set(reservation.load_report.failure_probability);
    request.tried_instances.borrow_mut().push(reservation.peer.id.clone());
    request.hedge_at.set(Some(
        sent_at + reservation.expected_running_time.mul_f64(HEDGE_FACTOR).max(MIN_HEDGE_DELAY),
    ));
    let presumed_lost_at =
        sent_at + EvictedAttempt::presumed_lost_after(reservation.expected_running_time);
    state.phase.set(AttemptPhase::Sent { presumed_lost_at });
    request.attempt_notify.notify_one();
    let domain_attempt = DomainAttempt::start(node, &reservation, request_bytes);
    let Reservation { hop, peer, expected_running_time, left_home, .. } = reservation;
    let mut exchange = Exchange::start(hop, commit(node, request, body), body);
    let outcome = match receive_head(request, &mut exchange, state).await {
        Ok(GuardReply::Head(head)) => {
            let notice = head.server_notice.as_ref().map(Into::into);
            node.relayed_notices.borrow_mut().on_response(&peer.id, notice);
            let elapsed = node.now().saturating_duration_since(sent_at);
            node.running_times.borrow_mut().record(
                request.route_hash,
                elapsed,
                expected_running_time,
            );
            match ServerResponseHead::try_from(head) {
                Ok(head) => {
                    let on_size = |bytes| domain_attempt.on_response(request_bytes, bytes);
                    receive_body(node, request, &peer, exchange, head, on_size).await
                }
                Err(e) => broken_response(&e),
            }
        }
        Ok(GuardReply::Failed(failure)) => failure_outcome(request, failure),
        Err(e @ HopError::RequestAborted(_)) => broken_response(&e),
        Err(e) => {
            tracing::info!(
                event = "attempt_broken",
                request = request.request_id,
                peer = %peer.id,
                error = %e
            );
            node.hop_pool.drop_all(peer.addr);
            AttemptOutcome::MayHaveRun { reason: "peer_lost" }
        }
    };
    domain_attempt.end(domain_outcome(&outcome));
    node.metrics.record_attempt(match &outcome {
        AttemptOutcome::Responded(_) => "answered",
        AttemptOutcome::NoSlot(_) => "no_slot",
        AttemptOutcome::NotRun { reason, .. } | AttemptOutcome::MayHaveRun { reason } => reason,
    });
    match outcome {
        AttemptOutcome::Responded(response) => {
            AttemptOutcome::Responded(Box::new(CallerResponse { left_home, ..*response }))
        }
        outcome => outcome,
    }
}

/// Returns what an outcome says about the failure domain of the server.
fn domain_outcome(outcome: &AttemptOutcome) -> RemoteOutcome {
    match outcome {
        AttemptOutcome::Responded(response) if !response.is_server_error() => {
            RemoteOutcome::Answered
        }
        AttemptOutcome::MayHaveRun { reason } if *reason == Failure::Evicted.as_str() => {
            RemoteOutcome::Canceled
        }
        AttemptOutcome::Responded(_) | AttemptOutcome::MayHaveRun { .. } => RemoteOutcome::Failed,
        AttemptOutcome::NotRun { .. } | AttemptOutcome::NoSlot(_) => RemoteOutcome::Canceled,
    }
}

fn failure_outcome(request: &CallerRequest, failure: Failure) -> AttemptOutcome {
    let reason = failure.as_str();
    if failure.verdict() == Verdict::MayHaveRun {
        return AttemptOutcome::MayHaveRun { reason };
    }
    let reached_server = failure == Failure::Shed;
    if !reached_server {
        request.sent_attempts.set(request.sent_attempts.get() - 1);
    }
    AttemptOutcome::NotRun { reason, reached_server }
}

enum GuardReply {
    Head(HopResponseHead),
    Failed(Failure),
}

fn commit(node: &Node, request: &CallerRequest, body: &RequestBody) -> Commit {
    Commit {
        request_id: request.request_id.clone(),
        method: request.method.clone(),
        path: request.path.clone(),
        headers: request.headers.clone(),
        time_left_ms: request.time_left(node.now()).as_millis() as u32,
        body_len: body.len,
    }
}

/// Returns the response head or the failure that the guard reports.
async fn receive_head(
    request: &CallerRequest,
    exchange: &mut Exchange,
    state: &AttemptState,
) -> Result<GuardReply, HopError> {
    let receive = async {
        loop {
            match exchange.next_frame().await? {
                Frame::Message(Message::Head(head)) => return Ok(GuardReply::Head(head)),
                Frame::Message(Message::Failed(failure)) => return Ok(GuardReply::Failed(failure)),
                Frame::Message(Message::Evicted) => {
                    if let AttemptPhase::Sent { presumed_lost_at } = state.phase.get() {
                        state.phase.set(AttemptPhase::Evicted { presumed_lost_at });
                        request.attempt_notify.notify_one();
                    }
                }
                Frame::Message(_) | Frame::Body(_) => return Err(HopError::UnexpectedMessage),
            }
        }
    };
    tokio::select! {
        reply = receive => reply,
        () = state.break_off.notified() => Ok(GuardReply::Failed(Failure::Evicted)),
    }
}

/// Receives the response body up to [`MAX_BUFFERED_BYTES`], or up to the memory that is available.
/// The rest of a longer body is streamed to the caller.
async fn receive_body(
    node: &Node,
    request: &CallerRequest,
    peer: &Peer,
    mut exchange: Exchange,
    head: ServerResponseHead,
    on_size: impl FnOnce(u64),
) -> AttemptOutcome {
    exchange.expect_body(head.body_len);
    let hold = node.memory.hold(MemoryClass::Response, head.body_len);
    let mut buffered = HeldBuffer::default();
    let mut complete = false;
    let mut has_memory = true;
    while has_memory && buffered.len() <= MAX_BUFFERED_BYTES {
        match exchange.next_chunk().await {
            Ok(Some(chunk)) => {
                let growth = buffered.growth(chunk.len(), head.body_len);
                has_memory = hold.try_grow(growth);
                buffered.extend(growth, &chunk);
            }
            Ok(None) => {
                complete = true;
                break;
            }
            Err(e) => return broken_response(&e),
        }
    }
    let response_bytes = head.body_len.unwrap_or(buffered.len() as u64);
    record_response_size(node, request.route_hash, response_bytes);
    on_size(response_bytes);
    let body = if complete {
        if let Some(hop) = exchange.into_connection(node.now()) {
            node.hop_pool.put(peer.addr, node.now(), hop);
        }
        ResponseBody::complete(buffered.into_bytes())
    } else {
        ResponseBody::streaming(buffered.into_bytes(), head.body_len, exchange)
    };
    AttemptOutcome::Responded(Box::new(CallerResponse {
        status: head.status,
        headers: head.headers,
        body: body.with_hold(hold),
        reason: None,
        verdict: Verdict::Ran,
        retry_after: None,
        peer: Some(peer.id.clone()),
        left_home: None,
    }))
}

fn broken_response(e: &HopError) -> AttemptOutcome {
    let reason = match e {
        HopError::BrokenResponse => Failure::Broken.as_str(),
        HopError::RequestAborted(reason) => reason,
        _ => "peer_lost",
    };
    AttemptOutcome::MayHaveRun { reason }
}

fn record_response_size(node: &Node, route_hash: u64, bytes: u64) {
    let response_kb = bytes as f64 / 1024.0;
    let mut sizes = node.mean_response_kb.borrow_mut();
    let mean = sizes.entry(route_hash).or_insert(response_kb);
    *mean += SIZE_EWMA_WEIGHT * (response_kb - *mean);
}
