//! Queue of updates to piggyback on messages.

use crate::base::InstanceId;

/// Queued update. The record is read when the update is sent, so a queued update is never stale.
#[derive(Clone, Debug)]
struct Entry {
    instance: InstanceId,
    full: bool,
    sent: u32,
}

/// Pending updates, at most one per instance.
#[derive(Clone, Debug, Default)]
pub(super) struct GossipQueue {
    entries: Vec<Entry>,
}

impl GossipQueue {
    /// Queues an update about `instance`, as a full record if `full`. A pending full record stays
    /// full.
    pub(super) fn push(&mut self, instance: &InstanceId, full: bool) {
        if let Some(entry) = self.entries.iter_mut().find(|e| e.instance == *instance) {
            entry.full |= full;
            entry.sent = 0;
            return;
        }
        self.entries.push(Entry { instance: instance.clone(), full, sent: 0 });
    }

    /// Removes the pending update about `instance`.
    pub(super) fn remove(&mut self, instance: &InstanceId) {
        self.entries.retain(|e| e.instance != *instance);
    }

    /// Takes updates, least transmitted first, until their `cost` exceeds `bytes`. `cost` returns
    /// `None` for instances without a record. Updates are dropped after `limit` transmissions.
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
        let mut bytes_left = bytes;
        let mut taken = Vec::new();
        for entry in &mut self.entries {
            let Some(cost) = cost(&entry.instance, entry.full) else {
                entry.sent = limit;
                continue;
            };
            // A record larger than the whole budget is sent alone.
            if cost > bytes_left && !taken.is_empty() {
                break;
            }
            bytes_left = bytes_left.saturating_sub(cost);
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
