//! Exchange of one request and its response.

use super::check::ResponseCheck;
use super::outcome::{CompleteResponse, Failure, Outcome};
use super::plan::RequestTemplate;
use super::pool::{ConnectionPermit, Pool};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response};
use std::time::{Duration, Instant};
use tokio::time;

/// A request with its intended send time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScheduledRequest {
    /// Index of the target.
    pub(crate) target: usize,
    /// Index of the request in the run, across all targets.
    pub(crate) index: u64,
    /// Intended send time as an offset from the start.
    pub(crate) intended_offset: Duration,
    /// Intended send time.
    pub(crate) intended_at: Instant,
}

/// Sends one request and checks its response. All times count from the intended send time, so the
/// wait for a connection is part of the latency.
pub(crate) async fn exchange(
    template: &RequestTemplate,
    pool: &Pool,
    scheduled: ScheduledRequest,
    timeout: Duration,
) -> Outcome {
    let mut send_delay = None;
    let attempt = attempt(template, pool, scheduled, &mut send_delay);
    let result = match time::timeout_at((scheduled.intended_at + timeout).into(), attempt).await {
        Ok(result) => result,
        Err(_) => Err(Failure::Timeout),
    };
    let latency = scheduled.intended_at.elapsed();
    let ScheduledRequest { target, intended_offset, .. } = scheduled;
    Outcome { target, intended_offset, send_delay: send_delay.unwrap_or(latency), latency, result }
}

async fn attempt(
    template: &RequestTemplate,
    pool: &Pool,
    scheduled: ScheduledRequest,
    send_delay: &mut Option<Duration>,
) -> Result<CompleteResponse, Failure> {
    let permit = pool.acquire().await.ok_or(Failure::Connect)?;
    let (request, expected) =
        template.request(permit.addr(), scheduled.index).map_err(|_| Failure::Connect)?;
    let (response, sender) = send(&permit, request, scheduled, send_delay).await?;
    let (parts, mut body) = response.into_parts();
    let mut check = ResponseCheck::new(&parts, &expected, template.answer_bytes);
    while let Some(frame) = body.frame().await {
        if let Some(data) = frame.map_err(|_| Failure::ClosedInBody)?.data_ref() {
            check.add_chunk(data);
        }
    }
    permit.release(sender);
    let (status, verdict) = (parts.status.as_u16(), verdict_label(&parts.headers));
    Ok(CompleteResponse { status, verdict, check: check.finish() })
}

/// Sends the request on an idle connection, or on a new one. If an idle connection closes before
/// it accepted any byte of the request, the request is sent on another connection.
async fn send(
    permit: &ConnectionPermit<'_>,
    mut request: Request<Full<Bytes>>,
    scheduled: ScheduledRequest,
    send_delay: &mut Option<Duration>,
) -> Result<(Response<Incoming>, super::pool::Sender), Failure> {
    loop {
        let idle = permit.take_idle();
        let is_new = idle.is_none();
        let mut sender = match idle {
            Some(sender) => sender,
            None => permit.open().await.map_err(|_| Failure::Connect)?,
        };
        *send_delay = Some(scheduled.intended_at.elapsed());
        match sender.try_send_request(request).await {
            Ok(response) => return Ok((response, sender)),
            Err(mut error) => match error.take_message() {
                Some(unsent) if !is_new => request = unsent,
                _ => return Err(Failure::ClosedBeforeHead),
            },
        }
    }
}

/// Returns the verdict in the headers of a response, as spelled in reports.
fn verdict_label(headers: &HeaderMap) -> &'static str {
    match headers.get("fescuemux-verdict").map(|value| value.as_bytes()) {
        None => "absent",
        Some(b"not-run") => "not-run",
        Some(b"may-have-run") => "may-have-run",
        Some(b"ran") => "ran",
        Some(_) => "unknown",
    }
}
