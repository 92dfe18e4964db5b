//! Keeps the roster of homes in the store and the fence of this home open.

use super::KeyHomes;
use crate::peers::MembershipDriver;
use crate::stop::{StopPhase, StopSignal};
use fescuemux_core::base::InstanceId;
use fescuemux_core::dedup::{MAX_HOMES, Roster, RosterChange};
use fescuemux_store::{Change, Expect, Store, StoreError, Swap};
use fescuemux_wire::roster::{ROSTER_KEY, RosterRecord};
use rand::Rng;
use rand::seq::IndexedRandom;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::Handle;

/// Interval of exchanges with each other home. Four of them fit into the time after which a home
/// without exchanges fences itself.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(5);
/// The first roster is made when the view of the fleet has not changed for this long.
const QUIET_TIME: Duration = Duration::from_secs(2);
/// Mean interval at which an instance outside the roster tries to join, and at which the first
/// home looks for silent ones.
const CHANGE_INTERVAL: Duration = Duration::from_secs(15);
/// Interval of the keeper's own steps.
const STEP: Duration = Duration::from_millis(250);

/// Keeper of the roster at one instance.
pub(crate) struct RosterManager<S> {
    pub(crate) store: S,
    pub(crate) homes: Arc<KeyHomes>,
    pub(crate) members: Arc<MembershipDriver>,
    pub(crate) own: InstanceId,
    pub(crate) runtime: Handle,
}

impl<S: Store> RosterManager<S> {
    /// Works until the daemon stops. Blocks.
    pub(crate) fn run(&self, stop: &StopSignal) {
        let mut exchanged = None::<Instant>;
        let mut changed = Instant::now();
        let mut view = (0, Instant::now());
        let mut wait = Duration::ZERO;
        let mut epoch = 0;
        while stop.phase() < StopPhase::Leaving {
            std::thread::sleep(STEP);
            self.homes.tick();
            let live = self.live().len();
            if live != view.0 {
                view = (live, Instant::now());
            }
            let roster = self.homes.roster();
            // A new roster settles as soon as its members have heard of each other.
            let present = roster.as_ref().map_or(0, |roster| roster.epoch);
            if present != epoch {
                epoch = present;
                exchanged = None;
            }
            if exchanged.is_none_or(|at| at.elapsed() >= EXCHANGE_INTERVAL) {
                exchanged = Some(Instant::now());
                self.exchange_all(roster.as_ref());
            }
            let quiet = view.1.elapsed() >= QUIET_TIME;
            if quiet && changed.elapsed() >= wait {
                changed = Instant::now();
                wait = CHANGE_INTERVAL.mul_f64(rand::rng().random_range(0.5..1.5));
                if let Err(e) = self.improve() {
                    tracing::debug!(error = %e, "the roster cannot be read or changed");
                    wait = wait.min(CHANGE_INTERVAL / 5);
                }
            }
        }
        if let Err(e) = self.leave() {
            tracing::info!(error = %e, "the roster could not be left");
        }
    }

    /// Leaves the roster and tells all homes, so that the keys of this home settle elsewhere
    /// without a wait.
    fn leave(&self) -> Result<(), StoreError> {
        let Some(entry) = self.store.get(ROSTER_KEY)? else { return Ok(()) };
        let record: Option<RosterRecord> = serde_json::from_slice(&entry.value).ok();
        let Some(Ok(roster)) = record.map(Roster::try_from) else { return Ok(()) };
        let Ok(next) = roster.apply(&RosterChange::Leave(self.own.clone())) else { return Ok(()) };
        if next.instances.is_empty() {
            return Ok(());
        }
        let peers = next.instances.clone();
        self.write(Expect::Version(entry.version), next)?;
        for peer in peers {
            let homes = Arc::clone(&self.homes);
            self.runtime.spawn(async move { homes.exchange(&peer, None).await });
        }
        self.runtime.block_on(self.homes.hand_over());
        Ok(())
    }

    /// Has exchanges with all other homes; an instance outside the roster asks one member only,
    /// to learn of newer rosters.
    fn exchange_all(&self, roster: Option<&Roster>) {
        let mut peers: Vec<InstanceId> = match roster {
            Some(roster) => roster.instances.clone(),
            None => self.live(),
        };
        let is_home = peers.contains(&self.own) && roster.is_some();
        peers.retain(|peer| *peer != self.own);
        if !is_home {
            peers = peers.choose(&mut rand::rng()).into_iter().cloned().collect();
        }
        for peer in peers {
            let homes = Arc::clone(&self.homes);
            self.runtime.spawn(async move { homes.exchange(&peer, None).await });
        }
    }

    /// Reads the roster, makes the first one, joins it, or removes a silent member.
    fn improve(&self) -> Result<(), StoreError> {
        let Some(entry) = self.store.get(ROSTER_KEY)? else {
            let mut instances = self.live();
            instances.truncate(MAX_HOMES);
            self.write(Expect::Absent, Roster { epoch: 1, instances })?;
            return Ok(());
        };
        let record: Result<RosterRecord, _> = serde_json::from_slice(&entry.value);
        let roster = record.ok().and_then(|record| Roster::try_from(record).ok());
        let Some(roster) = roster else {
            tracing::error!("the roster in the store is malformed");
            return Ok(());
        };
        self.homes.adopt_roster(roster.clone());
        let Some(change) = self.change(&roster) else { return Ok(()) };
        match roster.apply(&change) {
            Ok(next) => self.write(Expect::Version(entry.version), next),
            Err(e) => {
                tracing::debug!(?change, reason = %e, "roster unchanged");
                Ok(())
            }
        }
    }

    fn change(&self, roster: &Roster) -> Option<RosterChange> {
        if !roster.instances.contains(&self.own) && roster.instances.len() < MAX_HOMES {
            return Some(RosterChange::Join(self.own.clone()));
        }
        let live = self.live();
        let first = roster.instances.iter().find(|home| live.contains(home))?;
        if *first != self.own {
            return None;
        }
        let silent = roster.instances.iter().find(|home| !live.contains(home))?.clone();
        let attestations = self.runtime.block_on(self.attest(roster, &silent));
        Some(RosterChange::Expel { instance: silent, attestations })
    }

    async fn attest(&self, roster: &Roster, silent: &InstanceId) -> Vec<(InstanceId, Duration)> {
        let own = self.homes.answer_exchange(&self.own, roster.epoch, Some(silent));
        let mut attestations = vec![(self.own.clone(), Duration::from_millis(own.silence_ms))];
        for peer in roster.instances.iter().filter(|peer| **peer != self.own && *peer != silent) {
            if let Some(silence) = self.homes.exchange(peer, Some(silent)).await {
                attestations.push((peer.clone(), silence));
            }
        }
        attestations
    }

    fn write(&self, expect: Expect, roster: Roster) -> Result<(), StoreError> {
        let value = serde_json::to_vec(&RosterRecord::from(&roster)).unwrap_or_default();
        let change = Change::Put { value: &value, lease: None };
        // After an unknown effect the next step reads what the store holds.
        if let Swap::Done(_) = self.store.compare_and_swap(ROSTER_KEY, expect, change)? {
            self.homes.adopt_roster(roster);
        }
        Ok(())
    }

    fn live(&self) -> Vec<InstanceId> {
        let mut live = self.members.live_instances();
        live.sort_unstable();
        live
    }
}
