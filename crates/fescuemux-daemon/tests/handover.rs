//! Idempotency keys over a planned stop of their home.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::{Fleet, PATIENCE, Raw, get, send_raw};
use uuid::Uuid;

/// Keys used before the stop. With three homes, about a third is at the one that stops.
const KEYS: usize = 60;

fn post_order(addr: SocketAddr, key: &str) -> Raw {
    let request = format!(
        "POST /orders HTTP/1.1\r\nhost: a\r\nconnection: close\r\nidempotency-key: {key}\r\n\
         content-length: 0\r\n\r\n"
    );
    send_raw(addr, request.as_bytes())
}

/// Returns keys that ran.
fn used_keys(fleet: &Fleet) -> Vec<String> {
    let started = Instant::now();
    let mut keys = Vec::new();
    while keys.len() < KEYS {
        assert!(started.elapsed() < PATIENCE, "only {} keys ran", keys.len());
        let key = Uuid::now_v7().to_string();
        if post_order(fleet.callers(0), &key).status == Some(200) {
            keys.push(key);
        } else {
            // Keys made before their home began, with a margin for clock skew, are refused.
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    keys
}

/// Guards against resends that are told "may have run" after a planned stop, although the home
/// that stopped knew that they ran: the design page promises that it hands its keys over.
#[test]
fn a_planned_stop_hands_its_keys_over() {
    let mut fleet = Fleet::start(3);
    let keys = used_keys(&fleet);
    let report = fleet.daemons[2].take().unwrap().stop(|| false);
    assert_eq!(report.aborted_requests, 0);
    fleet.wait_for("the roster without the stopped home", |fleet| {
        fleet.live().all(|(at, _)| {
            let homes = &get(fleet.operators(at), "/v1/dump")["homes"];
            homes["settled"] == true && homes["roster"].as_array().is_some_and(|r| r.len() == 2)
        })
    });
    let told: Vec<_> = keys
        .iter()
        .map(|key| post_order(fleet.callers(0), key))
        .filter(|raw| (raw.status, raw.verdict.as_deref()) != (Some(409), Some("ran")))
        .map(|raw| (raw.status, raw.verdict))
        .collect();
    assert!(told.is_empty(), "{} of {KEYS} keys: {:?}", told.len(), told.first());
}
