//! Idempotency keys: claims at their homes, and the roster of homes.
//!
//! Must not know what a claimed request does.

mod keeper;

pub(crate) use keeper::RosterManager;

use crate::decisions::SharedState;
use crate::ingress::PeerDirectory;
use crate::peers::PeerClients;
use fescuemux_core::base::{Clock, HashMap, InstanceId, RequestId, ServiceId};
use fescuemux_core::dedup::{
    ClockReading, HomeFence, KeyRegistry, Permission, RegistryConfig, RegistryEntry, Roster,
};
use fescuemux_wire::roster::RosterRecord;
use fescuemux_wire::rpc::{
    ClaimResponseWire, KeyOutcomeWire, RegistryEntryWire, RosterExchangeResponse,
};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest time for a claim at another instance.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Keys handed over in one call, about 100 KB.
const HAND_OVER_KEYS: usize = 512;
/// Attempts to settle a claim at another instance. A claim that stays open makes resends of its
/// key "may have run" until it expires.
const SETTLE_ATTEMPTS: u32 = 5;
/// Pause before the second attempt to settle; it doubles.
const SETTLE_PAUSE: Duration = Duration::from_millis(100);
/// Longest time for which a resend waits for the outcome of a request that holds its key. The
/// outcome travels beside the answer, so a resend right after the answer may be there first. An
/// attempt to settle arrives or fails within [`CLAIM_TIMEOUT`].
const OUTCOME_WAIT: Duration = CLAIM_TIMEOUT;
/// Pause between two looks for that outcome, a few round trips within a region.
const OUTCOME_PAUSE: Duration = Duration::from_millis(20);

/// Claims of idempotency keys.
#[derive(Debug)]
pub(crate) struct KeyHomes {
    own: InstanceId,
    clock: Arc<dyn Clock>,
    started: Instant,
    fence: SharedState<HomeFence>,
    registry: SharedState<KeyRegistry>,
    directory: Arc<PeerDirectory>,
    clients: Arc<PeerClients>,
}

impl KeyHomes {
    pub(crate) fn new(
        own: InstanceId,
        clock: Arc<dyn Clock>,
        directory: Arc<PeerDirectory>,
        clients: Arc<PeerClients>,
    ) -> Arc<KeyHomes> {
        let started = ClockReading { monotonic: clock.now(), wall: clock.wall() };
        let registry = KeyRegistry::new(RegistryConfig::default(), started);
        Arc::new(KeyHomes {
            own,
            started: started.monotonic,
            fence: SharedState::new(Arc::clone(&clock), 0, HomeFence::default()),
            registry: SharedState::new(Arc::clone(&clock), 0, registry),
            clock,
            directory,
            clients,
        })
    }

    /// Claims a key at its home for the request `holder`. Waits up to [`OUTCOME_WAIT`] while
    /// another request holds the key without an outcome.
    pub(crate) async fn claim(
        &self,
        service: &ServiceId,
        key: &str,
        holder: RequestId,
        deadline: Instant,
    ) -> ClaimResponseWire {
        let give_up = deadline.min(self.clock.now() + OUTCOME_WAIT);
        loop {
            let claim = self.claim_once(service, key, holder, deadline).await;
            let open = matches!(claim, ClaimResponseWire::Duplicate(KeyOutcomeWire::InProgress));
            if !open || self.clock.now() + OUTCOME_PAUSE >= give_up {
                return claim;
            }
            tokio::time::sleep(OUTCOME_PAUSE).await;
        }
    }

