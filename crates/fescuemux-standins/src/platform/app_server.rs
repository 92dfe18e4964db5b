//! Application server of the platform.

use super::http::{self, Request};
use super::{AppFault, Execution, ExecutionLog};
use crate::raw::RawAnswer;
use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Timeout for the acknowledgement of a heartbeat.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time that a hanging request keeps its connection open.
const MAX_HANG: Duration = Duration::from_secs(30);

/// Start options of an application server.
#[derive(Clone, Debug)]
pub struct AppOptions {
    /// Id of the server.
    pub id: String,
    /// Service that the server belongs to.
    pub service: String,
    /// Address on which the server listens for requests.
    pub listen_addr: SocketAddr,
    /// Request address that the heartbeats of the server report, for instance the address of a
    /// [`FaultProxy`](super::FaultProxy) in front of the server.
    pub advertised_addr: SocketAddr,
    /// Address that heartbeats are sent to.
    pub control_addr: SocketAddr,
    /// Time that a request takes.
    pub service_time: Duration,
}

/// Random running times and lengths of responses.
#[derive(Clone, Copy, Debug)]
pub struct Variation {
    /// Mean of the exponentially distributed running time.
    pub mean_service_time: Duration,
    /// Maximum running time.
    pub max_service_time: Duration,
    /// Maximum number of bytes that are added to a response body, uniformly distributed.
    pub max_padding: usize,
}

#[derive(Debug)]
struct Shared {
    options: AppOptions,
    fault: Mutex<AppFault>,
    /// Answer to each request in place of the usual one.
    raw_answer: Mutex<Option<RawAnswer>>,
    variation: Mutex<Option<Variation>>,
    /// Headers added to each complete response, each with its line end.
    notice: Mutex<String>,
    /// Id of the request that [`AppFault::RepeatedRejection`] rejected last.
    rejected: Mutex<Option<String>>,
    draining: AtomicBool,
    drain_acknowledged: AtomicBool,
    /// Set once the server has begun to leave; it sends no more heartbeats then.
    left: AtomicBool,
    stopped: AtomicBool,
    /// Sequence number of the last heartbeat.
    seq: AtomicU64,
    /// Start time since the Unix epoch, in milliseconds.
    started_ms: u128,
    hanging_requests: AtomicU64,
    log: ExecutionLog,
}

/// Running application server. Dropping this value stops the server.
#[derive(Debug)]
pub struct AppServer {
    shared: Arc<Shared>,
}

impl AppServer {
    /// Starts a server that sends heartbeats and records the requests it runs in `log`.
    ///
    /// # Errors
    /// Fails when the listen address cannot be bound.
    pub fn start(options: AppOptions, log: ExecutionLog) -> io::Result<AppServer> {
        let listener = TcpListener::bind(options.listen_addr)?;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let shared = Arc::new(Shared {
            options,
            fault: Mutex::default(),
            raw_answer: Mutex::default(),
            variation: Mutex::default(),
            notice: Mutex::default(),
            rejected: Mutex::default(),
            draining: AtomicBool::new(false),
            drain_acknowledged: AtomicBool::new(false),
            left: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            seq: AtomicU64::new(0),
            started_ms: since_epoch.as_millis(),
            hanging_requests: AtomicU64::new(0),
            log,
        });
        let accept_shared = shared.clone();
        std::thread::spawn(move || accept_connections(&accept_shared, &listener));
        let heartbeat_shared = shared.clone();
        std::thread::spawn(move || send_heartbeats(&heartbeat_shared));
        Ok(AppServer { shared })
    }

