//! A machine falls silent while answers of its server are on their way through it.

use crate::crowd::sleep_until;
use crate::fleet::{
    Call, Failure, Fleet, Handler, MachineOptions, Record, configuration, request_head, rule,
};
use crate::http::read_head;
use std::io::{self, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Requests under way when the machine falls silent.
const REQUESTS: usize = 12;

/// The server sends an answer in pieces: 600,000 bytes in 2.4 s.
const PIECE_BYTES: usize = 25_000;
const PIECES: usize = 24;
const PIECE_PAUSE: Duration = Duration::from_millis(100);

/// Time from the requests to the loss of the machine.
const SILENT_AFTER: Duration = Duration::from_millis(1_800);

/// Timeout of the route, and time budget of the requests.
const TIMEOUT_MS: u32 = 5_000;

/// Time after the timeout at which the rule asks for a final answer.
const SLACK: Duration = Duration::from_millis(500);

/// Time after the timeout for which the requesters go on waiting.
const PATIENCE: Duration = Duration::from_secs(12);

/// The rule asks for that many requests.
const MIN_LATE: usize = 8;

pub fn play(root: &Path, record: &Record, trouble: bool) -> Result<bool, Failure> {
    let quiet: Handler = Arc::new(|call: &mut Call<'_>| {
        call.read_rest()?;
        call.answer(b"ok")
    });
    let log = record.clone();
    let tiles: Handler = Arc::new(move |call: &mut Call<'_>| {
        let id = call.id();
        call.read_rest()?;
        log.add(&format!("{id}: the server begins to work"));
        let len = PIECE_BYTES * PIECES;
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nReply-Stamp: stamp-{id}\r\n\
             Content-Length: {len}\r\n\r\n"
        );
        call.writer.write_all(head.as_bytes())?;
        for _ in 0..PIECES {
            call.writer.write_all(&[b't'; PIECE_BYTES])?;
            std::thread::sleep(PIECE_PAUSE);
        }
        Ok(())
    });
    let machine = |service, handler| MachineOptions {
        service,
        slots: 20,
        memory_mb: 512,
        max_fds: 8192,
        handler,
    };
    let machines = vec![machine("archivo", quiet), machine("mosaico", tiles)];
    let rules = [
        rule("tile", "safe", 4_000, TIMEOUT_MS, "mosaico"),
        rule("sweep", "safe", 1_200, 2_500, "archivo"),
    ];
    let config = configuration(1, &rules, &["mosaico", "archivo"]);
    let mut fleet = Fleet::start(root, machines, &config, record)?;
    let outbound = fleet.machines[0].outbound();
    let sent_at = Instant::now();
    let requesters: Vec<_> = (0..REQUESTS)
        .map(|index| {
            let record = record.clone();
            std::thread::spawn(move || -> Result<Option<Duration>, Failure> {
                let id = format!("tile-{index}");
                let mut stream = TcpStream::connect(outbound)?;
                let head = request_head("GET /tile/1", &id, TIMEOUT_MS, "");
                stream.write_all(head.as_bytes())?;
                record.add(&format!("{id}: GET /tile/1, time budget {TIMEOUT_MS} ms, to machine 0"));
                let ended = wait_for_end(stream, &id, sent_at, &record)?;
                Ok(ended)
            })
        })
        .collect();
    if trouble {
        sleep_until(sent_at + SILENT_AFTER);
        fleet.machines[1].signal("-STOP")?;
        record.add("machine 1 falls silent for good (SIGSTOP)");
    }
    let final_by = Duration::from_millis(u64::from(TIMEOUT_MS)) + SLACK;
    let mut late = 0;
    for requester in requesters {
        let ended = requester.join().map_err(|_| "a thread has failed")??;
        late += usize::from(ended.is_none_or(|after| after > final_by));
    }
    if fleet.machines[0].has_ended() {
        return Err("the process of machine 0 has ended".into());
    }
    record.add(&format!(
        "{late} of {REQUESTS} requests had no final answer 0.5 s after their route's timeout"
    ));
    let broken = late >= MIN_LATE && late * 4 > REQUESTS;
    if broken {
        record.add("BROKEN: eight or more, and over a quarter");
    }
    Ok(!broken)
}

/// Returns the time from the request to its complete answer or the end of its channel, or `None` if
/// the requester has waited in vain.
fn wait_for_end(
    stream: TcpStream,
    id: &str,
    sent_at: Instant,
    record: &Record,
) -> Result<Option<Duration>, Failure> {
    let give_up = sent_at + Duration::from_millis(u64::from(TIMEOUT_MS)) + PATIENCE;
    stream.set_read_timeout(Some(Duration::from_millis(200)))?;
    let mut reader = BufReader::new(stream);
    // The head comes at once, as the machine is not silent yet.
    let mut head = read_head(&mut reader);
    while head.as_ref().is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
        && Instant::now() < give_up
    {
        head = read_head(&mut reader);
    }
    let head = head?.ok_or("no answer")?;
    let len = head.content_length().unwrap_or(0);
    let mut buf = vec![0; 16 << 10];
    let mut total = 0;
    loop {
        let outcome = match reader.read(&mut buf) {
            Ok(0) => "the channel was closed".to_owned(),
            Ok(read) => {
                total += read;
                if total < len {
                    continue;
                }
                "complete".to_owned()
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                if Instant::now() < give_up {
                    continue;
                }
                "the requester gives up; nothing came, and the channel is open".to_owned()
            }
            Err(e) => format!("the channel failed: {e}"),
        };
        let after = sent_at.elapsed();
        let (status, seconds) = (head.status(), after.as_secs_f64());
        record.add(&format!("{id}: {status}, {total} of {len} bytes, after {seconds:.2} s: {outcome}"));
        return Ok((Instant::now() < give_up).then_some(after));
    }
}
