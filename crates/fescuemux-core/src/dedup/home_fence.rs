//! Fencing of homes: decides when a home may grant claims.
//!
//! A roster has settled when no home grants claims under an earlier roster any more. A claim is
//! settled when the outcome of its request has been reported to the home.

use super::roster::{MIN_REMOVAL_SILENCE, Roster, SELF_FENCE_TIMEOUT};
use crate::base::{HashMap, InstanceId, ServiceId};
use std::collections::VecDeque;
use std::time::{Duration, Instant, SystemTime};

/// Time for which a roster is kept after the adoption of its successor. Slightly exceeds the
/// retention of keys, so every claim granted under a dropped roster has expired.
const ROSTER_RETENTION: Duration = Duration::from_secs(660);

/// Decision of the fence on whether a home may grant a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// The home may grant.
    Grant {
        /// Time since which this home has received every claim for the key.
        since: ClockReading,
    },
    /// The home must refuse the claim; the request was not run.
    Refuse(ClaimRefusal),
}

/// One point in time, read from the monotonic clock and the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Monotonic time.
    pub monotonic: Instant,
    /// Wall-clock time.
    pub wall: SystemTime,
}

/// Reason for refusing a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimRefusal {
    /// The instance is not the home of the key.
    NotHome,
    /// No majority of the roster, counting this home, answered a request sent within the last
    /// [`SELF_FENCE_TIMEOUT`].
    NoMajority,
    /// A peer has a newer roster.
    StaleRoster,
    /// None of the latest rosters that assign the key to this home has settled here yet.
    Waiting,
}

/// Decides at a home whether it may grant claims under its roster.
///
/// A key that moves to another home is granted there once the new roster has settled. A roster
/// settles as soon as every member of the previous roster has adopted the new one, because none of
/// these members grants claims under the previous roster any more, or as soon as a peer reports the
/// roster as settled. If a member is silent, the roster settles [`MIN_REMOVAL_SILENCE`] after a
/// majority has acknowledged the roster. This is safe because majorities intersect: a home with an
/// older roster needs responses from a majority within [`SELF_FENCE_TIMEOUT`], and at least one
/// member of this majority reports the newer roster. Rosters of consecutive epochs differ by one
/// instance, so their majorities also intersect. A key that stays at its home need not wait for the
/// new roster to settle.
#[derive(Debug, Default)]
pub struct HomeFence {
    /// Latest answered request to each peer.
    exchanges: HashMap<InstanceId, Exchange>,
    /// Latest exchange request from each peer: time of receipt and the peer's roster epoch.
    peer_requests: HashMap<InstanceId, (Instant, u64)>,
    /// Rosters of consecutive epochs, oldest first.
    rosters: VecDeque<AdoptedRoster>,
}

/// Request to a peer that the peer answered with the state of its roster.
#[derive(Clone, Copy, Debug)]
struct Exchange {
    sent_at: Instant,
    /// Epoch of the peer's roster.
    epoch: u64,
    /// Whether the peer's roster has settled at the peer.
    settled: bool,
}

#[derive(Debug)]
struct AdoptedRoster {
    roster: Roster,
    adopted_at: Instant,
    /// Time since which a majority is known to have the roster.
    acknowledged_at: Option<Instant>,
    /// Time at which the roster settled at this instance.
    settled_at: Option<ClockReading>,
}

impl HomeFence {
    /// Adopts `roster`. Has no effect unless it is newer than the current one.
    ///
    /// The first roster of a fleet has no predecessor and settles at once.
    pub fn adopt(&mut self, now: ClockReading, roster: Roster) {
        let current = self.rosters.back().map_or(0, |entry| entry.roster.epoch);
        if roster.epoch <= current {
            return;
        }
        // Another home may have granted claims during a skipped epoch, so earlier rosters do not
        // show since when this home has received every claim.
        if roster.epoch != current + 1 {
            self.rosters.clear();
        }
        let settled_at = (roster.epoch == 1).then_some(now);
        self.rosters.push_back(AdoptedRoster {
            roster,
            adopted_at: now.monotonic,
            acknowledged_at: None,
            settled_at,
        });
    }

    /// Returns the current roster.
    pub fn roster(&self) -> Option<&Roster> {
        self.rosters.back().map(|entry| &entry.roster)
    }

    /// Returns the epoch of the current roster, or zero if there is none.
    pub fn epoch(&self) -> u64 {
        self.roster().map_or(0, |roster| roster.epoch)
    }

    /// Returns whether the current roster has settled.
    pub fn is_settled(&self) -> bool {
        self.rosters.back().is_some_and(|entry| entry.settled_at.is_some())
    }

    /// Records an answered request to `peer`. The request was sent at `sent_at`; the response
    /// reported the peer's roster `epoch` and whether that roster has `settled` at the peer. The
    /// time of sending is recorded because the response may have been delayed.
    pub fn on_exchange(&mut self, peer: &InstanceId, sent_at: Instant, epoch: u64, settled: bool) {
        self.exchanges.insert(peer.clone(), Exchange { sent_at, epoch, settled });
    }

    /// Records an exchange request from `peer`, which has the roster of `epoch`. Requests from
    /// instances outside the current and the previous roster are ignored.
    pub fn on_exchange_request(&mut self, peer: &InstanceId, received_at: Instant, epoch: u64) {
        let includes_peer = |entry: &AdoptedRoster| entry.roster.instances.contains(peer);
        if self.rosters.iter().rev().take(2).any(includes_peer) {
            self.peer_requests.insert(peer.clone(), (received_at, epoch));
        }
    }

