//! Recent request ids at a guard.

use crate::base::{Cx, HashMap, RequestId, Verdict};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// What a guard knows of a request id and attempt number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registration {
    /// The id is new and now recorded as possibly running.
    New,
    /// The id was seen before; the verdict is what is known of it.
    Duplicate(Verdict),
}

/// Bounded memory of request ids, so that a delayed copy of a request is not run twice.
///
/// Copies older than the retention are refused by the age of their signed timestamp, so
/// forgetting an id is safe as long as the retention exceeds the accepted age.
#[derive(Debug)]
pub struct RequestTable {
    retention: Duration,
    max_ids: usize,
    ids: HashMap<(RequestId, u8), Verdict>,
    order: VecDeque<(Instant, (RequestId, u8))>,
}

impl RequestTable {
    /// Returns a table that remembers up to `max_ids` ids for `retention`.
    pub fn new(retention: Duration, max_ids: usize) -> RequestTable {
        RequestTable { retention, max_ids, ids: HashMap::default(), order: VecDeque::new() }
    }

    /// Records an id, or tells what is known of it. Returns `None` when the table is full of ids
    /// that are too young to be forgotten; the request must then be refused as not run.
    pub fn register(&mut self, cx: &Cx, id: RequestId, attempt: u8) -> Option<Registration> {
        self.expire(cx.now);
        let key = (id, attempt);
        if let Some(verdict) = self.ids.get(&key) {
            return Some(Registration::Duplicate(*verdict));
        }
        if self.ids.len() >= self.max_ids {
            return None;
        }
        self.ids.insert(key, Verdict::MayHaveRun);
        self.order.push_back((cx.now, key));
        Some(Registration::New)
    }

    /// Records what became of a request.
    pub fn finish(&mut self, id: RequestId, attempt: u8, verdict: Verdict) {
        if let Some(known) = self.ids.get_mut(&(id, attempt)) {
            *known = verdict;
        }
    }

    /// Returns the number of ids held.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns whether no id is held.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        while let Some((since, key)) = self.order.front().copied() {
            if now.saturating_duration_since(since) < self.retention {
                return;
            }
            self.order.pop_front();
            self.ids.remove(&key);
        }
    }
}
