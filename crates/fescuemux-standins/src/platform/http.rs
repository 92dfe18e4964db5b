//! Just enough HTTP/1.1 for stand-ins that must break its rules.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A request as it was read.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) method: String,
    pub(super) target: String,
    headers: Vec<(String, String)>,
    pub(super) body: Vec<u8>,
}

impl Request {
    /// Returns a header by its name in lower case.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a parameter of the query.
    pub(super) fn parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }

    /// Returns the path without the query.
    pub(super) fn path(&self) -> &str {
        self.target.split_once('?').map_or(&self.target, |(path, _)| path)
    }
}

/// Reads the next request, or `None` at the end of the connection.
pub(super) fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let (Some(method), Some(target)) = (words.next(), words.next()) else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    let (method, target) = (method.to_owned(), target.to_owned());
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut request = Request { method, target, headers, body: Vec::new() };
    if request.header("transfer-encoding").is_some() {
        request.body = chunks(reader)?;
    } else if let Some(len) = request.header("content-length").and_then(|len| len.parse().ok()) {
        request.body = vec![0; len];
        reader.read_exact(&mut request.body)?;
    }
    Ok(Some(request))
}

fn chunks(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let len = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; len + 2];
        reader.read_exact(&mut chunk)?;
        if len == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..len]);
    }
}

/// Writes an answer with a JSON body.
pub(super) fn write_json(
    stream: &mut TcpStream,
    status: u16,
    body: &serde_json::Value,
) -> io::Result<()> {
    let body = body.to_string();
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + &body).as_bytes())
}
