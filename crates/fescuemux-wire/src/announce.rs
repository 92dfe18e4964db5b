//! Announcement of a backend server to the daemon beside it, as JSON.

use fescuemux_core::base::{Incarnation, Phase, ServerId, ServiceId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

/// Largest number of slots that a backend server may announce.
const MAX_SLOTS: u32 = 1_024;
/// Largest length of a server's or service's name in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Announcement as sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnouncementWire {
    /// Server name, unique in the fleet.
    pub server: String,
    /// Service name.
    pub service: String,
    /// Address for work, reachable from the daemon beside the server.
    pub address: SocketAddr,
    /// Concurrent requests that the server takes.
    pub slots: u32,
    /// Start time of the server in milliseconds since 1970.
    pub incarnation: u64,
    /// Phase of the server.
    pub phase: PhaseWire,
}

/// Phase as sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PhaseWire {
    /// Warming up.
    Cold,
    /// Takes its full share.
    Ready,
    /// Takes no new work.
    Draining,
}

/// Checked announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Server name.
    pub server: ServerId,
    /// Service name.
    pub service: ServiceId,
    /// Address for work.
    pub address: SocketAddr,
    /// Concurrent requests.
    pub slots: u32,
    /// Start time of the server in milliseconds since 1970.
    pub incarnation: Incarnation,
    /// Phase.
    pub phase: Phase,
}

/// Reason for refusing an announcement.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AnnouncementError {
    /// A name is empty, too long, or holds characters outside `[A-Za-z0-9._-]`.
    #[error("field `{field}`: a name of 1 to {MAX_NAME_BYTES} characters of [A-Za-z0-9._-]")]
    Name {
        /// Field of the name.
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
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    let fits = (1..=MAX_NAME_BYTES).contains(&name.len());
    if fits && name.chars().all(allowed) { Ok(()) } else { Err(AnnouncementError::Name { field }) }
}
