//! Creation times embedded in idempotency keys.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use uuid::Uuid;

/// Maximum assumed difference between the wall clocks of callers and daemons.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(2);

/// Creation time read from an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyCreationTime {
    /// The key is a UUIDv7 with this creation time.
    CreatedAt(SystemTime),
    /// The key contains no creation time.
    Opaque,
}

/// Reads the creation time of a key in UUIDv7 format (RFC 9562, section 5.7).
pub fn key_creation_time(key: &str) -> KeyCreationTime {
    let Ok(uuid) = Uuid::try_parse(key) else {
        return KeyCreationTime::Opaque;
    };
    if uuid.get_version_num() != 7 {
        return KeyCreationTime::Opaque;
    }
    let Some(timestamp) = uuid.get_timestamp() else {
        return KeyCreationTime::Opaque;
    };
    let (seconds, nanos) = timestamp.to_unix();
    KeyCreationTime::CreatedAt(UNIX_EPOCH + Duration::new(seconds, nanos))
}
