//! Bounds of configuration fields.

use std::time::Duration;

/// Maximum length of the name of a service, route or caller, in bytes.
pub const MAX_ID_BYTES: usize = 128;
/// Maximum number of services; all of them share one chunk of at most 1 MB.
pub const MAX_SERVICES: usize = 1_000;
/// Maximum number of routes, four times the target scale.
pub const MAX_ROUTES: usize = 32_768;
/// Maximum number of callers with a limit, six times the target scale.
pub const MAX_CALLERS: usize = 65_536;
/// Maximum number of changes in one intent. To change more items, an intent must give the whole
/// content.
pub const MAX_CHANGES: usize = 10_000;
/// Maximum deadline, also of the deadline header.
pub const MAX_DEADLINE: Duration = Duration::from_millis(600_000);

pub(super) const MAX_FLOOR_SLOTS: u32 = 1_000_000;
pub(super) const MAX_QUEUED_REQUESTS: u32 = 100_000;
pub(super) const MAX_RETRY_PERMILLE: u32 = 1_000;
pub(super) const MAX_PATH_BYTES: usize = 1_024;
/// Maximum length of a DNS host name, in bytes.
pub(super) const MAX_HOST_BYTES: usize = 253;
pub(super) const MAX_METHOD_BYTES: usize = 32;
pub(super) const MAX_RATE_PER_S: u32 = 1_000_000;
pub(super) const MAX_BURST_REQUESTS: u32 = 1_000_000;

/// Error for a field whose value is out of bounds.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct FieldError {
    /// Name of the field in intents.
    pub field: &'static str,
    /// Description of the allowed values, in some cases with the refused value.
    pub reason: String,
}

impl FieldError {
    /// Returns an error for `field`.
    pub fn new(field: &'static str, reason: impl Into<String>) -> FieldError {
        FieldError { field, reason: reason.into() }
    }
}

/// Checks the name of a service or route, which becomes part of store keys and metric labels.
///
/// # Errors
/// Fails unless `name` has 1 to [`MAX_ID_BYTES`] of the bytes `A-Z a-z 0-9 . _ -`.
pub fn check_name(field: &'static str, name: &str) -> Result<(), FieldError> {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    if is_length_ok(name) && name.bytes().all(is_allowed) {
        return Ok(());
    }
    let reason = format!("must have 1 to {MAX_ID_BYTES} of the characters A-Z a-z 0-9 . _ -");
    Err(FieldError::new(field, reason))
}

/// Checks the name of a caller, which arrives in a request header.
///
/// # Errors
/// Fails unless `name` has 1 to [`MAX_ID_BYTES`] visible ASCII bytes.
pub fn check_caller_id(field: &'static str, name: &str) -> Result<(), FieldError> {
    if is_length_ok(name) && name.bytes().all(|b| b.is_ascii_graphic()) {
        return Ok(());
    }
    let reason = format!("must have 1 to {MAX_ID_BYTES} visible ASCII characters");
    Err(FieldError::new(field, reason))
}

/// Checks the name of an operator.
///
/// # Errors
/// Fails unless `name` has 1 to [`MAX_ID_BYTES`] bytes without control characters.
pub fn check_author(field: &'static str, name: &str) -> Result<(), FieldError> {
    if is_length_ok(name) && !name.chars().any(char::is_control) {
        return Ok(());
    }
    let reason = format!("must have 1 to {MAX_ID_BYTES} bytes without control characters");
    Err(FieldError::new(field, reason))
}

fn is_length_ok(name: &str) -> bool {
    (1..=MAX_ID_BYTES).contains(&name.len())
}

pub(super) fn check_range(
    field: &'static str,
    value: u32,
    range: std::ops::RangeInclusive<u32>,
) -> Result<(), FieldError> {
    if range.contains(&value) {
        return Ok(());
    }
    let reason = format!("is {value}, must be {} to {}", range.start(), range.end());
    Err(FieldError::new(field, reason))
}

pub(super) fn check_deadline(field: &'static str, value: Duration) -> Result<(), FieldError> {
    if (Duration::from_millis(1)..=MAX_DEADLINE).contains(&value) {
        return Ok(());
    }
    let max = MAX_DEADLINE.as_millis();
    Err(FieldError::new(field, format!("is {} ms, must be 1 to {max}", value.as_millis())))
}
