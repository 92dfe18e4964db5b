//! Order of requests that wait for a slot.

/// What decides which of two waiting requests goes first, besides time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    /// Whether no request that runs elsewhere waits for this one. Calls of running requests go
    /// first, or a service whose slots all wait for each other stands still.
    pub top_level: bool,
    /// Rank of the route; zero is the most urgent.
    pub priority: u8,
    /// Lot of the request that makes the call, zero for requests of callers. A request fails when
    /// one of its calls does. With the same order at all guards, those without a slot are the
    /// calls of few requests instead of one call of each.
    pub random_priority: u16,
}

impl Precedence {
    /// Returns the precedence of a caller's request.
    pub fn top_level(priority: u8) -> Precedence {
        Precedence { top_level: true, priority, random_priority: 0 }
    }

    /// Returns the precedence of a request; `lot` counts only if it is `nested`, a call that a
    /// running request makes.
    pub fn new(nested: bool, priority: u8, random_priority: u16) -> Precedence {
        match nested {
            true => Precedence { top_level: false, priority, random_priority },
            false => Precedence::top_level(priority),
        }
    }
}
