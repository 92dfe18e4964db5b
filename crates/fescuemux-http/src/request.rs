//! Heads of requests.

use bytes::{BufMut, BytesMut};

/// Builder of an encoded request head.
#[derive(Debug)]
pub struct RequestHead {
    buf: BytesMut,
}

impl RequestHead {
    /// Creates a head with its request line.
    pub fn new(method: &str, path_and_query: &str) -> RequestHead {
        let mut buf = BytesMut::with_capacity(512);
        for part in [method, " ", path_and_query, " HTTP/1.1\r\n"] {
            buf.put_slice(part.as_bytes());
        }
        RequestHead { buf }
    }

    /// Adds a header. The name and value must not contain line breaks; names and values from parsed
    /// heads never do.
    pub fn header(&mut self, name: &str, value: &[u8]) {
        self.buf.put_slice(name.as_bytes());
        self.buf.put_slice(b": ");
        self.buf.put_slice(value);
        self.buf.put_slice(b"\r\n");
    }

    /// Completes the head and returns its bytes.
    pub fn finish(mut self) -> BytesMut {
        self.buf.put_slice(b"\r\n");
        self.buf
    }
}
