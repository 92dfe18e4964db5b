//! Maintains the roster of homes in the store, and starts the exchanges without which this home may
//! not grant claims.

use super::KeyHomes;
use crate::peers::MembershipDriver;
use crate::stop::{StopPhase, StopSignal};
use fescuemux_core::base::InstanceId;
use fescuemux_core::dedup::{MAX_HOMES, Roster, RosterChange};
use fescuemux_store::{Mutation, Precondition, Store, StoreError, SwapResult};
use fescuemux_wire::roster::{ROSTER_KEY, RosterRecord};
use rand::Rng;
use rand::seq::IndexedRandom;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::Handle;

/// Interval between exchanges with each other home. Four intervals fit into the time after which a
/// home fences itself, that is, refuses claims, if it completes no exchanges with a majority.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which the number of live instances must not change before the roster may be created or
/// changed.
const STABLE_VIEW_TIME: Duration = Duration::from_secs(2);
/// Mean interval at which an instance reads the stored roster and changes it if needed. An instance
/// outside the roster joins it. The first home in the roster that is live according to the
/// membership tries to remove a home that is not live or that is leaving.
const ROSTER_UPDATE_INTERVAL: Duration = Duration::from_secs(15);
/// Time for which the main loop sleeps in each iteration.
const LOOP_INTERVAL: Duration = Duration::from_millis(250);

/// Maintains the roster on behalf of one instance.
pub(crate) struct RosterManager<S> {
    pub(crate) store: S,
    pub(crate) homes: Arc<KeyHomes>,
    pub(crate) members: Arc<MembershipDriver>,
    pub(crate) local_instance: InstanceId,
    pub(crate) runtime: Handle,
}

impl<S: Store> RosterManager<S> {
    /// Maintains the roster until the daemon stops, then leaves it. Blocks.
    pub(crate) fn run(&self, stop: &StopSignal) {
        let mut last_exchange = None::<Instant>;
        let mut last_update = Instant::now();
        let mut live_count_since = (0, Instant::now());
        let mut update_delay = Duration::ZERO;
        let mut last_epoch = 0;
        while stop.phase() < StopPhase::Leaving {
            std::thread::sleep(LOOP_INTERVAL);
            self.homes.tick();
            let live_count = self.live_instances().len();
            if live_count != live_count_since.0 {
                live_count_since = (live_count, Instant::now());
            }
            let roster = self.homes.roster();
            // Exchanges roster epochs with the other homes as soon as the roster changes. The new
            // roster settles only after its homes have exchanged epochs; until then, homes may
            // still grant claims under the old roster.
            let current_epoch = roster.as_ref().map_or(0, |roster| roster.epoch);
            if current_epoch != last_epoch {
                last_epoch = current_epoch;
                last_exchange = None;
            }
            if last_exchange.is_none_or(|at| at.elapsed() >= EXCHANGE_INTERVAL) {
                last_exchange = Some(Instant::now());
                self.exchange_all(roster.as_ref());
            }
            let view_stable = live_count_since.1.elapsed() >= STABLE_VIEW_TIME;
            if view_stable && last_update.elapsed() >= update_delay {
                last_update = Instant::now();
                update_delay = ROSTER_UPDATE_INTERVAL.mul_f64(rand::rng().random_range(0.5..1.5));
                if let Err(e) = self.update_roster() {
                    tracing::debug!(error = %e, "failed to read or update the roster");
                    update_delay = update_delay.min(ROSTER_UPDATE_INTERVAL / 5);
                }
            }
        }
        if let Err(e) = self.leave() {
            tracing::info!(error = %e, "failed to leave the roster");
        }
    }

    /// Removes this instance from the roster, starts exchanges with the remaining homes and hands
    /// its keys over, so that the new homes of the keys can grant claims without a delay.
    fn leave(&self) -> Result<(), StoreError> {
        let Some(entry) = self.store.get(ROSTER_KEY)? else { return Ok(()) };
        let record: Option<RosterRecord> = serde_json::from_slice(&entry.value).ok();
        let Some(Ok(roster)) = record.map(Roster::try_from) else { return Ok(()) };
        let Ok(next) = roster.apply(&RosterChange::Leave(self.local_instance.clone())) else {
            return Ok(());
        };
        if next.instances.is_empty() {
            return Ok(());
        }
        let peers = next.instances.clone();
        self.write(Precondition::Version(entry.version), next)?;
        for peer in peers {
            let homes = Arc::clone(&self.homes);
            self.runtime.spawn(async move { homes.exchange(&peer, None).await });
        }
        self.runtime.block_on(self.homes.hand_over());
        Ok(())
    }

