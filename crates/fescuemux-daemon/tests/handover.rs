//! Idempotency keys across a planned stop of their home.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::{Fleet, RawResponse, TEST_TIMEOUT, get, send_raw};
use uuid::Uuid;

/// Number of keys used before the stop. With three homes, about a third of the keys have their home
/// at the daemon that stops.
const KEYS: usize = 60;

fn post_order(addr: SocketAddr, key: &str) -> RawResponse {
    let request = format!(
        "POST /orders HTTP/1.1\r\nhost: a\r\nconnection: close\r\nidempotency-key: {key}\r\n\
         content-length: 0\r\n\r\n"
    );
    send_raw(addr, request.as_bytes())
}

/// Sends orders until [`KEYS`] orders ran, and returns the keys of these orders.
fn claim_keys(fleet: &Fleet) -> Vec<String> {
    let started = Instant::now();
    let mut keys = Vec::new();
    while keys.len() < KEYS {
        assert!(started.elapsed() < TEST_TIMEOUT, "only {} keys ran", keys.len());
        let key = Uuid::now_v7().to_string();
        if post_order(fleet.callers_addr(0), &key).status == Some(200) {
            keys.push(key);
        } else {
            // A home refuses keys that were created before the home started, or soon after the
            // start, because of clock skew.
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    keys
}

/// Fails if resends are answered "may have run" after a planned stop of the home that recorded
/// that the first requests ran. The design page promises that a stopping home hands its keys over.
#[test]
fn a_planned_stop_hands_over_its_keys() {
    let mut fleet = Fleet::start(3);
    let keys = claim_keys(&fleet);
    let report = fleet.daemons[2].take().unwrap().stop(|| false);
    assert_eq!(report.aborted_requests, 0);
    fleet.wait_for("a roster without the stopped home", |fleet| {
        fleet.live_daemons().all(|(at, _)| {
            let homes = &get(fleet.operators_addr(at), "/v1/dump")["homes"];
            homes["settled"] == true && homes["roster"].as_array().is_some_and(|r| r.len() == 2)
        })
    });
    let unexpected: Vec<_> = keys
        .iter()
        .map(|key| post_order(fleet.callers_addr(0), key))
        .filter(|response| {
            (response.status, response.verdict.as_deref()) != (Some(409), Some("ran"))
        })
        .map(|response| (response.status, response.verdict))
        .collect();
    assert!(unexpected.is_empty(), "{} of {KEYS} keys: {:?}", unexpected.len(), unexpected.first());
}