    async fn claim_once(
        &self,
        service: &ServiceId,
        key: &str,
        holder: RequestId,
        deadline: Instant,
    ) -> ClaimResponseWire {
        let (epoch, home) = self.fence.with(|_, fence| {
            (fence.epoch(), fence.roster().and_then(|roster| roster.home(service, key)).cloned())
        });
        let Some(home) = home else { return ClaimResponseWire::Refused };
        if home == self.own {
            return self.claim_locally(epoch, service, key, holder);
        }
        let Some(peer) = self.directory.get(&home) else { return ClaimResponseWire::Refused };
        let Ok(client) = self.clients.get(peer.rpc).await else {
            return ClaimResponseWire::Refused;
        };
        let limit = CLAIM_TIMEOUT.min(deadline.saturating_duration_since(Instant::now()));
        let cx = PeerClients::context(limit);
        let (of, named) = (service.to_string(), key.to_owned());
        match client.claim(cx, epoch, of, named, holder).await {
            Ok(claim) => claim,
            Err(e) => {
                tracing::debug!(%home, error = %e, "a claim got no answer");
                self.clients.disconnect(peer.rpc);
                // The claim may have been granted; nothing will run under it.
                self.settle(service, key, holder, None);
                ClaimResponseWire::Refused
            }
        }
    }

    /// Claims a key at this home.
    pub(crate) fn claim_locally(
        &self,
        epoch: u64,
        service: &ServiceId,
        key: &str,
        holder: RequestId,
    ) -> ClaimResponseWire {
        let permission = self.fence.with(|cx, fence| {
            if epoch != fence.epoch() {
                return None;
            }
            Some(fence.permission(cx.now, &self.own, service, key))
        });
        let Some(Permission::Grant { since }) = permission else {
            tracing::debug!(?permission, "refused a claim");
            return ClaimResponseWire::Refused;
        };
        let wall = self.clock.wall();
        let claim = self
            .registry
            .with(|cx, registry| registry.claim(cx, wall, since, service, key, holder));
        claim.into()
    }

    /// Settles a claim in the background; `None` releases it as not run.
    pub(crate) fn settle(
        &self,
        service: &ServiceId,
        key: &str,
        holder: RequestId,
        outcome: Option<KeyOutcomeWire>,
    ) {
        let home = self.fence.with(|_, f| f.roster().and_then(|r| r.home(service, key)).cloned());
        let Some(home) = home else { return };
        if home == self.own {
            self.settle_locally(service, key, holder, outcome);
            return;
        }
        let Some(peer) = self.directory.get(&home) else { return };
        let clients = Arc::clone(&self.clients);
        let (service, key) = (service.to_string(), key.to_owned());
        tokio::spawn(async move {
            let mut pause = SETTLE_PAUSE;
            for _ in 0..SETTLE_ATTEMPTS {
                if let Ok(client) = clients.get(peer.rpc).await {
                    let cx = PeerClients::context(CLAIM_TIMEOUT);
                    let settling = client.settle(cx, service.clone(), key.clone(), holder, outcome);
                    if settling.await.is_ok() {
                        return;
                    }
                    clients.disconnect(peer.rpc);
                }
                tokio::time::sleep(pause).await;
                pause *= 2;
            }
            tracing::warn!(%home, "a claim could not be settled");
        });
    }

    /// Settles a claim at this home.
    pub(crate) fn settle_locally(
        &self,
        service: &ServiceId,
        key: &str,
        holder: RequestId,
        outcome: Option<KeyOutcomeWire>,
    ) {
        self.registry.with(|cx, registry| match outcome {
            Some(outcome) => registry.settle(cx, service, key, holder, outcome.into()),
            None => registry.release(service, key, holder),
        });
    }

    /// Sends the keys of this home, which no longer grants, to their new homes.
    pub(crate) async fn hand_over(&self) {
        let entries = self.registry.with(|cx, registry| registry.export(cx.now));
        let Some(roster) = self.roster() else { return };
        let mut by_home: HashMap<InstanceId, Vec<RegistryEntryWire>> = HashMap::default();
        for entry in entries {
            let home = entry
                .service_and_key()
                .and_then(|(service, key)| roster.home(&service, key).cloned());
            if let Some(home) = home.filter(|home| *home != self.own) {
                by_home.entry(home).or_default().push(entry.into());
            }
        }
        for (home, entries) in by_home {
            let Some(peer) = self.directory.get(&home) else { continue };
            for part in entries.chunks(HAND_OVER_KEYS) {
                let Ok(client) = self.clients.get(peer.rpc).await else { break };
                let cx = PeerClients::context(CLAIM_TIMEOUT);
                if let Err(e) = client.hand_over(cx, part.to_vec()).await {
                    tracing::warn!(%home, error = %e, "keys could not be handed over");
                    break;
                }
            }
        }
    }

