//! Answers that are broken: the status line, a field line, or the length or coding of the body is
//! spoilt, or the answer ends early. Each would carry a success, or the bytes of another answer, to
//! a client that guesses at what it cannot understand.

use super::{AnswerEnd, RawAnswer};
use AnswerEnd::{Close, KeepOpen, Reset};

/// Head of a success with the proof, up to further field lines.
const OK: &[u8] = b"HTTP/1.1 200 OK\r\n{proof}";

/// Returns all broken answers.
pub fn all() -> Vec<RawAnswer> {
    [status_lines(), field_lines(), lengths(), codings(), chunks(), early_ends()].concat()
}

/// Returns answers whose status line is spoilt.
pub fn status_lines() -> Vec<RawAnswer> {
    let answer = |name, line: &[u8]| {
        let rest = b"\r\n{proof}Content-Length: 4\r\n\r\nabcd";
        RawAnswer::new(name, [line, rest].concat(), KeepOpen)
    };
    // The body is a whole answer.
    let nested = |name, line: &[u8]| {
        let rest = b"\r\n{proof}Content-Length: 99\r\n\r\n";
        let body = b"Content-Length: 4\r\n\r\nabcd";
        RawAnswer::new(name, [line, rest, OK, body].concat(), KeepOpen)
    };
    let followed = |name, line: &[u8]| {
        let answer = b"Content-Length: 4\r\n\r\nabcd";
        RawAnswer::new(name, [line, b"\r\n{proof}\r\n", OK, answer].concat(), KeepOpen)
    };
    let no_body =
        |name, line: &[u8], end| RawAnswer::new(name, [line, b"\r\n{proof}\r\n"].concat(), end);
    vec![
        answer("status 000", b"HTTP/1.1 000 OK"),
        followed("an answer after status 000", b"HTTP/1.1 000 OK"),
        followed("an answer after status 099", b"HTTP/1.1 099 OK"),
        followed("an answer after a switch of protocols", b"HTTP/1.1 101 OK"),
        no_body("status 000 without a body", b"HTTP/1.1 000 OK", Close),
        nested("an answer in the body of status 000", b"HTTP/1.1 000 OK"),
        nested("an answer in the body of status 099", b"HTTP/1.1 099 OK"),
        no_body("a switch of protocols", b"HTTP/1.1 101 OK", KeepOpen),
        nested("an answer in the body of a switch of protocols", b"HTTP/1.1 101 OK"),
        no_body("only an interim answer", b"HTTP/1.1 100 OK", Close),
        nested("an answer in the body of status 100", b"HTTP/1.1 100 OK"),
        nested("an answer in the body of status 103", b"HTTP/1.1 103 OK"),
        answer("status 600", b"HTTP/1.1 600 OK"),
        answer("status 999", b"HTTP/1.1 999 OK"),
        answer("two digits", b"HTTP/1.1 20 OK"),
        answer("four digits", b"HTTP/1.1 2000 OK"),
        answer("a letter in the status", b"HTTP/1.1 2O0 OK"),
        answer("a sign before the status", b"HTTP/1.1 +200 OK"),
        answer("two blanks before the status", b"HTTP/1.1  200 OK"),
        answer("no status", b"HTTP/1.1 OK"),
        answer("HTTP/2.0", b"HTTP/2.0 200 OK"),
        answer("HTTP/1.10", b"HTTP/1.10 200 OK"),
        answer("no minor version", b"HTTP/1 200 OK"),
        answer("another protocol", b"ICY 200 OK"),
        answer("the protocol in lower case", b"http/1.1 200 OK"),
        answer("a blank before the status line", b" HTTP/1.1 200 OK"),
        answer("bytes before the status line", b"\0\x01HTTP/1.1 200 OK"),
        answer("a control byte in the reason", b"HTTP/1.1 200 O\x01K"),
        answer("a carriage return in the reason", b"HTTP/1.1 200 O\rK"),
    ]
}

