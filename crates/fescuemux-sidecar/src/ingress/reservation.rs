//! Finds a guard that holds a slot for a request.

use super::RETRY_IN;
use super::request::Call;
use crate::hop::{HopConnection, HopError, Message, Reserve};
use crate::load_query::{self, Offer, Question};
use crate::node::Node;
use fescuemux_core::base::InstanceId;
use fescuemux_core::placement::{
    Peer, PlacementCost, Refusal, RefusalReason, UnplacedRequest, rank,
};
use std::time::Duration;

/// Guards that are asked at once. With two thirds of them in the own failure domain, both the
/// near and the far ones offer a choice.
const WIDTH: usize = 5;

/// Rounds of questions before a request is refused.
const MAX_ROUNDS: usize = 4;

/// Pause between rounds that found nobody.
const ROUND_PAUSE: Duration = Duration::from_millis(30);

/// Time after which a request that waits at one guard looks for a free slot at others.
const LOOK_AGAIN: Duration = Duration::from_millis(120);

/// Time after a start in which servers have still to announce themselves: two of the users'
/// heartbeats of 1.5 s.
const START_TIME: Duration = Duration::from_secs(3);

/// Time for the answer to a reservation, after the guard has just answered a question.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(120);

/// A slot that is held for the request.
#[derive(Debug)]
pub(super) struct Placed {
    pub(super) hop: HopConnection,
    pub(super) peer: Peer,
    /// Expected running time at the server.
    pub(super) running: Duration,
    /// Probability of a fault when the guard was asked.
    pub(super) doubt: f64,
}

/// Answer to a reservation.
enum Reserved {
    Granted(Placed),
    Queued(Placed),
    Refused(Refusal),
    /// No answer; the path or the instance does not work.
    Silent,
}

/// Finds a guard that holds a slot for the request. Nothing is sent to a server meanwhile, so a
/// caller that leaves, or a refusal, leaves no doubt.
///
/// # Errors
/// Returns why the request cannot be placed, and when a slot is expected.
pub(super) async fn place(
    node: &Node,
    call: &Call,
    body_len: usize,
    may_wait: bool,
) -> Result<Placed, Refusal> {
    let mut waiting: Option<Placed> = None;
    let mut passed: Vec<InstanceId> = Vec::new();
    let mut refusal = Refusal { reason: RefusalReason::NoServer, retry_in: RETRY_IN };
    let mut rounds = 0;
    loop {
        if outlasts_process(node, call) {
            let reason = RefusalReason::Stopping;
            return Err(Refusal { reason, retry_in: RETRY_IN });
        }
        let offers = ask(node, call, body_len, &passed, waiting.as_ref()).await;
        for offer in offers {
            if waiting.is_some() && !offer.quote.is_better_than_queueing() {
                continue;
            }
            match reserve(node, call, &offer, may_wait && waiting.is_none()).await {
                Reserved::Granted(placed) => return Ok(placed),
                Reserved::Queued(placed) => {
                    waiting = Some(placed);
                    break;
                }
                Reserved::Refused(other) => {
                    refusal = soonest(refusal, other);
                    passed.push(offer.peer.id);
                }
                Reserved::Silent => passed.push(offer.peer.id),
            }
        }
        let Some(placed) = &mut waiting else {
            rounds += 1;
            if rounds >= MAX_ROUNDS && !keeps_looking(node, call, &refusal, may_wait) {
                return Err(refusal);
            }
            passed.clear();
            tokio::time::sleep(ROUND_PAUSE).await;
            continue;
        };
        tokio::select! {
            message = placed.hop.message() => {
                let placed = waiting.take().expect("the request waits");
                match message {
                    Ok(Message::Granted) => return Ok(placed),
                    Ok(Message::Refused(other)) => {
                        refusal = soonest(refusal, other.into());
                        node.hops.put(placed.peer.addr, node.now(), placed.hop);
                    }
                    Ok(_) | Err(_) => node.metrics.on_attempt("wait_broken"),
                }
                passed.push(placed.peer.id);
            }
            () = tokio::time::sleep(LOOK_AGAIN) => passed.clear(),
        }
    }
}

/// Returns whether a request that is sent now would probably outlast a stopping process.
fn outlasts_process(node: &Node, call: &Call) -> bool {
    let Some(times) = node.stop_times.get() else { return false };
    times.refuses_unplaced_request(node.now(), running(node, call))
}

