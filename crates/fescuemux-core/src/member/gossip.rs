//! Queue of updates to piggyback on messages.

use crate::base::InstanceId;

/// Queued update. The record is read when the update is sent, so a queued update is never stale.
#[derive(Clone, Debug)]
struct Entry {
    instance: InstanceId,
    /// Whether the update contains the full record instead of its summary.
    full: bool,
    transmissions: u32,
}

/// Pending updates, at most one per instance.
#[derive(Clone, Debug, Default)]
pub(super) struct GossipQueue {
    entries: Vec<Entry>,
}

impl GossipQueue {
    /// Queues an update about `instance`, as a full record if `full`. Replaces a pending update
    /// about the same instance; if that update is a full record, the new one is too.
    pub(super) fn push(&mut self, instance: &InstanceId, full: bool) {
        if let Some(entry) = self.entries.iter_mut().find(|e| e.instance == *instance) {
            entry.full |= full;
            entry.transmissions = 0;
            return;
        }
        self.entries.push(Entry { instance: instance.clone(), full, transmissions: 0 });
    }

    /// Removes the pending update about `instance`.
    pub(super) fn remove(&mut self, instance: &InstanceId) {
        self.entries.retain(|e| e.instance != *instance);
    }

    /// Takes updates, least transmitted first, while their total cost is at most `max_bytes`. The
    /// first update is taken at any cost. `cost_of` returns the cost of an update about an
    /// instance, in full or not, or `None` for an instance without a record. Updates are dropped
    /// after `max_transmissions`.
    pub(super) fn take(
        &mut self,
        max_bytes: usize,
        max_transmissions: u32,
        cost_of: impl Fn(&InstanceId, bool) -> Option<usize>,
    ) -> Vec<(InstanceId, bool)> {
        if self.entries.is_empty() {
            return Vec::new();
        }
        self.entries.sort_by_key(|e| e.transmissions);
        let mut bytes_left = max_bytes;
        let mut taken = Vec::new();
        for entry in &mut self.entries {
            let Some(cost) = cost_of(&entry.instance, entry.full) else {
                entry.transmissions = max_transmissions;
                continue;
            };
            // A record larger than the whole budget is sent alone.
            if cost > bytes_left && !taken.is_empty() {
                break;
            }
            bytes_left = bytes_left.saturating_sub(cost);
            entry.transmissions += 1;
            taken.push((entry.instance.clone(), entry.full));
        }
        self.entries.retain(|e| e.transmissions < max_transmissions);
        taken
    }

    /// Returns the number of pending updates.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }
}
