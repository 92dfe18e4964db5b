//! Tests against request smuggling: ambiguous heads must not reach the HTTP library.

use crate::http::strict_head::{BodyFraming, HeadError, check_head};
use crate::http::strict_io::StrictIo;
use proptest::prelude::{any, proptest};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

struct HeadCase {
    name: &'static str,
    head: &'static str,
    expected: Result<BodyFraming, HeadError>,
}

#[test]
fn ambiguous_heads_are_refused() {
    let cases = [
        HeadCase {
            name: "refusing an ordinary head",
            head: "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\n",
            expected: Ok(BodyFraming::Length(5)),
        },
        HeadCase {
            name: "refusing a chunked head",
            head: "POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n",
            expected: Ok(BodyFraming::Chunked),
        },
        HeadCase {
            name: "both length headers, length first",
            head: "POST / HTTP/1.1\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n",
            expected: Err(HeadError::AmbiguousLength),
        },
        HeadCase {
            name: "both length headers, chunked first",
            head: "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n",
            expected: Err(HeadError::AmbiguousLength),
        },
        HeadCase {
            name: "two lengths that differ",
            head: "POST / HTTP/1.1\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\n",
            expected: Err(HeadError::AmbiguousLength),
        },
        HeadCase {
            name: "two lengths that agree",
            head: "POST / HTTP/1.1\r\ncontent-length: 5\r\ncontent-length: 5\r\n\r\n",
            expected: Err(HeadError::AmbiguousLength),
        },
        HeadCase {
            name: "a list of lengths",
            head: "POST / HTTP/1.1\r\ncontent-length: 5, 5\r\n\r\n",
            expected: Err(HeadError::AmbiguousLength),
        },
        HeadCase {
            name: "a signed length",
            head: "POST / HTTP/1.1\r\ncontent-length: +5\r\n\r\n",
            expected: Err(HeadError::AmbiguousLength),
        },
        HeadCase {
            name: "an unknown transfer coding",
            head: "POST / HTTP/1.1\r\ntransfer-encoding: gzip, chunked\r\n\r\n",
            expected: Err(HeadError::AmbiguousLength),
        },
        HeadCase {
            name: "a bare line feed after the request line",
            head: "GET / HTTP/1.1\nhost: a\r\n\r\n",
            expected: Err(HeadError::BadLineEnd),
        },
        HeadCase {
            name: "a bare carriage return in a value",
            head: "GET / HTTP/1.1\r\nhost: a\rb\r\n\r\n",
            expected: Err(HeadError::BadLineEnd),
        },
        HeadCase {
            name: "a folded header",
            head: "GET / HTTP/1.1\r\nhost: a\r\n b\r\n\r\n",
            expected: Err(HeadError::FoldedHeader),
        },
        HeadCase {
            name: "a space before the colon",
            head: "GET / HTTP/1.1\r\nhost : a\r\n\r\n",
            expected: Err(HeadError::Malformed),
        },
        HeadCase {
            name: "garbage",
            head: "\u{1}\u{2}\u{3}\r\n\r\n",
            expected: Err(HeadError::Malformed),
        },
    ];
    for case in cases {
        assert_eq!(check_head(case.head.as_bytes(), 10), case.expected, "{}", case.name);
    }
}

struct StreamCase {
    name: &'static str,
    /// Segments that the peer sends.
    sent: Vec<&'static str>,
    /// Bytes that must reach the HTTP library.
    forwarded: &'static str,
    fails: bool,
}

async fn check_stream(case: StreamCase) {
    let (mut peer, ours) = tokio::io::duplex(64 * 1024);
    let mut strict = StrictIo::new(ours, 256, 10);
    for piece in &case.sent {
        peer.write_all(piece.as_bytes()).await.unwrap();
    }
    peer.shutdown().await.unwrap();
    let mut forwarded = Vec::new();
    let result = strict.read_to_end(&mut forwarded).await;
    assert_eq!(String::from_utf8_lossy(&forwarded), case.forwarded, "{}", case.name);
    assert_eq!(result.is_err(), case.fails, "{}", case.name);
}

#[tokio::test]
async fn only_checked_heads_pass() {
    const GET: &str = "GET /a HTTP/1.1\r\n\r\n";
    const POST: &str = "POST /b HTTP/1.1\r\ncontent-length: 3\r\n\r\nab\n";
    let cases = [
        StreamCase {
            name: "withholding a valid request",
            sent: vec![GET],
            forwarded: GET,
            fails: false,
        },
        StreamCase {
            name: "a head split over several segments",
            sent: vec!["GET /a HT", "TP/1.1\r", "\n\r", "\n"],
            forwarded: GET,
            fails: false,
        },
        StreamCase {
            name: "checking body bytes as a head",
            sent: vec![POST, GET],
            forwarded: "POST /b HTTP/1.1\r\ncontent-length: 3\r\n\r\nab\nGET /a HTTP/1.1\r\n\r\n",
            fails: false,
        },
        StreamCase {
            name: "a smuggled second head in the same packet",
            sent: vec!["GET /a HTTP/1.1\r\n\r\nGET /x HTTP/1.1\nhost: y\r\n\r\n"],
            forwarded: GET,
            fails: true,
        },
        StreamCase {
            name: "waiting forever for the end of a head with bare line feeds",
            sent: vec!["GET /a HTTP/1.1\n\n"],
            forwarded: "",
            fails: true,
        },
        StreamCase {
            name: "an endless head",
            sent: vec![
                "GET /a HTTP/1.1\r\n",
                "x: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
                "y: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n\r\n",
            ],
            forwarded: "",
            fails: true,
        },
    ];
    for case in cases {
        check_stream(case).await;
    }
}

proptest! {
    /// Fails if an arbitrary head causes a panic.
    #[test]
    fn any_bytes_are_checked_without_panic(head in any::<Vec<u8>>()) {
        let _ = check_head(&head, 10);
    }
}