    /// Returns the time of the last contact with `peer`: the later of the sending of the latest
    /// answered request to `peer` and the receipt of the latest request from `peer`. Requests from
    /// `peer` also end its silence, because `peer` may count the response of this instance towards
    /// a majority.
    pub fn last_contact(&self, peer: &InstanceId) -> Option<Instant> {
        let exchanged = self.exchanges.get(peer).map(|exchange| exchange.sent_at);
        exchanged.max(self.peer_requests.get(peer).map(|(received_at, _)| *received_at))
    }

    /// Returns whether `peer` is known to have the roster of `epoch` or a later one.
    fn has_epoch_or_later(&self, peer: &InstanceId, epoch: u64) -> bool {
        let reported_in_response =
            self.exchanges.get(peer).is_some_and(|exchange| exchange.epoch >= epoch);
        reported_in_response
            || self.peer_requests.get(peer).is_some_and(|(_, peer_epoch)| *peer_epoch >= epoch)
    }

    /// Returns whether every member of the previous roster is known to have the current roster.
    fn all_previous_members_have_current(&self, local: &InstanceId) -> bool {
        let mut newest_first = self.rosters.iter().rev();
        let (Some(current), Some(previous)) = (newest_first.next(), newest_first.next()) else {
            return false;
        };
        let epoch = current.roster.epoch;
        previous
            .roster
            .instances
            .iter()
            .all(|peer| peer == local || self.has_epoch_or_later(peer, epoch))
    }

    /// Settles the current roster if a condition for settling holds, and drops expired rosters.
    pub fn tick(&mut self, now: ClockReading, local: &InstanceId) {
        let Some(entry) = self.rosters.back() else { return };
        if entry.settled_at.is_none() {
            let epoch = entry.roster.epoch;
            let majority_acknowledged =
                self.has_majority(local, &entry.roster, |exchange| exchange.epoch == epoch);
            let may_settle_now = self.all_previous_members_have_current(local)
                || self
                    .exchanges
                    .values()
                    .any(|exchange| exchange.epoch == epoch && exchange.settled);
            if let Some(entry) = self.rosters.back_mut() {
                entry.settle_if_due(now, majority_acknowledged, may_settle_now);
            }
        }
        let age_of =
            |entry: &AdoptedRoster| now.monotonic.saturating_duration_since(entry.adopted_at);
        while self.rosters.len() > 1
            && self.rosters.get(1).is_some_and(|entry| age_of(entry) > ROSTER_RETENTION)
        {
            self.rosters.pop_front();
        }
    }

    /// Decides whether this home may grant a claim at `now`. Read `now` immediately before the
    /// grant, so that a pause of the process cannot make it stale.
    pub fn permission(
        &self,
        now: Instant,
        local: &InstanceId,
        service: &ServiceId,
        key: &str,
    ) -> Permission {
        let Some(entry) = self.rosters.back() else {
            return Permission::Refuse(ClaimRefusal::NotHome);
        };
        let roster = &entry.roster;
        if roster.home(service, key) != Some(local) {
            return Permission::Refuse(ClaimRefusal::NotHome);
        }
        if self.exchanges.values().any(|exchange| exchange.epoch > roster.epoch) {
            return Permission::Refuse(ClaimRefusal::StaleRoster);
        }
        if !self.has_majority(local, roster, |exchange| is_recent(now, exchange)) {
            return Permission::Refuse(ClaimRefusal::NoMajority);
        }
        match self.claims_complete_since(local, service, key) {
            Some(since) => Permission::Grant { since },
            None => Permission::Refuse(ClaimRefusal::Waiting),
        }
    }

    /// Returns the time since which this home has received every claim for the key. Considers the
    /// unbroken run of latest rosters that assign the key to this home, and returns the time at
    /// which the earliest settled roster of this run settled.
    fn claims_complete_since(
        &self,
        local: &InstanceId,
        service: &ServiceId,
        key: &str,
    ) -> Option<ClockReading> {
        self.rosters
            .iter()
            .rev()
            .take_while(|entry| entry.roster.home(service, key) == Some(local))
            .filter_map(|entry| entry.settled_at)
            .last()
    }

    /// Returns whether this instance and the peers whose latest exchange `matches` form a majority
    /// of `roster`.
    fn has_majority(
        &self,
        local: &InstanceId,
        roster: &Roster,
        matches: impl Fn(&Exchange) -> bool,
    ) -> bool {
        let matching = roster
            .instances
            .iter()
            .filter(|member| *member == local || self.exchanges.get(*member).is_some_and(&matches))
            .count();
        matching * 2 > roster.instances.len()
    }
}

impl AdoptedRoster {
    fn settle_if_due(
        &mut self,
        now: ClockReading,
        majority_acknowledged: bool,
        may_settle_now: bool,
    ) {
        if majority_acknowledged && self.acknowledged_at.is_none() {
            self.acknowledged_at = Some(now.monotonic);
        }
        let wait_elapsed = self
            .acknowledged_at
            .is_some_and(|at| now.monotonic.saturating_duration_since(at) >= MIN_REMOVAL_SILENCE);
        if wait_elapsed || may_settle_now {
            self.settled_at = Some(now);
        }
    }
}

fn is_recent(now: Instant, exchange: &Exchange) -> bool {
    now.saturating_duration_since(exchange.sent_at) < SELF_FENCE_TIMEOUT
}
