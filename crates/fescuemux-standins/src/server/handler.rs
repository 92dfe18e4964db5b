//! Answers requests: health, load and work.

use super::answer::Answer;
use super::content::content_seed;
use super::fault::ServerFault;
use super::shared::Shared;
use super::work::{RunningWork, text};
use super::{RESPONSE_BYTES_HEADER, STAND_IN_HEADER, TAG_HEADER};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode, header};
use serde_json::json;
use sha2::{Digest, Sha256};
use std::future;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::time;

/// Number of body bytes received and their SHA-256 in hexadecimal.
struct Received {
    bytes: u64,
    sha256: String,
}

/// Answers one request. An error closes the connection without an answer.
pub(super) async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> io::Result<Response<Answer>> {
    match request.uri().path() {
        "/health" => Ok(plain(StatusCode::OK, "ok\n")),
        "/load" => Ok(load(&shared)),
        _ => work(&shared, request).await,
    }
}

fn load(shared: &Shared) -> Response<Answer> {
    plain(StatusCode::OK, &format!("{}\n", shared.reported_load.load(Ordering::SeqCst)))
}

async fn work(shared: &Arc<Shared>, request: Request<Incoming>) -> io::Result<Response<Answer>> {
    let arrived = Instant::now();
    let fault = shared.fault();
    let (parts, mut body) = request.into_parts();
    let slot = RunningWork::begin(shared, &parts.headers);
    if fault == ServerFault::BlackHole {
        // Holds the slot, if one was free, until the connection closes.
        future::pending::<()>().await;
    }
    let Some(slot) = slot else {
        discard(body);
        return Ok(shed());
    };
    let run = run(shared, &fault, &mut body);
    let received = match deadline(&parts) {
        None => run.await?,
        Some(left) => match time::timeout_at((arrived + left).into(), run).await {
            Ok(received) => received?,
            Err(_) => {
                discard(body);
                return Ok(deadline_passed());
            }
        },
    };
    slot.finish();
    answer(shared, &fault, &parts, &received)
}

/// Reads the rest of a body that nobody needs. Closing the connection instead would reset it,
/// and a client that is still sending would lose the answer.
fn discard(mut body: Incoming) {
    tokio::spawn(async move { while let Some(Ok(_)) = body.frame().await {} });
}

/// Reads the body and spends the service time.
async fn run(shared: &Shared, fault: &ServerFault, body: &mut Incoming) -> io::Result<Received> {
    let mut bytes = 0;
    let mut hasher = Sha256::new();
    while let Some(frame) = body.frame().await {
        if let Some(data) = frame.map_err(io::Error::other)?.data_ref() {
            bytes += data.len() as u64;
            hasher.update(data);
        }
    }
    let factor = if let ServerFault::Slow(factor) = fault { factor.max(0.0) } else { 1.0 };
    let service_time = shared.service_time().mul_f64(factor);
    // The timer rounds up to whole milliseconds, which would show in latency measurements.
    if !service_time.is_zero() {
        time::sleep(service_time).await;
    }
    Ok(Received { bytes, sha256: format!("{:x}", hasher.finalize()) })
}

fn answer(
    shared: &Shared,
    fault: &ServerFault,
    parts: &Parts,
    received: &Received,
) -> io::Result<Response<Answer>> {
    match fault {
        ServerFault::Errors(ratio) if shared.hits(*ratio) => {
            Ok(plain(StatusCode::INTERNAL_SERVER_ERROR, "error by the configured fault\n"))
        }
        ServerFault::LostResponse(ratio) if shared.hits(*ratio) => {
            Err(io::Error::other("reply lost by the configured fault"))
        }
        ServerFault::TruncatedResponse(ratio) if shared.hits(*ratio) => {
            Ok(echo(shared, parts, received, false).map(Answer::cut))
        }
        ServerFault::WrongResponse(ratio) if shared.hits(*ratio) => {
            Ok(echo(shared, parts, received, true))
        }
        _ => Ok(echo(shared, parts, received, false)),
    }
}

/// Builds the answer that echoes the request; a wrong one has a foreign tag and digest.
fn echo(shared: &Shared, parts: &Parts, received: &Received, wrong: bool) -> Response<Answer> {
    let sent_tag = text(&parts.headers, TAG_HEADER).unwrap_or_default();
    let tag = if wrong { format!("{sent_tag}-wrong") } else { sent_tag };
    let size = text(&parts.headers, RESPONSE_BYTES_HEADER).and_then(|text| text.parse().ok());
    let (content_type, body) = match size {
        Some(size) => ("application/octet-stream", Answer::generated(content_seed(&tag), size)),
        None => {
            let sha256 = if wrong { "0".repeat(64) } else { received.sha256.clone() };
            let body = json!({
                "server": shared.options.server,
                "service": shared.options.service,
                "tag": tag,
                "method": parts.method.as_str(),
                "path": parts.uri.path(),
                "body_bytes": received.bytes,
                "body_sha256": sha256,
            });
            ("application/json", Answer::whole(body.to_string()))
        }
    };
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static(content_type));
    for (name, value) in [(STAND_IN_HEADER, shared.options.server.as_str()), (TAG_HEADER, &tag)] {
        if let Ok(value) = header::HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    }
    response
}

fn deadline(parts: &Parts) -> Option<Duration> {
    let ms = text(&parts.headers, "fescuemux-deadline-ms")?.parse().ok()?;
    Some(Duration::from_millis(ms))
}

fn shed() -> Response<Answer> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "all slots are busy\n");
    let verdict = header::HeaderValue::from_static("not-run");
    response.headers_mut().insert("fescuemux-verdict", verdict);
    response
}

fn deadline_passed() -> Response<Answer> {
    let mut response = plain(StatusCode::GATEWAY_TIMEOUT, "the deadline passed\n");
    let verdict = header::HeaderValue::from_static("may-have-run");
    response.headers_mut().insert("fescuemux-verdict", verdict);
    response
}

fn plain(status: StatusCode, text: &str) -> Response<Answer> {
    let mut response = Response::new(Answer::whole(text.to_owned()));
    *response.status_mut() = status;
    response
}
