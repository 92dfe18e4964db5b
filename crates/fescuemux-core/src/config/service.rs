//! Configuration of one service.

use super::bounds::{
    FieldError, MAX_FLOOR_SLOTS, MAX_QUEUED_REQUESTS, MAX_RETRY_PERMILLE, check_deadline,
    check_name, check_range,
};
use crate::base::{DetectionPreference, ServiceId};
use std::time::Duration;

/// Configuration of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub id: ServiceId,
    /// Minimum healthy capacity, in slots, that an ejection must leave.
    pub floor_slots: u32,
    /// Whether few false ejections or fast detection matters more.
    pub favor: DetectionPreference,
    /// Priority under overload; the largest value goes first.
    pub priority: u8,
    /// Deadline of requests that state no deadline and whose route has none.
    pub default_deadline: Duration,
    /// Maximum number of requests queued at one guard for each backend server.
    pub queue_limit: u32,
    /// Maximum number of retries per 1,000 requests.
    pub retry_permille: u32,
}

impl Service {
    /// Returns a service with a floor of zero and the default values that intents use.
    pub fn new(id: impl Into<ServiceId>) -> Service {
        Service {
            id: id.into(),
            floor_slots: 0,
            favor: DetectionPreference::default(),
            priority: 100,
            default_deadline: Duration::from_secs(10),
            queue_limit: 16,
            retry_permille: 100,
        }
    }

    /// Checks every field.
    ///
    /// # Errors
    /// Fails at the first field that is out of bounds.
    pub fn check(&self) -> Result<(), FieldError> {
        check_name("id", &self.id)?;
        check_range("floor_slots", self.floor_slots, 0..=MAX_FLOOR_SLOTS)?;
        check_deadline("default_deadline_ms", self.default_deadline)?;
        check_range("queue_limit", self.queue_limit, 0..=MAX_QUEUED_REQUESTS)?;
        check_range("retry_permille", self.retry_permille, 0..=MAX_RETRY_PERMILLE)
    }
}
