//! Response helpers.

use rouille::Response;
use serde::Serialize;

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Returns a JSON response.
pub(super) fn json(value: &impl Serialize) -> Response {
    Response::json(value)
}

/// Returns an error response with a text that tells the operator what to do.
pub(super) fn error(status: u16, text: &str) -> Response {
    Response::json(&ErrorBody { error: text }).with_status_code(status)
}
