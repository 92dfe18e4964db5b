//! Which part of the fleet an instance reaches.

use super::{AllowanceMessage, Members};
use crate::base::{Cx, HashMap, InstanceId};
use rand::Rng;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time after which a probe counts as lost. A machine with a tenth of a core may reply only after
/// some tens of milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(240);

/// Lost probes in a row from which an instance counts as lost. One datagram may be lost.
const LOST_AFTER: u32 = 3;

/// Number of results from which the share of reachable instances is estimated.
const SAMPLES: usize = 64;

/// Number of latest results in which two lost probes start the frequent probes.
const RECENT: usize = 12;

/// Probes at each tick: usually, and while probes are lost. At 250 ms, 12 probes a second cost
/// about 1.2 KB/s in both directions.
const PROBES: (usize, usize) = (3, 32);

/// Size of a fleet up to which all instances are probed at each tick, because the share of a few
/// instances is too coarse to be estimated from samples.
const SMALL_FLEET: usize = 8;

/// Shares of reachable instances from which an instance may grant half and all of an allowance. Of
/// two disjoint parts of the fleet at most one reaches the second share, and then the other does
/// not reach the first one.
const QUORUM: (f64, f64) = (0.35, 0.65);

/// Results of probes.
#[derive(Debug, Default)]
pub(super) struct Reachability {
    pending: HashMap<InstanceId, Instant>,
    lost_in_row: HashMap<InstanceId, u32>,
    /// Latest results, newest last.
    results: VecDeque<bool>,
    /// Instances that count before the own one for a customer that it was asked about.
    watched: HashMap<InstanceId, Instant>,
}

impl Reachability {
    /// Records a reply of an instance. Other messages do not show that the path works in both
    /// directions: a counting instance that is not heard would go on counting beside the next one.
    pub(super) fn on_reply(&mut self, from: &InstanceId) {
        self.lost_in_row.remove(from);
        if self.pending.remove(from).is_some() {
            self.record(true);
        }
    }

    /// Returns whether an instance does not answer, and probes it for a while from now on.
    pub(super) fn is_lost(&mut self, now: Instant, id: &InstanceId) -> bool {
        self.watched.insert(id.clone(), now);
        self.lost_in_row.get(id).is_some_and(|lost| *lost >= LOST_AFTER)
    }

    /// Returns the part of an allowance that this instance may grant.
    pub(super) fn weight(&self, members: &Members) -> f64 {
        let count = members.len() as f64;
        let reached = if members.len() <= SMALL_FLEET {
            let lost = self.lost_in_row.values().filter(|lost| **lost >= LOST_AFTER).count();
            1.0 - lost as f64 / count
        } else {
            let answered = self.results.iter().filter(|answered| **answered).count() as f64;
            (answered + 1.0) / (self.results.len() as f64 + 1.0)
        };
        match reached {
            share if share > QUORUM.1 => 1.0,
            share if share > QUORUM.0 => 0.5,
            _ => 0.0,
        }
    }

    /// Returns the probes to send; called at a regular interval of about [`PROBE_TIMEOUT`].
    pub(super) fn tick(
        &mut self,
        cx: &mut Cx,
        members: &Members,
    ) -> Vec<(InstanceId, AllowanceMessage)> {
        let is_late = |at: &Instant| cx.now.saturating_duration_since(*at) >= PROBE_TIMEOUT;
        let late: Vec<_> =
            self.pending.iter().filter(|(_, at)| is_late(at)).map(|(id, _)| id.clone()).collect();
        for id in late {
            self.pending.remove(&id);
            *self.lost_in_row.entry(id).or_default() += 1;
            self.record(false);
        }
        self.lost_in_row.retain(|id, _| members.contains(id));
        self.watched.retain(|_, at| cx.now.saturating_duration_since(*at) < Duration::from_secs(3));
        let recent_losses =
            self.results.iter().rev().take(RECENT).filter(|answered| !**answered).count();
        let count = if recent_losses >= 2 { PROBES.1 } else { PROBES.0 };
        let mut targets: Vec<InstanceId> = self.watched.keys().cloned().collect();
        targets.sort_unstable();
        if members.len() <= SMALL_FLEET {
            targets = members.others().cloned().collect();
        } else {
            let random = (0..count).map(|_| cx.rng.random_range(0..members.len()));
            targets.extend(random.filter_map(|index| members.get(index).cloned()));
        }
        let mut probes = Vec::new();
        for id in targets {
            if id != *members.own_id() && !self.pending.contains_key(&id) {
                self.pending.insert(id.clone(), cx.now);
                probes.push((id, AllowanceMessage::Probe));
            }
        }
        probes
    }

    /// Forgets all results. Called while no customer is active, when there are no probes.
    pub(super) fn reset(&mut self) {
        *self = Reachability::default();
    }

    fn record(&mut self, answered: bool) {
        self.results.push_back(answered);
        if self.results.len() > SAMPLES {
            self.results.pop_front();
        }
    }
}
