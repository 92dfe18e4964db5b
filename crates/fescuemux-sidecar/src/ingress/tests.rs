//! Unit tests of the ingress.

mod pipelining;

use super::exchange::Exchange;
use super::request_body::RequestBody;
use super::response::ServerResponseHead;
use crate::hop::{Commit, Frame, HopConnection, HopResponseHead, Message};
use crate::memory::{Memory, MemoryHold};
use crate::metrics::Metrics;
use bytes::Bytes;
use fescuemux_clock::BootClock;
use fescuemux_core::memory::{MemoryClass, ProcessLimits};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

fn unlimited_hold() -> Rc<MemoryHold> {
    let metrics = Metrics::new().expect("metrics");
    let clock = Arc::new(BootClock::new());
    let memory = Rc::new(Memory::new(ProcessLimits::default(), clock, metrics));
    Rc::new(memory.hold(MemoryClass::Small, Some(0)))
}

/// Sends the frames of a guard to an exchange, closes the connection, and returns the response body
/// if the exchange takes it for complete.
async fn receive(frames: Vec<Frame>, body_len: Option<u64>) -> Option<Vec<u8>> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (hop, accepted) = tokio::join!(
        HopConnection::open(addr, Instant::now(), Duration::from_secs(5)),
        listener.accept()
    );
    let (stream, _) = accepted.expect("a connection");
    let mut guard = HopConnection::from_stream(stream, Instant::now()).expect("a guard");
    let commit = Commit {
        request_id: "id".to_owned(),
        method: "GET".to_owned(),
        path: "/".to_owned(),
        headers: Vec::new(),
        time_left_ms: 1_000,
        body_len: Some(0),
    };
    let body = RequestBody::buffered(Bytes::new(), unlimited_hold());
    let mut exchange = Exchange::start(hop.expect("a connection"), commit, &body);
    exchange.expect_body(body_len);
    let play = async {
        while !matches!(guard.next_message().await, Ok(Message::BodyEnd)) {}
        for frame in frames {
            futures::SinkExt::send(&mut guard.frames, frame).await.expect("the ingress reads");
        }
        drop(guard);
    };
    let receive = async {
        let mut received = Vec::new();
        while let Some(chunk) = exchange.next_chunk().await.ok()? {
            received.extend_from_slice(&chunk);
        }
        Some(received)
    };
    tokio::join!(play, receive).1
}

/// Between instances, too, a response must be complete only if its end was told and all of its
/// bytes have come.
#[tokio::test(flavor = "current_thread")]
async fn a_response_of_a_guard_ends_where_it_says() {
    struct Case {
        name: &'static str,
        frames: Vec<Frame>,
        body_len: Option<u64>,
        complete: bool,
    }
    let body = |len: usize| Frame::Body(Bytes::from(vec![b'a'; len]));
    let end = || Frame::Message(Message::End);
    let case = |name, frames, body_len, complete| Case { name, frames, body_len, complete };
    let cases = [
        case("a length", vec![body(2), body(2), end()], Some(4), true),
        case("no length", vec![body(2), body(2), end()], None, true),
        case("an eviction", vec![body(2), Frame::Message(Message::Evicted), end()], Some(2), true),
        case("an end too early", vec![body(2), end()], Some(4), false),
        case("too many bytes", vec![body(2), body(3), end()], Some(4), false),
        case("no end", vec![body(2), body(2)], Some(4), false),
        case("no end and no length", vec![body(2), body(2)], None, false),
        case("another message", vec![body(2), Frame::Message(Message::Granted)], None, false),
    ];
    for case in cases {
        let received = receive(case.frames, case.body_len).await;
        assert_eq!(received.is_some(), case.complete, "{}: {received:?}", case.name);
    }
}

/// A head that no guard sends must not become another answer, for example without some headers.
#[test]
fn a_head_of_a_guard_is_valid_or_broken() {
    struct Case {
        status: u16,
        name: &'static str,
        value: &'static [u8],
        valid: bool,
    }
    let with_status = |status, valid| Case { status, name: "x-tag", value: b"a", valid };
    let cases = [
        Case { status: 200, name: "x-tag", value: b"\xff", valid: true },
        with_status(404, true),
        with_status(500, true),
        with_status(504, true),
        with_status(599, true),
        // A guard sends no head for a request that did not run.
        with_status(408, false),
        with_status(421, false),
        with_status(429, false),
        with_status(503, false),
        with_status(0, false),
        with_status(101, false),
        with_status(600, false),
        Case { status: 200, name: "x tag", value: b"a", valid: false },
        Case { status: 200, name: "", value: b"a", valid: false },
        Case { status: 200, name: "x-tag", value: b"a\r\nb: c", valid: false },
    ];
    for Case { status, name, value, valid } in cases {
        let headers = vec![(name.to_owned(), value.to_vec())];
        let head = HopResponseHead { status, headers, body_len: None, server_notice: None };
        let converted = ServerResponseHead::try_from(head);
        assert_eq!(converted.is_ok(), valid, "{status} {name}: {converted:?}");
    }
}
