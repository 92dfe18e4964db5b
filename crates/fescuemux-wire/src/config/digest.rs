//! Text forms of digests, plan ids, parts and times.

use super::ConfigError;
use fescuemux_core::base::PlanId;
use fescuemux_core::config::{BUCKET_COUNT, Digest, Part};
use sha2::{Digest as _, Sha256};
use std::fmt::Write as _;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the SHA-256 digest of `bytes`, which is the name of an encoded chunk.
pub(super) fn sha256_digest(bytes: &[u8]) -> Digest {
    Sha256::digest(bytes).into()
}

pub(super) fn format_digest(digest: &Digest) -> String {
    let mut text = String::with_capacity(64);
    for byte in digest {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

pub(super) fn parse_digest(text: &str) -> Option<Digest> {
    let bytes = text.as_bytes();
    if bytes.len() != 64 {
        return None;
    }
    let mut digest = [0; 32];
    for (byte, pair) in digest.iter_mut().zip(bytes.chunks_exact(2)) {
        *byte = (hex_digit(pair[0])? << 4) | hex_digit(pair[1])?;
    }
    Some(digest)
}

/// Accepts only lower case, so that each digest has exactly one text form.
fn hex_digit(byte: u8) -> Option<u8> {
    match byte {
        b'0'..=b'9' => Some(byte - b'0'),
        b'a'..=b'f' => Some(byte - b'a' + 10),
        _ => None,
    }
}

/// Formats a plan id as 32 hexadecimal digits.
pub fn format_plan_id(plan: PlanId) -> String {
    format!("{plan:032x}")
}

/// Parses a plan id from 32 lower-case hexadecimal digits.
pub fn parse_plan_id(text: &str) -> Option<PlanId> {
    let is_plan_id = text.len() == 32 && text.bytes().all(|b| hex_digit(b).is_some());
    is_plan_id.then(|| PlanId::from_str_radix(text, 16).ok()).flatten()
}

pub(super) fn parse_plan_id_field(path: &str, text: &str) -> Result<PlanId, ConfigError> {
    parse_plan_id(text)
        .ok_or_else(|| ConfigError::shape(path, "must be 32 lower-case hexadecimal digits"))
}

pub(super) fn format_part(part: Part) -> String {
    match part {
        Part::Services => "services".to_owned(),
        Part::Routes(bucket) => format!("routes/{bucket}"),
        Part::Callers(bucket) => format!("callers/{bucket}"),
    }
}

pub(super) fn parse_part(text: &str) -> Option<Part> {
    if text == "services" {
        return Some(Part::Services);
    }
    let (kind, bucket) = text.split_once('/')?;
    let bucket_number: u8 = bucket.parse().ok()?;
    let part = match kind {
        "routes" => Part::Routes(bucket_number),
        "callers" => Part::Callers(bucket_number),
        _ => return None,
    };
    (usize::from(bucket_number) < BUCKET_COUNT && format_part(part) == text).then_some(part)
}

/// Returns the milliseconds since 1970.
pub(super) fn to_millis(time: SystemTime) -> u64 {
    let since_epoch = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

pub(super) fn from_millis(path: &str, millis: u64) -> Result<SystemTime, ConfigError> {
    UNIX_EPOCH
        .checked_add(Duration::from_millis(millis))
        .ok_or_else(|| ConfigError::shape(path, "time is out of range"))
}
