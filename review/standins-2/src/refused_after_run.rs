//! One of seven servers fails two in five of its requests: it runs them and answers 503, without
//! `Not-Run`. Its health probe is good.

use crate::client;
use crate::fleet::{Fleet, OUTBOUND};
use crate::record::Record;
use crate::sites::BMFD_MESH;
use std::io;
use std::time::{Duration, Instant};

/// Index of the failing server of `orderdesk`.
const FAILING: usize = 2;

/// Machines that take the orders.
const MACHINES: [usize; 3] = [0, 7, 8];

const ORDERS: usize = 300;
const INTERVAL: Duration = Duration::from_millis(40);

/// Requesters retry an order after a promise, on a new channel and with a new id.
const MAX_TRIES: usize = 2;

pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let fleet = Fleet::start(BMFD_MESH, record.clone())?;
    if trouble {
        record.line(&format!(
            "server {} begins to fail two in five of its requests",
            fleet.server(FAILING).id
        ));
        fleet.server(FAILING).fail_requests();
    }
    let started = Instant::now();
    let orders: Vec<_> = (0..ORDERS)
        .map(|order| {
            std::thread::sleep((INTERVAL * order as u32).saturating_sub(started.elapsed()));
            let addr = fleet.machines[MACHINES[order % MACHINES.len()]].at(OUTBOUND);
            let (host, record) = (fleet.site.host, record.clone());
            std::thread::spawn(move || {
                let mut tries = Vec::new();
                for attempt in 0..MAX_TRIES {
                    let id = format!("{order:08x}{:08x}", 0x5a17_0000 + attempt);
                    let body = format!("bag order {order}");
                    let request = format!(
                        "POST /bag/book?work=370 HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    record.line(&format!("order {order} is sent as request {id}"));
                    let seen = client::send(addr, request.as_bytes(), Duration::from_secs(3));
                    let outcome = seen.outcome();
                    let stamp = if seen.stamped { ", with a Reply-Stamp" } else { "" };
                    record.line(&format!("request {id} is answered {outcome}{stamp}"));
                    let is_promise = matches!(seen.status, Some(408 | 421 | 429 | 503));
                    tries.push((id, seen));
                    if !is_promise {
                        break;
                    }
                }
                (order, tries)
            })
        })
        .collect();
    let mut answers = Vec::new();
    for order in orders {
        answers.push(order.join().map_err(|_| io::Error::other("a requester failed"))?);
    }
    let runs: Vec<_> = (0..7).flat_map(|index| fleet.server(index).runs()).collect();
    let runs_of = |id: &str| runs.iter().filter(|run| run.id == id).count();
    let served =
        |tries: &[(String, client::Seen)]| tries.iter().any(|(_, seen)| seen.status == Some(200));
    let (mut untrue, mut twice) = (0, 0);
    for (order, tries) in &answers {
        for (id, seen) in tries {
            // REFUSED: a request that isn't idempotent is answered so and has run.
            if matches!(seen.status, Some(408 | 421 | 429 | 503)) && runs_of(id) > 0 {
                untrue += 1;
                record.line(&format!(
                    "order {order}: request {id} was answered {} and ran",
                    seen.outcome()
                ));
            }
        }
        let total: usize = tries.iter().map(|(id, _)| runs_of(id)).sum();
        if total > 1 {
            twice += 1;
            record.line(&format!("order {order} ran {total} times, as its requester trusted that"));
        }
    }
    let served = answers.iter().filter(|(_, tries)| served(tries)).count();
    record.say(&format!(
        "{ORDERS} orders, {served} served; {untrue} requests were answered 503 and had run; {twice} orders ran twice"
    ));
    if served < ORDERS / 2 {
        return Err(io::Error::other("fewer than half of the orders were served"));
    }
    Ok(untrue == 0)
}
