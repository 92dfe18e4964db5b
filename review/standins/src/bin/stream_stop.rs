//! A requester reads a long answer while the process that took its request gets SIGTERM, as planned
//! work. Rule LOST: the answer must arrive whole, as the server ends it well before `grace`.

use review_standins::http::{Outcome, exchange};
use review_standins::server::{Work, call_control};
use review_standins::*;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const GRACE_MS: u64 = 6_000;
const TIMEOUT_MS: u64 = 8_000;

fn main() {
    let record = Record::create(Path::new(&std::env::args().nth(1).expect("a record")));
    std::process::exit(run(record));
}

fn run(record: Record) -> i32 {
    let machines = [("desk", "leitrim-a"), ("slotdesk", "leitrim-a"), ("slotdesk", "leitrim-b")];
    let mut fleet = Fleet::new(record.clone(), &machines);
    (0..3).for_each(|index| fleet.start(index));
    let rules = [
        ("r-read", "safe", "/slots/", "slotdesk", TIMEOUT_MS),
        ("r-book", "unsafe", "/book/", "slotdesk", TIMEOUT_MS),
    ];
    fleet.store.put("op/config", &config(1, &["desk", "slotdesk"], &rules));
    // 300 KB of the answer at once, 100 KB after 3.6 s of work.
    let work = Work {
        first_bytes: 300_000,
        first_after: Duration::from_millis(50),
        rest_bytes: 100_000,
        rest_after: Duration::from_millis(3_600),
    };
    let servers: Vec<Server> = [1, 2]
        .iter()
        .map(|&index| {
            let (service, zone) = machines[index];
            let id = format!("i-{index}");
            Server::start(&record, &fleet.app(index), zone, service, &id, work)
        })
        .collect();
    for (server, index) in servers.iter().zip([1, 2]) {
        let (server, addr) = (server.clone(), fleet.control(index));
        thread::spawn(move || {
            loop {
                call_control(&addr, &server.beat("ready"));
                sleep_ms(1_500);
            }
        });
    }
    fleet.wait_until("all processes are ready", || (0..3).all(|index| fleet.is_ready(index)));
    // Traffic starts 8 s after the machines.
    sleep_ms(8_000);

    let requests =
        [("GET", "/slots/1"), ("POST", "/book/1"), ("GET", "/slots/2"), ("POST", "/book/2")];
    let sent_at = Instant::now();
    let requesters: Vec<_> = requests
        .iter()
        .enumerate()
        .map(|(n, (method, path))| {
            let id = format!("req-{n}");
            let body: &[u8] = if *method == "POST" { b"one bag" } else { b"" };
            let bytes = request(method, path, &id, TIMEOUT_MS, body);
            record.line(&format!("requester sends {id}: {method} {path}"));
            let addr = fleet.outbound(0);
            (id, thread::spawn(move || exchange(&addr, &bytes, Duration::from_millis(TIMEOUT_MS))))
        })
        .collect();
    sleep_ms(300);
    let term_at = sent_at.elapsed();
    if trouble() {
        fleet.signal(0, SIGTERM);
    }
    let mut lost = 0;
    let mut whole = 0;
    for (id, requester) in requesters {
        let outcome: Outcome = requester.join().expect("a requester");
        let ran = servers.iter().flat_map(Server::runs).filter(|run| run.id == id).count();
        let after_term = outcome.took.saturating_sub(term_at);
        record.line(&format!(
            "{id}: status {}, {} of 400000 bytes, complete: {}, {}ended {:.3} s after it was sent and \
             {:.3} s after the SIGTERM; runs: {ran}",
            outcome.status,
            outcome.body.len(),
            outcome.complete,
            if outcome.complete { String::new() } else { format!("{}, ", outcome.problem) },
            outcome.took.as_secs_f64(),
            after_term.as_secs_f64(),
        ));
        if outcome.complete && outcome.status == 200 {
            whole += 1;
        }
        // The rule's excuses: time budget and timeout not reached, the server did not break off, and
        // it is not the last sixth of `grace`.
        let in_time = outcome.took < Duration::from_millis(TIMEOUT_MS - 200);
        let before_last_sixth = after_term < Duration::from_millis(GRACE_MS * 5 / 6);
        if ran > 0 && !outcome.complete && in_time && before_last_sixth {
            lost += 1;
        }
    }
    if trouble() {
        let waited = Instant::now();
        while !fleet.has_ended(0) && waited.elapsed() < Duration::from_secs(7) {
            sleep_ms(20);
        }
    }
    record.line(&format!("{whole} answers whole, {lost} lost"));
    if lost > 0 {
        record.line("LOST is broken");
        return BROKEN;
    }
    if whole < requests.len() {
        record.line("the case could not run: an answer is missing for another reason");
        return NOT_RUN;
    }
    record.line("LOST held");
    HELD
}
