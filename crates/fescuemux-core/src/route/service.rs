//! Cached candidate lists of one service.

use crate::base::DomainId;
use crate::route::entry::{Class, Index, Tier};

/// Serving backend servers of one service in one failure domain, lowest rank first.
#[derive(Debug)]
struct DomainGroup {
    domain: DomainId,
    tier: Tier,
    ready: Vec<(u64, Index)>,
}

/// Candidate lists of one service, updated whenever an entry changes class.
#[derive(Debug, Default)]
pub(super) struct ServiceTable {
    groups: Vec<DomainGroup>,
    pub(super) steered: Vec<Index>,
    pub(super) probation: Vec<Index>,
    pub(super) half_open: Vec<Index>,
    pub(super) blocked: Vec<Index>,
    /// Exponential moving average of requests per slot over all answers.
    pub(super) mean_load: f64,
}

/// Fields of an [`Entry`](super::entry::Entry) that decide its place in the lists.
pub(super) struct ListedEntry<'a> {
    pub(super) index: Index,
    pub(super) rank: u64,
    pub(super) domain: &'a DomainId,
    pub(super) tier: Tier,
}

impl ServiceTable {
    pub(super) fn insert(&mut self, entry: &ListedEntry, class: Class) {
        match class {
            Class::Ready => self.insert_ready(entry),
            Class::Unavailable => {}
            _ => self.list(class).push(entry.index),
        }
    }

    pub(super) fn remove(&mut self, entry: &ListedEntry, class: Class) {
        match class {
            Class::Ready => {
                if let Some(group) = self.groups.iter_mut().find(|g| g.domain == *entry.domain) {
                    group.ready.retain(|(_, index)| *index != entry.index);
                }
            }
            Class::Unavailable => {}
            _ => self.list(class).retain(|index| *index != entry.index),
        }
    }

    /// Returns the number of servers that the ingress may use in `tier`, at most `subset_size`
    /// for each failure domain.
    pub(super) fn count(&self, tier: Tier, subset_size: usize) -> usize {
        self.groups.iter().filter(|g| g.tier == tier).map(|g| g.ready.len().min(subset_size)).sum()
    }

    /// Returns the server at `position`, which is below [`ServiceTable::count`].
    pub(super) fn at(&self, tier: Tier, subset_size: usize, position: usize) -> Option<Index> {
        let mut offset = position;
        for group in self.groups.iter().filter(|g| g.tier == tier) {
            let len = group.ready.len().min(subset_size);
            if offset < len {
                return Some(group.ready[offset].1);
            }
            offset -= len;
        }
        None
    }

    fn insert_ready(&mut self, entry: &ListedEntry) {
        let known = self.groups.iter().position(|g| g.domain == *entry.domain);
        let group_index = known.unwrap_or_else(|| {
            let group =
                DomainGroup { domain: entry.domain.clone(), tier: entry.tier, ready: vec![] };
            self.groups.push(group);
            self.groups.len() - 1
        });
        let ready = &mut self.groups[group_index].ready;
        let key = (entry.rank, entry.index);
        let position = ready.partition_point(|other| *other < key);
        ready.insert(position, key);
    }

    fn list(&mut self, class: Class) -> &mut Vec<Index> {
        match class {
            Class::Steered => &mut self.steered,
            Class::Probation => &mut self.probation,
            Class::HalfOpen => &mut self.half_open,
            Class::Ready | Class::Blocked | Class::Unavailable => &mut self.blocked,
        }
    }
}
