//! Answers of backend servers that are broken, unusual or early, judged by what callers of
//! `fescuemuxd` get.

mod support;

use fescuemux_standins::raw::{
    CallerAnswer, RawAnswer, RawServer, SOUND_BODY, broken, call, early_answers, refusals,
    requests, sound_answers, unproved_refusals,
};
use fescuemux_standins::store::StandInStore;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use support::process::{Process, signal, start};
use support::{TEST_TIMEOUT, intent, post, send_raw};
use uuid::Uuid;

/// Size of an upload that neither the daemons nor the sockets can buffer.
const UPLOAD_BYTES: usize = 24 << 20;

/// Number of fleets that were started, which tells their processes apart.
static FLEET_COUNT: AtomicUsize = AtomicUsize::new(0);

/// Number of requests that were sent, which tells their paths apart.
static REQUEST_COUNT: AtomicUsize = AtomicUsize::new(0);

/// Fleet of two daemons. The only server is a raw one beside `guard`; callers use `ingress`.
struct RawFleet {
    ingress: Process,
    guard: Process,
    server: RawServer,
    _store: StandInStore,
}

impl RawFleet {
    /// Starts a fleet whose server plays answers to orders, which are not idempotent.
    fn start() -> RawFleet {
        RawFleet::start_with("/orders")
    }

    /// Starts a fleet whose server plays answers to requests whose path begins with `prefix`.
    fn start_with(prefix: &'static str) -> RawFleet {
        let number = FLEET_COUNT.fetch_add(1, Ordering::SeqCst);
        let store = StandInStore::start("127.0.0.1:0").expect("a store");
        let ingress = start(&format!("broken-ingress-{number}"), store.addr(), &[]);
        let guard = start(&format!("broken-guard-{number}"), store.addr(), &[ingress.rpc]);
        let server = RawServer::start(prefix).expect("a server");
        let fleet = RawFleet { ingress, guard, server, _store: store };
        let operators = fleet.ingress.operators;
        let plan = post(operators, "/v1/plans", intent().to_string().as_bytes());
        let id = plan["id"].as_str().expect("a plan").to_owned();
        post(operators, &format!("/v1/plans/{id}/confirm"), b"");
        let started = Instant::now();
        let head = "GET /slots HTTP/1.1\r\nhost: a\r\n";
        while fleet.call(head, 0).is_none_or(|got| got.status != 200) {
            assert!(started.elapsed() < TEST_TIMEOUT, "no request reaches the server");
            fleet.announce();
            std::thread::sleep(Duration::from_millis(20));
        }
        fleet
    }

    /// Announces the server to its guard.
    fn announce(&self) {
        let announcement = format!(
            r#"{{"server":"raw","service":"orders","address":"{}","slots":4,"incarnation":1,"phase":"ready"}}"#,
            self.server.addr()
        );
        let head = format!("content-length: {}\r\nconnection: close", announcement.len());
        let request = format!("POST /announce HTTP/1.1\r\nhost: a\r\n{head}\r\n\r\n{announcement}");
        assert_eq!(send_raw(self.guard.local, request.as_bytes()).status, Some(200));
    }

    fn call(&self, head: &str, body_len: usize) -> Option<CallerAnswer> {
        call(self.ingress.callers, head, vec![b'u'; body_len]).expect("the daemon accepts")
    }

    /// Plays an answer to a request that is not idempotent and runs, and returns what the caller got.
    fn play(&self, answer: &RawAnswer, body_len: usize) -> Option<CallerAnswer> {
        let got = self.play_answer(answer, "POST /orders", "", body_len);
        assert!(!is_refusal(got.as_ref()), "{}: the request has run: {got:?}", answer.name);
        got
    }

    /// Plays an answer to a request with these header lines, and returns what the caller got.
    /// Requests that did not reach the server, which may be avoided after broken answers, are
    /// repeated.
    fn play_answer(
        &self,
        answer: &RawAnswer,
        target: &str,
        lines: &str,
        body_len: usize,
    ) -> Option<CallerAnswer> {
        self.server.set_answer(answer.clone());
        let started = Instant::now();
        loop {
            assert!(started.elapsed() < TEST_TIMEOUT, "{}: no request reaches it", answer.name);
            self.announce();
            let number = REQUEST_COUNT.fetch_add(1, Ordering::SeqCst);
            let target = format!("{target}/{}-{number}", answer.name.replace(' ', "-"));
            let head = format!("{target} HTTP/1.1\r\nhost: a\r\nfescuemux-deadline-ms: 4000\r\n");
            let got = self.call(&(head + lines), body_len);
            let path = target.split(' ').nth(1).expect("a path");
            if self.server.answer_count(path) > 0 {
                return got;
            }
        }
    }
}

