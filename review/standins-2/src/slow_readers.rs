//! Requesters read their answers slowly while a crowd with stalled bodies takes all places.

use crate::fleet::{Fleet, OUTBOUND};
use crate::record::Record;
use crate::sites::RADAR_ANDINO;
use crate::stalled_bodies::{begin_crowd, Counts};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The machine that takes all requests; its server is of another service.
const MACHINE: usize = 0;

/// Requesters that read slowly.
const READERS: usize = 20;

/// Body of each answer, and how its requester reads: a step of so many bytes, then a pause.
const BYTES: usize = 5_000_000;
const STEP: usize = 20_000;
const PAUSE: Duration = Duration::from_millis(50);

/// Time budget of their requests; the route's timeout is the same.
const BUDGET: Duration = Duration::from_millis(15_000);

/// Time between the requests and the crowd.
const BEFORE_CROWD: Duration = Duration::from_millis(300);

struct Seen {
    id: String,
    status: Option<u16>,
    body_bytes: usize,
    end: Option<String>,
    ms: u128,
}

pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let fleet = Fleet::start(RADAR_ANDINO, record.clone())?;
    let (addr, host) = (fleet.machines[MACHINE].at(OUTBOUND), fleet.site.host);
    let readers: Vec<_> = (0..READERS)
        .map(|index| {
            let record = record.clone();
            std::thread::spawn(move || read_slowly(&record, addr, host, index))
        })
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    if trouble {
        std::thread::sleep(BEFORE_CROWD);
        begin_crowd(record, addr, host, "/scan/upload", &stop, &counts)?;
    }
    let mut cut = 0;
    for reader in readers {
        let seen = reader.join().map_err(|_| io::Error::other("a requester failed"))?;
        record.say(&format!(
            "request {}: status {:?}, {} of {BYTES} bytes after {} ms{}",
            seen.id,
            seen.status,
            seen.body_bytes,
            seen.ms,
            seen.end.as_deref().map_or(String::new(), |end| format!(", then: {end}"))
        ));
        cut += usize::from(seen.end.is_some());
    }
    stop.store(true, Ordering::SeqCst);
    record.say(&format!(
        "crowd: {} channels opened, {} refused or not established, {} ended by the node, {} answers",
        counts.opened.load(Ordering::SeqCst),
        counts.not_opened.load(Ordering::SeqCst),
        counts.ended.load(Ordering::SeqCst),
        counts.answers.load(Ordering::SeqCst)
    ));
    record.say(&format!("{cut} of {READERS} channels ended without the complete answer"));
    if !trouble && cut > 0 {
        return Err(io::Error::other("an answer is not whole though nothing was disrupted"));
    }
    Ok(cut <= 3)
}

/// Sends a quick request and then one with a long answer on the same channel.
fn read_slowly(record: &Record, addr: SocketAddr, host: &str, index: usize) -> Seen {
    let id = format!("510e{index:012x}");
    let mut seen = Seen { id, status: None, body_bytes: 0, end: None, ms: 0 };
    let started = Instant::now();
    let result = exchange(record, addr, host, index, &mut seen);
    seen.end = result.err().map(|e| e.to_string());
    seen.ms = started.elapsed().as_millis();
    seen
}

fn exchange(
    record: &Record,
    addr: SocketAddr,
    host: &str,
    index: usize,
    seen: &mut Seen,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(BUDGET))?;
    let first = format!(
        "GET /sweep/read?work=20 HTTP/1.1\r\nHost: {host}\r\nRequest-Id: f125{index:012x}\r\nDeadline-Ms: 3000\r\n\r\n"
    );
    stream.write_all(first.as_bytes())?;
    if read_answer(&mut stream, Duration::ZERO, &mut Seen::new())? != Some(200) {
        return Err(io::Error::other("the first request was not served"));
    }
    let body = "r".repeat(4_000);
    let request = format!(
        "POST /scan/upload?work=300&bytes={BYTES} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        seen.id,
        BUDGET.as_millis(),
        body.len()
    );
    record.line(&format!("request {} is sent on a kept channel: POST /scan/upload", seen.id));
    stream.write_all(request.as_bytes())?;
    read_answer(&mut stream, PAUSE, seen)?;
    Ok(())
}

impl Seen {
    fn new() -> Seen {
        Seen { id: String::new(), status: None, body_bytes: 0, end: None, ms: 0 }
    }
}

/// Reads an answer in steps with a pause after each.
fn read_answer(
    stream: &mut TcpStream,
    pause: Duration,
    seen: &mut Seen,
) -> io::Result<Option<u16>> {
    let mut buf = Vec::new();
    let mut piece = vec![0; STEP];
    let mut announced = None;
    loop {
        let len = match stream.read(&mut piece)? {
            0 => return Err(io::Error::other("the node closed the channel")),
            len => len,
        };
        match announced {
            Some(_) => seen.body_bytes += len,
            None => {
                buf.extend_from_slice(&piece[..len]);
                let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") else { continue };
                let head = String::from_utf8_lossy(&buf[..end]).to_ascii_lowercase();
                seen.status = head.split_whitespace().nth(1).and_then(|status| status.parse().ok());
                let lines = head.lines().filter_map(|line| line.split_once(':'));
                let mut lengths = lines.filter(|(name, _)| *name == "content-length");
                announced = lengths.next().and_then(|(_, len)| len.trim().parse::<usize>().ok());
                seen.body_bytes = buf.len() - end - 4;
            }
        }
        if announced.is_some_and(|announced| seen.body_bytes >= announced) {
            return Ok(seen.status);
        }
        std::thread::sleep(pause);
    }
}
