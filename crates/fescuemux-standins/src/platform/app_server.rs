//! An application server of the platform.

use super::http::{self, Request};
use super::{AppFault, Execution, ExecutionLog};
use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Pause between heartbeats.
const BEAT: Duration = Duration::from_millis(300);

/// Time for the acknowledgement of a heartbeat.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for which a hanging request holds its connection.
const HANG: Duration = Duration::from_secs(30);

/// Where and how a server runs.
#[derive(Clone, Debug)]
pub struct AppOptions {
    /// Id.
    pub id: String,
    /// Service.
    pub service: String,
    /// Address at which it takes work.
    pub listen_addr: SocketAddr,
    /// Address for work that it reports, such as that of a [`FaultProxy`](super::FaultProxy) before it.
    pub advertised_addr: SocketAddr,
    /// Address for heartbeats.
    pub control_addr: SocketAddr,
    /// Running time of a request.
    pub service_time: Duration,
}

#[derive(Debug)]
struct Shared {
    options: AppOptions,
    fault: Mutex<AppFault>,
    draining: AtomicBool,
    acknowledged: AtomicBool,
    stopped: AtomicBool,
    seq: AtomicU64,
    born: u128,
    hanging: AtomicU64,
    log: ExecutionLog,
}

/// A running server. It stops when it is dropped.
#[derive(Debug)]
pub struct AppServer {
    shared: Arc<Shared>,
}

impl AppServer {
    /// Starts a server that reports itself and records its runs in `log`.
    ///
    /// # Errors
    /// Fails when its address cannot be bound.
    pub fn start(options: AppOptions, log: ExecutionLog) -> io::Result<AppServer> {
        let listener = TcpListener::bind(options.listen_addr)?;
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let shared = Arc::new(Shared {
            options,
            fault: Mutex::default(),
            draining: AtomicBool::new(false),
            acknowledged: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            seq: AtomicU64::new(0),
            born: since.as_millis(),
            hanging: AtomicU64::new(0),
            log,
        });
        let accepting = shared.clone();
        std::thread::spawn(move || accept(&accepting, &listener));
        let beating = shared.clone();
        std::thread::spawn(move || beat(&beating));
        Ok(AppServer { shared })
    }

