//! Relay of one request to the local backend server.

use super::{AdmissionEntry, log_suspicion_change};
use crate::HeaderNames;
use crate::guard::server_connections;
use crate::h1::{
    BodyReader, Connection, Framing, H1Error, RequestHead, ResponseHead, ResponseReader,
};
use crate::hop::{
    Commit, Failure, Frame, HopCodec, HopConnection, HopError, HopResponseHead, Message, Reserve,
};
use crate::node::{Node, RunningRequest};
use fescuemux_core::placement::{RequestOutcome, ServerReport};
use futures::stream::{SplitSink, SplitStream};
use futures::{SinkExt, StreamExt};
use std::cell::Cell;
use std::io;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{Mutex, oneshot};
use tokio_util::codec::Framed;
use tracing::{info, warn};

/// Maximum number of response heads read to find the one that matches the request.
const MAX_RESPONSE_HEADS: usize = 4;

/// Maximum number of body bytes of a response to an earlier request that are read to find the one
/// that matches.
const MAX_SKIPPED_BODY_BYTES: u64 = 1 << 20;

/// Maximum number of body bytes of a response. A server in trouble may send bytes until its caller
/// closes the connection; the deadline limits the time, and this the bytes.
const MAX_RESPONSE_BYTES: u64 = 1 << 30;

type HopFrames<'a> = &'a mut Framed<TcpStream, HopCodec>;
type HopSink<'a> = SplitSink<HopFrames<'a>, Frame>;
type HopStream<'a> = SplitStream<HopFrames<'a>>;

/// Result of the exchange with the backend server.
struct RelayResult {
    outcome: RequestOutcome,
    /// Failure to report to the ingress if the response is not complete.
    failure: Option<Failure>,
    /// `Some` if the connection can be reused; the inner value is the idle timeout that the server
    /// stated, if any.
    reuse_idle_timeout: Option<Option<Duration>>,
}

impl RelayResult {
    fn failed(outcome: RequestOutcome, failure: Failure) -> RelayResult {
        RelayResult { outcome, failure: Some(failure), reuse_idle_timeout: None }
    }
}

/// Runs a committed request at the backend server and sends its response to the ingress.
///
/// # Errors
/// Fails if the hop connection must not be used any further.
pub(super) async fn run(
    node: &Node,
    hop: &mut HopConnection,
    entry: &AdmissionEntry,
    commit: Commit,
    reserve: &Reserve,
) -> Result<(), HopError> {
    let started_at = node.now();
    let deadline = started_at + Duration::from_millis(u64::from(commit.time_left_ms));
    let admitted = node.admission.borrow_mut().start(started_at, entry.ticket);
    let server = node.admission.borrow().server().map(|server| server.report.clone());
    let Some(server) = server.filter(|_| admitted) else {
        return fail_before_send(node, hop, &commit, Failure::Expired).await;
    };
    let header_names = node.dialect.headers();
    let head = request_head(&header_names, &commit, &server.id, deadline, node.now());
    let opened = server_connections::take(node, server.addr, reserve.idempotent).await;
    let mut connection = match opened {
        Ok(connection) => connection,
        Err(e) => {
            warn!(event = "server_unreachable", request = commit.request_id, error = %e);
            finish_admission(node, entry, &commit, RequestOutcome::Unreachable);
            return fail_before_send(node, hop, &commit, Failure::Unreachable).await;
        }
    };
    let _running = RunningEntry::new(node, &commit.request_id, reserve);
    let body_complete = Cell::new(false);
    let (sink, mut stream) = (&mut hop.frames).split();
    let sink = Mutex::new(sink);
    let (evict_tx, evict_rx) = oneshot::channel();
    node.eviction_senders.borrow_mut().insert(entry.ticket, evict_tx);
    let result = {
        let Connection { reader, writer, .. } = &mut connection;
        let chunked = commit.body_len.is_none();
        let upload = upload(&mut stream, writer, &head, chunked, &body_complete);
        let download = download(node, &server, &sink, reader, &commit);
        let time_left = deadline.saturating_duration_since(node.now());
        tokio::select! {
            () = upload => {
                RelayResult {
                    outcome: RequestOutcome::Abandoned,
                    failure: None,
                    reuse_idle_timeout: None,
                }
            }
            result = download => result,
            () = notify_evicted(evict_rx, &sink) => {
                RelayResult {
                    outcome: RequestOutcome::Abandoned,
                    failure: None,
                    reuse_idle_timeout: None,
                }
            }
            () = tokio::time::sleep(time_left) => {
                RelayResult::failed(RequestOutcome::Abandoned, Failure::Deadline)
            }
        }
    };
    drop((sink, stream));
    log_work(node, reserve, &commit, started_at, &result);
    finish_admission(node, entry, &commit, attribute_failure(node, &commit, result.outcome));
    if let Some(idle_timeout) = result.reuse_idle_timeout.filter(|_| body_complete.get()) {
        connection.idle_timeout = idle_timeout;
        server_connections::put(node, server.addr, connection);
    }
    match result.failure {
        Some(failure) => {
            log_failure(&commit, failure);
            hop.send(Message::Failed(failure)).await?;
        }
        None if result.outcome == RequestOutcome::Abandoned => return Err(HopError::Closed),
        None => {}
    }
    // Frames of an incomplete request body may still arrive, so close the connection.
    if body_complete.get() { Ok(()) } else { Err(HopError::Closed) }
}

