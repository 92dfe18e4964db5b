//! Minimal HTTP/1.1 for the stand-ins.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// Head of a request or of a response.
#[derive(Clone, Debug)]
pub struct Head {
    /// Request line or status line.
    pub first: String,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the first line: target or status.
    pub fn second(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second().parse().unwrap_or_default()
    }

    pub fn content_length(&self) -> Option<usize> {
        self.header("content-length").and_then(|len| len.parse().ok())
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some()
    }
}

/// Reads a head. Returns `None` if the connection ends before its first byte.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Ok(Some(Head { first, headers }))
}

/// Reads a body piece by piece, as far as it comes.
pub struct BodyReader {
    left: usize,
    chunked: bool,
    ended: bool,
}

impl BodyReader {
    pub fn new(head: &Head) -> BodyReader {
        let left = head.content_length().unwrap_or(0);
        let chunked = head.is_chunked();
        BodyReader { left, chunked, ended: !chunked && left == 0 }
    }

    /// Returns whether the whole body was read.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// Reads up to `buf.len()` bytes of the body; zero at its end.
    ///
    /// # Errors
    /// Fails if the connection ends before the body.
    pub fn read(&mut self, reader: &mut BufReader<TcpStream>, buf: &mut [u8]) -> io::Result<usize> {
        if self.ended {
            return Ok(0);
        }
        if self.chunked && self.left == 0 {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16);
            self.left = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if self.left == 0 {
                reader.read_line(&mut String::new())?;
                self.ended = true;
                return Ok(0);
            }
        }
        let len = buf.len().min(self.left);
        let read = reader.read(&mut buf[..len])?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.left -= read;
        if self.left == 0 {
            if self.chunked {
                reader.read_line(&mut String::new())?;
            } else {
                self.ended = true;
            }
        }
        Ok(read)
    }
}
