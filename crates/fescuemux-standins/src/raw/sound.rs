//! Answers that are unusual and sound.

use super::AnswerEnd::{Close, CloseAfterRequest, CloseAndReadOn, KeepOpen};
use super::RawAnswer;

/// Body of each sound answer.
pub const SOUND_BODY: &str = "abcd";

/// Returns unusual answers that a client must take for complete, with the body [`SOUND_BODY`].
pub fn sound_answers() -> Vec<RawAnswer> {
    let status = |name, line: &[u8], end| {
        let rest = b"\r\n{proof}Content-Length: 4\r\n\r\nabcd";
        RawAnswer::new(name, [line, rest].concat(), end)
    };
    let after_ok = |name, rest: &[u8], end| {
        RawAnswer::new(name, [b"HTTP/1.1 200 OK\r\n{proof}", rest].concat(), end)
    };
    let fields = |name, lines: &[u8], end| after_ok(name, &[lines, b"\r\n\r\nabcd"].concat(), end);
    let chunked = |name, body: &[u8]| {
        after_ok(name, &[b"Transfer-Encoding: Chunked\r\n\r\n", body].concat(), KeepOpen)
    };
    vec![
        status("no reason", b"HTTP/1.1 200", KeepOpen),
        status("an empty reason", b"HTTP/1.1 200 ", KeepOpen),
        status("a reason that is not ASCII", b"HTTP/1.1 200 \xc3\x84h", KeepOpen),
        status("status 299", b"HTTP/1.1 299 OK", KeepOpen),
        status("HTTP/1.0 with a length", b"HTTP/1.0 200 OK", Close),
        status(
            "interim answers",
            b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\n\
              HTTP/1.1 199 X\r\n\r\nHTTP/1.1 200 OK",
            KeepOpen,
        ),
        fields("a name in other cases", b"cONTENT-lENGTH: 4", KeepOpen),
        fields("blanks around the length", b"Content-Length: \t 4 \t", KeepOpen),
        fields("no blank before the length", b"Content-Length:4", KeepOpen),
        fields("zeros before the length", b"Content-Length: 0004", KeepOpen),
        fields("an empty value", b"X-Tag:\r\nContent-Length: 4", KeepOpen),
        fields("a value that is not ASCII", b"X-Tag: \xff\xc3\xa4\r\nContent-Length: 4", KeepOpen),
        fields("an unusual name", b"!#$%&'*+-.^_`|~9a: x\r\nContent-Length: 4", KeepOpen),
        fields("connection options", b"Connection: x, close\r\nContent-Length: 4", Close),
        fields("a length, closed", b"Content-Length: 4", Close),
        fields("a length, half closed", b"Content-Length: 4", CloseAndReadOn),
        chunked("a chunk extension", b"4;x=\"y\"\r\nabcd\r\n0\r\n\r\n"),
        chunked("a blank before a chunk extension", b"4 ; x\r\nabcd\r\n0\r\n\r\n"),
        chunked("zeros before a chunk size", b"0002\r\nab\r\n2\r\ncd\r\n00\r\n\r\n"),
        chunked("trailers", b"4\r\nabcd\r\n0\r\nX-Tag: \xff\r\nX: y\r\n\r\n"),
        after_ok("no length, closed", b"\r\nabcd", Close),
        after_ok("no length, half closed", b"Connection: close\r\n\r\nabcd", CloseAndReadOn),
        RawAnswer::new(
            "HTTP/1.0 without a length",
            b"HTTP/1.0 200 OK\r\n{proof}\r\nabcd".to_vec(),
            Close,
        ),
    ]
}

/// Returns answers to an upload that come before its body was read, each with the length of its
/// body.
pub fn early_answers() -> Vec<(RawAnswer, usize)> {
    const LONG: usize = 400 << 10;
    let without_length = |name, body_len: usize, end| {
        let head = b"HTTP/1.1 200 OK\r\n{proof}\r\n";
        (RawAnswer::early(name, [&head[..], &vec![b'a'; body_len]].concat(), end), body_len)
    };
    let with_length = |name, end| {
        let bytes = b"HTTP/1.1 200 OK\r\n{proof}Content-Length: 4\r\n\r\naaaa";
        (RawAnswer::early(name, bytes, end), 4)
    };
    vec![
        with_length("a length, kept open", KeepOpen),
        with_length("a length, closed after the upload", CloseAfterRequest),
        without_length("closed, not read on", 4, Close),
        without_length("half closed", 4, CloseAndReadOn),
        without_length("long and half closed", LONG, CloseAndReadOn),
        without_length("closed after the upload", 4, CloseAfterRequest),
        without_length("long and closed after the upload", LONG, CloseAfterRequest),
    ]
}
