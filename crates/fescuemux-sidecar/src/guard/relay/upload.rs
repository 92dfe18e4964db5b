//! Forwarding of a request to the backend server.

use super::HopStream;
use crate::HeaderNames;
use crate::h1::{RequestHead, RequestWriter};
use crate::hop::{Commit, Frame, Message};
use futures::StreamExt;
use std::cell::Cell;
use std::io;
use std::time::Instant;

/// Returns the head of the request to the server.
pub(super) fn request_head(
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
pub(super) async fn upload(
    stream: &mut HopStream<'_>,
    writer: &mut RequestWriter,
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

async fn write_body(writer: &mut RequestWriter, bytes: &[u8], chunked: bool) -> io::Result<()> {
    if !chunked {
        return writer.write_all(bytes).await;
    }
    writer.write_all(format!("{:x}\r\n", bytes.len()).as_bytes()).await?;
    writer.write_all(bytes).await?;
    writer.write_all(b"\r\n").await
}
