//! Faults that a stand-in store can be given.

use std::time::Duration;

/// A fault. Faults add up until [`StoreFault::None`] clears them all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// Clears all faults.
    None,
    /// No call is executed.
    Unavailable,
    /// Each call takes this much longer.
    Slow(Duration),
    /// This many of the next writes take effect and their replies are lost.
    LoseReplies(u32),
    /// This many of the next writes are lost before they take effect; the writer cannot tell.
    LoseWrites(u32),
    /// Reads answer with the values of the moment at which this fault was set.
    StaleReads,
    /// All leases lapse at once, as when every holder was paused for too long. The fault is
    /// over when the call returns.
    ExpireLeases,
    /// Every call is executed and every reply is lost.
    LoseAllReplies,
}

/// Faults in force.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) down: bool,
    pub(crate) slow: Duration,
    pub(crate) lose_replies: u32,
    pub(crate) lose_writes: u32,
    pub(crate) stale_reads: bool,
    pub(crate) one_way_loss: bool,
}

impl Faults {
    /// Returns whether the reply of this call is lost, and uses up one lost reply of a write.
    pub(crate) fn take_lost_reply(&mut self, is_write: bool) -> bool {
        if self.one_way_loss {
            return true;
        }
        is_write && take(&mut self.lose_replies)
    }

    /// Returns whether this write is lost before it takes effect.
    pub(crate) fn take_lost_write(&mut self) -> bool {
        take(&mut self.lose_writes)
    }
}

fn take(count: &mut u32) -> bool {
    let any = *count > 0;
    *count = count.saturating_sub(1);
    any
}
