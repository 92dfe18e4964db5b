//! Callers of the demo: threads that send requests at a fixed rate.

use super::request_log::{Kind, RequestLog, Sent};
use attohttpc::{ErrorKind, Method, RequestBuilder, Response};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use uuid::Uuid;

/// Callers of each kind. Each waits for its answer, so there must be enough for the slowest
/// answers at the highest rate.
const THREADS: u32 = 24;
/// Longer than the deadline of the services, so that the fleet's own answer arrives.
const TIMEOUT: Duration = Duration::from_secs(6);

/// Running callers.
pub(super) struct Callers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts callers that send `rate` requests of each kind per second.
    pub(super) fn start(addrs: &[SocketAddr], rate: u32, log: &Arc<RequestLog>) -> Callers {
        let stop = Arc::new(AtomicBool::new(false));
        let interval = Duration::from_secs_f64(f64::from(THREADS) / f64::from(rate));
        let threads = [Kind::Read, Kind::Booking]
            .into_iter()
            .flat_map(|kind| (0..THREADS).map(move |number| (kind, number)))
            .map(|(kind, number)| {
                let (stop, log) = (Arc::clone(&stop), Arc::clone(log));
                let addrs = addrs.to_vec();
                let offset = interval * number / THREADS;
                std::thread::spawn(move || {
                    std::thread::sleep(offset);
                    send_until(&stop, interval, &addrs, number as usize, kind, &log);
                })
            })
            .collect();
        Callers { stop, threads }
    }

    /// Waits for the answers that are still to come.
    pub(super) fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

fn send_until(
    stop: &AtomicBool,
    interval: Duration,
    addrs: &[SocketAddr],
    first: usize,
    kind: Kind,
    log: &RequestLog,
) {
    let mut next = Instant::now();
    let mut at = first;
    while !stop.load(Ordering::Relaxed) {
        at += 1;
        let sent = send(addrs, at, kind);
        log.add(sent);
        next += interval;
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

/// Sends one request, to the next address when a daemon does not accept connections.
fn send(addrs: &[SocketAddr], at: usize, kind: Kind) -> Sent {
    let key = Uuid::now_v7().to_string();
    let mut sent = Sent::new(kind, key.clone());
    for offset in 0..addrs.len() {
        let addr = addrs[(at + offset) % addrs.len()];
        match request(addr, kind, &key).send() {
            Ok(answer) => {
                sent.take(read(answer));
                return sent;
            }
            Err(e) if is_refused(e.kind()) => {}
            Err(e) => {
                sent.cut = Some(e.to_string());
                return sent;
            }
        }
    }
    sent.cut = Some("no daemon accepts connections".to_owned());
    sent
}

fn request(
    addr: SocketAddr,
    kind: Kind,
    key: &str,
) -> RequestBuilder<attohttpc::body::Text<String>> {
    let (method, path) = match kind {
        Kind::Read => (Method::GET, "/slots/today"),
        Kind::Booking => (Method::POST, "/orders"),
    };
    RequestBuilder::new(method, format!("http://{addr}{path}"))
        .timeout(TIMEOUT)
        .header("fescuemux-caller", "office")
        .header("idempotency-key", key)
        .header("x-tag", key)
        .text(format!("order {key}"))
}

fn is_refused(kind: &ErrorKind) -> bool {
    matches!(kind, ErrorKind::Io(e) if e.kind() == std::io::ErrorKind::ConnectionRefused)
}

fn read(answer: Response) -> Result<super::request_log::Answer, String> {
    let status = answer.status().as_u16();
    let header = |name: &str| {
        let value = answer.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (verdict, reason) = (header("fescuemux-verdict"), header("fescuemux-reason"));
    let body = answer.text().map_err(|e| e.to_string())?;
    Ok(super::request_log::Answer { status, verdict, reason, body })
}
