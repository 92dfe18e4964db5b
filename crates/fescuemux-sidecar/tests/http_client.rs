//! The HTTP/1.1 client against servers that break the rules.

use fescuemux_sidecar::h1::{BodyReader, Connection, H1Error};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Sends `bytes` to the first client, in the given pieces, and closes.
async fn server(pieces: &'static [&'static [u8]]) -> SocketAddr {
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

/// Returns status and body of the next answer.
async fn answer(connection: &mut Connection) -> Result<(u16, Vec<u8>), H1Error> {
    let head = connection.reader.next_head().await?;
    let mut body = BodyReader::new(head.framing()?);
    let mut whole = Vec::new();
    while let Some(piece) = body.next_chunk(&mut connection.reader).await? {
        whole.extend_from_slice(&piece);
    }
    Ok((head.status, whole))
}

/// A cut answer must not look whole, and each framing must end where the server ends it.
#[tokio::test(flavor = "current_thread")]
async fn answers_are_read_to_their_end_or_not_at_all() {
    struct Case {
        name: &'static str,
        pieces: &'static [&'static [u8]],
        answer: Option<(u16, &'static [u8])>,
    }
    let cases = [
        Case {
            name: "a length",
            pieces: &[b"HTTP/1.1 200 OK\r\nContent-Le", b"ngth: 4\r\n\r\nab", b"cd"],
            answer: Some((200, b"abcd")),
        },
        Case {
            name: "chunks with trailers",
            pieces: &[
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=1\r\nab\r",
                b"\n2\r\ncd\r\n0\r\nX: y\r\n\r\n",
            ],
            answer: Some((200, b"abcd")),
        },
        Case {
            name: "until the end of the connection",
            pieces: &[b"HTTP/1.1 200 OK\r\n\r\nab", b"cd"],
            answer: Some((200, b"abcd")),
        },
        Case {
            name: "an interim answer first",
            pieces: &[b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 X\r\n\r\n"],
            answer: Some((204, b"")),
        },
        Case {
            name: "cut in the head",
            pieces: &[b"HTTP/1.1 200 OK\r\nContent-"],
            answer: None,
        },
        Case {
            name: "cut in the body",
            pieces: &[b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"],
            answer: None,
        },
        Case {
            name: "cut in a chunk",
            pieces: &[b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc"],
            answer: None,
        },
        Case { name: "no answer", pieces: &[], answer: None },
        Case { name: "other bytes", pieces: &[b"\x16\x03\x01\r\n\r\n"], answer: None },
        Case {
            name: "two lengths",
            pieces: &[b"HTTP/1.1 200 X\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"],
            answer: None,
        },
        Case {
            name: "a length and chunks",
            pieces: &[
                b"HTTP/1.1 200 X\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            ],
            answer: None,
        },
    ];
    for case in cases {
        let addr = server(case.pieces).await;
        let opened = Connection::open(addr, Instant::now(), Duration::from_secs(5)).await;
        let mut connection = opened.expect("the server accepts");
        let read = answer(&mut connection).await.ok();
        let wanted = case.answer.map(|(status, body)| (status, body.to_vec()));
        assert_eq!(read, wanted, "{}", case.name);
    }
}

/// Bytes after an answer belong to no request; the connection must not carry another one.
#[tokio::test(flavor = "current_thread")]
async fn a_connection_with_stray_bytes_is_not_quiet() {
    let pieces: &[&[u8]] = &[b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", b"HTTP/1.1 200"];
    let addr = server(pieces).await;
    let opened = Connection::open(addr, Instant::now(), Duration::from_secs(5)).await;
    let mut connection = opened.expect("the server accepts");
    assert_eq!(answer(&mut connection).await.expect("an answer"), (200, b"a".to_vec()));
    while connection.is_reusable() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
