//! Stand-in for a server of the users: it runs requests, answers with their id and a stamp, sends
//! heartbeats to the control address of its machine, and can leave.

use crate::http::{self, Request};
use crate::{Record, unix_ms};
use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request that a server began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at: Instant,
    /// Set when the whole answer was written.
    pub answered_at: Option<Instant>,
}

/// How a server answers: parts of the body, each with the time after the start at which it is ready.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    pub first_bytes: usize,
    pub first_after: Duration,
    pub rest_bytes: usize,
    pub rest_after: Duration,
}

pub struct Shared {
    pub id: String,
    pub service: String,
    pub born: u64,
    pub addr: String,
    pub zone: String,
    pub slots: usize,
    pub work: Work,
    pub runs: Mutex<Vec<Run>>,
    pub record: Record,
    seq: AtomicU64,
    ended: AtomicBool,
    channels: Mutex<Vec<TcpStream>>,
}

#[derive(Clone)]
pub struct Server(pub Arc<Shared>);

impl Server {
    pub fn start(
        record: &Record,
        addr: &str,
        zone: &str,
        service: &str,
        id: &str,
        work: Work,
    ) -> Server {
        let listener = TcpListener::bind(addr).expect("the server's address");
        let shared = Arc::new(Shared {
            id: id.into(),
            service: service.into(),
            born: unix_ms(),
            addr: addr.into(),
            zone: zone.into(),
            slots: 4,
            work,
            runs: Mutex::default(),
            record: record.clone(),
            seq: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            channels: Mutex::default(),
        });
        let server = Server(shared.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.ended.load(Ordering::SeqCst) {
                    return;
                }
                let shared = shared.clone();
                if let Ok(copy) = stream.try_clone() {
                    shared.channels.lock().unwrap().push(copy);
                }
                std::thread::spawn(move || drop(serve(&shared, stream)));
            }
        });
        server
    }

    /// Returns the next heartbeat in the given state as a request to the control address.
    pub fn beat(&self, state: &str) -> Vec<u8> {
        let server = &self.0;
        let seq = server.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            r#"{{"service":"{}","addr":"{}","zone":"{}","version":"v1","slots":{},"state":"{state}","cold_left":"0ms","seq":{seq},"born":{}}}"#,
            server.service, server.addr, server.zone, server.slots, server.born
        );
        format!(
            "POST /api/rpc?call=instances.heartbeat&of={} HTTP/1.1\r\nHost: control\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            server.id,
            body.len()
        )
        .into_bytes()
    }

    /// Returns the call by which the server says that it leaves.
    pub fn leave(&self) -> Vec<u8> {
        let server = &self.0;
        let body = format!(r#"{{"born":{}}}"#, server.born);
        format!(
            "POST /api/rpc?call=instances.leave&of={} HTTP/1.1\r\nHost: control\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            server.id,
            body.len()
        )
        .into_bytes()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.0.runs.lock().unwrap().clone()
    }

    /// Ends the server: all its channels are closed and no new ones are served.
    pub fn end(&self) {
        self.0.ended.store(true, Ordering::SeqCst);
        for channel in self.0.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
        let _ = TcpStream::connect(&self.0.addr);
        self.0.record.line(&format!("server {} ends", self.0.id));
    }
}

fn serve(shared: &Shared, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = http::read_request(&mut reader)? {
        let id = request.header("request-id").to_owned();
        if let Some(answer) = rejection(shared, &request) {
            shared.record.line(&format!("server {} rejects {id}", shared.id));
            writer.write_all(answer.as_bytes())?;
            continue;
        }
        let started = Instant::now();
        shared.runs.lock().unwrap().push(Run { id: id.clone(), at: started, answered_at: None });
        shared.record.line(&format!("server {} runs {id}", shared.id));
        let work = shared.work;
        std::thread::sleep(work.first_after);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nReply-Stamp: {}.{id}\r\nContent-Length: {}\r\n\r\n",
            shared.id,
            work.first_bytes + work.rest_bytes
        );
        let mut first = head.into_bytes();
        first.resize(first.len() + work.first_bytes, b'a');
        let result = writer.write_all(&first).and_then(|()| {
            std::thread::sleep(work.rest_after.saturating_sub(started.elapsed()));
            writer.write_all(&vec![b'b'; work.rest_bytes])
        });
        match result {
            Ok(()) => {
                shared.record.line(&format!("server {} has answered {id}", shared.id));
                let mut runs = shared.runs.lock().unwrap();
                if let Some(run) = runs.iter_mut().rev().find(|run| run.id == id) {
                    run.answered_at = Some(Instant::now());
                }
            }
            Err(e) => {
                shared.record.line(&format!("server {}: channel of {id} is gone: {e}", shared.id));
                return Ok(());
            }
        }
    }
    Ok(())
}

fn rejection(shared: &Shared, request: &Request) -> Option<String> {
    let id = request.header("request-id");
    let target = request.header("target-instance");
    if !target.is_empty() && target != shared.id {
        return Some(format!(
            "HTTP/1.1 421 X\r\nInstance-Id: {}\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n",
            shared.id
        ));
    }
    None
}

/// Sends a heartbeat or leave call; true if it was acknowledged within a second.
pub fn call_control(addr: &str, call: &[u8]) -> bool {
    let outcome = http::exchange(addr, call, Duration::from_secs(1));
    outcome.complete && (200..300).contains(&outcome.status)
}
