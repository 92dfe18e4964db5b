//! When a home may grant claims.

use super::roster::{MIN_REMOVAL_SILENCE, Roster, SELF_FENCE_TIMEOUT};
use crate::base::{HashMap, InstanceId, ServiceId};
use std::collections::VecDeque;
use std::time::{Duration, Instant, SystemTime};

/// Earlier rosters are kept for this long, a little more than the retention of keys: a home
/// that has had a key for longer remembers everything that matters.
const ROSTER_MEMORY: Duration = Duration::from_secs(660);

/// Result of asking the fence for permission to grant a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// The home may grant.
    Grant {
        /// Time since which this home has seen every claim of the key.
        since: ClockReading,
    },
    /// The home must refuse; nothing ran.
    Refuse(ClaimRefusal),
}

/// A point in time on both clocks.
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
    /// No majority of the roster answered within [`SELF_FENCE_TIMEOUT`].
    NoMajority,
    /// A peer has a newer roster.
    StaleRoster,
    /// The key came to this home with a roster that has not settled yet.
    Waiting,
}

/// Decides at a home whether it may grant claims under its roster.
///
/// Keys that move with a new roster are granted once it has settled. It settles as soon as every
/// member of the roster before has it, since none of them grants under the old one any more.
/// When a member is silent, it settles [`MIN_REMOVAL_SILENCE`] after a majority has acknowledged it,
/// and safety rests on intersecting majorities. A home
/// with an older roster needs answers from a majority within [`SELF_FENCE_TIMEOUT`]; the two majorities
/// share a member, which tells it of the newer roster in time. Rosters of neighbouring epochs
/// differ by one instance, so their majorities intersect too. Keys that stay where they are need
/// no wait.
#[derive(Debug, Default)]
pub struct HomeFence {
    exchanges: HashMap<InstanceId, Exchange>,
    /// Times at which peers asked this instance, and the epochs that they had.
    asked: HashMap<InstanceId, (Instant, u64)>,
    /// Rosters of consecutive epochs, oldest first.
    rosters: VecDeque<Held>,
}

#[derive(Clone, Copy, Debug)]
struct Exchange {
    at: Instant,
    epoch: u64,
    settled: bool,
}

#[derive(Debug)]
struct Held {
    roster: Roster,
    adopted: Instant,
    /// Time at which a majority was known to have the roster.
    acknowledged: Option<Instant>,
    settled: Option<ClockReading>,
}

impl HomeFence {
    /// Takes a roster. One that is not newer than the present one changes nothing.
    ///
    /// The first roster of a fleet has no predecessor and settles at once.
    pub fn adopt(&mut self, now: ClockReading, roster: Roster) {
        let present = self.rosters.back().map_or(0, |held| held.roster.epoch);
        if roster.epoch <= present {
            return;
        }
        // What happened in an epoch that was skipped is unknown, so nothing earlier counts.
        if roster.epoch != present + 1 {
            self.rosters.clear();
        }
        let settled = (roster.epoch == 1).then_some(now);
        self.rosters.push_back(Held {
            roster,
            adopted: now.monotonic,
            acknowledged: None,
            settled,
        });
    }

    /// Returns the present roster.
    pub fn roster(&self) -> Option<&Roster> {
        self.rosters.back().map(|held| &held.roster)
    }

    /// Returns the epoch of the present roster, zero without one.
    pub fn epoch(&self) -> u64 {
        self.roster().map_or(0, |roster| roster.epoch)
    }

    /// Returns whether the present roster has settled.
    pub fn is_settled(&self) -> bool {
        self.rosters.back().is_some_and(|held| held.settled.is_some())
    }

    /// Records a two-way exchange with a peer, whose request was sent at `sent` and whose answer
    /// named `epoch` and whether it has settled there. The sending time counts, because the
    /// answer may have been delayed.
    pub fn on_exchange(&mut self, peer: &InstanceId, sent: Instant, epoch: u64, settled: bool) {
        self.exchanges.insert(peer.clone(), Exchange { at: sent, epoch, settled });
    }

    /// Records that a peer with the roster of `epoch` asked this instance for an exchange. Only
    /// members of the present or the previous roster are kept.
    pub fn on_exchange_request(&mut self, peer: &InstanceId, at: Instant, epoch: u64) {
        let member = |held: &Held| held.roster.instances.contains(peer);
        if self.rosters.iter().rev().take(2).any(member) {
            self.asked.insert(peer.clone(), (at, epoch));
        }
    }

