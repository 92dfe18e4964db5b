//! Accounting of the bytes that a process holds for its clients.

use super::{MemoryClass, ProcessLimits};
use crate::base::HashMap;
use std::cmp::Reverse;
use std::time::{Duration, Instant};

/// Time without bytes from the client after which a body may be released under pressure. Clients
/// within the limits send without pauses of this length, except while the network fails.
const STALL_TIME: Duration = Duration::from_millis(500);

/// Time for which no holder has got memory after which one of those that wait is released.
const DEADLOCK_TIME: Duration = Duration::from_millis(200);

/// Identifies what holds memory.
pub type HolderId = u64;

/// Decisions of [`MemoryBudget::advance`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decisions {
    /// Holders that got the bytes for which they wait.
    pub granted: Vec<HolderId>,
    /// Holders that must give up their bytes.
    pub released: Vec<HolderId>,
}

/// Body or response that holds memory.
#[derive(Clone, Debug)]
struct Holder {
    class: MemoryClass,
    held: u64,
    /// Number of bytes for which it waits.
    wanted: u64,
    /// Number of bytes that are still to arrive, if known.
    left: Option<u64>,
    /// Time since which it waits for bytes from its client.
    reading_since: Option<Instant>,
    released: bool,
}

/// Bytes that a process holds, by class. Without a limit all requests are granted.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    limits: ProcessLimits,
    holders: HashMap<HolderId, Holder>,
    used: [u64; MemoryClass::ALL.len()],
    next_id: HolderId,
    /// Time of the last grant or release, or of the start of the last wait without others.
    changed_at: Option<Instant>,
}

impl MemoryBudget {
    /// Returns a budget without holders.
    pub fn new(limits: ProcessLimits) -> MemoryBudget {
        MemoryBudget {
            limits,
            holders: HashMap::default(),
            used: Default::default(),
            next_id: 0,
            changed_at: None,
        }
    }

    /// Adds a holder without bytes. `left` is the number of bytes that are to arrive, if known.
    pub fn insert(&mut self, class: MemoryClass, left: Option<u64>) -> HolderId {
        self.next_id += 1;
        let holder =
            Holder { class, held: 0, wanted: 0, left, reading_since: None, released: false };
        self.holders.insert(self.next_id, holder);
        self.next_id
    }

    /// Removes a holder and frees its bytes.
    pub fn remove(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.used[holder.class as usize] -= holder.held;
        }
    }

    /// Gives `bytes` to a holder if the share of its class allows it.
    pub fn try_grow(&mut self, id: HolderId, bytes: u64) -> bool {
        let Some(holder) = self.holders.get_mut(&id) else { return false };
        let used = &mut self.used[holder.class as usize];
        let max = self.limits.class_bytes(holder.class).unwrap_or(u64::MAX);
        let fits = *used + bytes <= max;
        if fits {
            *used += bytes;
            holder.held += bytes;
            holder.wanted = 0;
        }
        fits
    }

    /// Gives `bytes` to a holder, or lets it wait for them. Returns whether it got them.
    pub fn grow_or_wait(&mut self, now: Instant, id: HolderId, bytes: u64) -> bool {
        if self.try_grow(id, bytes) {
            return true;
        }
        if self.holders.values().all(|holder| holder.wanted == 0) {
            self.changed_at = Some(now);
        }
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.wanted = bytes;
            holder.reading_since = None;
        }
        false
    }

    /// Records that the process begins to wait for bytes from the client of a holder.
    pub fn on_read_start(&mut self, now: Instant, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.reading_since = Some(now);
        }
    }

    /// Records that `bytes` arrived from the client of a holder.
    pub fn on_read(&mut self, id: HolderId, bytes: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.reading_since = None;
            holder.left = holder.left.map(|left| left.saturating_sub(bytes));
        }
    }

    /// Returns whether a holder waits for bytes, so that [`MemoryBudget::advance`] must be called.
    pub fn is_contended(&self) -> bool {
        self.holders.values().any(|holder| holder.wanted > 0 && !holder.released)
    }

    /// Returns the number of bytes held by a class.
    pub fn used(&self, class: MemoryClass) -> u64 {
        self.used[class as usize]
    }

    /// Grants bytes to waiting holders, fewest bytes left first, and releases holders if some still
    /// wait: the largest of those whose clients have stopped sending, or, if nothing has changed for
    /// a while, the one that waits and has the most bytes left. At most one holder of each class is
    /// released at a time.
    pub fn advance(&mut self, now: Instant) -> Decisions {
        let mut decisions = Decisions::default();
        let is_waiting = |holder: &Holder| holder.wanted > 0 && !holder.released;
        let mut waiting: Vec<_> = self
            .holders
            .iter()
            .filter(|(_, holder)| is_waiting(holder))
            .map(|(id, holder)| (holder.left.unwrap_or(u64::MAX), *id, holder.wanted))
            .collect();
        waiting.sort_unstable();
        for (_, id, wanted) in waiting {
            if self.try_grow(id, wanted) {
                decisions.granted.push(id);
            }
        }
        for class in MemoryClass::ALL {
            let holders = || self.holders.iter().filter(|(_, holder)| holder.class == class);
            if !holders().any(|(_, holder)| is_waiting(holder)) {
                continue;
            }
            let is_stalled = |holder: &Holder| {
                holder.reading_since.is_some_and(|since| now >= since + STALL_TIME)
            };
            let stalled = holders()
                .filter(|(_, holder)| !holder.released && holder.held > 0 && is_stalled(holder))
                .max_by_key(|(id, holder)| (holder.held, Reverse(**id)));
            let stuck = self.changed_at.is_some_and(|at| now >= at + DEADLOCK_TIME)
                && decisions.granted.is_empty();
            let furthest = holders()
                .filter(|(_, holder)| stuck && is_waiting(holder))
                .max_by_key(|(id, holder)| (holder.left.unwrap_or(u64::MAX), holder.held, **id));
            if let Some(id) = stalled.or(furthest).map(|(id, _)| *id) {
                decisions.released.push(id);
            }
        }
        for id in &decisions.released {
            if let Some(holder) = self.holders.get_mut(id) {
                holder.released = true;
            }
        }
        if decisions != Decisions::default() {
            self.changed_at = Some(now);
        }
        decisions
    }
}