/// Registers a request as running at the local backend server until dropped.
struct RunningEntry<'a> {
    node: &'a Node,
    request_id: &'a str,
}

impl<'a> RunningEntry<'a> {
    fn new(node: &'a Node, request_id: &'a str, reserve: &Reserve) -> RunningEntry<'a> {
        let is_part_of_retry = reserve.is_retry || reserve.nested_in_retry;
        let id = request_id.to_owned();
        node.running_requests.borrow_mut().push(RunningRequest { id, is_part_of_retry });
        RunningEntry { node, request_id }
    }
}

impl Drop for RunningEntry<'_> {
    fn drop(&mut self) {
        let mut running = self.node.running_requests.borrow_mut();
        if let Some(at) = running.iter().position(|running| running.id == self.request_id) {
            running.swap_remove(at);
        }
    }
}

/// Reports to the ingress that nothing was sent to the server, and closes the connection because
/// the request body may still arrive on it.
async fn fail_before_send(
    node: &Node,
    hop: &mut HopConnection,
    commit: &Commit,
    failure: Failure,
) -> Result<(), HopError> {
    log_failure(commit, failure);
    node.metrics.record_admission(failure.as_str());
    hop.send(Message::Failed(failure)).await?;
    Err(HopError::Closed)
}

fn log_work(
    node: &Node,
    reserve: &Reserve,
    commit: &Commit,
    started_at: Instant,
    result: &RelayResult,
) {
    let (used_slots, queued, limit) = {
        let admission = node.admission.borrow();
        let limit = admission.server().and_then(|server| server.limit());
        (admission.used_slots(), admission.queued(), limit)
    };
    info!(
        event = "work",
        request = commit.request_id,
        outcome = ?result.outcome,
        nested = reserve.nested,
        retry = reserve.is_retry,
        ms = node.now().saturating_duration_since(started_at).as_millis() as u64,
        busy = used_slots,
        queued,
        limit,
        failure_probability = node.admission.borrow().failure_probability(node.now())
    );
}

fn log_failure(commit: &Commit, failure: Failure) {
    info!(
        event = "work_failed",
        request = commit.request_id,
        reason = failure.as_str(),
        verdict = %failure.verdict()
    );
}

