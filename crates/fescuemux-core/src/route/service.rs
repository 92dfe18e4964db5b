//! Cached candidate lists of one service.

use crate::base::DomainId;
use crate::route::entry::{CandidateList, Distance, Index};

/// Serving backend servers of one service in one failure domain, lowest rank first.
#[derive(Debug)]
struct DomainGroup {
    domain: DomainId,
    distance: Distance,
    /// Rank and index of each server.
    serving: Vec<(u64, Index)>,
}

/// Candidate lists of one service, updated whenever an entry moves to another list.
#[derive(Debug, Default)]
pub(super) struct ServiceTable {
    groups: Vec<DomainGroup>,
    pub(super) steered: Vec<Index>,
    pub(super) probation: Vec<Index>,
    pub(super) half_open: Vec<Index>,
    pub(super) blocked: Vec<Index>,
    /// Exponential moving average of requests per slot over all answers of the service.
    pub(super) mean_load: f64,
}

/// Fields of a [`ServerEntry`](super::entry::ServerEntry) that decide its place in the lists.
pub(super) struct ListedEntry<'a> {
    pub(super) index: Index,
    pub(super) rank: u64,
    pub(super) domain: &'a DomainId,
    pub(super) distance: Distance,
}

impl ServiceTable {
    pub(super) fn insert(&mut self, entry: &ListedEntry, list: CandidateList) {
        match list {
            CandidateList::Serving => self.insert_serving(entry),
            CandidateList::Unavailable => {}
            _ => self.indices_in(list).push(entry.index),
        }
    }

    pub(super) fn remove(&mut self, entry: &ListedEntry, list: CandidateList) {
        match list {
            CandidateList::Serving => {
                if let Some(group) = self.groups.iter_mut().find(|g| g.domain == *entry.domain) {
                    group.serving.retain(|(_, index)| *index != entry.index);
                }
            }
            CandidateList::Unavailable => {}
            _ => self.indices_in(list).retain(|index| *index != entry.index),
        }
    }

    /// Returns the number of serving servers at `distance` that the ingress may use, at most
    /// `subset_size` in each failure domain.
    pub(super) fn count(&self, distance: Distance, subset_size: usize) -> usize {
        self.groups
            .iter()
            .filter(|g| g.distance == distance)
            .map(|g| g.serving.len().min(subset_size))
            .sum()
    }

    /// Returns the serving server at `position` among those that [`ServiceTable::count`] counts;
    /// `None` beyond the last.
    pub(super) fn at(
        &self,
        distance: Distance,
        subset_size: usize,
        position: usize,
    ) -> Option<Index> {
        let mut offset = position;
        for group in self.groups.iter().filter(|g| g.distance == distance) {
            let len = group.serving.len().min(subset_size);
            if offset < len {
                return Some(group.serving[offset].1);
            }
            offset -= len;
        }
        None
    }

    fn insert_serving(&mut self, entry: &ListedEntry) {
        let known = self.groups.iter().position(|g| g.domain == *entry.domain);
        let group_index = known.unwrap_or_else(|| {
            let group = DomainGroup {
                domain: entry.domain.clone(),
                distance: entry.distance,
                serving: vec![],
            };
            self.groups.push(group);
            self.groups.len() - 1
        });
        let serving = &mut self.groups[group_index].serving;
        let key = (entry.rank, entry.index);
        let position = serving.partition_point(|other| *other < key);
        serving.insert(position, key);
    }

    fn indices_in(&mut self, list: CandidateList) -> &mut Vec<Index> {
        match list {
            CandidateList::Steered => &mut self.steered,
            CandidateList::Probation => &mut self.probation,
            CandidateList::HalfOpen => &mut self.half_open,
            CandidateList::Serving | CandidateList::Blocked | CandidateList::Unavailable => {
                &mut self.blocked
            }
        }
    }
}
