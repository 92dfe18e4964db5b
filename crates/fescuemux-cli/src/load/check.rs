//! Compares the answer of a stand-in server with the request.

use super::expected::Expected;
use super::outcome::Check;
use fescuemux_standins::server::{STAND_IN_HEADER, TAG_HEADER, content_seed, response_byte};
use http::response::Parts;
use http::{Method, StatusCode};

/// Largest echo body, in bytes. An echo holds the path, which is at most a head of 16 KiB.
const MAX_ECHO_BYTES: usize = 64 * 1024;

/// Compares an answer with its request while the body arrives.
#[derive(Debug)]
pub(crate) enum AnswerCheck {
    /// The answer does not come from a stand-in server, or is an error.
    Impossible,
    /// Only the head carries an echo.
    Head(Check),
    /// The body is a JSON echo.
    Echo { expected: Expected, body: Vec<u8> },
    /// The body is generated content of a known size.
    Sized { seed: u64, size: u64, received: u64, wrong_at: Option<u64> },
}

impl AnswerCheck {
    /// Chooses the check by the head of the answer.
    pub(crate) fn new(
        parts: &Parts,
        expected: &Expected,
        answer_bytes: Option<u64>,
    ) -> AnswerCheck {
        if parts.status != StatusCode::OK || !parts.headers.contains_key(STAND_IN_HEADER) {
            return AnswerCheck::Impossible;
        }
        let tag = parts.headers.get(TAG_HEADER).map(|tag| tag.as_bytes());
        if tag != Some(expected.tag.as_bytes()) {
            return AnswerCheck::Head(Check::Failed(format!(
                "request {} got the tag {:?}",
                expected.tag,
                tag.map(String::from_utf8_lossy)
            )));
        }
        if expected.method == Method::HEAD.as_str() {
            return AnswerCheck::Head(Check::Passed);
        }
        match answer_bytes {
            None => AnswerCheck::Echo { expected: expected.clone(), body: Vec::new() },
            Some(size) => {
                let seed = content_seed(&expected.tag);
                AnswerCheck::Sized { seed, size, received: 0, wrong_at: None }
            }
        }
    }

    /// Takes the next piece of the body.
    pub(crate) fn piece(&mut self, data: &[u8]) {
        match self {
            AnswerCheck::Impossible | AnswerCheck::Head(_) => {}
            AnswerCheck::Echo { body, .. } => {
                let room = MAX_ECHO_BYTES.saturating_sub(body.len());
                body.extend_from_slice(&data[..data.len().min(room)]);
            }
            AnswerCheck::Sized { seed, received, wrong_at, .. } => {
                let wrong =
                    (*received..).zip(data).find(|(i, byte)| response_byte(*seed, *i) != **byte);
                *wrong_at = wrong_at.or(wrong.map(|(index, _)| index));
                *received += data.len() as u64;
            }
        }
    }

    /// Returns the result after the whole body.
    pub(crate) fn finish(self) -> Check {
        match self {
            AnswerCheck::Impossible => Check::Impossible,
            AnswerCheck::Head(check) => check,
            AnswerCheck::Echo { expected, body } => match serde_json::from_slice::<Expected>(&body)
            {
                Ok(echo) if echo == expected => Check::Passed,
                Ok(echo) => Check::Failed(format!("expected {expected:?}, got {echo:?}")),
                Err(error) => Check::Failed(format!("request {}: {error}", expected.tag)),
            },
            AnswerCheck::Sized { wrong_at: Some(index), .. } => {
                Check::Failed(format!("the answer differs at byte {index}"))
            }
            AnswerCheck::Sized { size, received, .. } if size != received => {
                Check::Failed(format!("expected {size} bytes, got {received}"))
            }
            AnswerCheck::Sized { .. } => Check::Passed,
        }
    }
}