/// Returns the outcome to record for the server. A failed request does not count against the server
/// if a request nested in it failed as well.
fn attribute_failure(node: &Node, commit: &Commit, outcome: RequestOutcome) -> RequestOutcome {
    let failed_requests = node.failed_requests.borrow();
    match outcome {
        RequestOutcome::Failed
            if failed_requests.has_nested_request_of(node.now(), &commit.request_id) =>
        {
            RequestOutcome::CallFailed
        }
        other => other,
    }
}

fn finish_admission(node: &Node, entry: &AdmissionEntry, commit: &Commit, outcome: RequestOutcome) {
    node.admission.borrow_mut().finish(node.now(), entry.ticket, outcome);
    log_suspicion_change(node, &commit.request_id);
    node.advance_admission();
}

fn request_head(
    header_names: &HeaderNames,
    commit: &Commit,
    server_id: &str,
    deadline: Instant,
    now: Instant,
) -> bytes::BytesMut {
    let mut head = RequestHead::new(&commit.method, &commit.path);
    for (name, value) in &commit.headers {
        head.header(name, value);
    }
    let time_left = deadline.saturating_duration_since(now).as_millis().max(1);
    head.header(header_names.deadline_ms, time_left.to_string().as_bytes());
    head.header(header_names.target_server, server_id.as_bytes());
    match commit.body_len {
        Some(0) if commit.method == "GET" || commit.method == "HEAD" => {}
        Some(len) => head.header("content-length", len.to_string().as_bytes()),
        None => head.header("transfer-encoding", b"chunked"),
    }
    head.finish()
}

/// Forwards the request to the server. Returns only when the ingress closes the connection or
/// violates the protocol; write errors are ignored, as a server that stops reading may still
/// respond.
async fn upload(
    stream: &mut HopStream<'_>,
    writer: &mut OwnedWriteHalf,
    head: &[u8],
    chunked: bool,
    complete: &Cell<bool>,
) {
    let mut write_result = writer.write_all(head).await;
    while let Some(Ok(frame)) = stream.next().await {
        let frame_result = match frame {
            _ if write_result.is_err() => Ok(()),
            Frame::Body(bytes) => write_body(writer, &bytes, chunked).await,
            Frame::Message(Message::BodyEnd) => {
                let end_result =
                    if chunked { writer.write_all(b"0\r\n\r\n").await } else { Ok(()) };
                complete.set(end_result.is_ok());
                end_result
            }
            // Protocol violation by the ingress.
            Frame::Message(_) => return,
        };
        write_result = write_result.and(frame_result);
    }
}

async fn write_body(writer: &mut OwnedWriteHalf, bytes: &[u8], chunked: bool) -> io::Result<()> {
    if !chunked {
        return writer.write_all(bytes).await;
    }
    writer.write_all(format!("{:x}\r\n", bytes.len()).as_bytes()).await?;
    writer.write_all(bytes).await?;
    writer.write_all(b"\r\n").await
}

/// Notifies the ingress when the request is evicted from its slot. Returns only if the notification
/// cannot be sent.
async fn notify_evicted(evict_rx: oneshot::Receiver<()>, sink: &Mutex<HopSink<'_>>) {
    if evict_rx.await.is_ok() {
        let message = Frame::Message(Message::Evicted);
        if sink.lock().await.send(message).await.is_err() {
            return;
        }
    }
    futures::future::pending().await
}

