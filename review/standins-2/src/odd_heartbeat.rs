//! A heartbeat from another writer, without the field `zone`, arrives for a server; later the
//! server leaves as planned.

use crate::client;
use crate::fleet::{Fleet, OUTBOUND};
use crate::record::Record;
use crate::sites::MME_BRISBANE;
use std::io;
use std::time::{Duration, Instant};

/// The machine whose server leaves; it is one of three servers of `registry`.
const LEAVING: usize = 1;

/// Machines that take the requests.
const MACHINES: [usize; 3] = [3, 4, 5];

const INTERVAL: Duration = Duration::from_millis(50);

/// `drain` of the deployment.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time for which the server serves after its ack: `drain` and a little longer.
const SERVES_ON: Duration = Duration::from_millis(4_000);

pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let fleet = Fleet::start(MME_BRISBANE, record.clone())?;
    let server = fleet.server(LEAVING).clone();
    let load = {
        let addrs = MACHINES.map(|index| fleet.machines[index].at(OUTBOUND));
        let (host, record) = (fleet.site.host, record.clone());
        std::thread::spawn(move || send_requests(&record, &addrs, host))
    };
    std::thread::sleep(Duration::from_secs(1));
    if trouble {
        // As the server's own heartbeats, but without `zone`, and with another writer's count.
        let body = format!(
            r#"{{"service":"{}","addr":"{}","version":"v1","slots":{},"state":"ready","cold_left":"0ms","seq":1000,"born":{}}}"#,
            server.service, server.addr, server.slots, server.born
        );
        let acknowledged = server.send_heartbeat(&body).is_ok();
        record.line(&format!(
            "a heartbeat without `zone` for server {}, 2xx: {acknowledged}: {body}",
            server.id
        ));
    }
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
