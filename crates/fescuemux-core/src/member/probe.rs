//! State of pending probes.

use crate::base::InstanceId;
use std::time::Instant;

/// Probe that this member performs for itself.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub(super) seq: u64,
    pub(super) target: InstanceId,
    pub(super) started: Instant,
    /// Time at which to ask helpers for indirect probes; `None` once they have been asked.
    pub(super) ask_helpers_at: Option<Instant>,
    pub(super) ends_at: Instant,
    /// Whether any helper has responded.
    pub(super) helper_answered: bool,
}

/// Indirect probe that this member performs as a helper for `origin`.
#[derive(Clone, Debug)]
pub(super) struct IndirectProbe {
    pub(super) seq: u64,
    pub(super) origin: InstanceId,
    pub(super) origin_seq: u64,
    pub(super) target: InstanceId,
    pub(super) started: Instant,
    pub(super) ends_at: Instant,
}
