//! One heartbeat of another writer, without the field `zone`, reaches the control address beside one
//! of two servers. Rule FLOOR: it names no server to use, so both sound servers go on getting
//! requests, and their service is served.

use review_standins::http::{exchange, read_request};
use review_standins::server::{Work, call_control};
use review_standins::*;
use std::io::BufReader;
use std::net::TcpListener;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MIN_SHARE: f64 = 0.7;
const WINDOW: Duration = Duration::from_millis(2_000);
/// Requests are sent at this pause: 30 a second. A server with 4 slots and 200 ms of work runs 20.
const PAUSE_US: u64 = 33_300;
const BEFORE: Duration = Duration::from_secs(6);
const AFTER: Duration = Duration::from_secs(14);

struct Sent {
    at: Instant,
    served: bool,
}

/// A program that reads what it gets and answers nothing. Returns the ids of requests that it got.
fn listen_without_answer(record: &Record, addr: &str) -> Arc<Mutex<Vec<String>>> {
    let listener = TcpListener::bind(addr).expect("an address");
    let ids: Arc<Mutex<Vec<String>>> = Arc::default();
    let (all, record) = (ids.clone(), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (ids, record) = (all.clone(), record.clone());
            thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    let id = request.header("request-id").to_owned();
                    record.line(&format!("{id} reaches the address of the odd heartbeat"));
                    ids.lock().unwrap().push(id);
                }
            });
        }
    });
    ids
}

fn main() {
    let record = Record::create(Path::new(&std::env::args().nth(1).expect("a record")));
    std::process::exit(run(record));
}

fn run(record: Record) -> i32 {
    let machines = [("desk", "leitrim-a"), ("orderdesk", "leitrim-a"), ("orderdesk", "leitrim-a")];
    let mut fleet = Fleet::new(record.clone(), &machines);
    (0..3).for_each(|index| fleet.start(index));
    let rules = [("r-order", "unsafe", "/order/", "orderdesk", 3_000)];
    fleet.store.put("op/config", &config(1, &["desk", "orderdesk"], &rules));
    let work = Work {
        first_bytes: 400,
        first_after: Duration::from_millis(200),
        rest_bytes: 0,
        rest_after: Duration::ZERO,
    };
    let servers: Vec<Server> = [1, 2]
        .iter()
        .map(|&index| {
            let (service, zone) = machines[index];
            let id = format!("i-{index}");
            Server::start(&record, &fleet.app(index), zone, service, &id, work)
        })
        .collect();
    // A server is sound while its heartbeats are acknowledged as ready ones.
    for (server, index) in servers.iter().zip([1, 2]) {
        let (server, addr, record) = (server.clone(), fleet.control(index), record.clone());
        thread::spawn(move || {
            loop {
                let acked = call_control(&addr, &server.beat("ready"));
                record.line(&format!("heartbeat of {}: ready, acknowledged: {acked}", server.0.id));
                sleep_ms(1_500);
            }
        });
    }
    let strayed = listen_without_answer(&record, &fleet.spare(1));
    fleet.wait_until("all processes are ready", || (0..3).all(|index| fleet.is_ready(index)));
    sleep_ms(8_000);

    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let started = Instant::now();
    let mut odd_at = None;
    let mut requesters = Vec::new();
    let mut n = 0;
    while started.elapsed() < BEFORE + AFTER {
        if odd_at.is_none() && started.elapsed() >= BEFORE {
            odd_at = Some(Instant::now());
            if trouble() {
                // All fields but `zone`; at its address is a program that is no server.
                let body = format!(
                    r#"{{"service":"orderdesk","addr":"{}","version":"v1","slots":4,"state":"ready","cold_left":"0ms","seq":1,"born":{}}}"#,
                    fleet.spare(1),
                    unix_ms()
                );
                let call = format!(
                    "POST /api/rpc?call=instances.heartbeat&of=i-other HTTP/1.1\r\nHost: control\r\n\
                     Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                let acked = call_control(&fleet.control(1), call.as_bytes());
                record.line(&format!("odd heartbeat {body}: acknowledged: {acked}"));
            }
        }
        let (id, addr) = (format!("order-{n}"), fleet.outbound(0));
        let (sent, record) = (sent.clone(), record.clone());
        let at = Instant::now();
        requesters.push(thread::spawn(move || {
            let bytes = request("POST", &format!("/order/{id}"), &id, 3_000, b"one bag");
            let outcome = exchange(&addr, &bytes, Duration::from_millis(3_000));
            record.line(&format!("{id}: status {} {}", outcome.status, outcome.problem));
            let served = outcome.complete && outcome.status == 200;
            sent.lock().unwrap().push(Sent { at, served });
        }));
        n += 1;
        let next = started + Duration::from_micros(PAUSE_US * n);
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    let ended = Instant::now();
    for requester in requesters {
        let _ = requester.join();
    }
    let odd_at = odd_at.expect("the time of the odd heartbeat");
    let sent = sent.lock().unwrap();
    let runs: Vec<Vec<Instant>> =
        servers.iter().map(|s| s.runs().iter().map(|run| run.at).collect()).collect();
    let counts: Vec<usize> =
        runs.iter().map(|runs| runs.iter().filter(|at| **at < odd_at).count()).collect();
    record.line(&format!("runs at the servers before: {counts:?}"));
    if counts.contains(&0) {
        fleet.give_up("a server got no request before the odd heartbeat");
    }
    let mut broken = 0;
    let mut windows = 0;
    let mut start = odd_at;
    while start + WINDOW <= ended {
        let within = |at: &Instant| *at >= start && *at < start + WINDOW;
        let used = runs.iter().filter(|runs| runs.iter().any(within)).count();
        let requests: Vec<&Sent> = sent.iter().filter(|sent| within(&sent.at)).collect();
        let unserved = requests.iter().filter(|sent| !sent.served).count();
        let share = unserved as f64 / requests.len().max(1) as f64;
        let share_used = used as f64 / servers.len() as f64;
        let is_broken = used > 0 && share_used < MIN_SHARE && share > 0.1 && share < 0.5;
        record.line(&format!(
            "window from {:.1} s after: {used} of 2 sound servers get requests, {unserved} of {} requests \
             not served{}",
            (start - odd_at).as_secs_f64(),
            requests.len(),
            if is_broken { ": broken" } else { "" }
        ));
        windows += 1;
        broken += usize::from(is_broken);
        start += Duration::from_millis(500);
    }
    record.line(&format!(
        "orders passed on to the address of the odd heartbeat: {:?}",
        strayed.lock().unwrap()
    ));
    record.line(&format!("{broken} of {windows} windows broken"));
    if broken > 0 {
        record.line("FLOOR is broken");
        return BROKEN;
    }
    record.line("FLOOR held");
    HELD
}