/// Returns answers in whose head a line is no field.
pub fn field_lines() -> Vec<RawAnswer> {
    // The line comes before the length of the body.
    let line = |name, line: &[u8]| {
        let rest = b"\r\nContent-Length: 4\r\n\r\nabcd";
        RawAnswer::new(name, [OK, line, rest].concat(), KeepOpen)
    };
    // The line should tell the length of the body.
    let framing = |name, line: &[u8], body: &[u8]| {
        RawAnswer::new(name, [OK, line, b"\r\n\r\n", body].concat(), Close)
    };
    let chunks = b"4\r\nabcd\r\n0\r\n\r\n";
    vec![
        line("a line without a colon", b"no field"),
        line("a line of bytes", b"\xff\0\xfe"),
        line("an empty name", b": x"),
        line("a blank in a name", b"X Tag: x"),
        line("a blank after a name", b"X-Tag : x"),
        line("a tab after a name", b"X-Tag\t: x"),
        line("a control byte in a name", b"X-\x01Tag: x"),
        line("NUL in a name", b"X-\0Tag: x"),
        line("DEL in a name", b"X-\x7fTag: x"),
        line("a carriage return in a name", b"X-\rTag: x"),
        line("a name that is not ASCII", b"X-\xc3\xa4: x"),
        line("a separator in a name", b"X(Tag): x"),
        line("a folded line", b"X-Tag: x\r\n y"),
        line("NUL in a value", b"X-Tag: a\0b"),
        line("a control byte in a value", b"X-Tag: a\x01b"),
        line("DEL in a value", b"X-Tag: a\x7fb"),
        line("a carriage return in a value", b"X-Tag: a\rb"),
        framing("a blank in the name of the length", b"Content Length: 4", b"abcdef"),
        framing("a blank after the name of the length", b"Content-Length : 4", b"abcdef"),
        framing("a blank before the name of the length", b" Content-Length: 4", b"abcdef"),
        framing("a control byte in the name of the length", b"Content-\x0bLength: 4", b"abcdef"),
        framing("no colon after the name of the length", b"Content-Length 4", b"abcdef"),
        framing("a blank in the name of the coding", b"Transfer Encoding: chunked", chunks),
        framing("a blank after the name of the coding", b"Transfer-Encoding : chunked", chunks),
        framing(
            "a control byte in the name of the coding",
            b"Trans\x02fer-Encoding: chunked",
            chunks,
        ),
    ]
}

/// Returns answers whose length is spoilt.
pub fn lengths() -> Vec<RawAnswer> {
    let length = |name, value: &[u8]| {
        RawAnswer::new(name, [OK, b"Content-Length: ", value, b"\r\n\r\nabcdef"].concat(), Close)
    };
    let lines = |name, lines: &[u8]| {
        RawAnswer::new(name, [OK, lines, b"\r\n\r\nabcdef"].concat(), KeepOpen)
    };
    let no_content = |name, line: &[u8]| {
        let start = b"HTTP/1.1 204 OK\r\n{proof}";
        RawAnswer::new(name, [start, line, b"\r\n\r\nabcd"].concat(), KeepOpen)
    };
    vec![
        length("an empty length", b""),
        length("a length in letters", b"four"),
        length("a letter after the length", b"4x"),
        length("a plus before the length", b"+4"),
        length("a minus before the length", b"-4"),
        length("a hexadecimal length", b"0x4"),
        length("a length with a fraction", b"4.0"),
        length("a blank in the length", b"4 4"),
        length("a list of lengths", b"4, 6"),
        length("a length over 64 bits", b"18446744073709551620"),
        length("a byte over ASCII before the length", b"\xff4"),
        length("a byte over ASCII after the length", b"4\xb2"),
        length("a no-break space after the length", b"4\xc2\xa0"),
        lines("two lengths", b"Content-Length: 4\r\nContent-Length: 6"),
        lines("a length after an unreadable one", b"Content-Length: \xff\r\nContent-Length: 4"),
        lines("an unreadable length after another", b"Content-Length: 4\r\nContent-Length: x"),
        lines("a length and chunks", b"Content-Length: 4\r\nTransfer-Encoding: chunked"),
        no_content("no content with an unreadable length", b"Content-Length: x"),
        no_content("no content with a length", b"Content-Length: 4"),
        no_content("no content with chunks", b"Transfer-Encoding: chunked"),
    ]
}

