//! State of running probes.

use crate::base::InstanceId;
use std::time::Instant;

/// The probe that this member runs for itself.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) seq: u64,
    pub(super) target: InstanceId,
    pub(super) started: Instant,
    /// Time at which helpers are asked; `None` once they were.
    pub(super) ask_helpers_at: Option<Instant>,
    pub(super) ends_at: Instant,
    /// Whether any helper said that it could not reach the target.
    pub(super) helper_answered: bool,
}

/// A probe that this member runs for another one.
#[derive(Clone, Debug)]
pub(super) struct Relay {
    pub(super) seq: u64,
    pub(super) origin: InstanceId,
    pub(super) origin_seq: u64,
    pub(super) target: InstanceId,
    pub(super) started: Instant,
    pub(super) ends_at: Instant,
}