    /// Takes the keys of a home that stops.
    pub(crate) fn take_over(&self, entries: Vec<RegistryEntryWire>) {
        tracing::info!(keys = entries.len(), "keys taken over");
        let entries = entries.into_iter().map(RegistryEntry::from).collect();
        self.registry.with(|cx, registry| registry.import(cx.now, entries));
    }

    /// Answers an exchange of another instance.
    pub(crate) fn answer_exchange(
        &self,
        from: &InstanceId,
        epoch: u64,
        about: Option<&InstanceId>,
    ) -> RosterExchangeResponse {
        tracing::trace!(%from, epoch, "exchange");
        self.fence.with(|cx, fence| {
            fence.on_exchange_request(from, cx.now, epoch);
            let last = about.and_then(|about| fence.last_contact(about)).unwrap_or(self.started);
            let silence = cx.now.saturating_duration_since(last);
            let newer = fence.roster().filter(|roster| roster.epoch > epoch);
            RosterExchangeResponse {
                instance: self.own.to_string(),
                epoch: fence.epoch(),
                settled: fence.is_settled(),
                roster: newer.map(RosterRecord::from),
                silence_ms: u64::try_from(silence.as_millis()).unwrap_or(u64::MAX),
            }
        })
    }

    /// Has an exchange with a peer. Returns its silence about `about`, if it answered.
    pub(crate) async fn exchange(
        &self,
        peer: &InstanceId,
        about: Option<&InstanceId>,
    ) -> Option<Duration> {
        let addr = self.directory.get(peer)?.rpc;
        let (epoch, unsettled_roster) = self.fence.with(|_, fence| {
            let unsettled_roster = fence.roster().filter(|_| !fence.is_settled());
            (fence.epoch(), unsettled_roster.map(RosterRecord::from))
        });
        let sent = self.clock.now();
        let client = self.clients.get(addr).await.ok()?;
        let cx = PeerClients::context(EXCHANGE_TIMEOUT);
        let (own, about) = (self.own.to_string(), about.map(ToString::to_string));
        let Ok(answer) = client.exchange(cx, own, epoch, unsettled_roster, about).await else {
            self.clients.disconnect(addr);
            return None;
        };
        if answer.instance != peer.as_str() {
            return None;
        }
        if let Some(Ok(roster)) = answer.roster.map(Roster::try_from) {
            self.adopt_roster(roster);
        }
        let (epoch, settled) = (answer.epoch, answer.settled);
        self.fence.with(|_, fence| fence.on_exchange(peer, sent, epoch, settled));
        Some(Duration::from_millis(answer.silence_ms))
    }

    /// Takes a roster that was read from the store or a peer.
    pub(crate) fn adopt_roster(&self, roster: Roster) {
        let now = self.now();
        self.fence.with(|_, fence| {
            if roster.epoch > fence.epoch() {
                tracing::info!(
                    epoch = roster.epoch,
                    members = roster.instances.len(),
                    "roster of homes adopted"
                );
            }
            fence.adopt(now, roster);
        });
    }

    /// Advances the settling of the roster.
    pub(crate) fn tick(&self) {
        let now = self.now();
        self.fence.with(|_, fence| fence.tick(now, &self.own));
    }

    /// Returns the present roster.
    pub(crate) fn roster(&self) -> Option<Roster> {
        self.fence.with(|_, fence| fence.roster().cloned())
    }

    /// Returns epoch, whether the roster has settled, and the number of keys held, for a dump.
    pub(crate) fn summary(&self) -> (u64, bool, usize) {
        let (epoch, settled) = self.fence.with(|_, fence| (fence.epoch(), fence.is_settled()));
        (epoch, settled, self.registry.with(|_, registry| registry.len()))
    }

    fn now(&self) -> ClockReading {
        ClockReading { monotonic: self.clock.now(), wall: self.clock.wall() }
    }
}
