//! Probe: a server answers before it has read a long body; the requester uses a kept channel.
use review_standins::server::call_control;
use review_standins::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

fn head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
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
            headers.push((n.to_ascii_lowercase(), v.trim().to_owned()));
        }
    }
}

fn main() {
    let record = Record::create(Path::new(&std::env::args().nth(1).expect("a record")));
    let machines = [("desk", "leitrim-a"), ("permits", "leitrim-a")];
    let mut fleet = Fleet::new(record.clone(), &machines);
    (0..2).for_each(|index| fleet.start(index));
    let rules = [("r-up", "upload", "/up/", "permits", 8_000)];
    fleet.store.put("op/config", &config(1, &["desk", "permits"], &rules));
    let app = fleet.app(1);
    let listener = TcpListener::bind(&app).unwrap();
    let r = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let r = r.clone();
            thread::spawn(move || {
                let mut w = stream.try_clone().unwrap();
                let mut reader = BufReader::new(stream);
                while let Some((first, headers)) = head(&mut reader) {
                    let get = |n: &str| {
                        headers
                            .iter()
                            .find(|(h, _)| h == n)
                            .map(|(_, v)| v.clone())
                            .unwrap_or_default()
                    };
                    let id = get("request-id");
                    let len: usize = get("content-length").parse().unwrap_or(0);
                    r.line(&format!("server got {first} {id} len {len}"));
                    let body = "early answer";
                    let mut seen = vec![0; len.min(64 * 1024)];
                    if reader.read_exact(&mut seen).is_err() {
                        return;
                    }
                    let a = format!(
                        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nReply-Stamp: s.{id}\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if w.write_all(a.as_bytes()).is_err() {
                        return;
                    }
                    r.line(&format!("server answered {id}"));
                    thread::sleep(Duration::from_millis(500));
                    let mut left = len - seen.len();
                    let mut buf = vec![0; 64 * 1024];
                    while left > 0 {
                        let most = left.min(buf.len());
                        match reader.read(&mut buf[..most]) {
                            Ok(0) | Err(_) => {
                                r.line(&format!("server: rest of {id} missing: {left}"));
                                return;
                            }
                            Ok(n) => left -= n,
                        }
                    }
                }
            });
        }
    });
    let addr = fleet.control(1);
    thread::spawn(move || {
        for seq in 1.. {
            let body = format!(
                r#"{{"service":"permits","addr":"{app}","zone":"leitrim-a","version":"v1","slots":4,"state":"ready","cold_left":"0ms","seq":{seq},"born":1}}"#
            );
            let call = format!(
                "POST /api/rpc?call=instances.heartbeat&of=i-1 HTTP/1.1\r\nHost: c\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            call_control(&addr, call.as_bytes());
            sleep_ms(1500);
        }
    });
    fleet.wait_until("ready", || (0..2).all(|i| fleet.is_ready(i)));
    sleep_ms(4000);
    let size: usize = std::env::args().nth(2).and_then(|s| s.parse().ok()).unwrap_or(4 << 20);
    let pace: u64 = std::env::args().nth(3).and_then(|s| s.parse().ok()).unwrap_or(0);
    for n in 0..6 {
        let stream = TcpStream::connect(fleet.outbound(0)).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(8))).unwrap();
        let mut w = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        // The first request makes it a kept channel.
        w.write_all(&request("POST", "/up/small", &format!("small-{n}"), 8_000, b"x")).unwrap();
        let small = head(&mut reader);
        let mut b = vec![0; 12];
        let ok = reader.read_exact(&mut b);
        record.line(&format!("small-{n}: {:?} {:?}", small.map(|s| s.0), ok.is_ok()));
        let bytes = request("POST", "/up/big", &format!("big-{n}"), 8_000, &vec![b'x'; size]);
        let started = Instant::now();
        let r = record.clone();
        let writer = thread::spawn(move || {
            let mut done = 0;
            for chunk in bytes.chunks(32 * 1024) {
                if let Err(e) = w.write_all(chunk) {
                    r.line(&format!("big-{n}: sending failed after {done} bytes: {e}"));
                    return;
                }
                done += chunk.len();
                sleep_ms(pace);
            }
            r.line(&format!("big-{n}: all sent"));
        });
        if std::env::var_os("LATE").is_some() {
            sleep_ms(300);
        }
        let answer = head(&mut reader);
        let mut b = vec![0; 12];
        let ok = answer.is_some() && reader.read_exact(&mut b).is_ok();
        record.line(&format!(
            "big-{n}: answer {:?} whole {ok} after {:.3} s",
            answer.map(|a| a.0),
            started.elapsed().as_secs_f64()
        ));
        writer.join().unwrap();
    }
}
