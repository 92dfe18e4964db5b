//! Property tests of the decoder of responses.

use bytes::BytesMut;
use fescuemux_http::{Part, RequestMethod, ResponseDecoder, StreamEnd};
use proptest::prelude::*;

/// Responses with a body of `abcdefgh`.
const WITH_TOLD_END: [&[u8]; 3] = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nabcdefgh",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\nabc\r\n5\r\ndefgh\r\n0\r\nA: b\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nabcdefgh",
];
const UNTIL_CLOSE: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nabcdefgh";

/// Decodes pieces that arrive one by one before the stream ends. Returns the body if the response
/// is complete.
fn decode<'a>(pieces: impl IntoIterator<Item = &'a [u8]>, end: StreamEnd) -> Option<Vec<u8>> {
    let mut decoder = ResponseDecoder::new(RequestMethod::Other);
    let (mut input, mut body) = (BytesMut::new(), Vec::new());
    let mut pieces = pieces.into_iter();
    loop {
        let Some(decoded) = decoder.decode(&input).ok()? else {
            match pieces.next() {
                Some(piece) => input.extend_from_slice(piece),
                None => decoder.on_stream_end(&input, end).ok()?,
            }
            continue;
        };
        let bytes = input.split_to(decoded.len);
        match decoded.part {
            Part::Skipped | Part::Head(_) => {}
            Part::Body => body.extend_from_slice(&bytes),
            Part::End => return Some(body),
        }
    }
}

/// A response whose end is told must not be complete before that end, whatever the stream does.
#[test]
fn a_part_of_a_response_is_not_complete() {
    for response in WITH_TOLD_END {
        for end in [StreamEnd::Clean, StreamEnd::Failed] {
            for len in 0..response.len() {
                assert_eq!(decode([&response[..len]], end), None, "{len} of {response:?}");
            }
            assert_eq!(decode([response], end).as_deref(), Some(&b"abcdefgh"[..]));
        }
    }
}

/// Only a clean end completes a response without a length.
#[test]
fn a_response_without_a_length_ends_with_a_clean_stream() {
    let body = &b"abcdefgh"[..];
    assert_eq!(decode([UNTIL_CLOSE], StreamEnd::Clean).as_deref(), Some(body));
    assert_eq!(decode([UNTIL_CLOSE], StreamEnd::Failed), None);
}

/// The response to `HEAD` is complete with its head, whose length is that of another body.
#[test]
fn a_response_to_head_has_no_body() {
    let mut decoder = ResponseDecoder::new(RequestMethod::Head);
    let head = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n";
    let decoded = decoder.decode(head).expect("a valid head").expect("a complete head");
    assert!(matches!(decoded.part, Part::Head(_)) && decoded.len == head.len(), "{decoded:?}");
    let decoded = decoder.decode(b"").expect("a valid response").expect("a complete response");
    assert!(matches!(decoded.part, Part::End), "{decoded:?}");
}

proptest! {
    /// Where the network splits a response must not matter.
    #[test]
    fn any_pieces_give_the_same_response(
        response in prop::sample::select(&WITH_TOLD_END[..]),
        cuts in prop::collection::vec(0..90usize, 0..8),
    ) {
        let mut cuts: Vec<_> = cuts.into_iter().map(|cut| cut.min(response.len())).collect();
        cuts.sort_unstable();
        let starts = std::iter::once(0).chain(cuts.iter().copied());
        let ends = cuts.iter().copied().chain([response.len()]);
        let pieces = starts.zip(ends).map(|(start, end)| &response[start..end]);
        prop_assert_eq!(decode(pieces, StreamEnd::Failed), Some(b"abcdefgh".to_vec()));
    }

    /// Bytes that a server in trouble sends must not end the process.
    #[test]
    fn arbitrary_bytes_do_not_panic(
        head in prop::sample::select(&["", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"][..]),
        bytes in prop::collection::vec(prop_oneof![any::<u8>(), Just(b'\r'), Just(b'\n'), Just(b'0')], 0..200),
    ) {
        let pieces = [head.as_bytes(), &bytes];
        let _ = decode(pieces, StreamEnd::Clean);
    }
}