/// Returns answers whose coding is spoilt.
pub fn codings() -> Vec<RawAnswer> {
    let coding = |name, lines: &[u8]| {
        RawAnswer::new(name, [OK, lines, b"\r\n\r\n4\r\nabcd\r\n0\r\n\r\n"].concat(), Close)
    };
    vec![
        coding("an empty coding", b"Transfer-Encoding:"),
        coding("a misspelt coding", b"Transfer-Encoding: chunke"),
        coding(
            "a misspelt coding beside a length",
            b"Transfer-Encoding: chunke\r\nContent-Length: 4",
        ),
        coding("an unknown coding", b"Transfer-Encoding: gzip"),
        coding("an unknown coding, then chunks", b"Transfer-Encoding: gzip, chunked"),
        coding("chunks, then an unknown coding", b"Transfer-Encoding: chunked, gzip"),
        coding(
            "chunks, then a line of an unknown coding",
            b"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
        ),
        coding(
            "a line of an unknown coding, then chunks",
            b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
        ),
        coding("chunks twice", b"Transfer-Encoding: chunked, chunked"),
        coding("two lines of chunks", b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"),
        coding("the identity coding", b"Transfer-Encoding: identity"),
        coding("a parameter of the coding", b"Transfer-Encoding: chunked;q=1"),
        coding("a byte over ASCII before the coding", b"Transfer-Encoding: \xffchunked"),
        coding(
            "a byte over ASCII in the coding beside a length",
            b"Transfer-Encoding: chunked\xff\r\nContent-Length: 4",
        ),
        coding("a no-break space after the coding", b"Transfer-Encoding: chunked\xc2\xa0"),
        RawAnswer::new(
            "chunks in HTTP/1.0",
            b"HTTP/1.0 200 OK\r\n{proof}Transfer-Encoding: chunked\r\n\r\n\
                     4\r\nabcd\r\n0\r\n\r\n"
                .to_vec(),
            Close,
        ),
    ]
}

/// Returns answers whose chunks or trailers are spoilt.
pub fn chunks() -> Vec<RawAnswer> {
    let body = |name, body: &[u8]| {
        RawAnswer::new(name, [OK, b"Transfer-Encoding: chunked\r\n\r\n", body].concat(), Close)
    };
    let size = |name, size: &[u8]| body(name, &[size, b"\r\nabcd\r\n0\r\n\r\n"].concat());
    let trailer =
        |name, line: &[u8]| body(name, &[b"4\r\nabcd\r\n0\r\n", line, b"\r\n\r\n"].concat());
    vec![
        size("a chunk size in letters", b"xy"),
        size("an empty chunk size", b""),
        size("a plus before a chunk size", b"+4"),
        size("a minus before a chunk size", b"-4"),
        size("a prefix before a chunk size", b"0x4"),
        size("a blank before a chunk size", b" 4"),
        size("a no-break space after a chunk size", b"4\xc2\xa0"),
        size("a chunk size over 64 bits", b"10000000000000004"),
        size("a control byte in a chunk extension", b"4;\0"),
        size("a line feed in a chunk extension", b"4;\nx"),
        size("a chunk longer than its size", b"3"),
        size("a chunk shorter than its size", b"5"),
        body("a chunk size that ends in a line feed", b"4\nabcd\r\n0\r\n\r\n"),
        body("a chunk that ends in a line feed", b"4\r\nabcd\n0\r\n\r\n"),
        trailer("a trailer without a colon", b"no field"),
        trailer("a blank in the name of a trailer", b"X Tag: x"),
        trailer("a control byte in the name of a trailer", b"X-\x01Tag: x"),
        trailer("a control byte in a trailer", b"X-Tag: \x01"),
        trailer("an answer in place of trailers", b"HTTP/1.1 200 OK\r\nContent-Length: 0"),
    ]
}

/// Returns answers that end early.
pub fn early_ends() -> Vec<RawAnswer> {
    let after_ok = |name, rest: &[u8], end| RawAnswer::new(name, [OK, rest].concat(), end);
    let chunked = |name, body: &[u8], end| {
        after_ok(name, &[b"Transfer-Encoding: chunked\r\n\r\n", body].concat(), end)
    };
    vec![
        RawAnswer::new("no answer", Vec::new(), Close),
        RawAnswer::new("a reset in place of an answer", Vec::new(), Reset),
        RawAnswer::new("an end in the status line", b"HTTP/1.1 20".to_vec(), Close),
        after_ok("an end after a field line", b"", Close),
        after_ok("an end in a field line", b"Content-Le", Close),
        after_ok("an end before the empty line", b"Content-Length: 0\r\n", Close),
        after_ok("an end in the empty line", b"Content-Length: 0\r\n\r", Close),
        after_ok("an end before the body", b"Content-Length: 4\r\n\r\n", Close),
        after_ok("an end in the body", b"Content-Length: 4\r\n\r\nabc", Close),
        after_ok("a reset in the body", b"Content-Length: 4\r\n\r\nabc", Reset),
        chunked("an end before the first chunk", b"", Close),
        chunked("an end in a chunk size", b"4\r\nabcd\r\n1", Close),
        chunked("an end in a chunk", b"4\r\nabc", Close),
        chunked("an end after a chunk", b"4\r\nabcd\r\n", Close),
        chunked("an end in the last chunk size", b"4\r\nabcd\r\n0", Close),
        chunked("an end after the last chunk size", b"4\r\nabcd\r\n0\r\n", Close),
        chunked("an end in the trailers", b"4\r\nabcd\r\n0\r\nX: y\r\n", Close),
        chunked("a reset after a chunk", b"4\r\nabcd\r\n", Reset),
        after_ok("a reset in a body without a length", b"\r\nabcd", Reset),
        after_ok("a reset before a body without a length", b"\r\n", Reset),
    ]
}

/// Returns answers to an upload that come before its body was read, have no length and are reset.
pub fn early_resets() -> Vec<RawAnswer> {
    // A longer part of an answer is passed on before its end is known.
    [("no part", 0), ("a short part", 7), ("a long part", 400 << 10)]
        .map(|(name, part_len)| {
            let bytes = [OK, b"\r\n", &vec![b'a'; part_len][..]].concat();
            RawAnswer::early(name, bytes, Reset)
        })
        .to_vec()
}
