//! One request and its answer.

use super::check::AnswerCheck;
use super::outcome::{Answered, Failure, Outcome};
use super::plan::Plan;
use super::pool::{Pool, Slot};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response};
use std::time::{Duration, Instant};
use tokio::time;

/// A request that is due.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Due {
    /// Number of the target.
    pub(crate) target: usize,
    /// Number of the request in the run.
    pub(crate) index: u64,
    /// Intended send time as an offset from the start.
    pub(crate) intended: Duration,
    /// Intended send time.
    pub(crate) at: Instant,
}

/// Sends one request and checks its answer. All times count from the intended send time, so
/// the wait for a connection is part of the latency.
pub(crate) async fn exchange(plan: &Plan, pool: &Pool, due: Due, timeout: Duration) -> Outcome {
    let mut delay = None;
    let attempt = attempt(plan, pool, due, &mut delay);
    let result = match time::timeout_at((due.at + timeout).into(), attempt).await {
        Ok(result) => result,
        Err(_) => Err(Failure::Timeout),
    };
    let latency = due.at.elapsed();
    let Due { target, intended, .. } = due;
    Outcome { target, intended, delay: delay.unwrap_or(latency), latency, result }
}

async fn attempt(
    plan: &Plan,
    pool: &Pool,
    due: Due,
    delay: &mut Option<Duration>,
) -> Result<Answered, Failure> {
    let slot = pool.slot().await.ok_or(Failure::Connect)?;
    let (request, expected) = plan.request(slot.addr(), due.index).map_err(|_| Failure::Connect)?;
    let (response, sender) = send(&slot, request, due, delay).await?;
    let (parts, mut body) = response.into_parts();
    let mut check = AnswerCheck::new(&parts, &expected, plan.answer_bytes);
    while let Some(frame) = body.frame().await {
        if let Some(data) = frame.map_err(|_| Failure::Cut)?.data_ref() {
            check.piece(data);
        }
    }
    slot.put_back(sender);
    let (status, verdict) = (parts.status.as_u16(), verdict(&parts.headers));
    Ok(Answered { status, verdict, check: check.finish() })
}

/// Sends the request on an idle connection, or on a new one. An idle connection may close
/// before it took any byte of the request; only then is the request sent on another one.
async fn send(
    slot: &Slot<'_>,
    mut request: Request<Full<Bytes>>,
    due: Due,
    delay: &mut Option<Duration>,
) -> Result<(Response<Incoming>, super::pool::Sender), Failure> {
    loop {
        let reused = slot.reuse();
        let fresh = reused.is_none();
        let mut sender = match reused {
            Some(sender) => sender,
            None => slot.open().await.map_err(|_| Failure::Connect)?,
        };
        *delay = Some(due.at.elapsed());
        match sender.try_send_request(request).await {
            Ok(response) => return Ok((response, sender)),
            Err(mut error) => match error.take_message() {
                Some(unsent) if !fresh => request = unsent,
                _ => return Err(Failure::Closed),
            },
        }
    }
}

/// Returns the verdict of an answer as reports spell it.
fn verdict(headers: &HeaderMap) -> &'static str {
    match headers.get("fescuemux-verdict").map(|value| value.as_bytes()) {
        None => "absent",
        Some(b"not-run") => "not-run",
        Some(b"may-have-run") => "may-have-run",
        Some(b"ran") => "ran",
        Some(_) => "unknown",
    }
}
