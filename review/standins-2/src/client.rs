//! Stand-in of a requester.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What a requester saw of a request.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub status: Option<u16>,
    /// Length of the body that the answer announces.
    pub announced: Option<usize>,
    pub body_bytes: usize,
    pub stamped: bool,
    /// How the channel ended, if it did before the answer was complete.
    pub end: Option<String>,
    pub ms: u128,
}

impl Seen {
    /// Returns the status, or how the attempt ended without one.
    pub fn outcome(&self) -> String {
        match (self.status, &self.end) {
            (Some(status), None) => format!("{status}"),
            (Some(status), Some(end)) => format!("{status}, then: {end}"),
            (None, end) => end.clone().unwrap_or_default(),
        }
    }
}

/// Sends a request on a new channel and reads its answer until its end or until `budget` has passed.
pub fn send(addr: SocketAddr, request: &[u8], budget: Duration) -> Seen {
    let started = Instant::now();
    let mut seen = Seen::default();
    let result = exchange(addr, request, started + budget, &mut seen);
    seen.end = result.err().map(|e| e.to_string());
    seen.ms = started.elapsed().as_millis();
    seen
}

fn exchange(
    addr: SocketAddr,
    request: &[u8],
    deadline: Instant,
    seen: &mut Seen,
) -> io::Result<()> {
    // Requesters allow a new channel one second to be established.
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))
        .map_err(|e| io::Error::other(format!("no channel: {e}")))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    let mut buf = Vec::new();
    let mut piece = vec![0; 64 * 1024];
    let mut head_len = None;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::Error::other("the time budget is over"));
        }
        stream.set_read_timeout(Some(left))?;
        let len = match stream.read(&mut piece) {
            Ok(0) => return Err(io::Error::other("the node closed the channel")),
            Ok(len) => len,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                return Err(io::Error::other("the time budget is over"));
            }
            Err(e) => return Err(e),
        };
        if head_len.is_none() {
            buf.extend_from_slice(&piece[..len]);
            let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") else { continue };
            head_len = Some(end + 4);
            let head = String::from_utf8_lossy(&buf[..end]).to_ascii_lowercase();
            seen.status = head.split_whitespace().nth(1).and_then(|status| status.parse().ok());
            let header = |name: &str| {
                let lines = head.lines().filter_map(|line| line.split_once(':'));
                lines.filter(|(n, _)| *n == name).map(|(_, v)| v.trim().to_owned()).next()
            };
            seen.announced = header("content-length").and_then(|len| len.parse().ok());
            seen.stamped = header("reply-stamp").is_some();
            seen.body_bytes = buf.len() - end - 4;
        } else {
            seen.body_bytes += len;
        }
        if seen.announced.is_some_and(|announced| seen.body_bytes >= announced) {
            return Ok(());
        }
    }
}