/// Returns whether the caller is told that the request has not run.
fn is_refusal(got: Option<&CallerAnswer>) -> bool {
    got.is_some_and(|got| {
        matches!(got.status, 408 | 421 | 429 | 503)
            || got.head.contains("fescuemux-verdict: not-run")
    })
}

/// Returns whether the caller got a failure that promises nothing, or no complete answer.
fn is_true_failure(got: Option<&CallerAnswer>) -> bool {
    got.is_none_or(|got| matches!(got.status, 502 | 504))
}

/// Asserts that callers get a true failure in place of each answer.
fn assert_reach_no_caller(answers: Vec<RawAnswer>) {
    let fleet = RawFleet::start();
    let mut failures = Vec::new();
    for answer in answers {
        let got = fleet.play(&answer, 0);
        if !is_true_failure(got.as_ref()) {
            failures.push(format!("{}: {got:?}", answer.name));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// A line of the head that is no field may have been any field, also one that tells the length.
#[test]
fn heads_with_lines_that_are_no_fields_reach_no_caller() {
    assert_reach_no_caller(broken::field_lines());
}

/// An answer that ends early must not look complete, however it ends.
#[test]
fn answers_that_end_early_reach_no_caller() {
    assert_reach_no_caller(broken::early_ends());
}

/// Without a status that is known, an answer is neither a success nor an interim answer.
#[test]
fn spoilt_status_lines_reach_no_caller() {
    assert_reach_no_caller(broken::status_lines());
}

/// A body whose length cannot be understood may end anywhere.
#[test]
fn spoilt_lengths_reach_no_caller() {
    assert_reach_no_caller(broken::lengths());
}

/// A body in a coding that cannot be understood may be anything.
#[test]
fn spoilt_codings_reach_no_caller() {
    assert_reach_no_caller(broken::codings());
}

/// Chunks that cannot be understood may end anywhere.
#[test]
fn spoilt_chunks_reach_no_caller() {
    assert_reach_no_caller(broken::chunks());
}

/// The status of a refusal promises that the request has not run. Fails if that promise reaches the
/// caller of a request that has run.
#[test]
fn refusals_without_a_proof_reach_no_caller() {
    let (orders, slots) = (RawFleet::start(), RawFleet::start_with("/slots"));
    let mut failures = Vec::new();
    for answer in unproved_refusals() {
        for (fleet, target, body_len) in [
            (&orders, "POST /orders", 0),
            (&orders, "POST /orders", 9),
            (&orders, "POST /orders", UPLOAD_BYTES),
            (&slots, "GET /slots", 0),
            (&slots, "GET /slots", 9),
        ] {
            let got = fleet.play_answer(&answer, target, "", body_len);
            if !is_true_failure(got.as_ref()) || is_refusal(got.as_ref()) {
                failures.push(format!("{} to {target}, {body_len}: {got:?}", answer.name));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// A planned stop must not turn a run into a refusal either.
#[test]
fn a_request_that_ran_during_a_stop_is_not_refused() {
    const STREAMED_BYTES: usize = 1 << 20;
    type Stopping = fn(&RawFleet) -> &Process;
    let cases: [(&str, Stopping); 2] = [
        ("the daemon of the caller", |fleet| &fleet.ingress),
        ("the daemon of the server", |fleet| &fleet.guard),
    ];
    for (name, stopping) in cases {
        for answer in refusals("") {
            let fleet = RawFleet::start();
            fleet.server.set_answer(answer.clone());
            let head = format!(
                "POST /orders/stop HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
                 content-length: {STREAMED_BYTES}\r\n\r\n"
            );
            let mut stream = TcpStream::connect(fleet.ingress.callers).expect("a connection");
            stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
            stream.write_all(head.as_bytes()).expect("the daemon reads");
            stream.write_all(&vec![b'u'; STREAMED_BYTES - 1]).expect("the daemon reads");
            let started = Instant::now();
            let wait_until = |what: &str, done: &dyn Fn() -> bool| {
                while !done() {
                    assert!(started.elapsed() < TEST_TIMEOUT, "{name}: timed out: {what}");
                    std::thread::sleep(Duration::from_millis(10));
                }
            };
            wait_until("the upload runs", &|| fleet.server.answer_count("/orders/stop") > 0);
            let stopping = stopping(&fleet);
            signal(&stopping.child, "-TERM");
            wait_until("the stop begins", &|| {
                let request = b"GET /ready HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
                send_raw(stopping.operators, request).status != Some(200)
            });
            stream.write_all(b"u").expect("the daemon reads");
            let mut got = String::new();
            stream.read_to_string(&mut got).expect("an answer");
            let is_true = got.starts_with("HTTP/1.1 502 ") && got.contains("verdict: ran\r\n");
            assert!(is_true, "{} at a stop of {name}: {got}", answer.name);
        }
    }
}

/// A server that says that it has not run a request is believed, and the caller may send it again.
#[test]
fn refusals_with_a_proof_are_believed() {
    let fleet = RawFleet::start();
    for answer in refusals("fescuemux-verdict: not-run\r\n") {
        let got = fleet.play_answer(&answer, "POST /orders", "", 0);
        let got = got.unwrap_or_else(|| panic!("{}: no answer", answer.name));
        let is_not_run = got.head.contains("fescuemux-verdict: not-run");
        assert!(got.status == 503 && is_not_run, "{}: {got:?}", answer.name);
    }
}

/// The key of a request that was refused after it ran is used up. Fails if the key runs again.
#[test]
fn a_key_is_used_up_by_a_refusal_without_a_proof() {
    let fleet = RawFleet::start();
    let answer = refusals("").into_iter().next_back().expect("a refusal");
    fleet.server.set_answer(answer);
    let send = |path: &str, key: Uuid| {
        let head = format!("POST {path} HTTP/1.1\r\nhost: a\r\nidempotency-key: {key}\r\n");
        fleet.call(&head, 0).expect("an answer")
    };
    let started = Instant::now();
    let (key, first) = loop {
        assert!(started.elapsed() < TEST_TIMEOUT, "no key is accepted");
        fleet.announce();
        // A home refuses keys that are older than its start.
        let key = Uuid::now_v7();
        let got = send("/orders/first", key);
        if fleet.server.answer_count("/orders/first") > 0 {
            break (key, got);
        }
        std::thread::sleep(Duration::from_millis(50));
    };
    assert!(first.status == 502 && first.head.contains("fescuemux-verdict: ran"), "{first:?}");
    let second = send("/orders/again", key);
    assert!(second.status == 409 && second.head.contains("fescuemux-verdict: ran"), "{second:?}");
    assert!(second.head.contains("fescuemux-first-status: 502"), "{second:?}");
    assert_eq!(fleet.server.answer_count("/orders/again"), 0);
}

/// Answers that are unusual and sound must still reach their callers.
#[test]
fn unusual_answers_reach_their_callers() {
    let fleet = RawFleet::start();
    let mut failures = Vec::new();
    for answer in sound_answers() {
        let got = fleet.play(&answer, 0);
        let body = got.as_ref().filter(|got| got.status < 300).map(|got| &*got.body);
        if body != Some(SOUND_BODY.as_bytes()) {
            failures.push(format!("{}: {got:?}", answer.name));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// A server may answer a long upload before it has read it. An answer without a length ends with
/// its connection, and a reset must not look like that end, whichever side of the connection
/// notices it first.
#[test]
fn an_early_answer_that_is_reset_is_not_complete() {
    let fleet = RawFleet::start();
    let mut failures = Vec::new();
    for answer in broken::early_resets() {
        for round in 0..15 {
            let got = fleet.play(&answer, UPLOAD_BYTES);
            if !is_true_failure(got.as_ref()) {
                let got = got.map(|got| (got.status, got.body.len()));
                failures.push(format!("{}, round {round}: {got:?}", answer.name));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// An early answer whose end was told or seen must reach the caller.
#[test]
fn an_early_answer_to_an_upload_reaches_the_caller() {
    let fleet = RawFleet::start();
    let mut failures = Vec::new();
    for (answer, body_len) in early_answers() {
        for round in 0..5 {
            let got = fleet.play(&answer, UPLOAD_BYTES);
            let got = got.map(|got| (got.status, got.body.len()));
            if got != Some((200, body_len)) {
                failures.push(format!("{}, round {round}: {got:?}", answer.name));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// An announcement that is broken may have told anything, so it must be neither acknowledged nor
/// acted upon.
#[test]
fn broken_announcements_of_a_server_are_refused() {
    let fleet = RawFleet::start();
    let addr = fleet.server.addr();
    let body = format!(
        r#"{{"server":"raw","service":"orders","address":"{addr}","slots":4,"incarnation":1,"phase":"draining"}}"#
    );
    let mut failures = Vec::new();
    for request in requests::broken_requests("POST /announce", &body) {
        let status = requests::send(fleet.guard.local, &request.bytes);
        if status.is_some_and(|status| status < 400) {
            failures.push(format!("{}: {status:?}", request.name));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
    let got = fleet.call("GET /slots HTTP/1.1\r\nhost: a\r\n", 0);
    assert_eq!(got.map(|got| got.status), Some(200), "the only server still serves");
}
