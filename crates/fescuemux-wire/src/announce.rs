//! JSON announcement of a backend server to its local daemon.

use fescuemux_core::base::{Incarnation, Phase, ServerId, ServiceId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

/// Maximum number of slots that a backend server may announce.
const MAX_SLOTS: u32 = 1_024;
/// Maximum length of a server or service name in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Announcement as sent by a backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnouncementWire {
    /// Name of the server, unique in the fleet.
    pub server: String,
    /// Name of the service.
    pub service: String,
    /// Address for requests, which the local daemon must be able to reach.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Start time of the server in milliseconds since 1970.
    pub incarnation: u64,
    /// Phase of the server.
    pub phase: PhaseWire,
}

/// Phase as sent by a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PhaseWire {
    /// Warming up; caches are not yet filled.
    Cold,
    /// Takes its full share of requests.
    Ready,
    /// Finishes its running requests and takes no new requests.
    Draining,
}

/// Validated announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Name of the server.
    pub server: ServerId,
    /// Name of the service.
    pub service: ServiceId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Start time of the server in milliseconds since 1970.
    pub incarnation: Incarnation,
    /// Phase of the server.
    pub phase: Phase,
}

/// Error in an announcement.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AnnouncementError {
    /// A name is empty, too long, or contains characters outside `[A-Za-z0-9._-]`.
    #[error("field `{field}`: a name of 1 to {MAX_NAME_BYTES} characters of [A-Za-z0-9._-]")]
    Name {
        /// Field that contains the name.
        field: &'static str,
    },
    /// The number of slots is out of range.
    #[error("field `slots`: 1 to {MAX_SLOTS}")]
    Slots,
}

impl TryFrom<AnnouncementWire> for Announcement {
    type Error = AnnouncementError;

    fn try_from(wire: AnnouncementWire) -> Result<Announcement, AnnouncementError> {
        check_name("server", &wire.server)?;
        check_name("service", &wire.service)?;
        if !(1..=MAX_SLOTS).contains(&wire.slots) {
            return Err(AnnouncementError::Slots);
        }
        Ok(Announcement {
            server: wire.server.into(),
            service: wire.service.into(),
            address: wire.address,
            slots: wire.slots,
            incarnation: wire.incarnation,
            phase: wire.phase.into(),
        })
    }
}

impl From<PhaseWire> for Phase {
    fn from(wire: PhaseWire) -> Phase {
        match wire {
            PhaseWire::Cold => Phase::Cold,
            PhaseWire::Ready => Phase::Ready,
            PhaseWire::Draining => Phase::Draining,
        }
    }
}

fn check_name(field: &'static str, name: &str) -> Result<(), AnnouncementError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    let has_valid_length = (1..=MAX_NAME_BYTES).contains(&name.len());
    if has_valid_length && name.chars().all(is_allowed) {
        Ok(())
    } else {
        Err(AnnouncementError::Name { field })
    }
}
