//! Requests as the stand-ins read them.

use std::io::{self, BufRead};

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn parameter(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(n, _)| *n == name).map(|(_, v)| v).next()
    }
}

/// Reads a request with its body, or `None` at the end of the channel.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(mut request) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &mut request)?;
    Ok(Some(request))
}

pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let mut request = Request {
        method: words.next().unwrap_or_default().to_owned(),
        target: words.next().unwrap_or_default().to_owned(),
        ..Request::default()
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => {
                request.headers.push((name.to_owned(), value.trim().to_owned()));
            }
            None => return Ok(Some(request)),
        }
    }
}

pub fn read_body(reader: &mut impl BufRead, request: &mut Request) -> io::Result<()> {
    if request.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let len = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; len + 2];
            reader.read_exact(&mut chunk)?;
            if len == 0 {
                return Ok(());
            }
            request.body.extend_from_slice(&chunk[..len]);
        }
    }
    let len = request.header("content-length").and_then(|len| len.parse().ok()).unwrap_or(0);
    request.body = vec![0; len];
    reader.read_exact(&mut request.body)
}
