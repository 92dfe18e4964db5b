//! Cached candidate lists of one service.

use crate::base::DomainId;
use crate::route::entry::{Class, Index, Tier};

/// Serving backend servers of one service in one failure domain, lowest rank first.
#[derive(Debug)]
struct Group {
    domain: DomainId,
    tier: Tier,
    ready: Vec<(u64, Index)>,
}

/// Candidate lists of one service, updated whenever an entry changes class.
#[derive(Debug, Default)]
pub(super) struct ServiceTable {
    groups: Vec<Group>,
    pub(super) steered: Vec<Index>,
    pub(super) probation: Vec<Index>,
    pub(super) half_open: Vec<Index>,
    pub(super) blocked: Vec<Index>,
    /// Moving mean of requests per slot over all answers.
    pub(super) mean_load: f64,
}

/// Position of an entry in the lists.
pub(super) struct Place<'a> {
    pub(super) index: Index,
    pub(super) rank: u64,
    pub(super) domain: &'a DomainId,
    pub(super) tier: Tier,
}

impl ServiceTable {
    pub(super) fn insert(&mut self, place: &Place, class: Class) {
        match class {
            Class::Ready => self.insert_ready(place),
            Class::Off => {}
            _ => self.list(class).push(place.index),
        }
    }

    pub(super) fn remove(&mut self, place: &Place, class: Class) {
        match class {
            Class::Ready => {
                if let Some(group) = self.groups.iter_mut().find(|g| g.domain == *place.domain) {
                    group.ready.retain(|(_, index)| *index != place.index);
                }
            }
            Class::Off => {}
            _ => self.list(class).retain(|index| *index != place.index),
        }
    }

    /// Counts the servers that the ingress may use in `tier`.
    pub(super) fn count(&self, tier: Tier, subset_size: usize) -> usize {
        self.groups.iter().filter(|g| g.tier == tier).map(|g| g.ready.len().min(subset_size)).sum()
    }

    /// Returns the server at `position` of the servers that [`ServiceTable::count`] counts.
    pub(super) fn at(&self, tier: Tier, subset_size: usize, position: usize) -> Option<Index> {
        let mut rest = position;
        for group in self.groups.iter().filter(|g| g.tier == tier) {
            let len = group.ready.len().min(subset_size);
            if rest < len {
                return Some(group.ready[rest].1);
            }
            rest -= len;
        }
        None
    }

    fn insert_ready(&mut self, place: &Place) {
        let known = self.groups.iter().position(|g| g.domain == *place.domain);
        let at = known.unwrap_or_else(|| {
            let group = Group { domain: place.domain.clone(), tier: place.tier, ready: vec![] };
            self.groups.push(group);
            self.groups.len() - 1
        });
        let ready = &mut self.groups[at].ready;
        let key = (place.rank, place.index);
        let position = ready.partition_point(|other| *other < key);
        ready.insert(position, key);
    }

    fn list(&mut self, class: Class) -> &mut Vec<Index> {
        match class {
            Class::Steered => &mut self.steered,
            Class::Probation => &mut self.probation,
            Class::HalfOpen => &mut self.half_open,
            Class::Ready | Class::Blocked | Class::Off => &mut self.blocked,
        }
    }
}