    /// Starts exchanges with all other homes. An instance outside the roster exchanges with one
    /// random home, or with one random live instance if it has no roster, to learn of newer
    /// rosters.
    fn exchange_all(&self, roster: Option<&Roster>) {
        let mut peers: Vec<InstanceId> = match roster {
            Some(roster) => roster.instances.clone(),
            None => self.live_instances(),
        };
        let is_home = peers.contains(&self.local_instance) && roster.is_some();
        peers.retain(|peer| *peer != self.local_instance);
        if !is_home {
            peers = peers.choose(&mut rand::rng()).into_iter().cloned().collect();
        }
        for peer in peers {
            let homes = Arc::clone(&self.homes);
            self.runtime.spawn(async move { homes.exchange(&peer, None).await });
        }
    }

    /// Reads the stored roster. If needed, creates the roster, joins it, or removes a home that is
    /// not live or that is leaving.
    fn update_roster(&self) -> Result<(), StoreError> {
        let Some(entry) = self.store.get(ROSTER_KEY)? else {
            let mut instances = self.live_instances();
            instances.truncate(MAX_HOMES);
            self.write(Precondition::Absent, Roster { epoch: 1, instances })?;
            return Ok(());
        };
        let record: Result<RosterRecord, _> = serde_json::from_slice(&entry.value);
        let roster = record.ok().and_then(|record| Roster::try_from(record).ok());
        let Some(roster) = roster else {
            tracing::error!("malformed roster in the store");
            return Ok(());
        };
        self.homes.adopt_roster(roster.clone());
        let Some(change) = self.choose_change(&roster) else { return Ok(()) };
        match roster.apply(&change) {
            Ok(next) => self.write(Precondition::Version(entry.version), next),
            Err(e) => {
                tracing::debug!(?change, reason = %e, "roster change rejected");
                Ok(())
            }
        }
    }

    /// Returns the change to the roster that this instance should make, if any.
    fn choose_change(&self, roster: &Roster) -> Option<RosterChange> {
        if !roster.instances.contains(&self.local_instance) && roster.instances.len() < MAX_HOMES {
            return Some(RosterChange::Join(self.local_instance.clone()));
        }
        let live = self.live_instances();
        let first = roster.instances.iter().find(|home| live.contains(home))?;
        if *first != self.local_instance {
            return None;
        }
        let absent_home = roster.instances.iter().find(|home| !live.contains(home))?.clone();
        let attestations = self.runtime.block_on(self.collect_attestations(roster, &absent_home));
        Some(RosterChange::Expel { instance: absent_home, attestations })
    }

    /// Returns for each home that responds, and for this instance, the time since that home last
    /// had an exchange with `absent_home`.
    async fn collect_attestations(
        &self,
        roster: &Roster,
        absent_home: &InstanceId,
    ) -> Vec<(InstanceId, Duration)> {
        let own_response =
            self.homes.answer_exchange(&self.local_instance, roster.epoch, Some(absent_home));
        let mut attestations =
            vec![(self.local_instance.clone(), Duration::from_millis(own_response.silence_ms))];
        for peer in roster
            .instances
            .iter()
            .filter(|peer| **peer != self.local_instance && *peer != absent_home)
        {
            if let Some(silence) = self.homes.exchange(peer, Some(absent_home)).await {
                attestations.push((peer.clone(), silence));
            }
        }
        attestations
    }

    fn write(&self, precondition: Precondition, roster: Roster) -> Result<(), StoreError> {
        let value = serde_json::to_vec(&RosterRecord::from(&roster)).unwrap_or_default();
        let change = Mutation::Put { value: &value, lease: None };
        // After an error of unknown effect, the next update reads the stored roster.
        if let SwapResult::Applied(_) =
            self.store.compare_and_swap(ROSTER_KEY, precondition, change)?
        {
            self.homes.adopt_roster(roster);
        }
        Ok(())
    }

    /// Returns the instances that are live and not leaving according to the membership, sorted by
    /// id.
    fn live_instances(&self) -> Vec<InstanceId> {
        let mut live = self.members.live_instances();
        live.sort_unstable();
        live
    }
}
