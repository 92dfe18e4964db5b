//! Callers of the demo: threads that send requests at a fixed rate.

use super::request_log::{RequestKind, RequestLog, RequestRecord};
use attohttpc::{ErrorKind, Method, RequestBuilder, Response};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use uuid::Uuid;

/// Number of threads per kind of request. A thread waits for the response to each request, so
/// there must be enough threads for the slowest responses at the highest rate.
const THREADS_PER_KIND: u32 = 24;
/// Timeout of a request. It is longer than the deadline of the services, so that the error response
/// of the fleet arrives.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);

/// Running callers.
pub(super) struct Callers {
    stop_requested: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts callers that send `rate` requests per second of each kind.
    pub(super) fn start(addrs: &[SocketAddr], rate: u32, log: &Arc<RequestLog>) -> Callers {
        let stop_requested = Arc::new(AtomicBool::new(false));
        let interval = Duration::from_secs_f64(f64::from(THREADS_PER_KIND) / f64::from(rate));
        let threads = [RequestKind::Read, RequestKind::Booking]
            .into_iter()
            .flat_map(|kind| (0..THREADS_PER_KIND).map(move |number| (kind, number)))
            .map(|(kind, number)| {
                let (stop, log) = (Arc::clone(&stop_requested), Arc::clone(log));
                let addrs = addrs.to_vec();
                let offset = interval * number / THREADS_PER_KIND;
                std::thread::spawn(move || {
                    std::thread::sleep(offset);
                    send_until_stopped(&stop, interval, &addrs, number as usize, kind, &log);
                })
            })
            .collect();
        Callers { stop_requested, threads }
    }

    /// Stops the callers and waits for the outstanding responses.
    pub(super) fn stop(self) {
        self.stop_requested.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn send_until_stopped(
    stop: &AtomicBool,
    interval: Duration,
    addrs: &[SocketAddr],
    first_index: usize,
    kind: RequestKind,
    log: &RequestLog,
) {
    let mut next_send = Instant::now();
    let mut index = first_index;
    while !stop.load(Ordering::Relaxed) {
        index += 1;
        let record = send(addrs, index, kind);
        log.add(record);
        next_send += interval;
        std::thread::sleep(next_send.saturating_duration_since(Instant::now()));
    }
}

/// Sends one request. If a daemon refuses the connection, the next address is tried.
fn send(addrs: &[SocketAddr], index: usize, kind: RequestKind) -> RequestRecord {
    let key = Uuid::now_v7().to_string();
    let mut record = RequestRecord::new(kind, key.clone());
    for offset in 0..addrs.len() {
        let addr = addrs[(index + offset) % addrs.len()];
        match request(addr, kind, &key).send() {
            Ok(response) => {
                record.set_result(read_response(response));
                return record;
            }
            Err(e) if is_refused(e.kind()) => {}
            Err(e) => {
                record.failure = Some(e.to_string());
                return record;
            }
        }
    }
    record.failure = Some("no daemon accepts connections".to_owned());
    record
}

fn request(
    addr: SocketAddr,
    kind: RequestKind,
    key: &str,
) -> RequestBuilder<attohttpc::body::Text<String>> {
    let (method, path) = match kind {
        RequestKind::Read => (Method::GET, "/slots/today"),
        RequestKind::Booking => (Method::POST, "/orders"),
    };
    RequestBuilder::new(method, format!("http://{addr}{path}"))
        .timeout(REQUEST_TIMEOUT)
        .header("fescuemux-caller", "office")
        .header("idempotency-key", key)
        .header("x-tag", key)
        .text(format!("order {key}"))
}

fn is_refused(kind: &ErrorKind) -> bool {
    matches!(kind, ErrorKind::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused)
}

fn read_response(response: Response) -> Result<super::request_log::Response, String> {
    let status = response.status().as_u16();
    let header = |name: &str| {
        let value = response.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (verdict, reason) = (header("fescuemux-verdict"), header("fescuemux-reason"));
    let body = response.text().map_err(|e| e.to_string())?;
    Ok(super::request_log::Response { status, verdict, reason, body })
}
