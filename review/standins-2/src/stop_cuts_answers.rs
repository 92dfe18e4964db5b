//! A machine gets SIGTERM while servers on other machines send long answers to its requesters.

use crate::client;
use crate::fleet::{Fleet, OUTBOUND};
use crate::record::Record;
use crate::sites::MME_BRISBANE;
use std::io;
use std::time::{Duration, Instant};

/// The machine that takes the requests; its server is of another service.
const MACHINE: usize = 0;

/// Body of each answer, and the time over which its server sends it.
const BYTES: usize = 1_000_000;
const OVER_MS: u64 = 3_500;

/// Time before the answer's head.
const WORK_MS: u64 = 300;

/// Time between the requests and SIGTERM.
const BEFORE_STOP: Duration = Duration::from_millis(700);

pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let mut fleet = Fleet::start(MME_BRISBANE, record.clone())?;
    let addr = fleet.machines[MACHINE].at(OUTBOUND);
    let host = fleet.site.host;
    let started = Instant::now();
    let requests: Vec<_> = (0..4)
        .map(|index| {
            let (line, budget_ms, body) = match index % 2 {
                0 => ("GET /search/rounds", 8_000, String::new()),
                _ => ("POST /round/upload", 15_000, "r".repeat(4_000)),
            };
            let id = format!("9c41d07be2a35f{index:02x}");
            let request = format!(
                "{line}?work={WORK_MS}&bytes={BYTES}&over={OVER_MS} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nDeadline-Ms: {budget_ms}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let record = record.clone();
            record.line(&format!("request {id} is sent: {line}, time budget {budget_ms} ms"));
            std::thread::spawn(move || {
                let seen =
                    client::send(addr, request.as_bytes(), Duration::from_millis(budget_ms));
                record.line(&format!("request {id}: {seen:?}"));
                (id, seen)
            })
        })
        .collect();
    std::thread::sleep(BEFORE_STOP.saturating_sub(started.elapsed()));
    if trouble {
        record.line(&format!("SIGTERM to the process of {}", fleet.machines[MACHINE].name));
        fleet.machines[MACHINE].signal("-TERM");
    }
    let stopped = Instant::now();
    let mut held = true;
    if trouble {
        fleet.await_end(MACHINE);
        record.line(&format!(
            "the process has ended, {} ms after SIGTERM",
            stopped.elapsed().as_millis()
        ));
    }
    for request in requests {
        let (id, seen) = request.join().map_err(|_| io::Error::other("a requester failed"))?;
        let whole = seen.is_complete() && seen.body_bytes == BYTES && seen.status == Some(200);
        record.say(&format!(
            "request {id}: status {:?}, {} of {:?} bytes after {} ms{}",
            seen.status,
            seen.body_bytes,
            seen.announced,
            seen.ms,
            seen.end.as_deref().map_or(String::new(), |end| format!(", then: {end}"))
        ));
        if !trouble && !whole {
            return Err(io::Error::other("an answer is not whole though nothing was disrupted"));
        }
        // LOST: the channel of a request that was passed on ends without a complete answer.
        held &= whole || seen.is_complete();
    }
    Ok(held)
}
