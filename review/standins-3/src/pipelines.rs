//! Callers that pipeline safe requests on kept channels while a crowd holds all places.

use crate::crowd::{Crowd, sleep_until};
use crate::fleet::{
    Call, Failure, Fleet, Handler, MachineOptions, Record, configuration, read_answer, request_head,
    rule,
};
use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Clients of the crowd.
const CROWD: usize = 900;

/// Ordinary callers, and requests that each sends before the first answer.
const CALLERS: usize = 4;
const REQUESTS: usize = 5;

/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(940);

/// Time of calm, and time for which the callers send requests.
const CALM: Duration = Duration::from_secs(2);
const DURATION: Duration = Duration::from_secs(10);

/// The rule allows so many requests without an answer.
const ALLOWED: usize = 3;

type Passed = Arc<Mutex<BTreeSet<String>>>;

pub fn play(root: &Path, record: &Record, trouble: bool) -> Result<bool, Failure> {
    let passed = Passed::default();
    let (log, seen) = (record.clone(), passed.clone());
    let tiles: Handler = Arc::new(move |call: &mut Call<'_>| {
        let id = call.id();
        call.read_rest()?;
        log.add(&format!("{id}: the server begins to work"));
        seen.lock().unwrap_or_else(PoisonError::into_inner).insert(id);
        std::thread::sleep(WORK);
        call.answer(b"tile")
    });
    let quiet: Handler = Arc::new(|call: &mut Call<'_>| {
        call.read_rest()?;
        call.answer(b"ok")
    });
    let machine = |service, handler| MachineOptions {
        service,
        slots: 20,
        memory_mb: 160,
        max_fds: 4_100,
        handler,
    };
    let machines = vec![
        machine("calibra", quiet),
        machine("mosaico", tiles.clone()),
        machine("mosaico", tiles),
    ];
    let rules = [
        rule("tile", "safe", 4_000, 5_000, "mosaico"),
        rule("calib", "unsafe", 4_000, 8_000, "calibra"),
    ];
    let config = configuration(1, &rules, &["mosaico", "calibra"]);
    let mut fleet = Fleet::start(root, machines, &config, record)?;
    let started = Instant::now();
    let outbound = fleet.machines[0].outbound();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (record, passed) = (record.clone(), passed.clone());
            std::thread::spawn(move || {
                let mut lost = 0;
                for channel in 0.. {
                    if started.elapsed() >= DURATION {
                        break;
                    }
                    let name = format!("caller-{caller}-{channel}");
                    match use_channel(outbound, &name, started, &record, &passed) {
                        Ok(lost_here) => lost += lost_here,
                        Err(e) => record.add(&format!("{name}: {e}")),
                    }
                    std::thread::sleep(Duration::from_millis(50));
                }
                lost
            })
        })
        .collect();
    sleep_until(started + CALM);
    let crowd = trouble.then(|| {
        record.add(&format!("crowd: {CROWD} clients with unfinished bodies, to machine 0"));
        Crowd::start(&fleet.machines[0].ip, "POST /calib/1", CROWD)
    });
    while started.elapsed() < DURATION {
        if let Some(crowd) = &crowd {
            record.add(&format!("crowd: {} channels are established", crowd.open()));
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    let mut lost = 0;
    for caller in callers {
        lost += caller.join().map_err(|_| "a thread has failed")?;
    }
    record.add(&format!("requests passed on to a server and closed without an answer: {lost}"));
    drop(crowd);
    if fleet.machines.iter_mut().any(|machine| machine.has_ended()) {
        record.add("BROKEN: a process has ended");
        return Ok(false);
    }
    if lost > ALLOWED {
        record.add("BROKEN: more than three");
    }
    Ok(lost <= ALLOWED)
}

/// Sends batches of requests on one channel until it ends. Returns the number of requests that a
/// server began to work on and that got no answer, except on a channel without any answer.
fn use_channel(
    addr: SocketAddr,
    name: &str,
    started: Instant,
    record: &Record,
    passed: &Passed,
) -> Result<usize, Failure> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(6)))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut is_kept = false;
    for batch in 0.. {
        if started.elapsed() >= DURATION {
            break;
        }
        let ids: Vec<_> = (0..REQUESTS).map(|index| format!("{name}-{batch}-{index}")).collect();
        let heads: Vec<_> =
            ids.iter().map(|id| request_head("GET /tile/1", id, 5_000, "")).collect();
        stream.write_all(heads.concat().as_bytes())?;
        record.add(&format!("{name}-{batch}: {REQUESTS} x GET /tile/1, pipelined, to machine 0"));
        let mut lost = 0;
        let mut ended = false;
        for id in &ids {
            match read_answer(&mut reader) {
                Ok((head, _)) => {
                    let connection = head.header("connection").unwrap_or("-").to_owned();
                    let status = head.status();
                    record.add(&format!("{id}: answered {status}, Connection: {connection}"));
                    is_kept = true;
                }
                Err(e) => {
                    let passed = passed.lock().unwrap_or_else(PoisonError::into_inner);
                    let was_passed_on = passed.contains(id);
                    ended = true;
                    lost += usize::from(was_passed_on && is_kept);
                    record.add(&format!(
                        "{id}: no answer ({e}); passed on to a server: {was_passed_on}"
                    ));
                }
            }
        }
        if ended {
            return Ok(lost);
        }
    }
    Ok(0)
}
