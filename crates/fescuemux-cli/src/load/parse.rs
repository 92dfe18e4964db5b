//! Parsers of command-line values.

use http::{HeaderName, HeaderValue};
use std::time::Duration;

/// Upper limit of each duration or timeout argument.
const MAX_DURATION: Duration = Duration::from_secs(24 * 3600);
/// Maximum rate, in requests per second. A single sending thread cannot keep up with a
/// higher rate.
const MAX_RATE_PER_S: f64 = 100_000.0;
/// Minimum rate, in requests per second.
const MIN_RATE_PER_S: f64 = 0.01;

/// Parses a whole number with the unit `ms`, `s` or `m`.
pub(crate) fn duration(text: &str) -> Result<Duration, String> {
    let digits = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().map_err(|_| "expected a number such as 500ms".to_owned())?;
    let duration = match unit {
        "ms" => Duration::from_millis(number),
        "s" => Duration::from_secs(number),
        "m" => Duration::from_secs(number.saturating_mul(60)),
        _ => return Err("expected a unit: ms, s or m".to_owned()),
    };
    if duration > MAX_DURATION {
        return Err("longer than 24 hours".to_owned());
    }
    Ok(duration)
}

/// Parses a rate in requests per second.
pub(crate) fn rate(text: &str) -> Result<f64, String> {
    let rate: f64 = text.parse().map_err(|_| "expected a number".to_owned())?;
    if (MIN_RATE_PER_S..=MAX_RATE_PER_S).contains(&rate) {
        Ok(rate)
    } else {
        Err(format!("expected {MIN_RATE_PER_S} to {MAX_RATE_PER_S}"))
    }
}

/// Parses a request path with an optional query.
pub(crate) fn path(text: &str) -> Result<String, String> {
    let uri: http::Uri = text.parse().map_err(|error| format!("{error}"))?;
    if !text.starts_with('/') || uri.path().is_empty() {
        return Err("expected a path that starts with /".to_owned());
    }
    Ok(text.to_owned())
}

/// Parses a header as `NAME:VALUE`.
pub(crate) fn header(text: &str) -> Result<(HeaderName, HeaderValue), String> {
    let (name, value) = text.split_once(':').ok_or("expected NAME:VALUE")?;
    let name: HeaderName = name.trim().parse().map_err(|error| format!("{error}"))?;
    let value = value.trim().parse().map_err(|error| format!("{error}"))?;
    Ok((name, value))
}
