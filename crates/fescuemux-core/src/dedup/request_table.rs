//! Table of the request attempts that a guard received recently.

use crate::base::{Cx, HashMap, RequestId, Verdict};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Result of registering a request id and attempt number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registration {
    /// The attempt was not in the table. Its verdict is now [`Verdict::MayHaveRun`].
    New,
    /// The attempt was registered before and has this verdict now.
    Duplicate(Verdict),
}

/// Bounded table of request attempts that prevents delayed copies of an attempt from running again.
/// An attempt is identified by request id and attempt number.
///
/// The guard refuses a copy that arrives after the attempt has expired here, because the signed
/// timestamp of the copy is too old. This requires a retention above the maximum accepted request
/// age.
#[derive(Debug)]
pub struct RequestTable {
    retention: Duration,
    max_attempts: usize,
    verdicts: HashMap<(RequestId, u8), Verdict>,
    expiry_queue: VecDeque<(Instant, (RequestId, u8))>,
}

impl RequestTable {
    /// Returns a table that holds up to `max_attempts` attempts, each for `retention`.
    pub fn new(retention: Duration, max_attempts: usize) -> RequestTable {
        RequestTable {
            retention,
            max_attempts,
            verdicts: HashMap::default(),
            expiry_queue: VecDeque::new(),
        }
    }

    /// Registers an attempt, or returns the verdict on an earlier copy. Returns `None` if the table
    /// is full of unexpired attempts; the guard must then refuse the request as not run.
    pub fn register(&mut self, cx: &Cx, id: RequestId, attempt: u8) -> Option<Registration> {
        self.expire(cx.now);
        let key = (id, attempt);
        if let Some(verdict) = self.verdicts.get(&key) {
            return Some(Registration::Duplicate(*verdict));
        }
        if self.verdicts.len() >= self.max_attempts {
            return None;
        }
        self.verdicts.insert(key, Verdict::MayHaveRun);
        self.expiry_queue.push_back((cx.now, key));
        Some(Registration::New)
    }

    /// Records the verdict on a registered attempt. Has no effect if the attempt has expired.
    pub fn finish(&mut self, id: RequestId, attempt: u8, verdict: Verdict) {
        if let Some(known) = self.verdicts.get_mut(&(id, attempt)) {
            *known = verdict;
        }
    }

    /// Returns the number of registered attempts.
    pub fn len(&self) -> usize {
        self.verdicts.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.verdicts.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        while let Some((registered_at, key)) = self.expiry_queue.front().copied() {
            if now.saturating_duration_since(registered_at) < self.retention {
                return;
            }
            self.expiry_queue.pop_front();
            self.verdicts.remove(&key);
        }
    }
}
