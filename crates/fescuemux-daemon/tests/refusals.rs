//! Requests refused by a guard.

mod support;

use fescuemux_standins::server::ServerFault;
use support::{Fleet, get, intent, send_raw};

/// Fails if a 503 response lacks `Retry-After`: callers would then resend at once.
/// The design page promises the header on every 503 response, whichever component refused the
/// request.
#[test]
fn a_guard_refusal_has_a_retry_after_header() {
    let fleet = Fleet::start(1);
    let request = "GET /slots HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
                   fescuemux-deadline-ms: 1\r\n\r\n";
    let response = send_raw(fleet.callers_addr(0), request.as_bytes());
    assert_eq!(
        (response.status, response.verdict.as_deref()),
        (Some(503), Some("not-run")),
        "{response:?}"
    );
    assert!(response.text.to_ascii_lowercase().contains("\r\nretry-after: "), "{response:?}");
}

/// Fails if `queue_limit` has no effect: with a limit of zero, a request that finds
/// all slots busy must be refused.
#[test]
fn a_queue_limit_of_zero_refuses_when_all_slots_are_busy() {
    let fleet = Fleet::start(1);
    let mut limited = intent();
    limited["content"]["services"][0]["queue_limit"] = 0.into();
    let generation = fleet.confirm(&limited);
    let dump = |fleet: &Fleet| get(fleet.operators_addr(0), "/v1/dump");
    fleet.wait_for("the queue limit", |fleet| dump(fleet)["generation"] == generation);
    fleet.servers[0].set_fault(ServerFault::BlackHole);
    let request = "GET /slots HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
                   fescuemux-deadline-ms: 3000\r\n\r\n";
    let addr = fleet.callers_addr(0);
    let busy_callers: Vec<_> =
        (0..4).map(|_| std::thread::spawn(move || send_raw(addr, request.as_bytes()))).collect();
    fleet.wait_for("four busy slots", |fleet| dump(fleet)["servers"][0]["busy"] == 4);
    let response = send_raw(addr, request.as_bytes());
    busy_callers.into_iter().for_each(|caller| drop(caller.join().unwrap()));
    assert_eq!(
        (response.status, response.verdict.as_deref()),
        (Some(503), Some("not-run")),
        "{response:?}"
    );
    assert!(response.text.contains("the queue is full"), "{response:?}");
}
