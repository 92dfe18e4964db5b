//! Behavior of the stand-in backend server and the effect of each fault.

use anyhow::Context;
use fescuemux_standins::server::{
    Execution, ServerFault, ServerOptions, StandInServer, content_seed, response_byte,
};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Bound of every wait. It only ends a test that would otherwise hang.
const PATIENCE: Duration = Duration::from_secs(30);

struct Answer {
    status: u16,
    head: String,
    body: Vec<u8>,
    whole: bool,
}

/// Sends one request on its own connection and reads until the connection closes.
fn exchange(addr: SocketAddr, head: &str, body: &[u8]) -> anyhow::Result<Answer> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let length = body.len();
    write!(stream, "{head}host: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n")?;
    stream.write_all(body)?;
    let mut bytes = Vec::new();
    // A cut answer may end with a reset after its first half.
    let _ = stream.read_to_end(&mut bytes);
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n").context("no answer")?;
    let head = String::from_utf8(bytes[..end].to_vec())?;
    let status = head.split(' ').nth(1).context("no status")?.parse()?;
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let body = bytes[end + 4..].to_vec();
    let whole = length.is_some_and(|length| length.parse() == Ok(body.len()));
    Ok(Answer { status, head, body, whole })
}

fn start(options: ServerOptions) -> StandInServer {
    StandInServer::start(options).expect("the stand-in server starts")
}

fn quick() -> ServerOptions {
    ServerOptions { service_time: Duration::ZERO, ..ServerOptions::default() }
}

/// Sends one tagged request and names what came back.
fn effect(server: &StandInServer) -> &'static str {
    let head = "POST /work HTTP/1.1\r\nx-tag: t-1\r\n";
    let Ok(answer) = exchange(server.addr(), head, b"abc") else {
        return "no answer";
    };
    let echoed = answer.head.contains("x-tag: t-1\r\n");
    match (answer.status, answer.whole, echoed) {
        (200, true, true) => "right",
        (200, true, false) => "wrong",
        (200, false, _) => "cut",
        (500, ..) => "error",
        _ => "other",
    }
}

fn wait_for(what: &str, done: impl Fn() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < PATIENCE, "waited in vain for {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Guards against a fault that is accepted and then has no effect, or another one's.
#[test]
fn each_fault_shows_its_effect() {
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
        Case { fault: ServerFault::None, effect: "right", executions: 1 },
        Case { fault: ServerFault::Slow(2.0), effect: "right", executions: 1 },
        Case { fault: ServerFault::Errors(1.0), effect: "error", executions: 1 },
        Case { fault: ServerFault::Errors(0.0), effect: "right", executions: 1 },
        Case { fault: ServerFault::TruncatedResponse(1.0), effect: "cut", executions: 1 },
        Case { fault: ServerFault::WrongResponse(1.0), effect: "wrong", executions: 1 },
        Case { fault: ServerFault::LostResponse(1.0), effect: "no answer", executions: 1 },
        Case { fault: ServerFault::RefuseConnections, effect: "no answer", executions: 0 },
        Case { fault: flapping(1.0), effect: "error", executions: 1 },
        Case { fault: flapping(0.0), effect: "right", executions: 1 },
    ];
    for case in cases {
        let server = start(quick());
        server.set_fault(case.fault.clone());
        if case.fault == ServerFault::RefuseConnections {
            wait_for("the refusal", || TcpStream::connect(server.addr()).is_err());
        }
        assert_eq!(effect(&server), case.effect, "{:?}", case.fault);
        let executions = server.executions();
        assert_eq!(executions.len(), case.executions, "{:?}", case.fault);
        assert!(executions.iter().all(|execution| execution.finished.is_some()));
    }
}

/// Guards against a server that stays refused after the fault is gone, or changes its address.
#[test]
fn a_refusing_server_comes_back_at_its_address() {
    let server = start(quick());
    for _ in 0..3 {
        server.set_fault(ServerFault::RefuseConnections);
        wait_for("the refusal", || TcpStream::connect(server.addr()).is_err());
        server.set_fault(ServerFault::None);
        wait_for("the return", || TcpStream::connect(server.addr()).is_ok());
        assert_eq!(effect(&server), "right");
    }
}

/// Guards against a flapping fault that stays in one phase.
#[test]
fn a_flapping_server_shows_both_phases() {
    let server = start(quick());
    let inner = Box::new(ServerFault::Errors(1.0));
    let period = Duration::from_millis(40);
    server.set_fault(ServerFault::Flapping { period, duty: 0.5, inner });
    for wanted in ["error", "right", "error", "right"] {
        wait_for(wanted, || effect(&server) == wanted);
    }
}

