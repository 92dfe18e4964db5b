//! A requester reads a long answer while the machine of the server's process stands still. Rule
//! CONFIG: the request has its final answer, or the end of its channel, half a second after its
//! route's `timeout` at the latest. The machine that took the request is in touch all the while.

use review_standins::http::exchange;
use review_standins::server::{Work, call_control};
use review_standins::*;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const TIMEOUT_MS: u64 = 3_000;
const DEADLINE_MS: u64 = 8_000;
/// Length of the freeze, as in the site file's `node_freeze`.
const FREEZE_MS: u64 = 4_000;

fn main() {
    let record = Record::create(Path::new(&std::env::args().nth(1).expect("a record")));
    std::process::exit(run(record));
}

fn run(record: Record) -> i32 {
    // One of ten machines stands still, as the share of `node_freeze` says.
    let machines: Vec<(&str, &str)> = (0..10)
        .map(|n| if n < 8 { ("desk", "leitrim-a") } else { ("slotdesk", "leitrim-a") })
        .collect();
    let mut fleet = Fleet::new(record.clone(), &machines);
    (0..10).for_each(|index| fleet.start(index));
    let rules = [("r-read", "safe", "/slots/", "slotdesk", TIMEOUT_MS)];
    fleet.store.put("op/config", &config(1, &["desk", "slotdesk"], &rules));
    // 300 KB of the answer at once, 100 KB after 1.5 s of work.
    let work = Work {
        first_bytes: 300_000,
        first_after: Duration::from_millis(50),
        rest_bytes: 100_000,
        rest_after: Duration::from_millis(1_500),
    };
    let servers: Vec<Server> = [8, 9]
        .iter()
        .map(|&index| {
            let (service, zone) = machines[index];
            let id = format!("i-{index}");
            Server::start(&record, &fleet.app(index), zone, service, &id, work)
        })
        .collect();
    for (server, index) in servers.iter().zip([8, 9]) {
        let (server, addr) = (server.clone(), fleet.control(index));
        thread::spawn(move || {
            loop {
                call_control(&addr, &server.beat("ready"));
                sleep_ms(1_500);
            }
        });
    }
    fleet.wait_until("all processes are ready", || (0..10).all(|index| fleet.is_ready(index)));
    sleep_ms(8_000);

    let mut unanswered_at_timeout = 0;
    let mut unanswered_later = 0;
    let mut whole = 0;
    // The freeze comes twice.
    for round in 0..2 {
        let requesters: Vec<_> = (0..4)
            .map(|n| {
                let id = format!("req-{round}-{n}");
                let bytes = request("GET", &format!("/slots/{n}"), &id, DEADLINE_MS, b"");
                record.line(&format!("requester sends {id}"));
                let addr = fleet.outbound(n);
                let patience = Duration::from_millis(DEADLINE_MS);
                (id, thread::spawn(move || exchange(&addr, &bytes, patience)))
            })
            .collect();
        sleep_ms(400);
        // The machine whose server runs most of them stands still.
        let runs_of = |server: &Server| {
            let id = format!("req-{round}-");
            server.runs().iter().filter(|run| run.id.starts_with(&id)).count()
        };
        let busiest = if runs_of(&servers[0]) >= runs_of(&servers[1]) { 0 } else { 1 };
        let frozen = busiest + 8;
        let at_busiest: Vec<String> =
            servers[busiest].runs().iter().map(|run| run.id.clone()).collect();
        if trouble() {
            fleet.signal(frozen, SIGSTOP);
        }
        let frozen_at = Instant::now();
        sleep_ms(FREEZE_MS);
        if trouble() {
            fleet.signal(frozen, SIGCONT);
            record.line(&format!("it stood still for {:.3} s", frozen_at.elapsed().as_secs_f64()));
        }
        for (id, requester) in requesters {
            let outcome = requester.join().expect("a requester");
            record.line(&format!(
                "{id}: status {}, {} bytes, complete: {} {}, the answer or the channel ended {:.3} s \
                 after it was sent; at the frozen machine: {}",
                outcome.status,
                outcome.body.len(),
                outcome.complete,
                outcome.problem,
                outcome.took.as_secs_f64(),
                at_busiest.contains(&id)
            ));
            whole += usize::from(outcome.complete && outcome.status == 200);
            let timeout = Duration::from_millis(TIMEOUT_MS);
            unanswered_at_timeout += usize::from(outcome.took > timeout);
            unanswered_later += usize::from(outcome.took > timeout + Duration::from_millis(500));
        }
        sleep_ms(6_000);
    }
    record.line(&format!(
        "{whole} of 8 whole; unanswered at the timeout: {unanswered_at_timeout}, half a second later: \
         {unanswered_later}"
    ));
    if unanswered_later * 2 > unanswered_at_timeout {
        record.line("CONFIG is broken");
        return BROKEN;
    }
    if !trouble() && whole < 8 {
        record.line("the case could not run: an answer is missing for another reason");
        return NOT_RUN;
    }
    record.line("CONFIG held");
    HELD
}
