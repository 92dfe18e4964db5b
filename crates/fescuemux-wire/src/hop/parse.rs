//! Parsing of individual headers.

use http::HeaderMap;
use std::str::FromStr;
use thiserror::Error;

/// Error in the headers of a hop request or response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HopError {
    /// A required header is missing, or a header occurs more than once.
    #[error("header `{0}` must stand exactly once")]
    MissingOrRepeated(&'static str),
    /// The value of the header is malformed.
    #[error("header `{0}` is malformed")]
    Malformed(&'static str),
    /// The tag is wrong or malformed, or the send time of the request is malformed or differs too
    /// much from the local time.
    #[error("the message is not authentic")]
    NotAuthentic,
}

/// Returns the value of a header that must occur exactly once.
pub(super) fn required<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<&'a str, HopError> {
    optional(headers, name)?.ok_or(HopError::MissingOrRepeated(name))
}

/// Returns the value of a header that must occur at most once.
pub(super) fn optional<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, HopError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(HopError::MissingOrRepeated(name));
    }
    value.to_str().map(Some).map_err(|_| HopError::Malformed(name))
}

pub(super) fn required_number<T: FromStr>(
    headers: &HeaderMap,
    name: &'static str,
) -> Result<T, HopError> {
    required(headers, name)?.parse().map_err(|_| HopError::Malformed(name))
}

/// Parses exactly `N` numbers separated by commas.
pub(super) fn parse_numbers<const N: usize>(text: &str) -> Option<[u64; N]> {
    let mut values = [0; N];
    let mut fields = text.split(',');
    for value in &mut values {
        *value = fields.next()?.parse().ok()?;
    }
    fields.next().is_none().then_some(values)
}
