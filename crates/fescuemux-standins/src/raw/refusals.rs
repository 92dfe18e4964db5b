//! Answers whose status says that the request has not run. Clients trust that status and send the
//! request again, whatever its method.

use super::AnswerEnd::{self, Close, KeepOpen};
use super::RawAnswer;

/// Status codes that promise that the request has not run and never will.
const REFUSAL_CODES: [&str; 4] = ["408", "421", "429", "503"];

/// Returns an answer with each of these status codes and with `lines`, header lines with their line
/// ends. The name of an answer is its code.
pub fn refusals(lines: &str) -> Vec<RawAnswer> {
    let rest = format!(" X\r\n{lines}Content-Length: 4\r\n\r\nabcd");
    let answer = |code| RawAnswer::new(code, format!("HTTP/1.1 {code}{rest}"), KeepOpen);
    REFUSAL_CODES.map(answer).to_vec()
}

/// Returns refusals in various forms, none with a statement that the request has not run.
pub fn unproved_refusals() -> Vec<RawAnswer> {
    let answer = |name, status: &str, rest: &str, end: AnswerEnd| {
        RawAnswer::new(name, format!("HTTP/1.1 {status} X\r\n{{proof}}{rest}"), end)
    };
    let body = "Content-Length: 4\r\n\r\nabcd";
    let early = |name, status| RawAnswer { before_body: true, ..answer(name, status, body, Close) };
    let forms = vec![
        answer("503 without a body", "503", "Content-Length: 0\r\n\r\n", KeepOpen),
        answer("503 with Retry-After", "503", &format!("Retry-After: 0.1\r\n{body}"), KeepOpen),
        answer("503 in chunks", "503", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", KeepOpen),
        answer("503 without a length", "503", "\r\nabcd", Close),
        answer("503 that is cut", "503", "Content-Length: 9\r\n\r\nabcd", Close),
        early("503 before the body is read", "503"),
        early("429 before the body is read", "429"),
    ];
    [refusals("{proof}"), forms].concat()
}
