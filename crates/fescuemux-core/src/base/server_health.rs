//! Health of a backend server as its instance publishes it.

/// Requests that a backend server accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ServerHealth {
    /// Normal requests.
    #[default]
    Serving,
    /// Last-resort requests only.
    Steered,
    /// None.
    Ejected,
    /// Trial requests and a growing share of normal ones.
    Probation,
}
