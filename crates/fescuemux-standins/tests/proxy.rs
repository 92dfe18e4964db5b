//! The proxy must end connections as its target does: a test of broken answers would otherwise see
//! a sound one.

use fescuemux_standins::platform::FaultProxy;
use fescuemux_standins::raw::{AnswerEnd, RawAnswer, RawServer};
use std::io::{Read, Write};
use std::net::TcpStream;

#[test]
fn a_reset_passes_the_proxy() {
    struct Case {
        end: AnswerEnd,
        is_clean: bool,
    }
    let cases = [
        Case { end: AnswerEnd::Close, is_clean: true },
        Case { end: AnswerEnd::Reset, is_clean: false },
    ];
    let server = RawServer::start("/").expect("a server");
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let proxy = FaultProxy::start(any_port, server.addr()).expect("a proxy");
    for Case { end, is_clean } in cases {
        server.set_answer(RawAnswer::new("part", b"HTTP/1.1 200 OK\r\n\r\nabcd", end));
        let mut stream = TcpStream::connect(proxy.addr()).expect("the proxy accepts");
        stream.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("the proxy reads");
        let mut received = Vec::new();
        let read = stream.read_to_end(&mut received);
        assert!(received.ends_with(b"abcd"), "{end:?}: {received:?}");
        assert_eq!(read.is_ok(), is_clean, "{end:?}: {read:?}");
    }
}
