//! Snapshot of a backend server's state for membership records and state dumps.

use fescuemux_core::base::{Incarnation, Phase, ServerId, ServiceId};
use fescuemux_core::detect::Assessment;
use fescuemux_core::eject::HealthState;
use std::net::SocketAddr;
use std::time::Duration;

/// State of a backend server at its guard at one moment.
#[derive(Clone, Debug)]
pub(crate) struct ServerSnapshot {
    pub(crate) server: ServerId,
    pub(crate) service: ServiceId,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Incarnation,
    pub(crate) phase: Phase,
    pub(crate) health_state: HealthState,
    /// Time since the health state began.
    pub(crate) health_state_age: Duration,
    pub(crate) relapses: u32,
    /// Whether the ledger may have an entry for the server.
    pub(crate) may_hold_permit: bool,
    pub(crate) assessment: Assessment,
    /// Number of slots that the server announced.
    pub(crate) slots: u32,
    pub(crate) busy: u32,
    pub(crate) queued: u32,
    /// Maximum number of slots that were busy at the same time.
    pub(crate) peak_busy: u32,
}
