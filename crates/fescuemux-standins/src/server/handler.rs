//! Handles requests: `/health`, `/load`, and work on all other paths.

use super::answer::ResponseBody;
use super::content::content_seed;
use super::fault::ServerFault;
use super::shared::Shared;
use super::work::{SlotGuard, header_text};
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

/// Length of a request body and its SHA-256 in hexadecimal.
struct RequestDigest {
    bytes: u64,
    sha256: String,
}

/// Handles one request. An error closes the connection without a response.
pub(super) async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> io::Result<Response<ResponseBody>> {
    match request.uri().path() {
        "/health" => Ok(text_response(StatusCode::OK, "ok\n")),
        "/load" => Ok(load_response(&shared)),
        _ => handle_work(&shared, request).await,
    }
}

fn load_response(shared: &Shared) -> Response<ResponseBody> {
    text_response(StatusCode::OK, &format!("{}\n", shared.reported_load.load(Ordering::SeqCst)))
}

async fn handle_work(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
) -> io::Result<Response<ResponseBody>> {
    let arrived = Instant::now();
    let fault = shared.fault();
    let (parts, mut body) = request.into_parts();
    let slot = SlotGuard::acquire(shared, &parts.headers);
    if fault == ServerFault::BlackHole {
        // Holds the slot, if a slot was free, until the connection closes.
        future::pending::<()>().await;
    }
    let Some(slot) = slot else {
        drain_body(body);
        return Ok(no_free_slot());
    };
    let run = run_request(shared, &fault, &mut body);
    let received = match time_to_deadline(&parts) {
        None => run.await?,
        Some(remaining) => match time::timeout_at((arrived + remaining).into(), run).await {
            Ok(received) => received?,
            Err(_) => {
                drain_body(body);
                return Ok(deadline_exceeded());
            }
        },
    };
    slot.finish();
    respond(shared, &fault, &parts, &received)
}

/// Reads and discards the rest of a request body. Closing the connection instead would reset
/// the connection, and a client that is still sending would lose the response.
fn drain_body(mut body: Incoming) {
    tokio::spawn(async move { while let Some(Ok(_)) = body.frame().await {} });
}

/// Reads the request body and sleeps for the service time.
async fn run_request(
    shared: &Shared,
    fault: &ServerFault,
    body: &mut Incoming,
) -> io::Result<RequestDigest> {
    let mut bytes = 0;
    let mut hasher = Sha256::new();
    while let Some(frame) = body.frame().await {
        if let Some(data) = frame.map_err(io::Error::other)?.data_ref() {
            bytes += data.len() as u64;
            hasher.update(data);
        }
    }
    let factor = if let ServerFault::Slow(factor) = fault { factor.max(0.0) } else { 1.0 };
    let service_time = shared.draw_service_time().mul_f64(factor);
    // Even a sleep of zero takes up to a millisecond, because the timer rounds up to whole
    // milliseconds. That rounding would distort latency measurements.
    if !service_time.is_zero() {
        time::sleep(service_time).await;
    }
    Ok(RequestDigest { bytes, sha256: format!("{:x}", hasher.finalize()) })
}

fn respond(
    shared: &Shared,
    fault: &ServerFault,
    parts: &Parts,
    received: &RequestDigest,
) -> io::Result<Response<ResponseBody>> {
    match fault {
        ServerFault::Errors(ratio) if shared.should_inject(*ratio) => {
            Ok(text_response(StatusCode::INTERNAL_SERVER_ERROR, "error by the configured fault\n"))
        }
        ServerFault::LostResponse(ratio) if shared.should_inject(*ratio) => {
            Err(io::Error::other("response lost by the configured fault"))
        }
        ServerFault::TruncatedResponse(ratio) if shared.should_inject(*ratio) => {
            Ok(echo_response(shared, parts, received, false).map(ResponseBody::truncated))
        }
        ServerFault::WrongResponse(ratio) if shared.should_inject(*ratio) => {
            Ok(echo_response(shared, parts, received, true))
        }
        _ => Ok(echo_response(shared, parts, received, false)),
    }
}

/// Builds the response that echoes the request. With `is_wrong`, its tag and content do
/// not match the request.
fn echo_response(
    shared: &Shared,
    parts: &Parts,
    received: &RequestDigest,
    is_wrong: bool,
) -> Response<ResponseBody> {
    let sent_tag = header_text(&parts.headers, TAG_HEADER).unwrap_or_default();
    let tag = if is_wrong { format!("{sent_tag}-wrong") } else { sent_tag };
    let size =
        header_text(&parts.headers, RESPONSE_BYTES_HEADER).and_then(|text| text.parse().ok());
    let (content_type, body) = match size {
        Some(size) => {
            ("application/octet-stream", ResponseBody::generated(content_seed(&tag), size))
        }
        None => {
            let sha256 = if is_wrong { "0".repeat(64) } else { received.sha256.clone() };
            let body = json!({
                "server": shared.options.server,
                "service": shared.options.service,
                "tag": tag,
                "method": parts.method.as_str(),
                "path": parts.uri.path(),
                "body_bytes": received.bytes,
                "body_sha256": sha256,
            });
            ("application/json", ResponseBody::buffered(body.to_string()))
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

fn time_to_deadline(parts: &Parts) -> Option<Duration> {
    let ms = header_text(&parts.headers, "fescuemux-deadline-ms")?.parse().ok()?;
    Some(Duration::from_millis(ms))
}

fn no_free_slot() -> Response<ResponseBody> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "all slots are busy\n");
    let verdict = header::HeaderValue::from_static("not-run");
    response.headers_mut().insert("fescuemux-verdict", verdict);
    response
}

fn deadline_exceeded() -> Response<ResponseBody> {
    let mut response = text_response(StatusCode::GATEWAY_TIMEOUT, "the deadline passed\n");
    let verdict = header::HeaderValue::from_static("may-have-run");
    response.headers_mut().insert("fescuemux-verdict", verdict);
    response
}

fn text_response(status: StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(text.to_owned()));
    *response.status_mut() = status;
    response
}
