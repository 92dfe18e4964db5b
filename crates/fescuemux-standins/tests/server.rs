//! Tests of the stand-in backend server and of the effect of each fault.

use anyhow::Context;
use fescuemux_standins::server::{
    Execution, ServerFault, ServerOptions, StandInServer, content_seed, response_byte,
};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Timeout of every wait. It is long because it only ends tests that would otherwise hang.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

struct Response {
    status: u16,
    head: String,
    body: Vec<u8>,
    is_complete: bool,
}

/// Sends one request on its own connection and reads until the connection is closed.
fn send_request(addr: SocketAddr, head: &str, body: &[u8]) -> anyhow::Result<Response> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
    let length = body.len();
    write!(stream, "{head}host: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n")?;
    stream.write_all(body)?;
    let mut bytes = Vec::new();
    // A truncated response may end with a connection reset after its first half.
    let _ = stream.read_to_end(&mut bytes);
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n").context("no response")?;
    let head = String::from_utf8(bytes[..end].to_vec())?;
    let status = head.split(' ').nth(1).context("no status")?.parse()?;
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let body = bytes[end + 4..].to_vec();
    let is_complete = length.is_some_and(|length| length.parse() == Ok(body.len()));
    Ok(Response { status, head, body, is_complete })
}

fn start_server(options: ServerOptions) -> StandInServer {
    StandInServer::start(options).expect("the stand-in server starts")
}

fn zero_service_time() -> ServerOptions {
    ServerOptions { service_time: Duration::ZERO, ..ServerOptions::default() }
}

/// Sends one tagged request and classifies the response.
fn observed_effect(server: &StandInServer) -> &'static str {
    let head = "POST /work HTTP/1.1\r\nx-tag: t-1\r\n";
    let Ok(response) = send_request(server.addr(), head, b"abc") else {
        return "no response";
    };
    let has_echoed_tag = response.head.contains("x-tag: t-1\r\n");
    match (response.status, response.is_complete, has_echoed_tag) {
        (200, true, true) => "correct",
        (200, true, false) => "wrong",
        (200, false, _) => "truncated",
        (500, ..) => "error",
        _ => "other",
    }
}

