//! Receipt of the server's response, and forwarding to the ingress.

use super::{HopSink, RelayResult};
use crate::HeaderNames;
use crate::guard::server_connections;
use crate::h1::{
    Framing, RequestMethod, ResponseDecoder, ResponseError, ResponseHead, ResponseReader,
};
use crate::hop::{Commit, Failure, Frame, HopResponseHead, Message};
use crate::node::Node;
use fescuemux_core::base::is_refusal_status;
use fescuemux_core::placement::{RequestOutcome, ServerReport};
use futures::SinkExt;
use std::io;
use tokio::sync::Mutex;
use tracing::info;

/// Maximum number of body bytes of a response. A server in trouble may send bytes until its caller
/// closes the connection; the deadline limits the time, and this the bytes.
const MAX_RESPONSE_BYTES: u64 = 1 << 30;

/// Maximum number of body bytes of a response to an earlier request that are read to find the one
/// that matches.
const MAX_SKIPPED_BODY_BYTES: u64 = 1 << 20;

/// Maximum number of response heads read to find the one that matches the request.
const MAX_RESPONSE_HEADS: usize = 4;

/// Receives the response to the request and forwards it to the ingress if it is valid.
pub(super) async fn download(
    node: &Node,
    server: &ServerReport,
    sink: &Mutex<HopSink<'_>>,
    reader: &mut ResponseReader,
    commit: &Commit,
) -> RelayResult {
    let header_names = node.dialect.headers();
    let (head, decoder) = match read_matching_head(reader, &header_names, commit).await {
        Ok(matching) => matching,
        Err(e) => {
            info!(event = "answer_missing", request = commit.request_id, error = %e);
            return RelayResult::failed(RequestOutcome::Failed, Failure::Broken);
        }
    };
    node.on_server_notice(server, node.dialect.decode_notice(&head));
    if proves_not_run(&head, &header_names, server) {
        return RelayResult::failed(RequestOutcome::Shed, Failure::Shed);
    }
    let success = (200..300).contains(&head.status);
    let encoded = head.header("content-encoding").is_some();
    let unproved_success =
        success && (head.header(header_names.response_stamp).is_none() || encoded);
    // A server in trouble may run a request and then refuse it.
    if unproved_success || is_refusal_status(head.status) {
        info!(event = "answer_unproved", request = commit.request_id, status = head.status);
        return RelayResult::failed(RequestOutcome::Failed, Failure::Broken);
    }
    match relay_response(node, sink, reader, &head, decoder).await {
        Ok(()) => RelayResult {
            outcome: if head.status >= 500 {
                RequestOutcome::Failed
            } else {
                RequestOutcome::Answered
            },
            failure: None,
            reuse_idle_timeout: (!head.closes_connection() && head.framing != Framing::UntilClose)
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

/// Returns whether a response proves that the server did not run the request: it says so, or the
/// address belongs to another server by now.
fn proves_not_run(head: &ResponseHead, header_names: &HeaderNames, server: &ServerReport) -> bool {
    let is_another_server = head.header(header_names.server_id).is_some_and(|id| *server.id != *id);
    head.header(header_names.not_run).is_some() || (head.status == 421 && is_another_server)
}

/// Returns the response head that carries the request's id, and the decoder of its body. Responses
/// with another id are skipped; they may be late responses to earlier requests on the connection.
async fn read_matching_head(
    reader: &mut ResponseReader,
    header_names: &HeaderNames,
    commit: &Commit,
) -> Result<(ResponseHead, ResponseDecoder), ResponseError> {
    let method = RequestMethod::from(commit.method.as_str());
    for _ in 0..MAX_RESPONSE_HEADS {
        let mut decoder = ResponseDecoder::new(method).with_max_body_len(MAX_RESPONSE_BYTES);
        let head = reader.read_head(&mut decoder).await?;
        if head.header(header_names.request_id) == Some(&*commit.request_id) {
            return Ok((head, decoder));
        }
        // A skipped response need not be one to a `HEAD` request, so its end would be unknown.
        if head.framing == Framing::UntilClose || method == RequestMethod::Head {
            return Err(ResponseError::Malformed);
        }
        let mut skipped_len = 0;
        while let Some(chunk) = reader.read_chunk(&mut decoder).await? {
            skipped_len += chunk.len() as u64;
            if skipped_len > MAX_SKIPPED_BODY_BYTES {
                return Err(ResponseError::TooLarge);
            }
        }
    }
    Err(ResponseError::Malformed)
}

/// Side that failed while a response was relayed.
enum RelayError {
    Server(ResponseError),
    Ingress,
}

async fn relay_response(
    node: &Node,
    sink: &Mutex<HopSink<'_>>,
    reader: &mut ResponseReader,
    head: &ResponseHead,
    mut decoder: ResponseDecoder,
) -> Result<(), RelayError> {
    let body_len = decoder.body_len();
    let headers = head.headers.iter().filter(|(name, _)| !server_connections::is_hop_by_hop(name));
    let headers = headers.map(|(name, value)| (name.clone(), value.to_vec())).collect();
    let server_notice = node.admission.borrow().server().and_then(|server| server.relayed_notice());
    let server_notice = server_notice.map(Into::into);
    let head = HopResponseHead { status: head.status, headers, body_len, server_notice };
    let ingress_error = |_: io::Error| RelayError::Ingress;
    let mut sink = sink.lock().await;
    sink.feed(Frame::Message(Message::Head(head))).await.map_err(ingress_error)?;
    while let Some(chunk) = reader.read_chunk(&mut decoder).await.map_err(RelayError::Server)? {
        sink.feed(Frame::Body(chunk)).await.map_err(ingress_error)?;
    }
    sink.send(Frame::Message(Message::End)).await.map_err(ingress_error)
}
