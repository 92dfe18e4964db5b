//! One attempt: a slot, the request, and the answer.

use super::request::Call;
use super::request_body::RequestBody;
use super::reservation::{Placed, place};
use super::{Answer, AnswerBody};
use crate::hop::{AnswerHead, Commit, Failure, Frame, HopError, Message};
use crate::node::Node;
use bytes::BytesMut;
use fescuemux_core::base::Verdict;
use fescuemux_core::placement::Refusal;
use futures::{SinkExt, StreamExt};
use http::StatusCode;
use http_body_util::BodyExt;
use std::time::Duration;

/// Bytes of an answer that are held before the caller gets the first one. An answer within it
/// that breaks off can still be replaced by another attempt.
const HELD_BYTES: usize = 256 * 1024;

/// Pieces in which a body is sent to a guard, so that frames stay small.
const PIECE_BYTES: usize = 32 * 1024;

/// Multiple of the expected running time after which a request that may be repeated is doubled.
const HEDGE_FACTOR: f64 = 2.0;

/// Least time before a request is doubled.
const HEDGE_MIN: Duration = Duration::from_millis(200);

/// Weight of a new answer's size in the mean of its route.
const SIZE_WEIGHT: f64 = 0.2;

/// How an attempt ended.
pub(super) enum Attempted {
    /// A server answered, perhaps with an error.
    Answered(Answer),
    /// No guard has a slot.
    NoSlot(Refusal),
    /// The attempt did not run; `seen` tells whether a server refused it.
    NotRun { reason: &'static str, seen: bool },
    /// The attempt may have run.
    Unknown { reason: &'static str },
}

/// Places the request, sends it and returns how it ended.
pub(super) async fn try_once(
    node: &Node,
    call: &Call,
    body: &RequestBody,
    may_wait: bool,
) -> Attempted {
    let mut placed = match place(node, call, body.held.len(), may_wait).await {
        Ok(placed) => placed,
        Err(refusal) => return Attempted::NoSlot(refusal),
    };
    let now = node.now();
    call.sent.set(call.sent.get() + 1);
    call.may_have_run.set(true);
    call.doubt.set(placed.doubt);
    call.tried.borrow_mut().push(placed.peer.id.clone());
    call.hedge_at.set(Some(now + placed.running.mul_f64(HEDGE_FACTOR).max(HEDGE_MIN)));
    call.sent_wake.notify_one();
    let attempted = match exchange(node, call, body, &mut placed).await {
        Ok(Received::Head(head)) => {
            let took = node.now().saturating_duration_since(now);
            node.running.borrow_mut().record(call.route, took, placed.running);
            answer(node, call, placed, head).await
        }
        Ok(Received::Failed(failure)) => failed(call, failure),
        Err(e) => {
            tracing::info!(
                event = "attempt_broken",
                request = call.request_id,
                peer = %placed.peer.id,
                error = %e
            );
            node.hops.forget(placed.peer.addr);
            Attempted::Unknown { reason: "peer_lost" }
        }
    };
    node.metrics.on_attempt(match &attempted {
        Attempted::Answered(_) => "answered",
        Attempted::NoSlot(_) => "no_slot",
        Attempted::NotRun { reason, .. } | Attempted::Unknown { reason } => reason,
    });
    attempted
}

fn failed(call: &Call, failure: Failure) -> Attempted {
    let reason = failure.as_str();
    if failure.verdict() == Verdict::MayHaveRun {
        return Attempted::Unknown { reason };
    }
    let seen = failure == Failure::Shed;
    if !seen {
        call.sent.set(call.sent.get() - 1);
    }
    Attempted::NotRun { reason, seen }
}

enum Received {
    Head(AnswerHead),
    Failed(Failure),
}

/// Sends the request and returns the head of the answer.
async fn exchange(
    node: &Node,
    call: &Call,
    body: &RequestBody,
    placed: &mut Placed,
) -> Result<Received, HopError> {
    let rest = body.take_rest();
    let commit = Commit {
        request_id: call.request_id.clone(),
        method: call.method.clone(),
        path: call.path.clone(),
        headers: call.headers.clone(),
        left_ms: call.left(node.now()).as_millis() as u32,
        body_len: body.len,
    };
    let (mut sink, mut stream) = (&mut placed.hop.frames).split();
    let upload = async {
        sink.feed(Frame::Message(Message::Commit(commit))).await?;
        let mut held = body.held.clone();
        while !held.is_empty() {
            let piece = held.split_to(held.len().min(PIECE_BYTES));
            sink.feed(Frame::Body(piece)).await?;
        }
        if let Some(mut rest) = rest {
            while let Some(frame) = rest.frame().await {
                let frame = frame.map_err(std::io::Error::other)?;
                if let Ok(piece) = frame.into_data() {
                    sink.send(Frame::Body(piece)).await?;
                }
            }
        }
        sink.send(Frame::Message(Message::BodyEnd)).await?;
        Ok::<_, HopError>(())
    };
    let receive = async {
        loop {
            match stream.next().await {
                Some(Ok(Frame::Message(Message::Head(head)))) => return Ok(Received::Head(head)),
                Some(Ok(Frame::Message(Message::Failed(failure)))) => {
                    return Ok(Received::Failed(failure));
                }
                Some(Ok(Frame::Message(Message::Stuck))) if *node.stopping.borrow() => {}
                Some(Ok(Frame::Message(Message::Stuck))) => {
                    return Ok(Received::Failed(Failure::Stuck));
                }
                Some(Ok(_)) => return Err(HopError::Unexpected),
                Some(Err(e)) => return Err(e.into()),
                None => return Err(HopError::Closed),
            }
        }
    };
    tokio::pin!(upload, receive);
    tokio::select! {
        // A guard that refuses closes its side, which may show as a failed send first.
        received = &mut receive => received,
        sent = &mut upload => match sent {
            Ok(()) => receive.await,
            Err(e) => receive.await.map_err(|_| e),
        },
    }
}

/// Collects the answer, or its first part when it is long.
async fn answer(node: &Node, call: &Call, mut placed: Placed, head: AnswerHead) -> Attempted {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut held = BytesMut::new();
    let mut whole = false;
    while held.len() <= HELD_BYTES {
        match placed.hop.next().await {
            Ok(Frame::Body(piece)) => held.extend_from_slice(&piece),
            Ok(Frame::Message(Message::End)) => {
                whole = true;
                break;
            }
            Ok(Frame::Message(Message::Stuck)) => {}
            Ok(Frame::Message(_)) => return Attempted::Unknown { reason: "answer_broken" },
            Err(_) => return Attempted::Unknown { reason: "peer_lost" },
        }
    }
    learn_size(node, call.route, head.body_len.unwrap_or(held.len() as u64));
    let peer = placed.peer.id.clone();
    let body = if whole {
        node.hops.put(placed.peer.addr, node.now(), placed.hop);
        AnswerBody::whole(held.freeze())
    } else {
        AnswerBody::streaming(held.freeze(), head.body_len, placed.hop)
    };
    Attempted::Answered(Answer {
        status,
        headers: head.headers,
        body,
        reason: None,
        verdict: Verdict::Ran,
        retry_in: None,
        peer: Some(peer),
    })
}

fn learn_size(node: &Node, route: u64, bytes: u64) {
    let kilobytes = bytes as f64 / 1024.0;
    let mut sizes = node.answer_kb.borrow_mut();
    let mean = sizes.entry(route).or_insert(kilobytes);
    *mean += SIZE_WEIGHT * (kilobytes - *mean);
}
