//! Precedence of requests that wait for a slot.

/// Precedence of a waiting request; a lower value goes first, but top-level requests that can no
/// longer meet their latency objective go last. Among requests of equal precedence, the one with
/// the earlier objective goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    /// Whether the request comes from a caller and not from a backend server that runs another
    /// request. Nested requests go first; otherwise services whose slots all wait for each other
    /// would deadlock.
    pub top_level: bool,
    /// Priority of the route; the smallest value goes first.
    pub priority: u8,
    /// Hash of the parent request's id, which orders requests that are otherwise equal; zero for
    /// top-level requests. All nested requests of one parent share it. A parent fails when one of
    /// its nested requests does. As every instance uses the same order, overload rejects all
    /// nested requests of a few parents instead of one of each parent.
    pub tie_breaker: u16,
}

impl Precedence {
    /// Returns the precedence of a top-level request.
    pub fn top_level(priority: u8) -> Precedence {
        Precedence { top_level: true, priority, tie_breaker: 0 }
    }

    /// Returns the precedence of a request; `tie_breaker` applies only if it is `nested`.
    pub fn new(nested: bool, priority: u8, tie_breaker: u16) -> Precedence {
        match nested {
            true => Precedence { top_level: false, priority, tie_breaker },
            false => Precedence::top_level(priority),
        }
    }
}
