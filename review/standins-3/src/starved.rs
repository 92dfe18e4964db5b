//! Ordinary callers open new channels while a crowd holds all places.

use crate::crowd::{Crowd, sleep_until};
use crate::fleet::{
    Call, Failure, Fleet, Handler, MachineOptions, Record, configuration, read_answer, request_head,
    rule,
};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Ordinary requesters that try.
const REQUESTERS: usize = 10;

/// Time in which a new channel is taken: `contact_window`.
const CONTACT_WINDOW: Duration = Duration::from_secs(3);

/// Time that a requester allows a new channel to be established.
const CONNECT_TIME: Duration = Duration::from_secs(1);

pub fn play(root: &Path, record: &Record, trouble: bool, clients: usize) -> Result<bool, Failure> {
    let server: Handler = Arc::new(|call: &mut Call<'_>| {
        call.read_rest()?;
        call.answer(b"ok")
    });
    let machine = |service| MachineOptions {
        service,
        slots: 10,
        memory_mb: 160,
        max_fds: 4_100,
        handler: server.clone(),
    };
    let machines = vec![machine("calibra"), machine("mosaico")];
    let rules = [
        rule("tile", "safe", 4_000, 5_000, "mosaico"),
        rule("calib", "unsafe", 4_000, 8_000, "calibra"),
    ];
    let config = configuration(1, &rules, &["mosaico", "calibra"]);
    let mut fleet = Fleet::start(root, machines, &config, record)?;
    let started = Instant::now();
    let crowd = trouble.then(|| Crowd::start(&fleet.machines[0].ip, "POST /calib/1", clients));
    if crowd.is_some() {
        record.add(&format!("crowd: {clients} clients with unfinished bodies, to machine 0"));
    }
    sleep_until(started + Duration::from_millis(3_500));
    if let Some(crowd) = &crowd {
        record.add(&format!("crowd: {} channels are established", crowd.open()));
    }
    let tried_from = Instant::now();
    let outbound = fleet.machines[0].outbound();
    let requesters: Vec<_> = (0..REQUESTERS)
        .map(|requester| {
            let record = record.clone();
            std::thread::spawn(move || {
                let (mut taken, mut answered) = (0, 0);
                for attempt in 0.. {
                    if tried_from.elapsed() >= CONTACT_WINDOW {
                        break;
                    }
                    let id = format!("ordinary-{requester}-{attempt}");
                    let attempt_at = Instant::now();
                    match try_request(outbound, &id) {
                        Ok((took, outcome)) => {
                            taken += usize::from(took);
                            answered += usize::from(outcome.is_ok());
                            let outcome = match outcome {
                                Ok(status) => format!("answered {status}"),
                                Err(e) => format!("no answer: {e}"),
                            };
                            let ms = attempt_at.elapsed().as_millis();
                            record.add(&format!("{id}: channel taken: {took}, {outcome}, {ms} ms"));
                        }
                        Err(e) => record.add(&format!("{id}: {e}")),
                    }
                    std::thread::sleep(Duration::from_millis(100));
                }
                (taken, answered)
            })
        })
        .collect();
    while tried_from.elapsed() < CONTACT_WINDOW {
        record.add(&format!("machine 0 says it is ready: {}", fleet.is_ready(0)));
        std::thread::sleep(Duration::from_millis(900));
    }
    let (mut taken, mut answered) = (0, 0);
    for requester in requesters {
        let (own_taken, own_answered) = requester.join().map_err(|_| "a thread has failed")?;
        taken += own_taken;
        answered += own_answered;
    }
    record.add(&format!("channels taken {taken}, requests answered {answered}"));
    drop(crowd);
    if fleet.machines.iter_mut().any(|machine| machine.has_ended()) {
        record.add("BROKEN: a process has ended");
        return Ok(false);
    }
    if taken == 0 {
        record.add("BROKEN: a machine that says it is ready took no new channel");
    }
    Ok(taken > 0)
}

/// Returns whether the channel was established, and the status of the answer.
fn try_request(
    addr: std::net::SocketAddr,
    id: &str,
) -> Result<(bool, std::io::Result<u16>), Failure> {
    let mut stream = match TcpStream::connect_timeout(&addr, CONNECT_TIME) {
        Ok(stream) => stream,
        Err(e) => return Ok((false, Err(e))),
    };
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    stream.write_all(request_head("GET /tile/1", id, 5_000, "").as_bytes())?;
    let answer = read_answer(&mut BufReader::new(stream));
    Ok((true, answer.map(|(head, _)| head.status())))
}
