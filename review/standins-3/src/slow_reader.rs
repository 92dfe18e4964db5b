//! The process that took a request from a slowly reading requester is stopped as planned.

use crate::fleet::{
    Call, Failure, Fleet, Handler, MachineOptions, Record, configuration, request_head, rule,
};
use crate::http::read_head;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Length of the answer.
const ANSWER_BYTES: usize = 24 << 20;

/// The requester reads so many bytes every 20 ms: 5.2 MB a second, the whole answer in 4.8 s.
const PIECE_BYTES: usize = 105_000;
const PIECE_PAUSE: Duration = Duration::from_millis(20);

/// Time from the request to SIGTERM.
const SIGTERM_AFTER: Duration = Duration::from_millis(500);

/// Time from SIGTERM to SIGKILL: `grace`.
const GRACE: Duration = Duration::from_secs(6);

pub fn play(root: &Path, record: &Record, trouble: bool) -> Result<bool, Failure> {
    let quiet: Handler = Arc::new(|call: &mut Call<'_>| {
        call.read_rest()?;
        call.answer(b"ok")
    });
    let log = record.clone();
    let tiles: Handler = Arc::new(move |call: &mut Call<'_>| {
        let id = call.id();
        call.read_rest()?;
        log.add(&format!("{id}: the server begins to work, answers 200 with {ANSWER_BYTES} bytes"));
        let sent = call.answer(&vec![b't'; ANSWER_BYTES]);
        log.add(&format!("{id}: the server has sent its answer: {sent:?}"));
        sent
    });
    let machine = |service, handler| MachineOptions {
        service,
        slots: 10,
        memory_mb: 512,
        max_fds: 8192,
        handler,
    };
    let machines = vec![machine("archivo", quiet), machine("mosaico", tiles)];
    let rules = [
        rule("tile", "safe", 4_000, 10_000, "mosaico"),
        rule("sweep", "safe", 1_200, 2_500, "archivo"),
    ];
    let config = configuration(1, &rules, &["mosaico", "archivo"]);
    let mut fleet = Fleet::start(root, machines, &config, record)?;
    let mut stream = TcpStream::connect(fleet.machines[0].outbound())?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let sent_at = Instant::now();
    stream.write_all(request_head("GET /tile/1", "slow-0", 10_000, "").as_bytes())?;
    record.add("slow-0: GET /tile/1, time budget 10 s, to machine 0");
    let reading = std::thread::spawn(move || read_slowly(stream));
    std::thread::sleep(SIGTERM_AFTER.saturating_sub(sent_at.elapsed()));
    let signaled_at = Instant::now();
    if trouble {
        fleet.machines[0].signal("-TERM")?;
        record.add("machine 0: SIGTERM");
    }
    let mut has_ended = false;
    while signaled_at.elapsed() < GRACE {
        if !has_ended && fleet.machines[0].has_ended() {
            has_ended = true;
            let after = signaled_at.elapsed().as_secs_f64();
            record.add(&format!("machine 0: the process exits {after:.2} s after SIGTERM"));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let (status, len, end) = reading.join().map_err(|_| "a thread has failed")??;
    record.add(&format!("slow-0: answered {status}, {len} of {ANSWER_BYTES} bytes, {end}"));
    if status != 200 {
        return Err(format!("status {status}").into());
    }
    let whole = len == ANSWER_BYTES;
    if !whole {
        record.add("slow-0: BROKEN: the channel ended before the answer was complete");
    }
    Ok(whole)
}

/// Returns the status, the number of bytes of the body, and how the channel ended.
fn read_slowly(stream: TcpStream) -> Result<(u16, usize, String), Failure> {
    let started = Instant::now();
    let mut reader = BufReader::with_capacity(8 << 10, stream);
    let head = read_head(&mut reader)?.ok_or("no answer")?;
    let mut buf = vec![0; PIECE_BYTES];
    let mut total = 0;
    let end = loop {
        let mut filled = 0;
        let mut result = Ok(1);
        while filled < buf.len() && total + filled < ANSWER_BYTES {
            result = reader.read(&mut buf[filled..]);
            match result {
                Ok(len) if len > 0 => filled += len,
                _ => break,
            }
        }
        total += filled;
        match result {
            Ok(0) => break "the channel was closed".to_owned(),
            Err(e) => break format!("the channel failed: {e}"),
            Ok(_) if total >= ANSWER_BYTES => break "complete".to_owned(),
            Ok(_) => std::thread::sleep(PIECE_PAUSE),
        }
    };
    let elapsed = started.elapsed().as_secs_f64();
    Ok((head.status(), total, format!("{end} after {elapsed:.2} s")))
}
