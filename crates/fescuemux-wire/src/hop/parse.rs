//! Reading of single headers.

use http::HeaderMap;
use std::str::FromStr;
use thiserror::Error;

/// A hop header that is missing, repeated or malformed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum HopError {
    /// The header is missing or stands more than once.
    #[error("header `{0}` must stand exactly once")]
    MissingOrRepeated(&'static str),
    /// The header's value cannot be read.
    #[error("header `{0}` is malformed")]
    Malformed(&'static str),
    /// The tag is wrong or the request is too old.
    #[error("the message is not authentic")]
    NotAuthentic,
}

pub(super) fn one<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<&'a str, HopError> {
    optional(headers, name)?.ok_or(HopError::MissingOrRepeated(name))
}

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

pub(super) fn number<T: FromStr>(headers: &HeaderMap, name: &'static str) -> Result<T, HopError> {
    one(headers, name)?.parse().map_err(|_| HopError::Malformed(name))
}

/// Reads `N` numbers separated by commas.
pub(super) fn numbers<const N: usize>(text: &str) -> Option<[u64; N]> {
    let mut values = [0; N];
    let mut fields = text.split(',');
    for value in &mut values {
        *value = fields.next()?.parse().ok()?;
    }
    fields.next().is_none().then_some(values)
}
