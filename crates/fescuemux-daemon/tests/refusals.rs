//! Answers to callers whose request a guard refused.

mod support;

use support::{Fleet, send_raw};

/// Guards against callers that send a refused request again at once: the design page promises
/// `Retry-After` on every 503, whoever refused.
#[test]
fn a_guards_refusal_says_when_to_send_again() {
    let fleet = Fleet::start(1);
    let request = "GET /slots HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
                   fescuemux-deadline-ms: 1\r\n\r\n";
    let raw = send_raw(fleet.callers(0), request.as_bytes());
    assert_eq!((raw.status, raw.verdict.as_deref()), (Some(503), Some("not-run")), "{raw:?}");
    assert!(raw.text.to_ascii_lowercase().contains("\r\nretry-after: "), "{raw:?}");
}
