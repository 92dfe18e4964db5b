//! Requests that are broken, as a server in trouble sends its reports.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// Time after which a client gives up on an answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Request that a receiver must not act upon.
#[derive(Clone, Debug)]
pub struct BrokenRequest {
    /// Name of the case.
    pub name: &'static str,
    /// Bytes of the request.
    pub bytes: Vec<u8>,
}

/// Returns broken requests that carry `body`. Each is whole for a receiver that guesses at what it
/// cannot understand.
pub fn broken_requests(method_and_path: &str, body: &str) -> Vec<BrokenRequest> {
    let start = format!("{method_and_path} HTTP/1.1\r\nHost: x\r\n");
    let len = body.len();
    let head = |name, lines: &[u8]| {
        let bytes = [start.as_bytes(), lines, b"\r\n\r\n", body.as_bytes()].concat();
        BrokenRequest { name, bytes }
    };
    let with_line = |name, line: &[u8]| {
        head(name, &[line, format!("\r\nContent-Length: {len}").as_bytes()].concat())
    };
    let length = |name, value: String| head(name, format!("Content-Length: {value}").as_bytes());
    let chunks = |name, coding: &str, chunks: String| BrokenRequest {
        name,
        bytes: format!("{start}Transfer-Encoding: {coding}\r\n\r\n{chunks}").into_bytes(),
    };
    let whole = format!("{len:x}\r\n{body}\r\n0\r\n\r\n");
    vec![
        with_line("a line without a colon", b"no field"),
        with_line("an empty name", b": x"),
        with_line("a blank in a name", b"X Tag: x"),
        with_line("a blank after a name", b"X-Tag : x"),
        with_line("a control byte in a name", b"X-\x01Tag: x"),
        with_line("NUL in a value", b"X-Tag: a\0b"),
        with_line("a carriage return in a value", b"X-Tag: a\rb"),
        length("a plus before the length", format!("+{len}")),
        length("a letter after the length", format!("{len}x")),
        length("a length with a fraction", format!("{len}.0")),
        length("an end before the end of the body", (len + 9).to_string()),
        with_line("two lengths", format!("Content-Length: {}", len + 1).as_bytes()),
        with_line("a length and an unknown coding", b"Transfer-Encoding: gzip"),
        chunks("an unknown coding", "gzip", whole.clone()),
        chunks("chunks, then an unknown coding", "chunked, gzip", whole),
        chunks("a plus before a chunk size", "chunked", format!("+{len:x}\r\n{body}\r\n0\r\n\r\n")),
        chunks("no last chunk", "chunked", format!("{len:x}\r\n{body}\r\n")),
        chunks("an end in the last chunk", "chunked", format!("{len:x}\r\n{body}\r\n0\r\n")),
        BrokenRequest {
            name: "another protocol",
            bytes: format!(
                "{method_and_path} ICY/1.1\r\nHost: x\r\nContent-Length: {len}\r\n\r\n{body}"
            )
            .into_bytes(),
        },
    ]
}

/// Sends a request, ends the stream, and returns the status of the answer, if there is one.
pub fn send(addr: SocketAddr, bytes: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    // The receiver may close the connection before it has read everything.
    let _ = stream.write_all(bytes).and_then(|()| stream.shutdown(Shutdown::Write));
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer).into_owned();
    answer.split(' ').nth(1)?.parse().ok()
}