    /// Puts a fault in force.
    pub fn set_fault(&self, fault: AppFault) {
        *self.shared.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Returns the number of hanging requests whose connections are open.
    pub fn hanging_requests(&self) -> u64 {
        self.shared.hanging.load(Ordering::SeqCst)
    }

    /// Reports the server as leaving from the next heartbeat on, and returns once that is
    /// acknowledged or `timeout` has passed.
    pub fn drain(&self, timeout: Duration) -> bool {
        self.shared.draining.store(true, Ordering::SeqCst);
        let until = std::time::Instant::now() + timeout;
        while std::time::Instant::now() < until {
            if self.shared.acknowledged.load(Ordering::SeqCst) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }
}

impl Drop for AppServer {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        // Wakes the accepting thread so that it sees the stop and frees the address.
        drop(TcpStream::connect_timeout(&self.shared.options.listen_addr, ACK_TIMEOUT));
    }
}

fn beat(shared: &Shared) {
    while !shared.stopped.load(Ordering::SeqCst) {
        let draining = shared.draining.load(Ordering::SeqCst);
        // A daemon that is away is asked again with the next heartbeat.
        if report(shared, draining).is_ok() && draining {
            shared.acknowledged.store(true, Ordering::SeqCst);
        }
        std::thread::sleep(BEAT);
    }
}

fn report(shared: &Shared, draining: bool) -> io::Result<()> {
    let options = &shared.options;
    let body = serde_json::json!({
        "service": options.service, "addr": options.advertised_addr, "zone": "zone-a", "version": "v1",
        "slots": 4, "state": if draining { "draining" } else { "ready" }, "cold_left": "0ms",
        "seq": shared.seq.fetch_add(1, Ordering::SeqCst) + 1, "born": shared.born as u64,
    })
    .to_string();
    let mut stream = TcpStream::connect_timeout(&options.control_addr, ACK_TIMEOUT)?;
    stream.set_read_timeout(Some(ACK_TIMEOUT))?;
    let head = format!(
        "POST /api/rpc?call=instances.heartbeat&of={} HTTP/1.1\r\nHost: control\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        options.id,
        body.len()
    );
    stream.write_all((head + &body).as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    match answer.starts_with("HTTP/1.1 200") {
        true => Ok(()),
        false => Err(io::Error::other(answer)),
    }
}

fn accept(shared: &Arc<Shared>, listener: &TcpListener) {
    for stream in listener.incoming().flatten() {
        if shared.stopped.load(Ordering::SeqCst) {
            return;
        }
        let shared = shared.clone();
        // A connection that breaks is a daemon that went away.
        std::thread::spawn(move || drop(serve(&shared, stream)));
    }
}

fn serve(shared: &Shared, stream: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(request) = http::read(&mut reader)? {
        if shared.stopped.load(Ordering::SeqCst) {
            return Ok(());
        }
        let id = request.header("request-id").unwrap_or_default().to_owned();
        if request.header("target-instance").is_some_and(|target| target != shared.options.id) {
            let head = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n";
            stream.write_all(format!("{head}Request-Id: {id}\r\nNot-Run: 1\r\n\r\n").as_bytes())?;
            continue;
        }
        let fault = *shared.fault.lock().unwrap_or_else(PoisonError::into_inner);
        if fault == AppFault::Shed {
            let head = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n";
            stream.write_all(format!("{head}Request-Id: {id}\r\nNot-Run: 1\r\n\r\n").as_bytes())?;
            continue;
        }
        record(shared, &request, &id);
        std::thread::sleep(shared.options.service_time);
        match fault {
            AppFault::Hang => {
                stream.set_read_timeout(Some(HANG))?;
                let mut end = [0; 1];
                shared.hanging.fetch_add(1, Ordering::SeqCst);
                // Ends when the daemon closes the connection, as a server stops its work then.
                let _ = stream.read(&mut end);
                shared.hanging.fetch_sub(1, Ordering::SeqCst);
                return Ok(());
            }
            AppFault::Reset => return stream.shutdown(Shutdown::Both),
            AppFault::Error => answer(&mut stream, 500, &id, b"failed", 6)?,
            AppFault::TruncatedResponse => {
                answer(&mut stream, 200, &id, b"par", 60)?;
                return stream.shutdown(Shutdown::Both);
            }
            AppFault::MismatchedResponse => {
                answer(&mut stream, 200, "another-request", b"foreign", 7)?;
                let body = body_of(&id);
                answer(&mut stream, 200, &id, &body, body.len())?;
            }
            AppFault::None | AppFault::CloseAfterResponse | AppFault::Shed => {
                let body = body_of(&id);
                answer(&mut stream, 200, &id, &body, body.len())?;
                if fault == AppFault::CloseAfterResponse {
                    return stream.shutdown(Shutdown::Both);
                }
            }
        }
    }
    Ok(())
}

fn record(shared: &Shared, request: &Request, id: &str) {
    shared.log.add(Execution {
        request_id: id.to_owned(),
        server: shared.options.id.clone(),
        target: format!("{} {}", request.method, request.target),
        caller: request.header("caller").unwrap_or_default().to_owned(),
        deadline_ms: request.header("deadline-ms").and_then(|ms| ms.parse().ok()),
        body: request.body.clone(),
        after_drain_ack: shared.acknowledged.load(Ordering::SeqCst),
    });
}

fn body_of(id: &str) -> Vec<u8> {
    format!("answer to {id}").into_bytes()
}

fn answer(
    stream: &mut TcpStream,
    status: u16,
    id: &str,
    body: &[u8],
    len: usize,
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nRequest-Id: {id}\r\nReply-Stamp: stamp-{id}\r\n\
         Content-Length: {len}\r\n\r\n"
    );
    stream.write_all(&[head.as_bytes(), body].concat())
}
