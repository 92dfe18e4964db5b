//! A requester reads a long answer when the machine beside the server is lost: from one moment on it is
//! silent for good (its process is stopped and killed at the end). Rule CONFIG: the request has its
//! final answer, or the end of its channel, half a second after its route's `timeout` at the latest.
//! The machine that took the request is in touch all the while.

use review_standins::http::exchange;
use review_standins::server::{Work, call_control};
use review_standins::*;
use std::path::Path;
use std::thread;
use std::time::Duration;

const TIMEOUT_MS: u64 = 3_000;
const DEADLINE_MS: u64 = 8_000;
fn main() {
    let record = Record::create(Path::new(&std::env::args().nth(1).expect("a record")));
    std::process::exit(run(record));
}

fn run(record: Record) -> i32 {
    let machines: Vec<(&str, &str)> = (0..10)
        .map(|n| if n < 7 { ("desk", "leitrim-a") } else { ("slotdesk", "leitrim-a") })
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
    let servers: Vec<Server> = [7, 8, 9]
        .iter()
        .map(|&index| {
            let (service, zone) = machines[index];
            let id = format!("i-{index}");
            Server::start(&record, &fleet.app(index), zone, service, &id, work)
        })
        .collect();
    for (server, index) in servers.iter().zip([7, 8, 9]) {
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
    let mut never = 0;
    // Two machines are lost, one after the other.
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
        // The machine whose server runs most of them is lost.
        let runs_of = |server: &Server| {
            let id = format!("req-{round}-");
            server.runs().iter().filter(|run| run.id.starts_with(&id)).count()
        };
        let busiest = (0..servers.len()).max_by_key(|&n| runs_of(&servers[n])).expect("a server");
        let at_busiest: Vec<String> =
            servers[busiest].runs().iter().map(|run| run.id.clone()).collect();
        if trouble() {
            fleet.signal(busiest + 7, SIGSTOP);
            record.line(&format!("{} is lost: silent from here on", fleet.nodes[busiest + 7].name));
        }
        for (id, requester) in requesters {
            let outcome = requester.join().expect("a requester");
            record.line(&format!(
                "{id}: status {}, {} bytes, complete: {} {}, the answer or the channel ended {:.3} s \
                 after it was sent; at the lost machine: {}",
                outcome.status,
                outcome.body.len(),
                outcome.complete,
                outcome.problem,
                outcome.took.as_secs_f64(),
                at_busiest.contains(&id)
            ));
            never += usize::from(outcome.problem.contains("no end in time"));
            whole += usize::from(outcome.complete && outcome.status == 200);
            let timeout = Duration::from_millis(TIMEOUT_MS);
            unanswered_at_timeout += usize::from(outcome.took > timeout);
            unanswered_later += usize::from(outcome.took > timeout + Duration::from_millis(500));
        }
        sleep_ms(4_000);
    }
    record.line(&format!(
        "{whole} of 8 whole; {never} without an end in their time budget of 8 s; unanswered at the timeout: {unanswered_at_timeout}, half a second later: \
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
