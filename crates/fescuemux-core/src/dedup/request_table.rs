//! Table of the request ids that a guard received recently.

use crate::base::{Cx, HashMap, RequestId, Verdict};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Result of registering a request id and attempt number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registration {
    /// The id is new. It is now recorded as possibly running.
    New,
    /// The id was registered before. Holds the current verdict on that request.
    Duplicate(Verdict),
}

/// Bounded table of request ids that prevents delayed copies of a request from running again.
///
/// A copy that arrives after its id has expired is refused because its signed timestamp is too
/// old. This requires a retention above the maximum accepted request age.
#[derive(Debug)]
pub struct RequestTable {
    retention: Duration,
    max_ids: usize,
    verdicts: HashMap<(RequestId, u8), Verdict>,
    expiry_queue: VecDeque<(Instant, (RequestId, u8))>,
}

impl RequestTable {
    /// Returns a table that holds up to `max_ids` ids, each for `retention`.
    pub fn new(retention: Duration, max_ids: usize) -> RequestTable {
        RequestTable {
            retention,
            max_ids,
            verdicts: HashMap::default(),
            expiry_queue: VecDeque::new(),
        }
    }

    /// Registers a request, or returns the verdict on an earlier copy. Returns `None` if the table
    /// is full of unexpired ids; the caller must then refuse the request as not run.
    pub fn register(&mut self, cx: &Cx, id: RequestId, attempt: u8) -> Option<Registration> {
        self.expire(cx.now);
        let key = (id, attempt);
        if let Some(verdict) = self.verdicts.get(&key) {
            return Some(Registration::Duplicate(*verdict));
        }
        if self.verdicts.len() >= self.max_ids {
            return None;
        }
        self.verdicts.insert(key, Verdict::MayHaveRun);
        self.expiry_queue.push_back((cx.now, key));
        Some(Registration::New)
    }

    /// Records the verdict on a registered request. Has no effect if its id has expired.
    pub fn finish(&mut self, id: RequestId, attempt: u8, verdict: Verdict) {
        if let Some(known) = self.verdicts.get_mut(&(id, attempt)) {
            *known = verdict;
        }
    }

    /// Returns the number of registered ids.
    pub fn len(&self) -> usize {
        self.verdicts.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.verdicts.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        while let Some((since, key)) = self.expiry_queue.front().copied() {
            if now.saturating_duration_since(since) < self.retention {
                return;
            }
            self.expiry_queue.pop_front();
            self.verdicts.remove(&key);
        }
    }
}
