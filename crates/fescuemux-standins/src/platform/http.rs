//! Minimal HTTP/1.1 for stand-ins that have to violate the protocol.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// HTTP request with its whole body.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) method: String,
    pub(super) target: String,
    headers: Vec<(String, String)>,
    pub(super) body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header. `name` must be in lower case.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns all headers, with names in lower case, in the order in which they came.
    pub(super) fn headers(&self) -> &[(String, String)] {
        &self.headers
    }

    /// Returns the length of the body, if the head tells it.
    pub(super) fn content_length(&self) -> Option<usize> {
        self.header("content-length").and_then(|len| len.parse().ok())
    }

    /// Returns the value of a query parameter.
    pub(super) fn query_parameter(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }

    /// Returns the path without the query.
    pub(super) fn path(&self) -> &str {
        self.target.split_once('?').map_or(&self.target, |(path, _)| path)
    }
}

/// Reads the next request. Returns `None` at the end of the connection.
pub(super) fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(mut request) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &mut request)?;
    Ok(Some(request))
}

/// Reads the head of the next request. Returns `None` at the end of the connection.
pub(super) fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut parts = line.split_whitespace();
    let (Some(method), Some(target)) = (parts.next(), parts.next()) else {
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
    Ok(Some(Request { method, target, headers, body: Vec::new() }))
}

/// Reads the body of a request after its head.
pub(super) fn read_body(
    reader: &mut BufReader<TcpStream>,
    request: &mut Request,
) -> io::Result<()> {
    if request.header("transfer-encoding").is_some() {
        request.body = read_chunked_body(reader)?;
    } else if let Some(len) = request.content_length() {
        request.body = vec![0; len];
        reader.read_exact(&mut request.body)?;
    }
    Ok(())
}

fn read_chunked_body(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
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

/// Writes a response with a JSON body.
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
