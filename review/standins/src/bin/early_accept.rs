//! A server answers an upload before it has read the whole body, keeps the channel and reads on later.
//! Rule UNASKED: it runs no request with a changed body, so the rest of the body must reach it too,
//! once the requester has sent all of it and has its success.

use review_standins::server::call_control;
use review_standins::*;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Sizes of the uploads, within the `body_bytes` of the configuration (64 MiB).
const SIZES: [usize; 6] = [1 << 20, 2 << 20, 4 << 20, 6 << 20, 8 << 20, 10 << 20];
/// What the server has read when it answers.
const READ_FIRST: usize = 64 * 1024;

/// Bytes of the body that the server got, and whether they are those that were sent.
type Received = Arc<Mutex<HashMap<String, (usize, bool)>>>;

fn main() {
    let record = Record::create(Path::new(&std::env::args().nth(1).expect("a record")));
    std::process::exit(run(record));
}

fn content(len: usize) -> Vec<u8> {
    (0..len).map(|n| (n / 7 + n / 4096) as u8).collect()
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, HashMap<String, String>)> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|n| *n > 0)?;
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn serve(stream: TcpStream, record: &Record, received: &Received) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (first, headers) = read_head(&mut reader)?;
        let id = headers.get("request-id").cloned().unwrap_or_default();
        let len: usize = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        record.line(&format!("server runs {id}: {first}, {len} bytes"));
        let mut body = Vec::with_capacity(len);
        let first_part = if trouble() { READ_FIRST.min(len) } else { len };
        read_up_to(&mut reader, first_part, &mut body);
        thread::sleep(Duration::from_millis(300));
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nReply-Stamp: s.{id}\r\nContent-Length: 8\r\n\r\naccepted"
        );
        writer.write_all(answer.as_bytes()).ok()?;
        record.line(&format!(
            "server answers {id} after {} bytes of its body, and reads on",
            body.len()
        ));
        thread::sleep(Duration::from_millis(200));
        read_up_to(&mut reader, len, &mut body);
        let same = body == content(body.len());
        record.line(&format!("server got {} of {len} bytes of {id}", body.len()));
        received.lock().unwrap().insert(id, (body.len(), same));
        if body.len() < len {
            return None;
        }
    }
}

/// Reads until `body` has `len` bytes or the channel ends.
fn read_up_to(reader: &mut impl Read, len: usize, body: &mut Vec<u8>) {
    let mut buf = vec![0; 64 * 1024];
    while body.len() < len {
        let most = buf.len().min(len - body.len());
        match reader.read(&mut buf[..most]) {
            Ok(0) | Err(_) => return,
            Ok(n) => body.extend(&buf[..n]),
        }
    }
}

fn run(record: Record) -> i32 {
    let machines = [("desk", "leitrim-a"), ("permits", "leitrim-a")];
    let mut fleet = Fleet::new(record.clone(), &machines);
    (0..2).for_each(|index| fleet.start(index));
    let rules = [("r-up", "upload", "/up/", "permits", 8_000)];
    fleet.store.put("op/config", &config(1, &["desk", "permits"], &rules));
    let received = Received::default();
    let app = fleet.app(1);
    let listener = TcpListener::bind(&app).expect("the server's address");
    {
        let (record, received) = (record.clone(), received.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, received) = (record.clone(), received.clone());
                thread::spawn(move || serve(stream, &record, &received));
            }
        });
    }
    let control = fleet.control(1);
    thread::spawn(move || {
        let born = unix_ms();
        for seq in 1.. {
            let body = format!(
                r#"{{"service":"permits","addr":"{app}","zone":"leitrim-a","version":"v1","slots":4,"state":"ready","cold_left":"0ms","seq":{seq},"born":{born}}}"#
            );
            let call = format!(
                "POST /api/rpc?call=instances.heartbeat&of=i-1 HTTP/1.1\r\nHost: control\r\n\
                 Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            call_control(&control, call.as_bytes());
            sleep_ms(1_500);
        }
    });
    fleet.wait_until("all processes are ready", || (0..2).all(|index| fleet.is_ready(index)));
    sleep_ms(8_000);

    let mut accepted = Vec::new();
    for (n, size) in SIZES.into_iter().enumerate() {
        let id = format!("upload-{n}");
        let stream = match TcpStream::connect(fleet.outbound(0)) {
            Ok(stream) => stream,
            Err(e) => fleet.give_up(&format!("no channel: {e}")),
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a second handle");
        let bytes = request("POST", "/up/photo", &id, 8_000, &content(size));
        record.line(&format!("requester sends {id}, {size} bytes"));
        let sending = thread::spawn(move || writer.write_all(&bytes).map(|()| writer));
        let mut reader = BufReader::new(stream);
        let status = read_head(&mut reader).map(|(first, _)| first).unwrap_or_default();
        let mut answer = [0; 8];
        let whole = reader.read_exact(&mut answer).is_ok() && &answer == b"accepted";
        let sent = sending.join().expect("the sender");
        record.line(&format!(
            "{id}: {status}, whole: {whole}, all bytes sent: {:?}",
            sent.as_ref().err()
        ));
        // The channel stays open until the server has read on.
        sleep_ms(1_500);
        if whole && status.contains(" 200 ") && sent.is_ok() {
            accepted.push((id, size));
        }
    }
    let received = received.lock().unwrap();
    let cut: Vec<_> = accepted
        .iter()
        .filter(|(id, size)| received.get(id).is_none_or(|(len, same)| len < size || !same))
        .collect();
    record.line(&format!(
        "sent whole and answered 200: {}; of these cut at the server: {cut:?}",
        accepted.len()
    ));
    if !cut.is_empty() {
        record.line("UNASKED is broken: the body is changed");
        return BROKEN;
    }
    if accepted.is_empty() {
        record.line("the case could not run: no upload was sent whole and accepted");
        return NOT_RUN;
    }
    record.line("UNASKED held");
    HELD
}
