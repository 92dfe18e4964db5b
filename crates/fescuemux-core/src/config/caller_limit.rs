//! Rate limit of one caller.

use super::bounds::{FieldError, MAX_BURST_REQUESTS, MAX_RATE_PER_S, check_caller_id, check_range};
use crate::base::CallerId;

/// Token-bucket rate limit of one caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerLimit {
    /// Name of the caller.
    pub caller: CallerId,
    /// Requests per second; zero refuses every request of the caller.
    pub rate_per_s: u32,
    /// Size of the token bucket, in requests.
    pub burst: u32,
}

impl CallerLimit {
    /// Checks every field.
    ///
    /// # Errors
    /// Fails at the first field that is out of bounds.
    pub fn check(&self) -> Result<(), FieldError> {
        check_caller_id("caller", &self.caller)?;
        check_range("rate_per_s", self.rate_per_s, 0..=MAX_RATE_PER_S)?;
        check_range("burst", self.burst, 0..=MAX_BURST_REQUESTS)
    }
}
