//! Queue of updates that ride on messages.

use crate::base::InstanceId;

/// One queued update. The record is read when it is sent, so a queued update is never stale.
#[derive(Clone, Debug)]
struct Entry {
    instance: InstanceId,
    full: bool,
    sent: u32,
}

/// Updates still to be sent, at most one for each instance.
#[derive(Clone, Debug, Default)]
pub(super) struct GossipQueue {
    entries: Vec<Entry>,
}

impl GossipQueue {
    /// Queues an update about `instance`, as a whole record if `full`. A pending whole record
    /// stays whole.
    pub(super) fn push(&mut self, instance: &InstanceId, full: bool) {
        if let Some(entry) = self.entries.iter_mut().find(|e| e.instance == *instance) {
            entry.full |= full;
            entry.sent = 0;
            return;
        }
        self.entries.push(Entry { instance: instance.clone(), full, sent: 0 });
    }

    /// Removes the update about an instance that is no longer held.
    pub(super) fn remove(&mut self, instance: &InstanceId) {
        self.entries.retain(|e| e.instance != *instance);
    }

    /// Takes updates, the least sent first, until `cost` has used up `bytes`. `cost` returns
    /// `None` for an instance that is no longer held. Updates sent `limit` times are dropped.
    pub(super) fn take(
        &mut self,
        bytes: usize,
        limit: u32,
        cost: impl Fn(&InstanceId, bool) -> Option<usize>,
    ) -> Vec<(InstanceId, bool)> {
        if self.entries.is_empty() {
            return Vec::new();
        }
        self.entries.sort_by_key(|e| e.sent);
        let mut left = bytes;
        let mut taken = Vec::new();
        for entry in &mut self.entries {
            let Some(cost) = cost(&entry.instance, entry.full) else {
                entry.sent = limit;
                continue;
            };
            // A record larger than the whole budget still has to travel alone.
            if cost > left && !taken.is_empty() {
                break;
            }
            left = left.saturating_sub(cost);
            entry.sent += 1;
            taken.push((entry.instance.clone(), entry.full));
        }
        self.entries.retain(|e| e.sent < limit);
        taken
    }

    /// Returns the number of pending updates.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }
}
