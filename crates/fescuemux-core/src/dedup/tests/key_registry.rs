//! Tests of the key registry.

use crate::base::{Cx, ServiceId};
use crate::dedup::{ClaimResponse, ClockReading, KeyOutcome, KeyRegistry, RegistryConfig};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use uuid::{Timestamp, Uuid};

const START: Duration = Duration::from_secs(1_700_000_000);

fn key_created(at: Duration) -> String {
    let timestamp = Timestamp::from_unix(uuid::NoContext, at.as_secs(), at.subsec_nanos());
    Uuid::new_v7(timestamp).to_string()
}

fn wall(after_start: Duration) -> SystemTime {
    UNIX_EPOCH + START + after_start
}

fn start_reading(start: Instant) -> ClockReading {
    ClockReading { monotonic: start, wall: wall(Duration::ZERO) }
}

struct ClaimCase {
    guards_against: &'static str,
    /// Key creation relative to the start of the registry, in seconds; `None` for a key without a
    /// creation time.
    created_at_s: Option<i64>,
    /// Time from the start of the registry to the claim, in seconds.
    claim_delay_s: u64,
    expected: ClaimResponse,
}

#[test]
fn first_claim_depends_on_key_creation_time() {
    let cases = [
        ClaimCase {
            guards_against: "granting a key that a previous home may have granted",
            created_at_s: Some(-5),
            claim_delay_s: 10,
            expected: ClaimResponse::PossiblyClaimed,
        },
        ClaimCase {
            guards_against: "granting a key that clock skew dated after the start",
            created_at_s: Some(1),
            claim_delay_s: 10,
            expected: ClaimResponse::PossiblyClaimed,
        },
        ClaimCase {
            guards_against: "refusing a key created after this home started",
            created_at_s: Some(3),
            claim_delay_s: 3,
            expected: ClaimResponse::Granted,
        },
        ClaimCase {
            guards_against: "granting a key whose creation time a fast caller clock set too late",
            created_at_s: Some(30),
            claim_delay_s: 10,
            expected: ClaimResponse::FromFuture,
        },
        ClaimCase {
            guards_against: "granting an opaque key within the retention after a restart",
            created_at_s: None,
            claim_delay_s: 599,
            expected: ClaimResponse::PossiblyClaimed,
        },
        ClaimCase {
            guards_against: "refusing opaque keys forever",
            created_at_s: None,
            claim_delay_s: 600,
            expected: ClaimResponse::Granted,
        },
        ClaimCase {
            guards_against: "granting a key whose entry may have expired",
            created_at_s: Some(3),
            claim_delay_s: 700,
            expected: ClaimResponse::PossiblyClaimed,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut registry = KeyRegistry::new(RegistryConfig::default(), start_reading(now));
        let claim_delay = Duration::from_secs(case.claim_delay_s);
        let key = match case.created_at_s {
            Some(s) => key_created(Duration::from_secs((START.as_secs() as i64 + s) as u64)),
            None => "order-17".to_owned(),
        };
        let cx = Cx::new(now + claim_delay, 1);
        let response = registry.claim(
            &cx,
            wall(claim_delay),
            start_reading(now),
            &ServiceId::new("s"),
            &key,
            1,
        );
        assert_eq!(response, case.expected, "{}", case.guards_against);
    }
}

struct ResendCase {
    guards_against: &'static str,
    first: FirstRequest,
    expected: ClaimResponse,
}

enum FirstRequest {
    Unsettled,
    Ran,
    Unknown,
    Released,
    ReleasedByOtherHolder,
    UnknownThenReleased,
}

#[test]
fn resent_request_gets_outcome_of_first() {
    let duplicate = |outcome| ClaimResponse::Duplicate { outcome };
    let cases = [
        ResendCase {
            guards_against: "running a resent request while the first one runs",
            first: FirstRequest::Unsettled,
            expected: duplicate(KeyOutcome::InProgress),
        },
        ResendCase {
            guards_against: "running a resent request after the first one ran",
            first: FirstRequest::Ran,
            expected: duplicate(KeyOutcome::Ran { status: 201 }),
        },
        ResendCase {
            guards_against: "running a resent request after the first one may have run",
            first: FirstRequest::Unknown,
            expected: duplicate(KeyOutcome::Unknown),
        },
        ResendCase {
            guards_against: "refusing a resent request although the first one did not run",
            first: FirstRequest::Released,
            expected: ClaimResponse::Granted,
        },
        ResendCase {
            guards_against: "releasing a key for a request that does not hold it",
            first: FirstRequest::ReleasedByOtherHolder,
            expected: duplicate(KeyOutcome::InProgress),
        },
        ResendCase {
            guards_against: "releasing a key after its outcome was settled as unknown",
            first: FirstRequest::UnknownThenReleased,
            expected: duplicate(KeyOutcome::Unknown),
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut registry = KeyRegistry::new(RegistryConfig::default(), start_reading(now));
        let cx = Cx::new(now + Duration::from_secs(5), 1);
        let wall_now = wall(Duration::from_secs(5));
        let service = ServiceId::new("s");
        let key = key_created(START + Duration::from_secs(4));
        assert_eq!(
            registry.claim(&cx, wall_now, start_reading(now), &service, &key, 1),
            ClaimResponse::Granted
        );
        match case.first {
            FirstRequest::Unsettled => {}
            FirstRequest::Ran => {
                registry.settle(&cx, &service, &key, 1, KeyOutcome::Ran { status: 201 });
            }
            FirstRequest::Unknown => registry.settle(&cx, &service, &key, 1, KeyOutcome::Unknown),
            FirstRequest::Released => registry.release(&service, &key, 1),
            FirstRequest::ReleasedByOtherHolder => registry.release(&service, &key, 9),
            FirstRequest::UnknownThenReleased => {
                registry.settle(&cx, &service, &key, 1, KeyOutcome::Unknown);
                registry.release(&service, &key, 1);
            }
        }
        assert_eq!(
            registry.claim(&cx, wall_now, start_reading(now), &service, &key, 2),
            case.expected,
            "{}",
            case.guards_against
        );
    }
}

#[test]
fn full_registry_refuses_new_keys_and_keeps_old_ones() {
    let now = Instant::now();
    let config = RegistryConfig { max_keys: 2, ..RegistryConfig::default() };
    let mut registry = KeyRegistry::new(config, start_reading(now));
    let wall_now = wall(Duration::from_secs(5));
    let cx = Cx::new(now + Duration::from_secs(5), 1);
    let service = ServiceId::new("s");
    let keys: Vec<String> =
        (0..3).map(|n| key_created(START + Duration::from_millis(4_000 + n))).collect();
    assert_eq!(
        registry.claim(&cx, wall_now, start_reading(now), &service, &keys[0], 1),
        ClaimResponse::Granted
    );
    assert_eq!(
        registry.claim(&cx, wall_now, start_reading(now), &service, &keys[1], 2),
        ClaimResponse::Granted
    );
    assert_eq!(
        registry.claim(&cx, wall_now, start_reading(now), &service, &keys[2], 3),
        ClaimResponse::Full
    );
    let outcome = KeyOutcome::InProgress;
    assert_eq!(
        registry.claim(&cx, wall_now, start_reading(now), &service, &keys[0], 4),
        ClaimResponse::Duplicate { outcome }
    );
    let cx = Cx::new(now + Duration::from_secs(606), 1);
    let late_key = key_created(START + Duration::from_secs(605));
    assert_eq!(
        registry.claim(
            &cx,
            wall(Duration::from_secs(606)),
            start_reading(now),
            &service,
            &late_key,
            5
        ),
        ClaimResponse::Granted,
        "expired keys free capacity"
    );
}

#[test]
fn imported_keys_are_duplicates() {
    let now = Instant::now();
    let mut previous_home = KeyRegistry::new(RegistryConfig::default(), start_reading(now));
    let cx = Cx::new(now + Duration::from_secs(5), 1);
    let service = ServiceId::new("s");
    let key = key_created(START + Duration::from_secs(4));
    previous_home.claim(&cx, wall(Duration::from_secs(5)), start_reading(now), &service, &key, 1);
    let mut next_home = KeyRegistry::new(RegistryConfig::default(), start_reading(now));
    next_home.import(cx.now, previous_home.export(cx.now));
    assert_eq!(
        next_home.claim(&cx, wall(Duration::from_secs(6)), start_reading(now), &service, &key, 2),
        ClaimResponse::Duplicate { outcome: KeyOutcome::InProgress }
    );
}
