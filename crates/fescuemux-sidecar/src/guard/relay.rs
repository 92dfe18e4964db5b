//! Relay of one request to the local backend server.

mod download;
mod upload;

use super::{AdmissionEntry, log_suspicion_change};
use crate::guard::server_connections;
use crate::h1::Connection;
use crate::hop::{Commit, Failure, Frame, HopCodec, HopConnection, HopError, Message, Reserve};
use crate::node::{Node, RunningRequest};
use download::download;
use fescuemux_core::placement::RequestOutcome;
use futures::stream::{SplitSink, SplitStream};
use futures::{SinkExt, StreamExt};
use std::cell::Cell;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, oneshot};
use tokio_util::codec::Framed;
use tracing::{info, warn};
use upload::{request_head, upload};

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
/// Fails if the hop connection must not be used any further, with
/// [`HopError::IncompleteRequest`] if frames of the request body may still arrive on it.
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
            () = notify_evicted(evict_rx, &sink, &commit) => {
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
    if result.outcome == RequestOutcome::Abandoned {
        node.unfinished_parents.borrow_mut().on_broken_off(node.now(), &commit.request_id);
    }
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
    if body_complete.get() { Ok(()) } else { Err(HopError::IncompleteRequest) }
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

/// Reports to the ingress that nothing was sent to the server.
async fn fail_before_send(
    node: &Node,
    hop: &mut HopConnection,
    commit: &Commit,
    failure: Failure,
) -> Result<(), HopError> {
    log_failure(commit, failure);
    node.metrics.record_admission(failure.as_str());
    hop.send(Message::Failed(failure)).await?;
    Err(HopError::IncompleteRequest)
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

/// Notifies the ingress when the request is evicted from its slot. Returns only if the notification
/// cannot be sent.
async fn notify_evicted(
    evict_rx: oneshot::Receiver<()>,
    sink: &Mutex<HopSink<'_>>,
    commit: &Commit,
) {
    if evict_rx.await.is_ok() {
        info!(event = "evicted", request = commit.request_id);
        let message = Frame::Message(Message::Evicted);
        if sink.lock().await.send(message).await.is_err() {
            return;
        }
    }
    futures::future::pending().await
}