fn wait_for(what: &str, is_done: impl Fn() -> bool) {
    let start = Instant::now();
    while !is_done() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Fails if a fault has no effect or the effect of another fault.
#[test]
fn each_fault_has_its_effect() {
    struct Case {
        fault: ServerFault,
        effect: &'static str,
        executions: usize,
    }
    let flapping = |duty| ServerFault::Flapping {
        period: Duration::from_secs(3600),
        duty,
        inner: Box::new(ServerFault::Errors(1.0)),
    };
    let cases = [
        Case { fault: ServerFault::None, effect: "correct", executions: 1 },
        Case { fault: ServerFault::Slow(2.0), effect: "correct", executions: 1 },
        Case { fault: ServerFault::Errors(1.0), effect: "error", executions: 1 },
        Case { fault: ServerFault::Errors(0.0), effect: "correct", executions: 1 },
        Case { fault: ServerFault::TruncatedResponse(1.0), effect: "truncated", executions: 1 },
        Case { fault: ServerFault::WrongResponse(1.0), effect: "wrong", executions: 1 },
        Case { fault: ServerFault::LostResponse(1.0), effect: "no response", executions: 1 },
        Case { fault: ServerFault::RefuseConnections, effect: "no response", executions: 0 },
        Case { fault: flapping(1.0), effect: "error", executions: 1 },
        Case { fault: flapping(0.0), effect: "correct", executions: 1 },
    ];
    for case in cases {
        let server = start_server(zero_service_time());
        server.set_fault(case.fault.clone());
        if case.fault == ServerFault::RefuseConnections {
            wait_for("the refusal", || TcpStream::connect(server.addr()).is_err());
        }
        assert_eq!(observed_effect(&server), case.effect, "{:?}", case.fault);
        let executions = server.executions();
        assert_eq!(executions.len(), case.executions, "{:?}", case.fault);
        assert!(executions.iter().all(|execution| execution.finished.is_some()));
    }
}

/// Fails if a server still refuses connections after the fault is cleared, or changes its address.
#[test]
fn a_server_accepts_connections_again_at_the_same_address() {
    let server = start_server(zero_service_time());
    for _ in 0..3 {
        server.set_fault(ServerFault::RefuseConnections);
        wait_for("the refusal", || TcpStream::connect(server.addr()).is_err());
        server.set_fault(ServerFault::None);
        wait_for("the listener", || TcpStream::connect(server.addr()).is_ok());
        assert_eq!(observed_effect(&server), "correct");
    }
}

/// Fails if flapping stays in one phase.
#[test]
fn a_flapping_server_alternates_between_both_phases() {
    let server = start_server(zero_service_time());
    let inner = Box::new(ServerFault::Errors(1.0));
    let period = Duration::from_millis(40);
    server.set_fault(ServerFault::Flapping { period, duty: 0.5, inner });
    for expected_effect in ["error", "correct", "error", "correct"] {
        wait_for(expected_effect, || observed_effect(&server) == expected_effect);
    }
}

/// Fails if a ratio is ignored, or if random draws do not depend on the seed alone.
#[test]
fn fault_ratios_are_respected_and_reproducible_by_seed() {
    let run = |seed| {
        let server = start_server(ServerOptions { seed, ..zero_service_time() });
        server.set_fault(ServerFault::Errors(0.3));
        (0..200).map(|_| observed_effect(&server) == "error").collect::<Vec<bool>>()
    };
    let first = run(7);
    let failures = first.iter().filter(|hit| **hit).count();
    assert!((30..=90).contains(&failures), "{failures} of 200 requests failed at a ratio of 0.3");
    assert_eq!(first, run(7));
    assert_ne!(first, run(8));
}

/// Fails if the factor of a slow server has no effect. Compares the order of completion, not times.
#[test]
fn a_slow_server_finishes_after_a_healthy_one_that_started_later() {
    let options = ServerOptions { service_time: Duration::from_millis(100), ..zero_service_time() };
    let server = start_server(options);
    server.set_fault(ServerFault::Slow(6000.0));
    let addr = server.addr();
    let slow = thread::spawn(move || send_request(addr, "GET /slow HTTP/1.1\r\n", b""));
    wait_for("the slow request", || server.executions().len() == 1);
    server.set_fault(ServerFault::None);
    send_request(addr, "GET /fast HTTP/1.1\r\n", b"").expect("the healthy request gets a response");
    assert!(server.executions()[0].finished.is_none(), "the slow request finished first");
    server.stop();
    assert!(slow.join().expect("the client thread ends").is_err());
}

/// Fails if a black hole fails health checks, or if a request whose connection closes is not
/// canceled.
#[test]
fn a_black_hole_passes_health_checks_and_frees_slots_when_connections_close() {
    let server = start_server(zero_service_time());
    server.set_fault(ServerFault::BlackHole);
    let mut stream = TcpStream::connect(server.addr()).expect("the server accepts");
    stream.write_all(b"GET /work HTTP/1.1\r\nhost: x\r\n\r\n").expect("the request is sent");
    wait_for("the execution", || server.executions().len() == 1);
    let health = send_request(server.addr(), "GET /health HTTP/1.1\r\n", b"");
    assert_eq!(health.expect("the health check responds").status, 200);
    assert!(!server.executions()[0].canceled);
    stream.shutdown(Shutdown::Both).expect("the client closes");
    wait_for("the cancellation", || server.executions()[0].canceled);
    assert!(server.executions()[0].finished.is_none());
}

/// Fails if more requests run concurrently than there are slots, a rejected request is recorded as
/// executed, or canceled requests keep their slots.
#[test]
fn requests_above_the_slot_limit_are_rejected_as_not_run() {
    let server = start_server(ServerOptions { slots: 2, ..zero_service_time() });
    server.set_fault(ServerFault::BlackHole);
    let streams: Vec<TcpStream> = (0..2)
        .map(|_| {
            let mut stream = TcpStream::connect(server.addr()).expect("the server accepts");
            stream
                .write_all(b"GET /work HTTP/1.1\r\nhost: x\r\n\r\n")
                .expect("the request is sent");
            stream
        })
        .collect();
    wait_for("both executions", || server.executions().len() == 2);
    server.set_fault(ServerFault::None);
    let response = send_request(server.addr(), "GET /work HTTP/1.1\r\n", b"").expect("a response");
    assert_eq!(response.status, 503);
    assert!(response.head.contains("fescuemux-verdict: not-run"), "{}", response.head);
    assert_eq!((server.executions().len(), server.peak_concurrency()), (2, 2));
    drop(streams);
    wait_for("a free slot", || observed_effect(&server) == "correct");
}

/// Fails if an early response is lost because the connection is reset while the client still sends
/// a large body.
#[test]
fn early_responses_to_large_bodies_arrive() {
    struct Case {
        slots: u32,
        status: u16,
    }
    let body = vec![0; 20_000_000];
    for Case { slots, status } in [Case { slots: 0, status: 503 }, Case { slots: 1, status: 504 }] {
        let service_time = Duration::from_secs(600);
        let server = start_server(ServerOptions { slots, service_time, ..zero_service_time() });
        for _ in 0..5 {
            let head = "POST /work HTTP/1.1\r\nfescuemux-deadline-ms: 1\r\n";
            let response = send_request(server.addr(), head, &body).expect("a response");
            assert_eq!(response.status, status);
        }
    }
}

/// Fails if a request runs past its deadline.
#[test]
fn a_passed_deadline_cancels_the_work() {
    let server = start_server(ServerOptions {
        service_time: Duration::from_secs(600),
        ..zero_service_time()
    });
    let head = "GET /work HTTP/1.1\r\nfescuemux-deadline-ms: 5\r\n";
    let response = send_request(server.addr(), head, b"").expect("a response");
    assert_eq!(response.status, 504);
    let executions = server.executions();
    assert!(executions[0].canceled && executions[0].finished.is_none());
}

/// Fails if a value that tells two requests apart is not echoed or recorded.
#[test]
fn responses_echo_the_request() {
    let server = start_server(zero_service_time());
    let head = "PUT /a/b?c=d HTTP/1.1\r\nx-tag: t-9\r\nfescuemux-request-id: r-9\r\n\
                idempotency-key: k-9\r\n";
    let response = send_request(server.addr(), head, b"abc").expect("a response");
    let echoed: serde_json::Value = serde_json::from_slice(&response.body).expect("a JSON body");
    let expected = serde_json::json!({
        "server": "server-1", "service": "service-1", "tag": "t-9", "method": "PUT",
        "path": "/a/b", "body_bytes": 3,
        "body_sha256": "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
    });
    assert_eq!(echoed, expected);
    let Execution { request_id, idempotency_key, tag, .. } = server.executions()[0].clone();
    let recorded = [request_id, idempotency_key, tag].map(Option::unwrap_or_default);
    assert_eq!(recorded, ["r-9", "k-9", "t-9"]);
}

/// Fails if a body has a wrong length or content, especially around the chunk size.
#[test]
fn responses_of_requested_size_have_the_content_of_the_tag() {
    let server = start_server(zero_service_time());
    for size in [0, 1, 16_383, 16_384, 16_385, 300_000] {
        let head = format!("GET /w HTTP/1.1\r\nx-tag: t\r\nx-answer-bytes: {size}\r\n");
        let response = send_request(server.addr(), &head, b"").expect("a response");
        let seed = content_seed("t");
        let expected: Vec<u8> = (0..size).map(|index| response_byte(seed, index)).collect();
        assert!(response.is_complete && response.body == expected, "response of {size} bytes");
    }
    assert_ne!(content_seed("t"), content_seed("u"));
}

/// Fails if `/load` never reports a busy slot. The report lags, as real load endpoints do, so the
/// test waits for the load; it does not check that the report lags.
#[test]
fn reported_load_lags() {
    let server = start_server(zero_service_time());
    server.set_fault(ServerFault::BlackHole);
    let load = || send_request(server.addr(), "GET /load HTTP/1.1\r\n", b"").map(|load| load.body);
    let mut stream = TcpStream::connect(server.addr()).expect("the server accepts");
    stream.write_all(b"GET /work HTTP/1.1\r\nhost: x\r\n\r\n").expect("the request is sent");
    wait_for("the load", || load().is_ok_and(|body| body == b"1\n"));
}

/// Receives one announcement, responds with `status` and returns the announcement.
fn receive_announcement(listener: &TcpListener, status: &str) -> serde_json::Value {
    let (mut stream, _) = listener.accept().expect("the server connects");
    let mut text = String::new();
    let mut buf = [0; 1024];
    while !text.contains('}') {
        let length = stream.read(&mut buf).expect("the announcement can be read");
        assert_ne!(length, 0, "the announcement ended early: {text}");
        text.push_str(&String::from_utf8_lossy(&buf[..length]));
    }
    write!(stream, "HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n").expect("a response");
    assert!(text.starts_with("POST /announce HTTP/1.1\r\n"), "{text}");
    serde_json::from_str(text.split("\r\n\r\n").nth(1).expect("a body")).expect("a JSON body")
}

/// Fails if a phase is announced late or not at all, or if a failed announcement is not retried.
#[test]
fn announcements_carry_the_phase_and_are_retried() {
    struct Case {
        warm_up: Duration,
        before_drain: &'static str,
    }
    let cases = [
        Case { warm_up: Duration::from_secs(3600), before_drain: "cold" },
        Case { warm_up: Duration::from_millis(700), before_drain: "ready" },
        Case { warm_up: Duration::ZERO, before_drain: "ready" },
    ];
    for case in cases {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let announce_to = listener.local_addr().ok();
        let server = start_server(ServerOptions {
            announce_to,
            warm_up: case.warm_up,
            ..zero_service_time()
        });
        let first = receive_announcement(&listener, "500 Internal Server Error");
        assert_eq!(first["address"], server.addr().to_string());
        assert_eq!((&first["slots"], &first["server"]), (&4.into(), &"server-1".into()));
        assert!(first["incarnation"].as_u64().is_some_and(|ms| ms > 1_600_000_000_000), "{first}");
        let mut last = receive_announcement(&listener, "200 OK");
        while last["phase"] != case.before_drain {
            assert_eq!(last["phase"], "cold");
            last = receive_announcement(&listener, "200 OK");
        }
        server.announce_draining();
        // One announcement may already be in flight when the phase changes.
        let after = [(); 2].map(|()| receive_announcement(&listener, "200 OK"));
        assert_eq!(after[1]["phase"], "draining", "{after:?}");
        assert_eq!(after[1]["incarnation"], first["incarnation"]);
    }
}

/// Fails if a stopped server keeps its port or its connections.
#[test]
fn a_stopped_server_closes_its_port_and_connections() {
    let server = start_server(zero_service_time());
    let mut idle = TcpStream::connect(server.addr()).expect("the server accepts");
    idle.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout is valid");
    assert_eq!(observed_effect(&server), "correct");
    server.stop();
    server.stop();
    assert!(TcpStream::connect(server.addr()).is_err());
    assert_eq!(idle.read(&mut [0]).unwrap_or(0), 0);
}
