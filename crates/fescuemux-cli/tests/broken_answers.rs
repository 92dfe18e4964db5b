//! Answers to operator commands that are broken.

use fescuemux_standins::raw::{AnswerEnd, RawAnswer, RawServer, broken};
use std::process::Command;

/// Runs a command against a server, and returns its exit code and what it printed.
fn run(server: &RawServer, arguments: &str) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_fescuemux"))
        .args(arguments.split_whitespace())
        .args(["--addr", &server.addr().to_string(), "--token", "t"])
        .output()
        .expect("the command runs");
    (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
}

/// Replaces all occurrences of a text by one of the same length.
fn replace<const N: usize>(bytes: &mut [u8], from: &[u8; N], to: &[u8; N]) {
    for at in 0..=bytes.len().saturating_sub(N) {
        if bytes[at..].starts_with(from) {
            bytes[at..at + N].copy_from_slice(to);
        }
    }
}

/// An operator must not read a result from an answer that is broken, such as that all daemons have
/// the newest configuration.
#[test]
fn a_broken_answer_fails_the_command() {
    let server = RawServer::start("/v1/").expect("a server");
    let no_json = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{\"a\"";
    let no_json = RawAnswer::new("a body that is no JSON", no_json, AnswerEnd::Close);
    let mut failures = Vec::new();
    for mut answer in broken::all().into_iter().chain([no_json]) {
        // The body is JSON for a client that takes the answer for complete.
        replace(&mut answer.bytes, b"abcdef", b"123456");
        replace(&mut answer.bytes, b"abcd", b"1234");
        // No command waits for the end of its time.
        if answer.end == AnswerEnd::KeepOpen {
            answer.end = AnswerEnd::Close;
        }
        server.set_answer(answer.clone());
        for arguments in ["status", "dump", "log-level info"] {
            let (code, printed) = run(&server, arguments);
            if code == Some(0) || !printed.is_empty() {
                failures.push(format!("{} to {arguments}: {code:?} {printed:?}", answer.name));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
