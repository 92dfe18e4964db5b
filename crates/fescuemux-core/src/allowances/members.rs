//! Known instances and the order in which they count the requests of a customer.

use super::CallerHash;
use crate::base::{InstanceId, mix, stable_hash};
use std::time::Instant;

/// Instances that an ingress asks, in their order, before it uses its fixed share.
const CANDIDATES: usize = 3;

/// Known instances, sorted by name.
#[derive(Clone, Debug)]
pub struct Members {
    ids: Vec<(InstanceId, u64)>,
    own_id: InstanceId,
    changed_at: Option<Instant>,
    is_known: bool,
}

impl Members {
    /// Returns the list that holds only the own instance.
    pub fn new(own_id: InstanceId) -> Members {
        let ids = vec![(own_id.clone(), stable_hash(&[own_id.as_bytes()]))];
        Members { ids, own_id, changed_at: None, is_known: false }
    }

    /// Replaces the list. The own instance is always part of it.
    pub fn set(&mut self, now: Instant, ids: impl Iterator<Item = InstanceId>) {
        let own_id = self.own_id.clone();
        let hashed = ids.filter(|id| *id != own_id).chain([own_id.clone()]);
        let mut ids: Vec<_> =
            hashed.map(|id| (id.clone(), stable_hash(&[id.as_bytes()]))).collect();
        ids.sort_unstable();
        ids.dedup();
        self.is_known = true;
        if ids != self.ids {
            // The first list is no change: the counting instances were the same before.
            let is_first = std::mem::replace(&mut self.ids, ids).len() == 1;
            self.changed_at = (!is_first).then_some(now).or(self.changed_at);
        }
    }

    /// Returns the name of the own instance.
    pub fn own_id(&self) -> &InstanceId {
        &self.own_id
    }

    /// Returns whether [`Members::set`] was called. Before, each instance would count for itself.
    pub(super) fn is_known(&self) -> bool {
        self.is_known
    }

    /// Returns the instance that counts the requests of a customer while it is reachable.
    pub fn counting_instance(&self, caller: CallerHash) -> Option<&InstanceId> {
        self.candidates(caller).into_iter().next()
    }

    /// Returns the number of instances.
    pub(super) fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns the time of the last change after the first list.
    pub(super) fn changed_at(&self) -> Option<Instant> {
        self.changed_at
    }

    /// Returns the other instances.
    pub(super) fn others(&self) -> impl Iterator<Item = &InstanceId> {
        self.ids.iter().map(|(id, _)| id).filter(|id| **id != self.own_id)
    }

    /// Returns whether an instance is known.
    pub(super) fn contains(&self, id: &InstanceId) -> bool {
        self.ids.binary_search_by(|(other, _)| other.cmp(id)).is_ok()
    }

    /// Returns the instance at `index`.
    pub(super) fn get(&self, index: usize) -> Option<&InstanceId> {
        self.ids.get(index).map(|(id, _)| id)
    }

    /// Returns the instances that count the requests of a customer, the first one first.
    pub(super) fn candidates(&self, caller: CallerHash) -> Vec<&InstanceId> {
        let mut best: Vec<(u64, &InstanceId)> = Vec::with_capacity(CANDIDATES + 1);
        for (id, hash) in &self.ids {
            let entry = (mix(hash ^ caller), id);
            let at = best.partition_point(|other| *other < entry);
            if at < CANDIDATES {
                best.insert(at, entry);
                best.truncate(CANDIDATES);
            }
        }
        best.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the fixed share of the own instance in `total` requests. The shares of all instances
    /// are whole numbers and add up to at most `total`.
    pub(super) fn fixed_share(&self, caller: CallerHash, total: f64) -> u32 {
        let own_index = self.ids.iter().position(|(id, _)| *id == self.own_id).unwrap_or(0);
        let count = self.ids.len() as u64;
        let index = (own_index as u64 + caller % count) % count;
        let up_to = |index: u64| (total * index as f64 / count as f64) as u32;
        up_to(index + 1) - up_to(index)
    }
}
