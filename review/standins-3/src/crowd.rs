//! Clients that send many small chunked bodies at once, stop just short of their end and stay open.
//! One whose channel ends opens another.

use crate::fleet::{address, request_head};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Chunks of a body, of one byte each, without the last chunk.
const BODY_CHUNKS: usize = 64;

/// Clients of a thread.
const CLIENTS_PER_THREAD: usize = 16;

/// Pause between looks at the channels of a thread.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Crowd of clients of one machine, which leaves when it is dropped.
pub struct Crowd {
    open: Arc<AtomicUsize>,
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Starts `count` clients, each of which sends an unfinished request to `target`.
    pub fn start(ip: &str, target: &str, count: usize) -> Crowd {
        let mut crowd =
            Crowd { open: Arc::default(), stopped: Arc::default(), threads: Vec::new() };
        let addr = address(ip, 8001);
        for first in (0..count).step_by(CLIENTS_PER_THREAD) {
            let clients = CLIENTS_PER_THREAD.min(count - first);
            let (open, stopped) = (crowd.open.clone(), crowd.stopped.clone());
            let target = target.to_owned();
            crowd.threads.push(std::thread::spawn(move || {
                run(addr, &target, first, clients, &open, &stopped);
            }));
        }
        crowd
    }

    /// Returns the number of clients whose channel is established.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn run(
    addr: SocketAddr,
    target: &str,
    first: usize,
    clients: usize,
    open: &AtomicUsize,
    stopped: &AtomicBool,
) {
    let mut streams: Vec<Option<TcpStream>> = (0..clients).map(|_| None).collect();
    for round in 0.. {
        for (index, slot) in streams.iter_mut().enumerate() {
            if stopped.load(Ordering::SeqCst) {
                return;
            }
            if slot.as_ref().is_some_and(has_ended) {
                *slot = None;
                open.fetch_sub(1, Ordering::SeqCst);
            }
            if slot.is_none() {
                *slot = connect(addr, target, &format!("crowd-{}-{round}", first + index)).ok();
                open.fetch_add(usize::from(slot.is_some()), Ordering::SeqCst);
            }
        }
        std::thread::sleep(LOOK_PAUSE);
    }
}

fn connect(addr: SocketAddr, target: &str, id: &str) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    let head = request_head(target, id, 8_000, "Transfer-Encoding: chunked");
    let body = "1\r\nu\r\n".repeat(BODY_CHUNKS);
    stream.write_all((head + &body).as_bytes())?;
    stream.set_nonblocking(true)?;
    Ok(stream)
}

/// Returns whether the machine has answered or closed the channel.
fn has_ended(stream: &TcpStream) -> bool {
    !matches!(stream.peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}

/// Sleeps until `at`.
pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}