    /// Replaces the injected fault.
    pub fn set_fault(&self, fault: AppFault) {
        *self.shared.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Replaces the answer to each request, or goes back to the usual answers.
    pub fn set_raw_answer(&self, answer: Option<RawAnswer>) {
        *self.shared.raw_answer.lock().unwrap_or_else(PoisonError::into_inner) = answer;
    }

    /// Replaces the fixed service time and response by random ones.
    pub fn set_variation(&self, variation: Variation) {
        *self.shared.variation.lock().unwrap_or_else(PoisonError::into_inner) = Some(variation);
    }

    /// Replaces the header lines, each with its line end, that are added to each response.
    pub fn set_notice(&self, header_lines: &str) {
        let mut notice = self.shared.notice.lock().unwrap_or_else(PoisonError::into_inner);
        header_lines.clone_into(&mut notice);
    }

    /// Returns the number of hanging requests whose connections are open.
    pub fn hanging_requests(&self) -> u64 {
        self.shared.hanging_requests.load(Ordering::SeqCst)
    }

    /// Returns the start time that heartbeats state, in milliseconds since 1970.
    pub fn started_ms(&self) -> u64 {
        self.shared.started_ms as u64
    }

    /// Reports the server as draining from the next heartbeat on, and waits for up to `timeout`
    /// until such a heartbeat is acknowledged. Returns whether one was acknowledged.
    pub fn drain(&self, timeout: Duration) -> bool {
        self.shared.draining.store(true, Ordering::SeqCst);
        let deadline = std::time::Instant::now() + timeout;
        while std::time::Instant::now() < deadline {
            if self.shared.drain_acknowledged.load(Ordering::SeqCst) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Sends the call by which the server leaves, and no heartbeats from then on. Repeats it for up to
    /// `timeout`, and returns whether it was acknowledged. The server still runs requests.
    pub fn leave(&self, timeout: Duration) -> bool {
        self.shared.left.store(true, Ordering::SeqCst);
        let deadline = std::time::Instant::now() + timeout;
        while std::time::Instant::now() < deadline {
            if send_control_call(&self.shared, "instances.leave", "{}").is_ok() {
                self.shared.drain_acknowledged.store(true, Ordering::SeqCst);
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
        // Wakes the accept loop, so that the loop notices the stop and frees the address.
        drop(TcpStream::connect_timeout(&self.shared.options.listen_addr, ACK_TIMEOUT));
    }
}

fn send_heartbeats(shared: &Shared) {
    while !shared.stopped.load(Ordering::SeqCst) && !shared.left.load(Ordering::SeqCst) {
        let draining = shared.draining.load(Ordering::SeqCst);
        // If the daemon is unreachable, the next heartbeat tries again.
        if send_heartbeat(shared, draining).is_ok() && draining {
            shared.drain_acknowledged.store(true, Ordering::SeqCst);
        }
        std::thread::sleep(HEARTBEAT_INTERVAL);
    }
}

fn send_heartbeat(shared: &Shared, draining: bool) -> io::Result<()> {
    let options = &shared.options;
    let body = serde_json::json!({
        "service": options.service, "addr": options.advertised_addr, "zone": "zone-a",
        "version": "v1", "slots": 4, "state": if draining { "draining" } else { "ready" },
        "cold_left": "0ms",
        "seq": shared.seq.fetch_add(1, Ordering::SeqCst) + 1, "born": shared.started_ms as u64,
    })
    .to_string();
    send_control_call(shared, "instances.heartbeat", &body)
}

/// Sends a call to the daemon and returns whether the daemon acknowledged it.
fn send_control_call(shared: &Shared, call: &str, body: &str) -> io::Result<()> {
    let options = &shared.options;
    let mut stream = TcpStream::connect_timeout(&options.control_addr, ACK_TIMEOUT)?;
    stream.set_read_timeout(Some(ACK_TIMEOUT))?;
    let head = format!(
        "POST /api/rpc?call={call}&of={} HTTP/1.1\r\nHost: control\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        options.id,
        body.len()
    );
    stream.write_all((head + body).as_bytes())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    match response.starts_with("HTTP/1.1 200") {
        true => Ok(()),
        false => Err(io::Error::other(response)),
    }
}

fn accept_connections(shared: &Arc<Shared>, listener: &TcpListener) {
    for stream in listener.incoming().flatten() {
        if shared.stopped.load(Ordering::SeqCst) {
            return;
        }
        let shared = shared.clone();
        // An I/O error means that the daemon closed the connection.
        std::thread::spawn(move || drop(serve_connection(&shared, stream)));
    }
}

fn serve_connection(shared: &Shared, stream: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(mut request) = http::read_head(&mut reader)? {
        if shared.stopped.load(Ordering::SeqCst) {
            return Ok(());
        }
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let is_misdirected =
            request.header("target-instance").is_some_and(|target| target != shared.options.id);
        let raw_answer = shared.raw_answer.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some(answer) = raw_answer.filter(|_| !is_misdirected) {
            record_execution(shared, &request, &id);
            let body_len = request.content_length().unwrap_or_default() as u64;
            let proof = format!("Request-Id: {id}\r\nReply-Stamp: stamp-{id}\r\n");
            if answer.play(&mut stream, &mut reader, body_len, &proof)? {
                continue;
            }
            return Ok(());
        }
        http::read_body(&mut reader, &mut request)?;
        if is_misdirected {
            let head = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n";
            stream.write_all(format!("{head}Request-Id: {id}\r\nNot-Run: 1\r\n\r\n").as_bytes())?;
            continue;
        }
        let fault = *shared.fault.lock().unwrap_or_else(PoisonError::into_inner);
        if fault == AppFault::Shed {
            stream.write_all(&rejection(&id))?;
            continue;
        }
        if fault == AppFault::RepeatedRejection {
            let mut rejected = shared.rejected.lock().unwrap_or_else(PoisonError::into_inner);
            let earlier = rejected.take();
            if earlier.is_none() {
                *rejected = Some(id.clone());
            }
            drop(rejected);
            stream.write_all(&rejection(earlier.as_ref().unwrap_or(&id)))?;
            if earlier.is_none() {
                continue;
            }
        }
        record_execution(shared, &request, &id);
        let variation = *shared.variation.lock().unwrap_or_else(PoisonError::into_inner);
        std::thread::sleep(service_time(shared, variation));
        match fault {
            AppFault::Hang => {
                stream.set_read_timeout(Some(MAX_HANG))?;
                let mut ignored = [0; 1];
                shared.hanging_requests.fetch_add(1, Ordering::SeqCst);
                // Returns when the daemon closes the connection, which cancels the request.
                let _ = stream.read(&mut ignored);
                shared.hanging_requests.fetch_sub(1, Ordering::SeqCst);
                return Ok(());
            }
            AppFault::Reset => return stream.shutdown(Shutdown::Both),
            AppFault::Error => write_response(shared, &mut stream, 500, &id, b"failed", 6)?,
            AppFault::TruncatedResponse => {
                write_response(shared, &mut stream, 200, &id, b"par", 60)?;
                return stream.shutdown(Shutdown::Both);
            }
            AppFault::MismatchedResponse => {
                write_response(shared, &mut stream, 200, "another-request", b"foreign", 7)?;
                let body = response_body(&id);
                write_response(shared, &mut stream, 200, &id, &body, body.len())?;
            }
            AppFault::EndlessHead => {
                return write_without_end(&mut stream, b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n");
            }
            AppFault::EndlessInterimResponses => {
                return write_without_end(&mut stream, b"", b"HTTP/1.1 100 Continue\r\n\r\n");
            }
            AppFault::EndlessForeignBody => {
                let head = b"HTTP/1.1 200 OK\r\nRequest-Id: another-request\r\n\
                             Transfer-Encoding: chunked\r\n\r\n";
                return write_without_end(&mut stream, head, b"4\r\nabcd\r\n");
            }
            AppFault::EndlessBody => {
                let head = format!("{}Transfer-Encoding: chunked\r\n\r\n", head_start(200, &id));
                return write_without_end(&mut stream, head.as_bytes(), b"4\r\nabcd\r\n");
            }
            AppFault::EndlessErrorBody => {
                let head = format!("{}\r\n", head_start(500, &id));
                return write_without_end(&mut stream, head.as_bytes(), b"abcd");
            }
            AppFault::EndlessChunkSize => {
                let head = format!("{}Transfer-Encoding: chunked\r\n\r\n", head_start(200, &id));
                return write_without_end(&mut stream, head.as_bytes(), b"0");
            }
            AppFault::EndlessTrailers => {
                let head = head_start(200, &id);
                let head = format!("{head}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n");
                return write_without_end(&mut stream, head.as_bytes(), b"X-A: b\r\n");
            }
            AppFault::TruncatedHead => {
                let head =
                    format!("HTTP/1.1 200 X\r\nRequest-Id: {id}\r\nReply-Stamp: s\r\nContent-Le");
                stream.write_all(head.as_bytes())?;
                return stream.shutdown(Shutdown::Both);
            }
            AppFault::None
            | AppFault::RepeatedRejection
            | AppFault::CloseAfterResponse
            | AppFault::EndlessAfterResponse
            | AppFault::Shed => {
                let mut body = response_body(&id);
                if let Some(variation) = variation {
                    body.resize(body.len() + rand::random_range(0..=variation.max_padding), b' ');
                }
                write_response(shared, &mut stream, 200, &id, &body, body.len())?;
                if fault == AppFault::EndlessAfterResponse {
                    return write_without_end(&mut stream, b"", b"\0\x01\x02\x03");
                }
                if fault == AppFault::CloseAfterResponse {
                    return stream.shutdown(Shutdown::Both);
                }
            }
        }
    }
    Ok(())
}

fn service_time(shared: &Shared, variation: Option<Variation>) -> Duration {
    let Some(variation) = variation else { return shared.options.service_time };
    let factor = -(1.0 - rand::random::<f64>()).ln();
    variation.mean_service_time.mul_f64(factor).min(variation.max_service_time)
}

/// Returns the first lines of a response head, which names the request.
fn head_start(status: u16, id: &str) -> String {
    format!("HTTP/1.1 {status} X\r\nRequest-Id: {id}\r\nReply-Stamp: stamp-{id}\r\n")
}

/// Sends `first` and then `repeated` until the client closes the connection.
fn write_without_end(stream: &mut TcpStream, first: &[u8], repeated: &[u8]) -> io::Result<()> {
    stream.write_all(first)?;
    let piece = repeated.repeat(1_024);
    loop {
        stream.write_all(&piece)?;
    }
}

fn record_execution(shared: &Shared, request: &Request, id: &str) {
    shared.log.add(Execution {
        request_id: id.to_owned(),
        server: shared.options.id.clone(),
        started_at: Instant::now(),
        target: format!("{} {}", request.method, request.target),
        caller: request.header("caller").unwrap_or_default().to_owned(),
        deadline_ms: request.header("deadline-ms").and_then(|ms| ms.parse().ok()),
        headers: request.headers().to_vec(),
        body: request.body.clone(),
        after_drain_ack: shared.drain_acknowledged.load(Ordering::SeqCst),
    });
}

/// Returns the response that rejects a request without running it.
fn rejection(id: &str) -> Vec<u8> {
    let head = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n";
    format!("{head}Request-Id: {id}\r\nNot-Run: 1\r\n\r\n").into_bytes()
}

fn response_body(id: &str) -> Vec<u8> {
    format!("answer to {id}").into_bytes()
}

fn write_response(
    shared: &Shared,
    stream: &mut TcpStream,
    status: u16,
    id: &str,
    body: &[u8],
    content_length: usize,
) -> io::Result<()> {
    let notice = shared.notice.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let start = head_start(status, id);
    let head = format!("{start}{notice}Content-Length: {content_length}\r\n\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())
}