fn keeps_looking(node: &Node, call: &Call, refusal: &Refusal, may_wait: bool) -> bool {
    let now = node.now();
    let unplaced = UnplacedRequest {
        nested: call.nested,
        // A double that finds no slot is tried again while the first attempt runs.
        attempted: may_wait && call.sent.get() > 0 && call.policy.class.is_idempotent(),
        starting: now.saturating_duration_since(node.started) < START_TIME,
        stopping: *node.stopping.borrow(),
        time_left: call.left(now),
        time_to_objective: (call.arrival + call.policy.objective).saturating_duration_since(now),
        expected_running_time: running(node, call),
    };
    unplaced.should_keep_searching(refusal)
}

/// Keeps the refusal that says most: one with a wait for a slot before one without a server.
fn soonest(held: Refusal, other: Refusal) -> Refusal {
    match (held.estimates_wait(), other.estimates_wait()) {
        (true, false) => held,
        (true, true) if held.retry_in <= other.retry_in => held,
        _ => other,
    }
}

/// Asks some guards and returns their offers, best first.
async fn ask(
    node: &Node,
    call: &Call,
    body_len: usize,
    passed: &[InstanceId],
    waiting: Option<&Placed>,
) -> Vec<Offer> {
    let mut excluded = call.tried.borrow().clone();
    excluded.extend_from_slice(passed);
    excluded.extend(waiting.map(|placed| placed.peer.id.clone()));
    let domain = node.settings.borrow().domain.clone();
    let picked = node
        .decide(|cx| node.directory.borrow().sample(cx, &call.service, &domain, WIDTH, &excluded));
    if picked.is_empty() {
        return Vec::new();
    }
    let question = Question {
        precedence: call.precedence(),
        route: call.route,
        expected: running(node, call),
    };
    let mut offers = load_query::collect(node, picked, question).await;
    let answer_kb = node.answer_kb.borrow().get(&call.route).copied().unwrap_or(1.0);
    let kilobytes = answer_kb + body_len as f64 / 1024.0;
    let idempotent = call.policy.class.is_idempotent();
    rank(&mut offers, &PlacementCost::default(), kilobytes, idempotent, |offer| {
        (offer.peer.domain == domain, offer.quote)
    });
    offers
}

async fn reserve(node: &Node, call: &Call, offer: &Offer, may_wait: bool) -> Reserved {
    let reserving = tokio::time::timeout(RESERVE_TIMEOUT, exchange(node, call, offer, may_wait));
    let peer = &offer.peer;
    let result = reserving.await.unwrap_or(Err(HopError::TimedOut));
    match result {
        Ok(reserved) => reserved,
        Err(e) => {
            tracing::info!(
                event = "reservation_failed",
                request = call.request_id,
                peer = %peer.id,
                error = %e
            );
            node.metrics.on_attempt("reservation_failed");
            node.hops.forget(peer.addr);
            node.directory.borrow_mut().on_timeout(node.now(), &peer.id);
            Reserved::Silent
        }
    }
}

async fn exchange(
    node: &Node,
    call: &Call,
    offer: &Offer,
    may_wait: bool,
) -> Result<Reserved, HopError> {
    let peer = offer.peer.clone();
    let mut hop = node.hops.take(peer.addr, node.now()).await?;
    let now = node.now();
    let objective = call.arrival + call.policy.objective;
    let message = Message::Reserve(Reserve {
        instance: peer.id.to_string(),
        service: call.service.to_string(),
        priority: call.policy.priority,
        idempotent: call.policy.class.is_idempotent(),
        nested: call.nested,
        lot: call.lot,
        again: call.sent.get() > 0,
        of_repeat: call.of_repeat,
        route: call.route,
        left_ms: call.left(now).as_millis() as u32,
        objective_ms: objective.saturating_duration_since(now).as_millis() as u32,
        expected_ms: expected(node, call, offer).as_millis() as u32,
        may_wait,
    });
    hop.send(message).await?;
    let answer = hop.message().await?;
    let running = expected(node, call, offer);
    let doubt = offer.quote.failure_probability;
    match answer {
        Message::Granted => Ok(Reserved::Granted(Placed { hop, peer, running, doubt })),
        Message::Queued(_) => Ok(Reserved::Queued(Placed { hop, peer, running, doubt })),
        Message::Refused(refused) => {
            node.hops.put(peer.addr, node.now(), hop);
            Ok(Reserved::Refused(refused.into()))
        }
        _ => Err(HopError::Unexpected),
    }
}

/// Returns the running time of the route, from the answers seen here or as the guard knows it.
fn expected(node: &Node, call: &Call, offer: &Offer) -> Duration {
    node.running.borrow().route_mean(call.route).unwrap_or(offer.quote.expected_running_time)
}

/// Returns the running time of the route, from the answers seen here or as its objective lets
/// assume.
fn running(node: &Node, call: &Call) -> Duration {
    let known = node.running.borrow().route_mean(call.route);
    known.unwrap_or_else(|| call.policy.default_running_time())
}
