//! Snapshot of a backend server's state for membership records and state dumps.

use fescuemux_core::base::{Incarnation, Phase, ServerId, ServiceId};
use fescuemux_core::detect::Assessment;
use fescuemux_core::eject::HealthState;
use std::net::SocketAddr;
use std::time::Duration;

/// State of a backend server at its guard.
#[derive(Clone, Debug)]
pub(crate) struct ServerSnapshot {
    pub(crate) server: ServerId,
    pub(crate) service: ServiceId,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Incarnation,
    pub(crate) phase: Phase,
    pub(crate) state: HealthState,
    pub(crate) state_age: Duration,
    pub(crate) relapses: u32,
    pub(crate) may_hold_permit: bool,
    pub(crate) assessment: Assessment,
    pub(crate) slots: u32,
    pub(crate) busy: u32,
    pub(crate) queued: u32,
    pub(crate) peak_busy: u32,
}
