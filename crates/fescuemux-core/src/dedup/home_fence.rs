//! When a home may grant claims.

use super::roster::{REMOVAL_SILENCE, Roster, SELF_FENCE};
use crate::base::{HashMap, InstanceId};
use std::time::Instant;

/// Result of asking the fence for permission to grant a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// The home may grant. `fresh` is set on the first permission after a change of the roster
    /// or a start: the registry's history begins now.
    Grant {
        /// Whether the registry must restart its history.
        fresh: bool,
    },
    /// The home must refuse; nothing ran.
    Refuse(FenceReason),
}

/// Reason for refusing every claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceReason {
    /// The instance is not in its roster.
    NotMember,
    /// No majority of the roster answered within [`SELF_FENCE`].
    NoMajority,
    /// A peer has a newer roster.
    StaleRoster,
    /// The instance became a home of further keys less than [`REMOVAL_SILENCE`] ago.
    Waiting,
}

/// Decides at a home whether it may grant claims under its roster.
///
/// Safety rests on intersecting majorities. A newer roster takes effect at its homes only after
/// a majority of it has acknowledged it and [`REMOVAL_SILENCE`] has passed. A home with an older
/// roster needs answers from a majority within [`SELF_FENCE`], and the two majorities share a
/// member, which tells it of the newer roster in time. Rosters of neighbouring epochs differ by
/// one instance, so their majorities intersect too.
#[derive(Debug, Default)]
pub struct HomeFence {
    exchanges: HashMap<InstanceId, Exchange>,
    acknowledged: Option<Acknowledged>,
    granted_epoch: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Exchange {
    at: Instant,
    epoch: u64,
}

/// Time at which a majority was known to have the epoch.
#[derive(Clone, Copy, Debug)]
struct Acknowledged {
    epoch: u64,
    at: Instant,
}

impl HomeFence {
    /// Records a two-way exchange with a peer, whose request was sent at `sent` and whose answer
    /// named `epoch`. The sending time counts, because the answer may have been delayed.
    pub fn on_exchange(&mut self, peer: &InstanceId, sent: Instant, epoch: u64) {
        self.exchanges.insert(peer.clone(), Exchange { at: sent, epoch });
    }

    /// Returns the time of the last exchange with a peer.
    pub fn last_exchange(&self, peer: &InstanceId) -> Option<Instant> {
        self.exchanges.get(peer).map(|exchange| exchange.at)
    }

    /// Decides at `now`, which must be read right before the grant, after any wake-up.
    ///
    /// `bootstrap` states that this is the first roster ever, which has no predecessor to wait
    /// for.
    pub fn permission(
        &mut self,
        now: Instant,
        own: &InstanceId,
        roster: &Roster,
        bootstrap: bool,
    ) -> Permission {
        if !roster.instances.contains(own) {
            return Permission::Refuse(FenceReason::NotMember);
        }
        if self.exchanges.values().any(|exchange| exchange.epoch > roster.epoch) {
            return Permission::Refuse(FenceReason::StaleRoster);
        }
        if !self.majority(own, roster, |exchange| is_recent(now, exchange)) {
            return Permission::Refuse(FenceReason::NoMajority);
        }
        if !self.waited(now, own, roster, bootstrap) {
            return Permission::Refuse(FenceReason::Waiting);
        }
        let fresh = self.granted_epoch != Some(roster.epoch);
        self.granted_epoch = Some(roster.epoch);
        Permission::Grant { fresh }
    }

    /// Returns whether a majority acknowledged the roster at least [`REMOVAL_SILENCE`] ago.
    fn waited(&mut self, now: Instant, own: &InstanceId, roster: &Roster, bootstrap: bool) -> bool {
        if bootstrap {
            return true;
        }
        let known = self.acknowledged.is_some_and(|ack| ack.epoch == roster.epoch);
        if !known && self.majority(own, roster, |exchange| exchange.epoch == roster.epoch) {
            self.acknowledged = Some(Acknowledged { epoch: roster.epoch, at: now });
        }
        self.acknowledged.is_some_and(|ack| {
            ack.epoch == roster.epoch && now.saturating_duration_since(ack.at) >= REMOVAL_SILENCE
        })
    }

    fn majority(
        &self,
        own: &InstanceId,
        roster: &Roster,
        counts: impl Fn(&Exchange) -> bool,
    ) -> bool {
        let agreeing = roster
            .instances
            .iter()
            .filter(|member| *member == own || self.exchanges.get(*member).is_some_and(&counts))
            .count();
        agreeing * 2 > roster.instances.len()
    }
}

fn is_recent(now: Instant, exchange: &Exchange) -> bool {
    now.saturating_duration_since(exchange.at) < SELF_FENCE
}
