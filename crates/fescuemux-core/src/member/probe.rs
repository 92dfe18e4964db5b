//! State of pending probes.

use crate::base::InstanceId;
use std::time::Instant;

/// Probe that this member performs for itself.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    /// Sequence number of the ping and of the requests to helpers.
    pub(super) seq: u64,
    pub(super) target: InstanceId,
    pub(super) started_at: Instant,
    /// Time at which to ask helpers for indirect probes; `None` once the helpers have been asked.
    pub(super) ask_helpers_at: Option<Instant>,
    pub(super) ends_at: Instant,
    /// Whether any helper has responded, even if the helper did not reach the target.
    pub(super) helper_answered: bool,
}

/// Indirect probe that this member performs as a helper for `origin`.
#[derive(Clone, Debug)]
pub(super) struct IndirectProbe {
    /// Sequence number of the ping to the target.
    pub(super) seq: u64,
    pub(super) origin: InstanceId,
    /// Sequence number of the request from `origin`.
    pub(super) origin_seq: u64,
    pub(super) target: InstanceId,
    pub(super) started_at: Instant,
    pub(super) ends_at: Instant,
}
