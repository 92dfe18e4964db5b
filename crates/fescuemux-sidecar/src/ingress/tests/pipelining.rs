//! Unit tests of the boundaries of pipelined requests. Hyper is played by [`Reader`].

use crate::ingress::message_tracker::MessageTracker;
use crate::ingress::pipelined_head::{HeadEnd, parse_head, pipelined_request};
use fescuemux_core::pipelining::{ConnectionState, EarlyStart, EarlyStarts};
use http::request::Parts;
use tokio::io::ReadBuf;

/// Size of hyper's buffer.
const BUFFER_BYTES: usize = 64;

/// Reads from a tracker as hyper does, and records what it sees.
struct Reader {
    tracker: MessageTracker,
    /// Bytes of the current head.
    head: Vec<u8>,
    body_left: u64,
    in_progress: bool,
    events: Vec<String>,
}

impl Reader {
    /// Takes the bytes of a read from the socket.
    fn on_socket_read(&mut self, bytes: &[u8]) {
        for bytes in bytes.chunks(BUFFER_BYTES) {
            if self.tracker.is_response_due() {
                self.tracker.unread().extend_from_slice(bytes);
                self.start_early();
                continue;
            }
            self.read_unread();
            if self.tracker.is_response_due() || !self.tracker.unread().is_empty() {
                self.tracker.unread().extend_from_slice(bytes);
                continue;
            }
            let mut buf = [0; BUFFER_BYTES];
            let mut buf = ReadBuf::new(&mut buf);
            buf.put_slice(bytes);
            self.tracker.on_read();
            self.tracker.take_back(&mut buf, 0);
            self.on_bytes(buf.filled());
            self.read_unread();
        }
    }

    /// Takes all bytes that hyper may have.
    fn read_unread(&mut self) {
        while !self.tracker.is_response_due() {
            let mut buf = [0; BUFFER_BYTES];
            let mut buf = ReadBuf::new(&mut buf);
            self.tracker.on_read();
            if !self.tracker.give(&mut buf) {
                return;
            }
            self.on_bytes(buf.filled());
        }
        self.start_early();
    }

    fn on_bytes(&mut self, bytes: &[u8]) {
        let body = bytes.len().min(self.body_left as usize);
        self.body_left -= body as u64;
        self.head.extend_from_slice(&bytes[body..]);
        while let Some(len) = { HeadEnd::START }.find(&self.head).filter(|_| !self.in_progress) {
            let head: Vec<u8> = self.head.drain(..len).collect();
            let text = String::from_utf8_lossy(&head).into_owned();
            if text.trim().is_empty() {
                continue;
            }
            let field = |name| text.lines().find_map(|line| line.strip_prefix(name));
            let number = |name| field(name).map_or(0, |len: &str| len.parse().expect("a length"));
            let len = number("Content-Length: ");
            self.in_progress = true;
            // Hyper finds the end of a chunked body, of which the tracker knows nothing.
            self.body_left = len + number("X-Body: ");
            let early = self.tracker.on_request((self.body_left == len).then_some(len));
            let start = if early { "took" } else { "got" };
            self.events.push(format!("{start} {}", target(&text)));
            self.start_early();
        }
    }

    fn start_early(&mut self) {
        while let Some(head) = self.tracker.next_head() {
            let (len, parts) = (head.len(), parse_head(head));
            let start = parts.as_ref().map_or(EarlyStart::InOrder, decide);
            let Some(parts) = parts.filter(|_| start == EarlyStart::Now) else {
                return self.tracker.on_left_in_order();
            };
            self.events.push(format!("early {}", parts.uri));
            self.tracker.on_started_early(len);
        }
    }

    /// Ends the response to the request in progress.
    fn respond(&mut self) {
        self.in_progress = false;
        self.tracker.on_response_end();
        self.on_bytes(&[]);
        self.read_unread();
    }
}

fn target(head: &str) -> &str {
    head.split_whitespace().nth(1).unwrap_or_default()
}

fn decide(parts: &Parts) -> EarlyStart {
    let connection = ConnectionState::default();
    EarlyStarts::default().on_request(connection, pipelined_request(parts, true))
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n")
}