/// Guards against a ratio that is ignored and against draws that depend on anything but the seed.
#[test]
fn a_ratio_hits_its_share_and_repeats_with_the_seed() {
    let run = |seed| {
        let server = start(ServerOptions { seed, ..quick() });
        server.set_fault(ServerFault::Errors(0.3));
        (0..200).map(|_| effect(&server) == "error").collect::<Vec<bool>>()
    };
    let first = run(7);
    let hits = first.iter().filter(|hit| **hit).count();
    assert!((30..=90).contains(&hits), "{hits} of 200 requests failed at a ratio of 0.3");
    assert_eq!(first, run(7));
    assert_ne!(first, run(8));
}

/// Guards against a slowness factor without effect: order of finishing, not time, decides.
#[test]
fn a_slow_server_finishes_after_a_healthy_one_that_started_later() {
    let options = ServerOptions { service_time: Duration::from_millis(100), ..quick() };
    let server = start(options);
    server.set_fault(ServerFault::Slow(6000.0));
    let addr = server.addr();
    let slow = thread::spawn(move || exchange(addr, "GET /slow HTTP/1.1\r\n", b""));
    wait_for("the slow request", || server.executions().len() == 1);
    server.set_fault(ServerFault::None);
    exchange(addr, "GET /fast HTTP/1.1\r\n", b"").expect("the healthy request is answered");
    assert!(server.executions()[0].finished.is_none(), "the slow request finished first");
    server.stop();
    assert!(slow.join().expect("the client thread ends").is_err());
}

/// Guards against a black hole that health checks can see, and against a cancellation that
/// keeps its slot.
#[test]
fn a_black_hole_is_cheerful_and_frees_slots_when_connections_close() {
    let server = start(quick());
    server.set_fault(ServerFault::BlackHole);
    let mut stream = TcpStream::connect(server.addr()).expect("a black hole accepts");
    stream.write_all(b"GET /work HTTP/1.1\r\nhost: x\r\n\r\n").expect("a black hole reads");
    wait_for("the execution", || server.executions().len() == 1);
    let health = exchange(server.addr(), "GET /health HTTP/1.1\r\n", b"");
    assert_eq!(health.expect("health answers").status, 200);
    assert!(!server.executions()[0].canceled);
    stream.shutdown(Shutdown::Both).expect("the client closes");
    wait_for("the cancellation", || server.executions()[0].canceled);
    assert!(server.executions()[0].finished.is_none());
}

/// Guards against work above the slots, and against shed work that is recorded as run.
#[test]
fn work_above_the_slots_is_shed_with_not_run() {
    let server = start(ServerOptions { slots: 2, ..quick() });
    server.set_fault(ServerFault::BlackHole);
    let held: Vec<TcpStream> = (0..2)
        .map(|_| {
            let mut stream = TcpStream::connect(server.addr()).expect("the server accepts");
            stream.write_all(b"GET /work HTTP/1.1\r\nhost: x\r\n\r\n").expect("it reads");
            stream
        })
        .collect();
    wait_for("both executions", || server.executions().len() == 2);
    server.set_fault(ServerFault::None);
    let answer = exchange(server.addr(), "GET /work HTTP/1.1\r\n", b"").expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.head.contains("fescuemux-verdict: not-run"), "{}", answer.head);
    assert_eq!((server.executions().len(), server.peak_concurrency()), (2, 2));
    drop(held);
    wait_for("a free slot", || effect(&server) == "right");
}

/// Guards against early answers that are lost because the connection is reset while the rest
/// of a large body is on its way.
#[test]
fn early_answers_to_large_bodies_arrive() {
    struct Case {
        slots: u32,
        status: u16,
    }
    let body = vec![0; 20_000_000];
    for Case { slots, status } in [Case { slots: 0, status: 503 }, Case { slots: 1, status: 504 }] {
        let service_time = Duration::from_secs(600);
        let server = start(ServerOptions { slots, service_time, ..quick() });
        for _ in 0..5 {
            let head = "POST /work HTTP/1.1\r\nfescuemux-deadline-ms: 1\r\n";
            let answer = exchange(server.addr(), head, &body).expect("an answer");
            assert_eq!(answer.status, status);
        }
    }
}

