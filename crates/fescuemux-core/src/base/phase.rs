//! Life cycle of a backend server as it announces it.

/// Phase of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Started, with caches not yet filled; receives a growing share of work.
    Cold,
    /// Takes its full share.
    Ready,
    /// Finishes the work it has and receives no new work.
    Draining,
}