/// Receives the response to the request and forwards it to the ingress if it is valid.
async fn download(
    node: &Node,
    server: &ServerReport,
    sink: &Mutex<HopSink<'_>>,
    reader: &mut ResponseReader,
    commit: &Commit,
) -> RelayResult {
    let header_names = node.dialect.headers();
    let head = match read_matching_head(reader, &header_names, &commit.request_id).await {
        Ok(head) => head,
        Err(e) => {
            info!(event = "answer_missing", request = commit.request_id, error = %e);
            return RelayResult::failed(RequestOutcome::Failed, Failure::Broken);
        }
    };
    node.on_server_notice(server, node.dialect.decode_notice(&head));
    let Ok(framing) = framing(&head, commit) else {
        return RelayResult::failed(RequestOutcome::Failed, Failure::Broken);
    };
    if head.header(header_names.not_run).is_some() || head.status == 421 {
        return RelayResult::failed(RequestOutcome::Shed, Failure::Shed);
    }
    let success = (200..300).contains(&head.status);
    let encoded = head.header("content-encoding").is_some();
    if success && (head.header(header_names.response_stamp).is_none() || encoded) {
        info!(event = "answer_unproved", request = commit.request_id, status = head.status);
        return RelayResult::failed(RequestOutcome::Failed, Failure::Broken);
    }
    match relay_response(node, sink, reader, &head, framing).await {
        Ok(()) => RelayResult {
            outcome: if head.status >= 500 {
                RequestOutcome::Failed
            } else {
                RequestOutcome::Answered
            },
            failure: None,
            reuse_idle_timeout: (!head.closes_connection() && framing != Framing::UntilClose)
                .then(|| head.idle_timeout()),
        },
        Err(RelayError::Server(e)) => {
            info!(event = "answer_cut", request = commit.request_id, error = %e);
            RelayResult::failed(RequestOutcome::Failed, Failure::Broken)
        }
        Err(RelayError::Ingress) => RelayResult {
            outcome: RequestOutcome::Abandoned,
            failure: None,
            reuse_idle_timeout: None,
        },
    }
}

fn framing(head: &ResponseHead, commit: &Commit) -> Result<Framing, H1Error> {
    if commit.method == "HEAD" { Ok(Framing::Length(0)) } else { head.framing() }
}

/// Returns the response head that carries the request's id. Responses with another id are skipped;
/// they may be late responses to earlier requests on the connection.
async fn read_matching_head(
    reader: &mut ResponseReader,
    header_names: &HeaderNames,
    request_id: &str,
) -> Result<ResponseHead, H1Error> {
    for _ in 0..MAX_RESPONSE_HEADS {
        let head = reader.next_head().await?;
        if head.header(header_names.request_id) == Some(request_id) {
            return Ok(head);
        }
        let framing = head.framing()?;
        if framing == Framing::UntilClose {
            return Err(H1Error::Malformed);
        }
        let mut body = BodyReader::new(framing, MAX_SKIPPED_BODY_BYTES);
        while body.next_chunk(reader).await?.is_some() {}
    }
    Err(H1Error::Malformed)
}

/// Side that failed while a response was relayed.
enum RelayError {
    Server(H1Error),
    Ingress,
}

async fn relay_response(
    node: &Node,
    sink: &Mutex<HopSink<'_>>,
    reader: &mut ResponseReader,
    head: &ResponseHead,
    framing: Framing,
) -> Result<(), RelayError> {
    let body_len = match framing {
        Framing::Length(len) => Some(len),
        Framing::Chunked | Framing::UntilClose => None,
    };
    let headers = head.headers.iter().filter(|(name, _)| !server_connections::is_hop_by_hop(name));
    let headers = headers.map(|(name, value)| (name.clone(), value.to_vec())).collect();
    let server_notice = node.admission.borrow().server().and_then(|server| server.relayed_notice());
    let server_notice = server_notice.map(Into::into);
    let head = HopResponseHead { status: head.status, headers, body_len, server_notice };
    let ingress_error = |_: io::Error| RelayError::Ingress;
    let mut sink = sink.lock().await;
    sink.feed(Frame::Message(Message::Head(head))).await.map_err(ingress_error)?;
    let mut body = BodyReader::new(framing, MAX_RESPONSE_BYTES);
    while let Some(chunk) = body.next_chunk(reader).await.map_err(RelayError::Server)? {
        sink.feed(Frame::Body(chunk)).await.map_err(ingress_error)?;
    }
    sink.send(Frame::Message(Message::End)).await.map_err(ingress_error)
}
