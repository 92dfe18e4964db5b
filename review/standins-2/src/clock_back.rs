//! A server goes down and up under its id while the time of day of its machine jumps back; later it
//! leaves as planned.

use crate::client;
use crate::fleet::{Fleet, OUTBOUND};
use crate::record::Record;
use crate::sites::MME_BRISBANE;
use std::io;
use std::time::{Duration, Instant};

/// The machine whose server goes down and up, and leaves; it is one of three servers of `registry`.
const LEAVING: usize = 1;

/// Machines that take the requests.
const MACHINES: [usize; 3] = [3, 4, 5];

/// Times for which the server is down and up while it flaps.
const DOWN: Duration = Duration::from_millis(700);
const UP: Duration = Duration::from_millis(700);

/// By how much the clock of the machine is ahead until it jumps back.
const AHEAD: Duration = Duration::from_millis(2_000);

const INTERVAL: Duration = Duration::from_millis(50);

/// `drain` of the deployment.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time between the last start and the departure.
const CALM: Duration = Duration::from_secs(5);

/// Time for which the server serves after its ack: `drain` and a little longer.
const SERVES_ON: Duration = Duration::from_millis(4_000);

pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let mut fleet = Fleet::start(MME_BRISBANE, record.clone())?;
    let ahead = if trouble { AHEAD } else { Duration::ZERO };
    record.line(&format!("the clock of the machine is {} ms ahead from now on", ahead.as_millis()));
    fleet.server(LEAVING).end();
    std::thread::sleep(DOWN);
    fleet.start_server(LEAVING, ahead)?;
    std::thread::sleep(UP);
    fleet.server(LEAVING).end();
    record.line("the clock of the machine is right from now on");
    std::thread::sleep(DOWN);
    fleet.start_server(LEAVING, Duration::ZERO)?;
    let server = fleet.server(LEAVING).clone();
    std::thread::sleep(CALM);
    let load = {
        let addrs = MACHINES.map(|index| fleet.machines[index].at(OUTBOUND));
        let (host, record) = (fleet.site.host, record.clone());
        std::thread::spawn(move || send_requests(&record, &addrs, host))
    };
    std::thread::sleep(Duration::from_secs(3));
    let acked = server.drain();
    record.line(&format!("server {} has its ack that it is draining", server.id));
    std::thread::sleep(SERVES_ON);
    server.end();
    record.line(&format!("server {} exits", server.id));
    let sent = load.join().map_err(|_| io::Error::other("the requesters failed"))?;
    // DRAIN: a request reaches the server later than `drain` after the ack.
    let runs = server.runs();
    let late = runs.iter().filter(|run| run.at > acked + DRAIN);
    let late: Vec<_> = late.map(|run| run.id.clone()).collect();
    let runs_late = late.len();
    let failed = sent.iter().filter(|(_, seen)| seen.status != Some(200)).count();
    let lost = sent.iter().filter(|(id, seen)| late.contains(id) && seen.status != Some(200));
    record.say(&format!(
        "{} requests, {failed} not served; server {} ran {} requests, {runs_late} of them later than {} ms after its ack, of which {} were lost when it exited",
        sent.len(),
        server.id,
        runs.len(),
        DRAIN.as_millis(),
        lost.count()
    ));
    if runs.is_empty() {
        return Err(io::Error::other("the server got no requests at all"));
    }
    Ok(runs_late == 0)
}

fn send_requests(
    record: &Record,
    addrs: &[std::net::SocketAddr],
    host: &'static str,
) -> Vec<(String, client::Seen)> {
    let started = Instant::now();
    let requests: Vec<_> = (0..200u32)
        .map(|number| {
            std::thread::sleep((INTERVAL * number).saturating_sub(started.elapsed()));
            let addr = addrs[number as usize % addrs.len()];
            let record = record.clone();
            std::thread::spawn(move || {
                let id = format!("{number:08x}7a3c90e1");
                let request = format!(
                    "POST /register/team?work=400 HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nDeadline-Ms: 10000\r\nContent-Length: 4\r\n\r\nteam"
                );
                record.line(&format!("request {id} is sent"));
                let seen = client::send(addr, request.as_bytes(), Duration::from_secs(10));
                record.line(&format!("request {id}: {} after {} ms", seen.outcome(), seen.ms));
                (id, seen)
            })
        })
        .collect();
    requests.into_iter().filter_map(|request| request.join().ok()).collect()
}
