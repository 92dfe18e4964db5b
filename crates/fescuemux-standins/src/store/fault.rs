//! Faults that can be injected into a stand-in store.

use std::time::Duration;

/// Injected fault. Different faults accumulate until [`StoreFault::None`] clears all faults. A
/// fault that is set again replaces its earlier value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// Clears all faults.
    None,
    /// All calls fail and are not executed.
    Unavailable,
    /// Delays each call by this time.
    Slow(Duration),
    /// Executes this many of the next writes and loses their replies.
    LoseReplies(u32),
    /// Loses this many of the next writes before they take effect. The client cannot tell
    /// a lost write from a lost reply.
    LoseWrites(u32),
    /// Reads return the values from the time at which this fault was set.
    StaleReads,
    /// Expires all leases once, as if every holder had been paused for too long. Later leases are
    /// not affected.
    ExpireLeases,
    /// Executes all calls and loses all replies.
    LoseAllReplies,
}

/// State of the injected faults. `lose_replies` and `lose_writes` count the writes still to lose.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) unavailable: bool,
    pub(crate) delay: Duration,
    pub(crate) lose_replies: u32,
    pub(crate) lose_writes: u32,
    pub(crate) stale_reads: bool,
    pub(crate) lose_all_replies: bool,
}

impl Faults {
    /// Returns whether the reply of this call is lost. For a write, decrements `lose_replies`.
    pub(crate) fn consume_lost_reply(&mut self, is_write: bool) -> bool {
        if self.lose_all_replies {
            return true;
        }
        is_write && take_one(&mut self.lose_replies)
    }

    /// Returns whether this write is lost before it takes effect, and decrements `lose_writes`.
    pub(crate) fn consume_lost_write(&mut self) -> bool {
        take_one(&mut self.lose_writes)
    }
}

fn take_one(count: &mut u32) -> bool {
    let available = *count > 0;
    *count = count.saturating_sub(1);
    available
}
