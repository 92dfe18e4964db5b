//! Requesters send `safe` requests behind one another while a crowd with stalled bodies takes all
//! places.

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

/// Requesters that send requests behind one another, and how many each.
const REQUESTERS: usize = 6;
const REQUESTS: usize = 4;

/// Work of the first request of each, and of those behind it.
const FIRST_WORK_MS: u64 = 3_500;
const WORK_MS: u64 = 300;

const BUDGET: Duration = Duration::from_millis(10_000);

/// Time between the requests and the crowd.
const BEFORE_CROWD: Duration = Duration::from_millis(300);

pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let fleet = Fleet::start(RADAR_ANDINO, record.clone())?;
    let (addr, host) = (fleet.machines[MACHINE].at(OUTBOUND), fleet.site.host);
    let requesters: Vec<_> = (0..REQUESTERS)
        .map(|index| {
            let record = record.clone();
            std::thread::spawn(move || send_behind(&record, addr, host, index))
        })
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    if trouble {
        std::thread::sleep(BEFORE_CROWD);
        begin_crowd(record, addr, host, "/scan/upload", &stop, &counts)?;
    }
    let mut answered = Vec::new();
    for requester in requesters {
        answered.push(requester.join().map_err(|_| io::Error::other("a requester failed"))??);
    }
    stop.store(true, Ordering::SeqCst);
    record.say(&format!(
        "crowd: {} channels opened, {} refused or not established, {} ended by the node, {} answers",
        counts.opened.load(Ordering::SeqCst),
        counts.not_opened.load(Ordering::SeqCst),
        counts.ended.load(Ordering::SeqCst),
        counts.answers.load(Ordering::SeqCst)
    ));
    let runs: Vec<_> = (0..fleet.machines.len()).flat_map(|i| fleet.server(i).runs()).collect();
    let mut lost = 0;
    for (index, answered) in answered.iter().enumerate() {
        for number in 0..REQUESTS {
            let id = request_id(index, number);
            let has_run = runs.iter().any(|run| run.id == id);
            let is_answered = number < *answered;
            record.line(&format!("request {id}: answered {is_answered}, ran {has_run}"));
            lost += usize::from(has_run && !is_answered);
        }
    }
    record.say(&format!(
        "{} requests on {REQUESTERS} kept channels, {} answered; {lost} were passed on to a server, ran, and got no answer",
        REQUESTERS * REQUESTS,
        answered.iter().sum::<usize>()
    ));
    if !trouble && answered.iter().any(|answered| *answered < REQUESTS) {
        return Err(io::Error::other("a request was not answered though nothing was disrupted"));
    }
    // LOST: more than three times.
    Ok(lost <= 3)
}

fn request_id(index: usize, number: usize) -> String {
    format!("be41{index:06x}{number:06x}")
}

/// Sends a quick request, then several behind one another on the same channel, and returns how many
/// of those were answered.
fn send_behind(record: &Record, addr: SocketAddr, host: &str, index: usize) -> io::Result<usize> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let request = |id: &str, work: u64| {
        format!(
            "GET /tile/mosaic?work={work} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n\r\n",
            BUDGET.as_millis()
        )
    };
    stream.write_all(request(&format!("f125{index:012x}"), 20).as_bytes())?;
    let deadline = Instant::now() + BUDGET;
    let mut buf = Vec::new();
    if read_answer(&mut stream, &mut buf, deadline)?.is_none() {
        return Err(io::Error::other("the first request was not answered"));
    }
    for number in 0..REQUESTS {
        let work = if number == 0 { FIRST_WORK_MS } else { WORK_MS };
        let id = request_id(index, number);
        stream.write_all(request(&id, work).as_bytes())?;
        record.line(&format!("request {id} is sent, number {number} on its channel"));
    }
    for number in 0..REQUESTS {
        match read_answer(&mut stream, &mut buf, deadline) {
            Ok(Some(head)) => {
                let closes = head.contains("connection: close");
                record.line(&format!(
                    "requester {index}: answer {number}: {}{}",
                    head.lines().next().unwrap_or_default(),
                    if closes { ", Connection: close" } else { "" }
                ));
            }
            Ok(None) => {
                record.line(&format!("requester {index}: the node closed the channel"));
                return Ok(number);
            }
            Err(e) => {
                record.line(&format!("requester {index}: {e}"));
                return Ok(number);
            }
        }
    }
    Ok(REQUESTS)
}

/// Reads an answer and returns its head in lower case, or `None` at the end of the channel.
fn read_answer(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
    deadline: Instant,
) -> io::Result<Option<String>> {
    let mut piece = vec![0; 16 * 1024];
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).to_ascii_lowercase();
            let lines = head.lines().filter_map(|line| line.split_once(':'));
            let mut lengths = lines.filter(|(name, _)| *name == "content-length");
            let len = lengths.next().and_then(|(_, len)| len.trim().parse().ok()).unwrap_or(0);
            if buf.len() >= end + 4 + len {
                buf.drain(..end + 4 + len);
                return Ok(Some(head));
            }
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::Error::other("the time budget is over"));
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut piece)? {
            0 => return Ok(None),
            len => buf.extend_from_slice(&piece[..len]),
        }
    }
}
