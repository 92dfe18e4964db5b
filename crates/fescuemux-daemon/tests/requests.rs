//! Requests through real daemons: idempotency keys, limits, uploads and stops.

mod support;

use fescuemux_standins::server::ServerFault;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use support::{Fleet, get, send_raw};
use uuid::Uuid;

fn post_order(addr: SocketAddr, key: &str, tag: &str) -> support::RawResponse {
    let request = format!(
        "POST /orders HTTP/1.1\r\nhost: a\r\nconnection: close\r\nidempotency-key: {key}\r\n\
         x-tag: {tag}\r\ncontent-length: 3\r\n\r\nabc"
    );
    send_raw(addr, request.as_bytes())
}

/// Sends orders with new keys until an order is not refused with status 409, and returns its key
/// and response. For two seconds after its start, a home refuses keys because it cannot know
/// whether the keys were used before.
fn send_first_order(addr: SocketAddr) -> (String, support::RawResponse) {
    for _ in 0..200 {
        let key = Uuid::now_v7().to_string();
        let response = post_order(addr, &key, &key);
        if response.status != Some(409) {
            return (key, response);
        }
        assert_eq!(response.verdict.as_deref(), Some("may-have-run"), "{response:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("no order was accepted");
}

#[test]
fn a_key_runs_once_whichever_daemon_takes_it() {
    let fleet = Fleet::start(3);
    let (key, first) = send_first_order(fleet.callers_addr(0));
    assert_eq!((first.status, first.verdict.as_deref()), (Some(200), Some("ran")), "{first:?}");
    for daemon in 0..3 {
        let response = post_order(fleet.callers_addr(daemon), &key, &key);
        assert_eq!(
            (response.status, response.verdict.as_deref()),
            (Some(409), Some("ran")),
            "{response:?}"
        );
        assert!(response.text.contains("fescuemux-first-status: 200"), "{response:?}");
    }
    assert_eq!(fleet.execution_count(&key), 1);
}

/// Fails if a resend reaches the home of its key before the outcome of the first request
/// reaches that home, and is answered "may have run" although the first response was received.
#[test]
fn a_resend_right_after_the_answer_is_told_that_it_ran() {
    let fleet = Fleet::start(3);
    for number in 0..300 {
        let (key, first) = send_first_order(fleet.callers_addr(0));
        assert_eq!(first.status, Some(200), "{number}: {first:?}");
        let second = post_order(fleet.callers_addr(1 + number % 2), &key, &key);
        assert_eq!(second.verdict.as_deref(), Some("ran"), "{number}: {second:?}");
        assert_eq!(fleet.execution_count(&key), 1);
    }
}

#[test]
fn a_key_whose_answer_was_lost_is_not_run_again() {
    let fleet = Fleet::start(2);
    for server in &fleet.servers {
        server.set_fault(ServerFault::LostResponse(1.0));
    }
    let (key, first) = send_first_order(fleet.callers_addr(0));
    assert_eq!((first.status, first.verdict.as_deref()), (Some(502), Some("may-have-run")));
    for server in &fleet.servers {
        server.set_fault(ServerFault::None);
    }
    let second = post_order(fleet.callers_addr(1), &key, &key);
    assert_eq!((second.status, second.verdict.as_deref()), (Some(409), Some("may-have-run")));
    assert_eq!(fleet.execution_count(&key), 1);
}

#[test]
fn a_key_older_than_its_home_is_refused() {
    let fleet = Fleet::start(1);
    send_first_order(fleet.callers_addr(0));
    let old = "0190163d-8694-739b-aea5-966c26f8ad91";
    let response = post_order(fleet.callers_addr(0), old, old);
    assert_eq!(
        (response.status, response.verdict.as_deref()),
        (Some(409), Some("may-have-run")),
        "{response:?}"
    );
    assert_eq!(fleet.execution_count(old), 0);
}

#[test]
fn a_caller_over_its_limit_gets_status_429() {
    let fleet = Fleet::start(1);
    let request = "GET /slots HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
                   fescuemux-caller: limited\r\n\r\n";
    let statuses: Vec<Option<u16>> =
        (0..4).map(|_| send_raw(fleet.callers_addr(0), request.as_bytes()).status).collect();
    assert_eq!(statuses[0], Some(200));
    assert!(statuses.contains(&Some(429)), "{statuses:?}");
}

#[test]
fn a_chunked_upload_arrives_whole() {
    let fleet = Fleet::start(2);
    let mut request = b"POST /orders HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
                        transfer-encoding: chunked\r\n\r\n"
        .to_vec();
    for _ in 0..64 {
        request.extend_from_slice(b"10000\r\n");
        request.extend_from_slice(&[b'x'; 0x10000]);
        request.extend_from_slice(b"\r\n");
    }
    request.extend_from_slice(b"0\r\n\r\n");
    let response = send_raw(fleet.callers_addr(0), &request);
    assert_eq!(response.status, Some(200), "{response:?}");
    let body: Value =
        serde_json::from_str(response.text.split("\r\n\r\n").nth(1).unwrap()).unwrap();
    let total = 64 * 0x10000;
    assert!(body.to_string().contains(&total.to_string()), "{body}");
}

#[test]
fn an_upload_without_a_server_keeps_its_answer() {
    let fleet = Fleet::start(1);
    fleet.servers[0].announce_draining();
    fleet.wait_for("the server to drain", |fleet| {
        get(fleet.operators_addr(0), "/v1/dump")["servers"][0]["phase"] == "draining"
    });
    let mut request = b"POST /orders HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
                        content-length: 20000000\r\n\r\n"
        .to_vec();
    request.resize(request.len() + 20_000_000, b'x');
    let response = send_raw(fleet.callers_addr(0), &request);
    assert_eq!(
        (response.status, response.verdict.as_deref()),
        (Some(503), Some("not-run")),
        "{response:?}"
    );
}

#[test]
fn an_upload_without_a_route_gets_its_response() {
    let fleet = Fleet::start(1);
    let mut request = b"POST /unknown HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
                        content-length: 20000000\r\n\r\n"
        .to_vec();
    request.resize(request.len() + 20_000_000, b'x');
    let response = send_raw(fleet.callers_addr(0), &request);
    assert_eq!(
        (response.status, response.verdict.as_deref()),
        (Some(404), Some("not-run")),
        "{response:?}"
    );
}

#[test]
fn a_large_answer_that_is_cut_never_looks_whole() {
    let fleet = Fleet::start(1);
    let request = "GET /slots HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
                   x-answer-bytes: 5000000\r\n\r\n";
    let whole = send_raw(fleet.callers_addr(0), request.as_bytes());
    assert!(whole.text.len() > 5_000_000, "{} bytes", whole.text.len());
    fleet.servers[0].set_fault(ServerFault::TruncatedResponse(1.0));
    let cut = send_raw(fleet.callers_addr(0), request.as_bytes());
    assert!(cut.text.len() < whole.text.len(), "{} bytes", cut.text.len());
}

/// Returns the number of attempts with `outcome`, summed over all daemons.
fn attempts(fleet: &Fleet, outcome: &str) -> u64 {
    let wanted = format!("outcome=\"{outcome}\"");
    let count = |metrics: String| -> u64 {
        let lines = metrics.lines().filter(|line| line.starts_with("fescuemux_attempts_total"));
        let values = lines.filter(|line| line.contains(&wanted));
        values.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
    };
    let read_metrics =
        |addr| attohttpc::get(format!("http://{addr}/metrics")).send().unwrap().text();
    fleet.live_daemons().map(|(_, d)| count(read_metrics(d.addresses().operators).unwrap())).sum()
}

#[test]
fn slow_reads_are_hedged_within_the_budget() {
    let fleet = Fleet::start(2);
    let read = "GET /slots HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
                fescuemux-deadline-ms: 2000\r\n\r\n";
    let send = || send_raw(fleet.callers_addr(0), read.as_bytes()).status;
    for _ in 0..100 {
        assert_eq!(send(), Some(200));
    }
    fleet.servers[0].set_fault(ServerFault::BlackHole);
    let statuses: Vec<Option<u16>> = (0..60).map(|_| send()).collect();
    let answered = statuses.iter().filter(|status| **status == Some(200)).count();
    assert!(statuses.iter().all(|s| matches!(s, Some(200 | 504))), "{statuses:?}");
    assert!(answered >= 50, "{answered} of 60 answered");
    let hedged = attempts(&fleet, "hedged");
    // The retry budget is a tenth of the requests plus a reserve of one.
    assert!((1..=17).contains(&hedged), "{hedged} hedged");
}

#[test]
fn a_rolling_replacement_cuts_nothing() {
    let mut fleet = Fleet::start(3);
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let addrs = std::sync::Arc::new(std::sync::Mutex::new(
        (0..3).map(|daemon| fleet.callers_addr(daemon)).collect::<Vec<_>>(),
    ));
    let callers: Vec<_> = (0..8)
        .map(|number| {
            let (stop, addrs) = (stop.clone(), addrs.clone());
            std::thread::spawn(move || {
                let (mut results, mut turn) = (Vec::new(), number);
                while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                    turn += 1;
                    let addr = {
                        let addrs = addrs.lock().unwrap();
                        addrs[turn % addrs.len()]
                    };
                    let tag = Uuid::now_v7().to_string();
                    let url = format!("http://{addr}/slots");
                    match attohttpc::get(url).header("x-tag", &tag).send() {
                        Ok(answer) => {
                            let status = answer.status().as_u16();
                            let body = answer.text().unwrap_or_default();
                            results.push((status, body.contains(&tag), String::new()));
                        }
                        Err(e) if e.to_string().contains("refused") => {}
                        Err(e) => results.push((0, false, e.to_string())),
                    }
                    std::thread::sleep(Duration::from_millis(5));
                }
                results
            })
        })
        .collect();
    for old_daemon in 0..3 {
        let new_daemon = fleet.add_daemon();
        fleet.wait_for("the new daemon", |fleet| {
            let dump = get(fleet.operators_addr(new_daemon), "/v1/dump");
            dump["generation"] == 1 && dump["servers"].as_array().is_some_and(|s| s.len() == 1)
        });
        addrs.lock().unwrap().push(fleet.callers_addr(new_daemon));
        let leaving_addr = fleet.callers_addr(old_daemon);
        addrs.lock().unwrap().retain(|addr| *addr != leaving_addr);
        let report = fleet.daemons[old_daemon].take().unwrap().stop(|| false);
        assert_eq!(report.aborted_requests, 0);
    }
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    let results: Vec<_> = callers.into_iter().flat_map(|c| c.join().unwrap()).collect();
    assert!(results.len() > 100, "{} requests", results.len());
    let bad: Vec<_> =
        results.iter().filter(|(status, own_tag, _)| *status != 200 || !own_tag).collect();
    assert!(bad.is_empty(), "{} of {} requests: {:?}", bad.len(), results.len(), bad.first());
}

#[test]
fn a_crashed_daemon_leaves_a_truthful_verdict() {
    let mut fleet = Fleet::start(3);
    fleet.daemons[2].take().unwrap().abort();
    fleet.servers.remove(2).stop();
    for number in 0..40 {
        let tag = format!("after-crash-{number}");
        let response = send_raw(
            fleet.callers_addr(number % 2),
            format!(
                "POST /orders HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx-tag: {tag}\r\n\
                 content-length: 0\r\n\r\n"
            )
            .as_bytes(),
        );
        let runs = fleet.execution_count(&tag);
        match response.verdict.as_deref() {
            Some("ran") => assert_eq!(runs, 1, "{response:?}"),
            Some("not-run") => assert_eq!(runs, 0, "{response:?}"),
            _ => assert!(runs <= 1, "{response:?}"),
        }
    }
}
