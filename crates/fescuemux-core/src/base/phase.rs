//! Lifecycle of a backend server as the server announces it.

/// Phase of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Started, with caches not yet filled; receives a growing share of requests.
    Cold,
    /// Receives its full share of requests.
    Ready,
    /// Finishes the requests that it has and receives no new ones.
    Draining,
}
