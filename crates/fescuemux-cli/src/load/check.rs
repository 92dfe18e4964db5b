//! Check that the response of a stand-in server belongs to the request.

use super::expected::Expected;
use super::outcome::CheckResult;
use fescuemux_standins::server::{STAND_IN_HEADER, TAG_HEADER, content_seed, response_byte};
use http::response::Parts;
use http::{Method, StatusCode};

/// Maximum size of an echo body, in bytes. An echo contains the path, which fits in an HTTP
/// head of 16 KiB.
const MAX_ECHO_BYTES: usize = 64 * 1024;

/// Incremental check of a response against its request, while the body arrives.
#[derive(Debug)]
pub(crate) enum ResponseCheck {
    /// The response is an error or does not come from a stand-in server.
    NotCheckable,
    /// The result is known from the response head.
    Head(CheckResult),
    /// The body is a JSON echo of the request.
    Echo { expected: Expected, body: Vec<u8> },
    /// The body is generated from a seed and has a known size.
    Generated { seed: u64, size: u64, received: u64, first_difference: Option<u64> },
}

impl ResponseCheck {
    /// Selects the check according to the response head.
    pub(crate) fn new(
        parts: &Parts,
        expected: &Expected,
        answer_bytes: Option<u64>,
    ) -> ResponseCheck {
        if parts.status != StatusCode::OK || !parts.headers.contains_key(STAND_IN_HEADER) {
            return ResponseCheck::NotCheckable;
        }
        let tag = parts.headers.get(TAG_HEADER).map(|tag| tag.as_bytes());
        if tag != Some(expected.tag.as_bytes()) {
            return ResponseCheck::Head(CheckResult::Failed(format!(
                "request {} got the tag {:?}",
                expected.tag,
                tag.map(String::from_utf8_lossy)
            )));
        }
        if expected.method == Method::HEAD.as_str() {
            return ResponseCheck::Head(CheckResult::Passed);
        }
        match answer_bytes {
            None => ResponseCheck::Echo { expected: expected.clone(), body: Vec::new() },
            Some(size) => {
                let seed = content_seed(&expected.tag);
                ResponseCheck::Generated { seed, size, received: 0, first_difference: None }
            }
        }
    }

    /// Checks the next chunk of the body.
    pub(crate) fn add_chunk(&mut self, data: &[u8]) {
        match self {
            ResponseCheck::NotCheckable | ResponseCheck::Head(_) => {}
            ResponseCheck::Echo { body, .. } => {
                let remaining = MAX_ECHO_BYTES.saturating_sub(body.len());
                body.extend_from_slice(&data[..data.len().min(remaining)]);
            }
            ResponseCheck::Generated { seed, received, first_difference, .. } => {
                let difference =
                    (*received..).zip(data).find(|(i, byte)| response_byte(*seed, *i) != **byte);
                *first_difference = first_difference.or(difference.map(|(index, _)| index));
                *received += data.len() as u64;
            }
        }
    }

    /// Returns the result after the whole body arrived.
    pub(crate) fn finish(self) -> CheckResult {
        match self {
            ResponseCheck::NotCheckable => CheckResult::NotCheckable,
            ResponseCheck::Head(check) => check,
            ResponseCheck::Echo { expected, body } => {
                match serde_json::from_slice::<Expected>(&body) {
                    Ok(echo) if echo == expected => CheckResult::Passed,
                    Ok(echo) => CheckResult::Failed(format!("expected {expected:?}, got {echo:?}")),
                    Err(error) => CheckResult::Failed(format!("request {}: {error}", expected.tag)),
                }
            }
            ResponseCheck::Generated { first_difference: Some(index), .. } => {
                CheckResult::Failed(format!("the answer differs at byte {index}"))
            }
            ResponseCheck::Generated { size, received, .. } if size != received => {
                CheckResult::Failed(format!("expected {size} bytes, got {received}"))
            }
            ResponseCheck::Generated { .. } => CheckResult::Passed,
        }
    }
}