/// Guards against work that goes on after its deadline.
#[test]
fn a_passed_deadline_cancels_the_work() {
    let server = start(ServerOptions { service_time: Duration::from_secs(600), ..quick() });
    let head = "GET /work HTTP/1.1\r\nfescuemux-deadline-ms: 5\r\n";
    let answer = exchange(server.addr(), head, b"").expect("an answer");
    assert_eq!(answer.status, 504);
    let executions = server.executions();
    assert!(executions[0].canceled && executions[0].finished.is_none());
}

/// Guards against an echo that a checker could not use to tell two requests apart.
#[test]
fn answers_echo_the_request() {
    let server = start(quick());
    let head = "PUT /a/b?c=d HTTP/1.1\r\nx-tag: t-9\r\nfescuemux-request-id: r-9\r\n\
                idempotency-key: k-9\r\n";
    let answer = exchange(server.addr(), head, b"abc").expect("an answer");
    let echoed: serde_json::Value = serde_json::from_slice(&answer.body).expect("a JSON body");
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

/// Guards against sized answers of the wrong length or content, at the edges of a piece.
#[test]
fn sized_answers_have_the_length_and_the_content_of_the_tag() {
    let server = start(quick());
    for size in [0, 1, 16_383, 16_384, 16_385, 300_000] {
        let head = format!("GET /w HTTP/1.1\r\nx-tag: t\r\nx-answer-bytes: {size}\r\n");
        let answer = exchange(server.addr(), &head, b"").expect("an answer");
        let seed = content_seed("t");
        let expected: Vec<u8> = (0..size).map(|index| response_byte(seed, index)).collect();
        assert!(answer.whole && answer.body == expected, "answer of {size} bytes");
    }
    assert_ne!(content_seed("t"), content_seed("u"));
}

/// Guards against a load figure that is current, which no real load endpoint offers.
#[test]
fn load_is_reported_late() {
    let server = start(quick());
    server.set_fault(ServerFault::BlackHole);
    let load = || exchange(server.addr(), "GET /load HTTP/1.1\r\n", b"").map(|load| load.body);
    let mut held = TcpStream::connect(server.addr()).expect("the server accepts");
    held.write_all(b"GET /work HTTP/1.1\r\nhost: x\r\n\r\n").expect("it reads");
    wait_for("the load", || load().is_ok_and(|body| body == b"1\n"));
}

/// Receives one announcement, answers it with the status and returns its body.
fn receive(daemon: &TcpListener, status: &str) -> serde_json::Value {
    let (mut stream, _) = daemon.accept().expect("an announcement");
    let mut text = String::new();
    let mut buf = [0; 1024];
    while !text.contains('}') {
        let length = stream.read(&mut buf).expect("a readable announcement");
        assert_ne!(length, 0, "the announcement ended early: {text}");
        text.push_str(&String::from_utf8_lossy(&buf[..length]));
    }
    write!(stream, "HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n").expect("an answer");
    assert!(text.starts_with("POST /announce HTTP/1.1\r\n"), "{text}");
    serde_json::from_str(text.split("\r\n\r\n").nth(1).expect("a body")).expect("a JSON body")
}

/// Guards against a phase that is announced late or not at all, and against a failed
/// announcement that is not sent again.
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
        let daemon = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let announce_to = daemon.local_addr().ok();
        let server = start(ServerOptions { announce_to, warm_up: case.warm_up, ..quick() });
        let first = receive(&daemon, "500 Internal Server Error");
        assert_eq!(first["address"], server.addr().to_string());
        assert_eq!((&first["slots"], &first["server"]), (&4.into(), &"server-1".into()));
        assert!(first["incarnation"].as_u64().is_some_and(|ms| ms > 1_600_000_000_000), "{first}");
        let mut last = receive(&daemon, "200 OK");
        while last["phase"] != case.before_drain {
            assert_eq!(last["phase"], "cold");
            last = receive(&daemon, "200 OK");
        }
        server.announce_draining();
        // One announcement may already be under way when the phase changes.
        let after = [(); 2].map(|()| receive(&daemon, "200 OK"));
        assert_eq!(after[1]["phase"], "draining", "{after:?}");
        assert_eq!(after[1]["incarnation"], first["incarnation"]);
    }
}

/// Guards against a stopped server that still holds its port or its connections.
#[test]
fn a_stopped_server_is_gone() {
    let server = start(quick());
    let mut idle = TcpStream::connect(server.addr()).expect("the server accepts");
    idle.set_read_timeout(Some(PATIENCE)).expect("a settable timeout");
    assert_eq!(effect(&server), "right");
    server.stop();
    server.stop();
    assert!(TcpStream::connect(server.addr()).is_err());
    assert_eq!(idle.read(&mut [0]).unwrap_or(0), 0);
}
