//! HTTP/1.1 for the stand-ins: bodies with a length or in chunks.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(n, _)| *n == name).map(|(_, v)| v.to_owned()).next().unwrap_or_default()
    }
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, value)| value)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    while let Some(line) = read_line(reader)?.filter(|line| !line.is_empty()) {
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    Ok(headers)
}

/// Reads a request, or `None` at the end of the channel.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(first) = read_line(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let mut request =
        Request { method: method.into(), target: target.into(), ..Request::default() };
    request.headers = read_headers(reader)?;
    if request.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let size = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            request.body.extend(chunk);
            read_line(reader)?;
            if size == 0 {
                break;
            }
        }
    } else if let Ok(len) = request.header("content-length").parse() {
        request.body = vec![0; len];
        reader.read_exact(&mut request.body)?;
    }
    Ok(Some(request))
}

pub fn write_json(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all([head.as_bytes(), body.as_bytes()].concat().as_slice())
}

/// How an exchange of a requester ended.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Status, or 0 if no head arrived.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole answer arrived.
    pub complete: bool,
    /// Why it is not complete.
    pub problem: String,
    /// Time from the start of sending until the end of the answer or of the channel.
    pub took: Duration,
}

/// Sends a request on a new channel and reads the answer for up to `patience`.
pub fn exchange(addr: &str, request: &[u8], patience: Duration) -> Outcome {
    let started = Instant::now();
    let mut outcome = Outcome::default();
    if let Err(e) = try_exchange(addr, request, started + patience, &mut outcome) {
        outcome.problem = format!("{:?}: {e}", e.kind());
    }
    outcome.took = started.elapsed();
    outcome
}

struct Until(TcpStream, Instant);

impl Read for Until {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let left = self.1.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "no end in time"));
        }
        self.0.set_read_timeout(Some(left))?;
        self.0.read(buf).map_err(|e| match e.kind() {
            io::ErrorKind::WouldBlock => io::Error::new(io::ErrorKind::TimedOut, "no end in time"),
            _ => e,
        })
    }
}

fn try_exchange(addr: &str, request: &[u8], end: Instant, outcome: &mut Outcome) -> io::Result<()> {
    let addr = addr.parse().map_err(io::Error::other)?;
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(Until(stream, end));
    let cut = || io::Error::new(io::ErrorKind::UnexpectedEof, "the channel ended");
    let first = read_line(&mut reader)?.ok_or_else(cut)?;
    outcome.status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    outcome.headers = read_headers(&mut reader)?;
    let header = |name: &str| {
        outcome.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.clone())
    };
    if let Some(len) = header("content-length").and_then(|len| len.parse::<usize>().ok()) {
        let mut buf = [0; 16 * 1024];
        while outcome.body.len() < len {
            let most = buf.len().min(len - outcome.body.len());
            match reader.read(&mut buf[..most])? {
                0 => return Err(cut()),
                n => outcome.body.extend(&buf[..n]),
            }
        }
    } else {
        loop {
            let line = read_line(&mut reader)?.ok_or_else(cut)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            outcome.body.extend(chunk);
            read_line(&mut reader)?.ok_or_else(cut)?;
            if size == 0 {
                break;
            }
        }
    }
    outcome.complete = true;
    Ok(())
}
