//! Tests of hop headers.

use super::{
    HopBaseline, HopError, HopHealth, HopKind, HopRequest, HopResponse, MAX_REQUEST_AGE,
    ServerLoad, sign_request, sign_response, verify_request, verify_response,
};
use crate::auth::KeyRing;
use crate::headers;
use fescuemux_core::base::Verdict;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use proptest::prelude::{any, prop_assert_eq, proptest};
use std::time::{Duration, SystemTime};

fn request() -> HopRequest {
    HopRequest {
        id: 0xabc,
        attempt: 1,
        server: "order-desk-3".into(),
        incarnation: 17,
        deadline: Duration::from_millis(900),
        kind: HopKind::Normal,
        idempotent: false,
        priority: 5,
        baseline: Some(HopBaseline { median: Duration::from_micros(25_000), error_ratio: 0.25 }),
    }
}

fn key_ring(key_byte: u8) -> KeyRing {
    KeyRing::new(vec![[key_byte; 32]]).unwrap()
}

#[test]
fn headers_survive_round_trip() {
    let mut map = HeaderMap::new();
    request().write(&mut map);
    assert_eq!(HopRequest::try_from(&map).unwrap(), request());
    let response = HopResponse {
        verdict: Verdict::NotRun,
        load: Some(ServerLoad { busy: 4, slots: 4, queued: 9 }),
        health: Some(HopHealth::Probation),
        service_time: Some(Duration::from_micros(25)),
    };
    let mut map = HeaderMap::new();
    response.write(&mut map);
    assert_eq!(HopResponse::try_from(&map).unwrap(), response);
}

struct TamperCase {
    guards_against: &'static str,
    tamper: fn(&mut HeaderMap),
    target: &'static str,
    /// Time from signing to verification.
    elapsed: Duration,
    /// Byte that the signing key repeats.
    key: u8,
    authentic: bool,
}

impl Default for TamperCase {
    fn default() -> TamperCase {
        TamperCase {
            guards_against: "refusing an authentic request",
            tamper: |_| {},
            target: "/book?x=1",
            elapsed: Duration::ZERO,
            key: 1,
            authentic: true,
        }
    }
}

#[test]
fn tampered_requests_are_refused() {
    let cases = [
        TamperCase::default(),
        TamperCase {
            guards_against: "a changed server header",
            tamper: |map| {
                map.insert(headers::SERVER, HeaderValue::from_static("other"));
            },
            authentic: false,
            ..TamperCase::default()
        },
        TamperCase {
            guards_against: "duplicate tag headers",
            tamper: |map| {
                map.append(headers::MAC, HeaderValue::from_static("1.00"));
            },
            authentic: false,
            ..TamperCase::default()
        },
        TamperCase {
            guards_against: "a changed target",
            target: "/book?x=2",
            authentic: false,
            ..TamperCase::default()
        },
        TamperCase {
            guards_against: "a copy that arrives after the id of the request may have expired",
            elapsed: MAX_REQUEST_AGE + Duration::from_secs(1),
            authentic: false,
            ..TamperCase::default()
        },
        TamperCase {
            guards_against: "a request signed with an unknown key",
            key: 2,
            authentic: false,
            ..TamperCase::default()
        },
    ];
    for case in cases {
        let now = SystemTime::now();
        let mut map = HeaderMap::new();
        request().write(&mut map);
        sign_request(&key_ring(case.key), now, &Method::POST, "/book?x=1", &mut map);
        (case.tamper)(&mut map);
        let result =
            verify_request(&key_ring(1), now + case.elapsed, &Method::POST, case.target, &map);
        assert_eq!(result.is_ok(), case.authentic, "{}", case.guards_against);
    }
}

#[test]
fn an_answer_belongs_to_one_request() {
    let mut map = HeaderMap::new();
    let response =
        HopResponse { verdict: Verdict::Ran, load: None, health: None, service_time: None };
    response.write(&mut map);
    sign_response(&key_ring(1), "tag-of-request-1", 200, &mut map);
    assert!(verify_response(&key_ring(1), "tag-of-request-1", 200, &map).is_ok());
    let other_request = verify_response(&key_ring(1), "tag-of-request-2", 200, &map);
    assert_eq!(other_request, Err(HopError::NotAuthentic));
    let changed_status = verify_response(&key_ring(1), "tag-of-request-1", 503, &map);
    assert_eq!(changed_status, Err(HopError::NotAuthentic));
}

proptest! {
    /// Fails if untrusted header values cause a panic.
    #[test]
    fn arbitrary_header_values_do_not_panic(values in proptest::collection::vec(any::<Vec<u8>>(), 10)) {
        let names = [
            headers::REQUEST_ID, headers::ATTEMPT, headers::SERVER, headers::INCARNATION,
            headers::DEADLINE_MS, headers::KIND, headers::IDEMPOTENT, headers::PRIORITY,
            headers::BASELINE, headers::MAC,
        ];
        let mut map = HeaderMap::new();
        for (name, value) in names.into_iter().zip(&values) {
            if let Ok(value) = HeaderValue::from_bytes(value) {
                map.insert(HeaderName::from_static(name), value);
            }
        }
        let _ = HopRequest::try_from(&map);
        let _ = HopResponse::try_from(&map);
        let result = verify_request(&key_ring(1), SystemTime::now(), &Method::GET, "/", &map);
        prop_assert_eq!(result.is_ok(), false);
    }
}