/// A boundary in the wrong place would let a part of a body, or of another request, run as a request.
#[test]
fn requests_begin_and_end_where_hyper_sees_them() {
    struct Case {
        name: &'static str,
        reads: Vec<String>,
        events: &'static [&'static str],
    }
    let case = |name, reads, events| Case { name, reads, events };
    let (a, b, c) = (get("/a"), get("/b"), get("/c"));
    let bytes = |text: &str| text.chars().map(|c| c.to_string()).collect::<Vec<_>>();
    let three: &[&str] = &["got /a", "early /b", "early /c", "took /b", "took /c"];
    let post =
        |body: &str| format!("POST /p HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let inner = get("/inner");
    let chunks = format!("{:x}\r\n{inner}\r\n0\r\n\r\n", inner.len());
    let chunked = format!(
        "POST /p HTTP/1.1\r\nTransfer-Encoding: chunked\r\nX-Body: {}\r\n\r\n{chunks}",
        chunks.len()
    );
    let in_order = |middle: &str| vec![a.clone(), middle.to_owned(), c.clone()];
    let cases = [
        case("one read each", vec![a.clone(), b.clone(), c.clone()], three),
        case("one read for all", vec![[&*a, &b, &c].concat()], three),
        case("single bytes", bytes(&[&*a, &b, &c].concat()), three),
        case("a split end", vec![format!("{a}{}", &b[..b.len() - 2]), format!("\r\n{c}")], three),
        case("empty lines", vec![format!("\r\n\r\n{a}"), b.clone(), c.clone()], three),
        case(
            "a body ahead",
            vec![post(&inner), b.clone(), c.clone()],
            &["got /p", "early /b", "early /c", "took /b", "took /c"],
        ),
        case(
            "a body behind",
            in_order(&post(&inner)),
            &["got /a", "got /p", "early /c", "took /c"],
        ),
        case(
            "bare line feeds",
            in_order("GET /f HTTP/1.1\nHost: a\n\nGET /g HTTP/1.1\r\nHost: a\n\r\n"),
            &["got /a", "early /f", "early /g", "early /c", "took /f", "took /g", "took /c"],
        ),
        case("a chunked body", in_order(&chunked), &["got /a", "got /p", "got /c"]),
        case(
            "an expectation",
            in_order("GET /e HTTP/1.1\r\nExpect: 100-continue\r\n\r\n"),
            &["got /a", "got /e", "early /c", "took /c"],
        ),
        case(
            "two lengths",
            in_order("GET /l HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n"),
            &["got /a", "early /l", "early /c", "took /l", "took /c"],
        ),
    ];
    for Case { name, reads, events } in cases {
        let mut reader = Reader {
            tracker: MessageTracker::new(),
            head: Vec::new(),
            body_left: 0,
            in_progress: false,
            events: Vec::new(),
        };
        for read in &reads {
            reader.on_socket_read(read.as_bytes());
        }
        for _ in 0..reads.len() + 3 {
            reader.respond();
        }
        assert_eq!(reader.events, events, "{name}");
    }
}

/// A request that hyper would handle in another way must not start early.
#[test]
fn only_plain_heads_start_early() {
    struct Case {
        name: &'static str,
        head: String,
        starts: bool,
    }
    let case = |name, head: &str, starts| Case { name, head: head.to_owned(), starts };
    let many = "X-Field: 1\r\n".repeat(101);
    let cases = [
        case("GET", "GET /a HTTP/1.1\r\nHost: a\r\n\r\n", true),
        case("HEAD", "HEAD /a HTTP/1.1\r\nHost: a\r\n\r\n", true),
        case("an absolute target", "GET http://a/b HTTP/1.1\r\nHost: a\r\n\r\n", true),
        case("keep-alive", "GET / HTTP/1.1\r\nConnection: keep-alive\r\n\r\n", true),
        case("an empty body", "PUT / HTTP/1.1\r\nContent-Length: 0\r\n\r\n", true),
        case("a body", "PUT / HTTP/1.1\r\nContent-Length: 1\r\n\r\n", false),
        case("a signed length", "PUT / HTTP/1.1\r\nContent-Length: +0\r\n\r\n", false),
        case("chunks", "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", false),
        case("close", "GET / HTTP/1.1\r\nConnection: close\r\n\r\n", false),
        case("an upgrade", "GET / HTTP/1.1\r\nUpgrade: h2c\r\n\r\n", false),
        case("CONNECT", "CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n", false),
        case("HTTP/1.0", "GET / HTTP/1.0\r\n\r\n", false),
        case("no request", "not a request\r\n\r\n", false),
        case("bare line feeds", "GET / HTTP/1.1\nHost: a\n\n", true),
        case("two requests", "GET / HTTP/1.1\n\nGET / HTTP/1.1\r\n\r\n", false),
        case("no version", "GET /\r\n\r\n", false),
        case("a bad name", "GET / HTTP/1.1\r\nX Y: 1\r\n\r\n", false),
        case("a bad value", "GET / HTTP/1.1\r\nX: \0\r\n\r\n", false),
        case("too many fields", &format!("GET / HTTP/1.1\r\n{many}\r\n"), false),
        case("no end", "GET / HTTP/1.1\r\nHost: a\r\n", false),
        case("bytes behind", "GET / HTTP/1.1\r\n\r\nG", false),
        case("empty lines only", "\r\n\r\n", false),
    ];
    for Case { name, head, starts } in cases {
        let start = parse_head(head.as_bytes()).map(|parts| decide(&parts));
        assert_eq!(start == Some(EarlyStart::Now), starts, "{name}");
    }
}