    /// Returns the time of the last contact with a peer, whoever asked. A peer that was answered
    /// may count that answer towards its majority, so both directions matter before silence is
    /// attested.
    pub fn last_contact(&self, peer: &InstanceId) -> Option<Instant> {
        let exchanged = self.exchanges.get(peer).map(|exchange| exchange.at);
        exchanged.max(self.asked.get(peer).map(|(at, _)| *at))
    }

    /// Returns whether a peer is known to have the roster of `epoch` or a later one.
    fn has_epoch(&self, peer: &InstanceId, epoch: u64) -> bool {
        let answered = self.exchanges.get(peer).is_some_and(|exchange| exchange.epoch >= epoch);
        answered || self.asked.get(peer).is_some_and(|(_, asked)| *asked >= epoch)
    }

    /// Returns whether every member of the roster before has the present one.
    fn all_have_present(&self, own: &InstanceId) -> bool {
        let mut newest = self.rosters.iter().rev();
        let (Some(present), Some(before)) = (newest.next(), newest.next()) else { return false };
        let epoch = present.roster.epoch;
        before.roster.instances.iter().all(|peer| peer == own || self.has_epoch(peer, epoch))
    }

    /// Advances the settling of the present roster.
    pub fn tick(&mut self, now: ClockReading, own: &InstanceId) {
        let Some(held) = self.rosters.back() else { return };
        if held.settled.is_none() {
            let epoch = held.roster.epoch;
            let acknowledged = self.majority(own, &held.roster, |exchange| exchange.epoch == epoch);
            let told = self.all_have_present(own)
                || self.exchanges.values().any(|e| e.epoch == epoch && e.settled);
            if let Some(held) = self.rosters.back_mut() {
                held.settle(now, acknowledged, told);
            }
        }
        let memory = |held: &Held| now.monotonic.saturating_duration_since(held.adopted);
        while self.rosters.len() > 1
            && self.rosters.get(1).is_some_and(|h| memory(h) > ROSTER_MEMORY)
        {
            self.rosters.pop_front();
        }
    }

    /// Decides about a claim at `now`, which must be read right before the grant, after any
    /// wake-up.
    pub fn permission(
        &self,
        now: Instant,
        own: &InstanceId,
        service: &ServiceId,
        key: &str,
    ) -> Permission {
        let Some(held) = self.rosters.back() else {
            return Permission::Refuse(ClaimRefusal::NotHome);
        };
        let roster = &held.roster;
        if roster.home(service, key) != Some(own) {
            return Permission::Refuse(ClaimRefusal::NotHome);
        }
        if self.exchanges.values().any(|exchange| exchange.epoch > roster.epoch) {
            return Permission::Refuse(ClaimRefusal::StaleRoster);
        }
        if !self.majority(own, roster, |exchange| is_recent(now, exchange)) {
            return Permission::Refuse(ClaimRefusal::NoMajority);
        }
        match self.complete_since(own, service, key) {
            Some(since) => Permission::Grant { since },
            None => Permission::Refuse(ClaimRefusal::Waiting),
        }
    }

    /// Returns the time at which the earliest roster settled that gave the key to this home and
    /// from which on every roster did.
    fn complete_since(
        &self,
        own: &InstanceId,
        service: &ServiceId,
        key: &str,
    ) -> Option<ClockReading> {
        self.rosters
            .iter()
            .rev()
            .take_while(|held| held.roster.home(service, key) == Some(own))
            .filter_map(|held| held.settled)
            .last()
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

impl Held {
    fn settle(&mut self, now: ClockReading, acknowledged: bool, told: bool) {
        if acknowledged && self.acknowledged.is_none() {
            self.acknowledged = Some(now.monotonic);
        }
        let waited = self
            .acknowledged
            .is_some_and(|at| now.monotonic.saturating_duration_since(at) >= MIN_REMOVAL_SILENCE);
        if waited || told {
            self.settled = Some(now);
        }
    }
}

fn is_recent(now: Instant, exchange: &Exchange) -> bool {
    now.saturating_duration_since(exchange.at) < SELF_FENCE_TIMEOUT
}
