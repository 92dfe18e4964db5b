//! Probe: random large and small bodies under faults of servers, restarts and pauses of processes.
//! Checks that successes are whole and right, that uploads arrive unchanged, that unsafe requests run
//! once at most, and that refusals are true. Arguments: record, seed, seconds.
use review_standins::http::exchange;
use review_standins::server::call_control;
use review_standins::*;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Rng(u64);
impl Rng {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 16
    }
    fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }
}

fn hash(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3))
}

fn content(id: &str, len: usize) -> Vec<u8> {
    let mut rng = Rng(hash(id.as_bytes()) | 1);
    let mut out = Vec::with_capacity(len + 8);
    while out.len() < len {
        out.extend(rng.next().to_le_bytes());
    }
    out.truncate(len);
    out
}

#[derive(Default)]
struct Log {
    runs: HashMap<String, Vec<(String, Option<bool>)>>,
}

fn head(reader: &mut impl BufRead) -> Option<(String, HashMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((n, v)) = line.split_once(':') {
            headers.insert(n.to_ascii_lowercase(), v.trim().to_owned());
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &HashMap<String, String>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if headers.contains_key("transfer-encoding") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk).ok()?;
            body.extend(chunk);
            let mut end = String::new();
            reader.read_line(&mut end).ok().filter(|n| *n > 0)?;
            if size == 0 {
                return Some(body);
            }
        }
    }
    let len: usize = headers.get("content-length").map_or(Some(0), |l| l.parse().ok())?;
    body.resize(len, 0);
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn serve(
    stream: TcpStream,
    server: &str,
    log: &Mutex<Log>,
    mut rng: Rng,
    faults: &AtomicBool,
) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut w = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    let mut extra: Vec<u8> = Vec::new();
    loop {
        let (first, headers) = head(&mut reader)?;
        let id = headers.get("request-id").cloned().unwrap_or_default();
        if headers.get("target-instance").is_some_and(|t| t != server) {
            let _ = read_body(&mut reader, &headers)?;
            w.write_all(
                format!("HTTP/1.1 421 X\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n")
                    .as_bytes(),
            )
            .ok()?;
            continue;
        }
        let fault = if faults.load(Ordering::SeqCst) { rng.below(24) } else { 99 };
        // What is left of an extra answer comes where the next one is expected.
        if !extra.is_empty() {
            w.write_all(&extra).ok()?;
            extra.clear();
        }
        if fault == 0 {
            // Rejects before the body is in.
            w.write_all(
                format!(
                    "HTTP/1.1 503 X\r\nRequest-Id: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
                )
                .as_bytes(),
            )
            .ok()?;
            let _ = read_body(&mut reader, &headers)?;
            continue;
        }
        let body = read_body(&mut reader, &headers);
        let sent = headers.get("x-sent-hash").and_then(|h| h.parse::<u64>().ok());
        let Some(body) = body else { return None };
        if fault == 1 {
            w.write_all(
                format!(
                    "HTTP/1.1 503 X\r\nRequest-Id: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
                )
                .as_bytes(),
            )
            .ok()?;
            continue;
        }
        let same = Some(hash(&body)) == sent && first.contains(&id);
        log.lock().unwrap().runs.entry(id.clone()).or_default().push((server.into(), Some(same)));
        thread::sleep(Duration::from_millis(20 + rng.below(150)));
        let len: usize = headers.get("x-want").and_then(|l| l.parse().ok()).unwrap_or(10);
        let answer = content(&id, len);
        let start = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nReply-Stamp: s.{id}\r\n");
        match fault {
            2 => return None,
            3 => thread::sleep(Duration::from_secs(4)),
            4 => {
                w.write_all(format!("HTTP/1.1 500 X\r\nRequest-Id: {id}\r\nReply-Stamp: s.{id}\r\nContent-Length: 3\r\n\r\nbad").as_bytes()).ok()?;
                continue;
            }
            5 => {
                // Breaks off.
                w.write_all(format!("{start}Content-Length: {len}\r\n\r\n").as_bytes()).ok()?;
                w.write_all(&answer[..len / 2]).ok()?;
                return None;
            }
            6 => {
                // Chunks, broken off.
                w.write_all(
                    format!("{start}Transfer-Encoding: chunked\r\n\r\n{len:x}\r\n").as_bytes(),
                )
                .ok()?;
                w.write_all(&answer).ok()?;
                w.write_all(b"\r\n").ok()?;
                return None;
            }
            7 => {
                // No length: ends with the channel.
                w.write_all(format!("{start}\r\n").as_bytes()).ok()?;
                w.write_all(&answer).ok()?;
                return None;
            }
            8 => {
                // An answer to another request first.
                w.write_all(b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nReply-Stamp: s.other\r\nContent-Length: 5\r\n\r\nother").ok()?;
            }
            9 => {
                extra = format!("{start}Content-Length: 4\r\n\r\nlate").into_bytes();
            }
            _ => {}
        }
        if rng.below(3) == 0 {
            w.write_all(format!("{start}Transfer-Encoding: chunked\r\n\r\n").as_bytes()).ok()?;
            for piece in answer.chunks(50_000) {
                w.write_all(format!("{:x}\r\n", piece.len()).as_bytes()).ok()?;
                w.write_all(piece).ok()?;
                w.write_all(b"\r\n").ok()?;
                if rng.below(4) == 0 {
                    thread::sleep(Duration::from_millis(rng.below(200)));
                }
            }
            w.write_all(b"0\r\n\r\n").ok()?;
        } else {
            w.write_all(format!("{start}Content-Length: {len}\r\n\r\n").as_bytes()).ok()?;
            for piece in answer.chunks(100_000) {
                w.write_all(piece).ok()?;
                if rng.below(4) == 0 {
                    thread::sleep(Duration::from_millis(rng.below(200)));
                }
            }
        }
        if fault == 10 {
            // Two answers at once.
            w.write_all(format!("{start}Content-Length: 4\r\n\r\nmore").as_bytes()).ok()?;
        }
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let record = Record::create(Path::new(&args.next().expect("a record")));
    let seed: u64 = args.next().and_then(|s| s.parse().ok()).unwrap_or(1);
    let seconds: u64 = args.next().and_then(|s| s.parse().ok()).unwrap_or(40);
    let machines = [
        ("slotdesk", "leitrim-a"),
        ("slotdesk", "leitrim-a"),
        ("permits", "leitrim-a"),
        ("permits", "leitrim-b"),
        ("slotdesk", "leitrim-b"),
    ];
    let count = machines.len();
    let mut fleet = Fleet::new(record.clone(), &machines);
    (0..count).for_each(|index| fleet.start(index));
    let rules = [
        ("r-read", "safe", "/read/", "slotdesk", 3_000),
        ("r-book", "unsafe", "/book/", "slotdesk", 3_000),
        ("r-up", "upload", "/up/", "permits", 5_000),
    ];
    fleet.store.put("op/config", &config(1, &["slotdesk", "permits"], &rules));
    let log: Arc<Mutex<Log>> = Arc::default();
    let faults = Arc::new(AtomicBool::new(false));
    for (index, (service, zone)) in machines.iter().enumerate() {
        let app = fleet.app(index);
        let listener = TcpListener::bind(&app).unwrap();
        let (log, faults, id) = (log.clone(), faults.clone(), format!("i-{index}"));
        let control = fleet.control(index);
        let (service, zone, beat_id) = ((*service).to_owned(), (*zone).to_owned(), id.clone());
        thread::spawn(move || {
            for n in 1.. {
                let Ok((stream, _)) = listener.accept() else { return };
                let (log, faults, id) = (log.clone(), faults.clone(), id.clone());
                let rng = Rng(seed * 7919 + n * 104_729 + index as u64 * 1_299_709 + 1);
                thread::spawn(move || serve(stream, &id, &log, rng, &faults));
            }
        });
        thread::spawn(move || {
            let born = unix_ms();
            for seq in 1.. {
                let body = format!(
                    r#"{{"service":"{service}","addr":"{app}","zone":"{zone}","version":"v1","slots":4,"state":"ready","cold_left":"0ms","seq":{seq},"born":{born}}}"#
                );
                let call = format!(
                    "POST /api/rpc?call=instances.heartbeat&of={beat_id} HTTP/1.1\r\nHost: c\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                call_control(&control, call.as_bytes());
                sleep_ms(1_500);
            }
        });
    }
    fleet.wait_until("ready", || (0..count).all(|i| fleet.is_ready(i)));
    sleep_ms(4_000);
    let stops = std::env::var_os("STOPS").is_some();
    faults.store(!stops, Ordering::SeqCst);
    let usable: Arc<Vec<AtomicBool>> =
        Arc::new((0..count).map(|_| AtomicBool::new(true)).collect());
    let done = Arc::new(AtomicBool::new(false));
    let next_id = Arc::new(AtomicU64::new(0));
    let problems: Arc<Mutex<Vec<String>>> = Arc::default();
    let outcomes: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let requesters_count =
        std::env::var("REQUESTERS").ok().and_then(|n| n.parse().ok()).unwrap_or(16);
    let requesters: Vec<_> = (0..requesters_count)
        .map(|n| {
            let addrs: Vec<String> = (0..count).map(|i| fleet.outbound(i)).collect();
            let usable = usable.clone();
            let (done, next_id, problems, outcomes, log) =
                (done.clone(), next_id.clone(), problems.clone(), outcomes.clone(), log.clone());
            let mut rng = Rng(seed * 31 + n * 7 + 1);
            thread::spawn(move || {
                while !done.load(Ordering::SeqCst) {
                    let id = format!("q{seed}x{:06}z", next_id.fetch_add(1, Ordering::SeqCst));
                    let kind = rng.below(3);
                    let want = match stops {
                        true => [10, 3_000, 60_000, 200_000][rng.below(4) as usize],
                        false => [10, 3_000, 300_000, 700_000][rng.below(4) as usize],
                    };
                    let size = match kind {
                        0 => 0,
                        1 => [0, 500, 600_000][rng.below(3) as usize],
                        _ => [60_000, 400_000, 900_000, 2_000_000][rng.below(4) as usize],
                    };
                    let body = content(&format!("b{id}"), size);
                    let (method, path) =
                        [("GET", "/read/"), ("POST", "/book/"), ("PUT", "/up/")][kind as usize];
                    let chunked = size > 0 && rng.below(2) == 0;
                    let framing = match chunked {
                        true => "Transfer-Encoding: chunked".to_owned(),
                        false => format!("Content-Length: {size}"),
                    };
                    let mut bytes = format!(
                        "{method} {path}{id} HTTP/1.1\r\nHost: depot.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\nX-Want: {want}\r\nX-Sent-Hash: {}\r\n{framing}\r\n\r\n",
                        hash(&body)
                    )
                    .into_bytes();
                    if chunked {
                        for piece in body.chunks(70_001) {
                            bytes.extend(format!("{:x}\r\n", piece.len()).into_bytes());
                            bytes.extend(piece);
                            bytes.extend(b"\r\n");
                        }
                        bytes.extend(b"0\r\n\r\n");
                    } else {
                        bytes.extend(&body);
                    }
                    let patience = if !stops && rng.below(10) == 0 { rng.below(400) } else { 6_500 };
                    let machine = rng.below(addrs.len() as u64) as usize;
                    if !usable[machine].load(Ordering::SeqCst) {
                        continue;
                    }
                    let addr = &addrs[machine];
                    let outcome = exchange(addr, &bytes, Duration::from_millis(patience));
                    let runs = log.lock().unwrap().runs.get(&id).cloned().unwrap_or_default();
                    let name = if outcome.complete {
                        format!("{}", outcome.status)
                    } else {
                        format!("{} cut", outcome.status)
                    };
                    *outcomes.lock().unwrap().entry(format!("{method} {name}")).or_default() += 1;
                    let say = |what: &str| {
                        problems.lock().unwrap().push(format!(
                            "{id} {method} size {size} want {want} chunked {chunked}: {what}; status {} complete {} after {:?} {}; runs {runs:?}",
                            outcome.status, outcome.complete, outcome.took, outcome.problem
                        ));
                    };
                    if outcome.complete && outcome.status == 200 && outcome.body != content(&id, want) {
                        say("a success with a wrong body");
                    }
                    if outcome.complete && outcome.status == 200 && runs.is_empty() {
                        say("a success without a run");
                    }
                    if kind > 0 && runs.len() > 1 {
                        say("TWICE");
                    }
                    if kind > 0 && outcome.complete && [429, 503, 408, 421].contains(&outcome.status) && !runs.is_empty() {
                        say("REFUSED");
                    }
                    if runs.iter().any(|(_, same)| *same == Some(false)) {
                        say("changed on the way");
                    }
                    if outcome.complete && [400, 404, 413, 431].contains(&outcome.status) {
                        say("DENIED");
                    }
                    if stops && !outcome.complete {
                        say("LOST");
                    }
                    if patience > 6_000 && outcome.problem.contains("no end in time") {
                        say("no answer");
                    }
                }
            })
        })
        .collect();
    let started = Instant::now();
    let mut rng = Rng(seed * 977 + 3);
    while started.elapsed() < Duration::from_secs(seconds) {
        if stops {
            let index = rng.below(count as u64) as usize;
            fleet.signal(index, SIGTERM);
            sleep_ms(2_000);
            usable[index].store(false, Ordering::SeqCst);
            while !fleet.has_ended(index) {
                sleep_ms(10);
            }
            fleet.start(index);
            fleet.wait_until("ready again", || fleet.is_ready(index));
            usable[index].store(true, Ordering::SeqCst);
            sleep_ms(1_000);
            continue;
        }
        sleep_ms(500 + rng.below(1_500));
        let index = rng.below(count as u64) as usize;
        match rng.below(4) {
            0 => {
                fleet.kill(index);
                sleep_ms(300);
                fleet.start(index);
            }
            1 => {
                fleet.signal(index, SIGSTOP);
                sleep_ms(300 + rng.below(2_000));
                fleet.signal(index, SIGCONT);
            }
            2 => {
                fleet.store.set_down(true);
                sleep_ms(1_000 + rng.below(2_000));
                fleet.store.set_down(false);
            }
            _ => {}
        }
    }
    done.store(true, Ordering::SeqCst);
    for requester in requesters {
        let _ = requester.join();
    }
    sleep_ms(1_000);
    // Late runs.
    for (id, runs) in &log.lock().unwrap().runs {
        if runs.iter().any(|(_, same)| *same == Some(false)) {
            record.line(&format!("changed: {id} {runs:?}"));
        }
    }
    let problems = problems.lock().unwrap();
    let mut outcomes: Vec<_> = outcomes.lock().unwrap().clone().into_iter().collect();
    outcomes.sort();
    record.line(&format!("outcomes: {outcomes:?}"));
    problems.iter().for_each(|problem| record.line(problem));
    record.line(&format!("{} problems", problems.len()));
}
