//! Caller that takes from its connection what an ordinary client would take for an answer.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time after which a caller gives up on a connection.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Complete answer that a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerAnswer {
    /// Status code.
    pub status: u16,
    /// Status line and field lines, in lower case.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
}

/// Sends a request on a new connection while reading the answer, and returns the answer if it is
/// complete. `head` is the request line and field lines, without those that tell the length of
/// `body` and that the connection is used once.
///
/// # Errors
/// Fails if no connection can be opened.
pub fn call(addr: SocketAddr, head: &str, body: Vec<u8>) -> io::Result<Option<CallerAnswer>> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    let mut writer = stream.try_clone()?;
    let head = format!("{head}Content-Length: {}\r\nConnection: close\r\n\r\n", body.len());
    // An error means that the other side has answered without reading the whole body.
    let writing = std::thread::spawn(move || {
        writer.write_all(head.as_bytes()).and_then(|()| writer.write_all(&body)).is_ok()
    });
    let mut bytes = Vec::new();
    let is_clean = stream.read_to_end(&mut bytes).is_ok();
    // Ends the thread if the answer came without its body having been read.
    let _ = stream.shutdown(std::net::Shutdown::Both);
    let _ = writing.join();
    Ok(decode(&bytes, is_clean))
}

/// Decodes the bytes of a connection. `is_clean` is whether its stream has ended without an error.
fn decode(bytes: &[u8], is_clean: bool) -> Option<CallerAnswer> {
    let (head, rest) = split_at(bytes, b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(head).to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    if (100..200).contains(&status) && status != 101 {
        return decode(rest, is_clean);
    }
    let field = |name: &str| {
        let lines = head.lines().filter_map(|line| line.split_once(':'));
        lines.filter(|(other, _)| *other == name).map(|(_, value)| value.trim().to_owned()).next()
    };
    let body = match (field("content-length"), field("transfer-encoding")) {
        (_, Some(coding)) if coding == "chunked" => decode_chunks(rest)?,
        (Some(len), _) => rest.get(..len.parse().ok()?)?.to_vec(),
        _ if status == 204 => Vec::new(),
        _ if is_clean => rest.to_vec(),
        _ => return None,
    };
    Some(CallerAnswer { status, head, body })
}

fn decode_chunks(mut bytes: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let (size, rest) = split_at(bytes, b"\r\n")?;
        let size = usize::from_str_radix(std::str::from_utf8(size).ok()?, 16).ok()?;
        body.extend_from_slice(rest.get(..size)?);
        bytes = rest[size..].strip_prefix(b"\r\n")?;
        if size == 0 {
            return Some(body);
        }
    }
}

fn split_at<'a>(bytes: &'a [u8], separator: &[u8]) -> Option<(&'a [u8], &'a [u8])> {
    let at = bytes.windows(separator.len()).position(|window| window == separator)?;
    Some((&bytes[..at], &bytes[at + separator.len()..]))
}
