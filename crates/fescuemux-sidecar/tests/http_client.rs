//! Tests of the HTTP/1.1 client against servers that violate the protocol.

use fescuemux_sidecar::h1::{Connection, RequestMethod, ResponseDecoder, ResponseError};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Limit of response bodies in these tests.
const MAX_BODY_BYTES: u64 = 1 << 20;

/// Starts a server that sends `pieces` one by one to its first client and then closes the
/// connection.
async fn start_server(pieces: &'static [&'static [u8]]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a client");
        for piece in pieces {
            stream.write_all(piece).await.expect("the client reads");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    addr
}

/// Returns the status and body of the next response.
async fn read_response(connection: &mut Connection) -> Result<(u16, Vec<u8>), ResponseError> {
    let mut decoder = ResponseDecoder::new(RequestMethod::Other).with_max_body_len(MAX_BODY_BYTES);
    let head = connection.reader.read_head(&mut decoder).await?;
    let mut body_bytes = Vec::new();
    while let Some(chunk) = connection.reader.read_chunk(&mut decoder).await? {
        body_bytes.extend_from_slice(&chunk);
    }
    Ok((head.status, body_bytes))
}

/// A truncated response must not look complete, and with each framing the client must end the body
/// where the server ends it.
#[tokio::test(flavor = "current_thread")]
async fn responses_are_read_completely_or_rejected() {
    struct Case {
        name: &'static str,
        pieces: &'static [&'static [u8]],
        response: Option<(u16, &'static [u8])>,
    }
    let cases = [
        Case {
            name: "a content length",
            pieces: &[b"HTTP/1.1 200 OK\r\nContent-Le", b"ngth: 4\r\n\r\nab", b"cd"],
            response: Some((200, b"abcd")),
        },
        Case {
            name: "chunks with trailers",
            pieces: &[
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=1\r\nab\r",
                b"\n2\r\ncd\r\n0\r\nX: y\r\n\r\n",
            ],
            response: Some((200, b"abcd")),
        },
        Case {
            name: "a body until the connection closes",
            pieces: &[b"HTTP/1.1 200 OK\r\n\r\nab", b"cd"],
            response: Some((200, b"abcd")),
        },
        Case {
            name: "an interim response first",
            pieces: &[b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 X\r\n\r\n"],
            response: Some((204, b"")),
        },
        Case {
            name: "truncated head",
            pieces: &[b"HTTP/1.1 200 OK\r\nContent-"],
            response: None,
        },
        Case {
            name: "truncated body",
            pieces: &[b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"],
            response: None,
        },
        Case {
            name: "truncated chunk",
            pieces: &[b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc"],
            response: None,
        },
        Case { name: "no response", pieces: &[], response: None },
        Case { name: "not HTTP", pieces: &[b"\x16\x03\x01\r\n\r\n"], response: None },
        Case {
            name: "two content lengths",
            pieces: &[b"HTTP/1.1 200 X\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"],
            response: None,
        },
        Case {
            name: "a content length and chunks",
            pieces: &[
                b"HTTP/1.1 200 X\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            ],
            response: None,
        },
    ];
    for case in cases {
        let addr = start_server(case.pieces).await;
        let opened = Connection::open(addr, Instant::now(), Duration::from_secs(5)).await;
        let mut connection = opened.expect("the server accepts");
        let actual = read_response(&mut connection).await.ok();
        let expected = case.response.map(|(status, body)| (status, body.to_vec()));
        assert_eq!(actual, expected, "{}", case.name);
    }
}

/// Bytes after a response belong to no request, so the connection must not carry another request.
#[tokio::test(flavor = "current_thread")]
async fn a_connection_with_stray_bytes_is_not_reusable() {
    let pieces: &[&[u8]] = &[b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", b"HTTP/1.1 200"];
    let addr = start_server(pieces).await;
    let opened = Connection::open(addr, Instant::now(), Duration::from_secs(5)).await;
    let mut connection = opened.expect("the server accepts");
    assert_eq!(read_response(&mut connection).await.expect("a response"), (200, b"a".to_vec()));
    while connection.is_reusable() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A server in trouble may send bytes that are no response until the client closes. Reading must
/// end by itself, after a bounded number of bytes.
#[tokio::test(flavor = "current_thread")]
async fn bytes_without_end_are_rejected() {
    struct Case {
        name: &'static str,
        first: &'static [u8],
        repeated: &'static [u8],
    }
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let last_chunk = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    let cases = [
        Case { name: "a status line", first: b"HTTP/1.1 200 ", repeated: b"x" },
        Case { name: "headers", first: b"HTTP/1.1 200 OK\r\n", repeated: b"A: b\r\n" },
        Case { name: "a header value", first: b"HTTP/1.1 200 OK\r\nA: ", repeated: b"bbbb" },
        Case { name: "empty lines", first: b"", repeated: b"\r\n" },
        Case { name: "interim responses", first: b"", repeated: b"HTTP/1.1 100 Continue\r\n\r\n" },
        Case { name: "no HTTP", first: b"", repeated: b"\0\0\0\0" },
        Case { name: "a body until the end", first: b"HTTP/1.1 200 OK\r\n\r\n", repeated: b"abcd" },
        Case {
            name: "a body with a huge length",
            first: b"HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n\r\n",
            repeated: b"abcd",
        },
        Case { name: "chunks", first: chunked, repeated: b"1\r\na\r\n" },
        Case { name: "a chunk size", first: chunked, repeated: b"0" },
        Case { name: "a chunk extension", first: chunked, repeated: b"1;" },
        Case { name: "trailers", first: last_chunk, repeated: b"A: b\r\n" },
        Case { name: "a trailer", first: last_chunk, repeated: b"A" },
    ];
    for case in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let sent = Arc::new(AtomicU64::new(0));
        let counter = sent.clone();
        let server = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a client");
            let mut piece = case.first.to_vec();
            // The write fails once the client has closed.
            while stream.write_all(&piece).await.is_ok() {
                counter.fetch_add(piece.len() as u64, Ordering::SeqCst);
                piece = case.repeated.repeat(1_000);
            }
        });
        let opened = Connection::open(addr, Instant::now(), Duration::from_secs(5)).await;
        let mut connection = opened.expect("the server accepts");
        let response =
            tokio::time::timeout(Duration::from_secs(20), read_response(&mut connection)).await;
        assert!(matches!(response, Ok(Err(_))), "{}: {response:?}", case.name);
        drop(connection);
        server.await.expect("the server ends once the client has closed");
        // Each byte of a body may come in a chunk of its own; the rest is in socket buffers.
        let max_sent = 8 * MAX_BODY_BYTES + (16 << 20);
        let sent = sent.load(Ordering::SeqCst);
        assert!(sent <= max_sent, "{}: {sent} bytes were read", case.name);
    }
}
