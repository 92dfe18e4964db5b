//! Health of a backend server as its instance publishes it.

/// Which requests a backend server gets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ServerHealth {
    /// All requests.
    #[default]
    Serving,
    /// Last-resort requests and a limited number of trial requests.
    Steered,
    /// No requests.
    Ejected,
    /// Trial requests, a growing share of normal requests, and last-resort requests.
    Probation,
}
