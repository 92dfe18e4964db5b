//! Idempotency keys: claims of keys and the roster of homes.
//!
//! The home of a key is the instance that records its claims. The roster lists the instances that
//! are homes; each new roster has a higher epoch. A roster has settled when no home grants claims
//! under an earlier roster any more. Must not depend on what a request does.

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

/// Timeout of a call to another instance that claims, settles or hands over keys.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of an exchange of epochs and rosters with another instance.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of keys handed over in one call, about 100 KB.
const HAND_OVER_BATCH_KEYS: usize = 512;
/// Maximum number of attempts to settle a claim at another instance. If all fail, resends of the
/// key are answered "may have run" until the claim expires.
const SETTLE_ATTEMPTS: u32 = 5;
/// Delay before the second attempt to settle a claim; doubles with each further attempt.
const SETTLE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum time for which a resend waits for the outcome of the request that holds its key. The
/// outcome is sent to the home concurrently with the response, so a resend right after the response
/// may reach the home before the outcome does. The wait covers one attempt to settle the claim,
/// which arrives or fails within [`CLAIM_TIMEOUT`].
const MAX_OUTCOME_WAIT: Duration = CLAIM_TIMEOUT;
/// Interval at which a waiting resend repeats its claim, a few round trips within a region.
const OUTCOME_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Claims idempotency keys at their homes and serves claims of keys whose home is this instance.
#[derive(Debug)]
pub(crate) struct KeyHomes {
    local_instance: InstanceId,
    clock: Arc<dyn Clock>,
    started: Instant,
    fence: SharedState<HomeFence>,
    registry: SharedState<KeyRegistry>,
    directory: Arc<PeerDirectory>,
    clients: Arc<PeerClients>,
}

impl KeyHomes {
    pub(crate) fn new(
        local_instance: InstanceId,
        clock: Arc<dyn Clock>,
        directory: Arc<PeerDirectory>,
        clients: Arc<PeerClients>,
    ) -> Arc<KeyHomes> {
        let started = ClockReading { monotonic: clock.now(), wall: clock.wall() };
        let registry = KeyRegistry::new(RegistryConfig::default(), started);
        Arc::new(KeyHomes {
            local_instance,
            started: started.monotonic,
            fence: SharedState::new(Arc::clone(&clock), 0, HomeFence::default()),
            registry: SharedState::new(Arc::clone(&clock), 0, registry),
            clock,
            directory,
            clients,
        })
    }

    /// Claims a key at its home for the request `holder`. If another request holds the key and has
    /// no outcome yet, waits for the outcome until `deadline`, at most [`MAX_OUTCOME_WAIT`].
    pub(crate) async fn claim(
        &self,
        service: &ServiceId,
        key: &str,
        holder: RequestId,
        deadline: Instant,
    ) -> ClaimResponseWire {
        let wait_deadline = deadline.min(self.clock.now() + MAX_OUTCOME_WAIT);
        loop {
            let claim = self.claim_once(service, key, holder, deadline).await;
            let in_progress =
                matches!(claim, ClaimResponseWire::Duplicate(KeyOutcomeWire::InProgress));
            if !in_progress || self.clock.now() + OUTCOME_POLL_INTERVAL >= wait_deadline {
                return claim;
            }
            tokio::time::sleep(OUTCOME_POLL_INTERVAL).await;
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
        if home == self.local_instance {
            return self.claim_locally(epoch, service, key, holder);
        }
        let Some(peer) = self.directory.get(&home) else { return ClaimResponseWire::Refused };
        let Ok(client) = self.clients.get(peer.rpc).await else {
            return ClaimResponseWire::Refused;
        };
        let call_timeout = CLAIM_TIMEOUT.min(deadline.saturating_duration_since(Instant::now()));
        let rpc_context = PeerClients::context(call_timeout);
        let (service_name, key_name) = (service.to_string(), key.to_owned());
        match client.claim(rpc_context, epoch, service_name, key_name, holder).await {
            Ok(claim) => claim,
            Err(e) => {
                tracing::debug!(%home, error = %e, "claim failed");
                self.clients.disconnect(peer.rpc);
                // The claim may have been granted, but the request is refused and will not run, so
                // the claim is released.
                self.settle(service, key, holder, None);
                ClaimResponseWire::Refused
            }
        }
    }

    /// Claims a key whose home is this instance, for a claimant whose roster has `epoch`.
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
            Some(fence.permission(cx.now, &self.local_instance, service, key))
        });
        let Some(Permission::Grant { since }) = permission else {
            tracing::debug!(?permission, "claim refused");
            return ClaimResponseWire::Refused;
        };
        let wall = self.clock.wall();
        let claim = self
            .registry
            .with(|cx, registry| registry.claim(cx, wall, since, service, key, holder));
        claim.into()
    }

    /// Records the outcome of a claim at its home, in the background if that is another instance.
    /// `None` releases the claim as not run.
    pub(crate) fn settle(
        &self,
        service: &ServiceId,
        key: &str,
        holder: RequestId,
        outcome: Option<KeyOutcomeWire>,
    ) {
        let home = self.fence.with(|_, f| f.roster().and_then(|r| r.home(service, key)).cloned());
        let Some(home) = home else { return };
        if home == self.local_instance {
            self.settle_locally(service, key, holder, outcome);
            return;
        }
        let Some(peer) = self.directory.get(&home) else { return };
        let clients = Arc::clone(&self.clients);
        let (service, key) = (service.to_string(), key.to_owned());
        tokio::spawn(async move {
            let mut retry_delay = SETTLE_RETRY_DELAY;
            for _ in 0..SETTLE_ATTEMPTS {
                if let Ok(client) = clients.get(peer.rpc).await {
                    let rpc_context = PeerClients::context(CLAIM_TIMEOUT);
                    let settling =
                        client.settle(rpc_context, service.clone(), key.clone(), holder, outcome);
                    if settling.await.is_ok() {
                        return;
                    }
                    clients.disconnect(peer.rpc);
                }
                tokio::time::sleep(retry_delay).await;
                retry_delay *= 2;
            }
            tracing::warn!(%home, "failed to settle a claim");
        });
    }

    /// Records the outcome of a claim whose home is this instance. `None` releases the claim as not
    /// run.
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

    /// Sends the keys of this instance to their new homes, after the instance has left the roster.
    pub(crate) async fn hand_over(&self) {
        let entries = self.registry.with(|cx, registry| registry.export(cx.now));
        let Some(roster) = self.roster() else { return };
        let mut by_home: HashMap<InstanceId, Vec<RegistryEntryWire>> = HashMap::default();
        for entry in entries {
            let home = entry
                .service_and_key()
                .and_then(|(service, key)| roster.home(&service, key).cloned());
            if let Some(home) = home.filter(|home| *home != self.local_instance) {
                by_home.entry(home).or_default().push(entry.into());
            }
        }
        for (home, entries) in by_home {
            let Some(peer) = self.directory.get(&home) else { continue };
            for batch in entries.chunks(HAND_OVER_BATCH_KEYS) {
                let Ok(client) = self.clients.get(peer.rpc).await else { break };
                let rpc_context = PeerClients::context(CLAIM_TIMEOUT);
                if let Err(e) = client.hand_over(rpc_context, batch.to_vec()).await {
                    tracing::warn!(%home, error = %e, "failed to hand over keys");
                    break;
                }
            }
        }
    }

    /// Imports keys that a stopping home hands over.
    pub(crate) fn take_over(&self, entries: Vec<RegistryEntryWire>) {
        tracing::info!(keys = entries.len(), "keys received from a stopping home");
        let entries = entries.into_iter().map(RegistryEntry::from).collect();
        self.registry.with(|cx, registry| registry.import(cx.now, entries));
    }

    /// Answers an exchange request of the instance `from`, whose roster has `epoch`. The response
    /// has this instance's roster if that is newer, and the silence of `subject`: the time since
    /// the last exchange between `subject` and this instance, or since the start of this instance.
    pub(crate) fn answer_exchange(
        &self,
        from: &InstanceId,
        epoch: u64,
        subject: Option<&InstanceId>,
    ) -> RosterExchangeResponse {
        tracing::trace!(%from, epoch, "roster exchange received");
        self.fence.with(|cx, fence| {
            fence.on_exchange_request(from, cx.now, epoch);
            let last_contact =
                subject.and_then(|subject| fence.last_contact(subject)).unwrap_or(self.started);
            let silence = cx.now.saturating_duration_since(last_contact);
            let newer = fence.roster().filter(|roster| roster.epoch > epoch);
            RosterExchangeResponse {
                instance: self.local_instance.to_string(),
                epoch: fence.epoch(),
                settled: fence.is_settled(),
                roster: newer.map(RosterRecord::from),
                silence_ms: u64::try_from(silence.as_millis()).unwrap_or(u64::MAX),
            }
        })
    }

    /// Exchanges epochs and rosters with a peer. Returns the silence of `subject` towards the peer,
    /// see [`KeyHomes::answer_exchange`], or `None` if the exchange failed.
    pub(crate) async fn exchange(
        &self,
        peer: &InstanceId,
        subject: Option<&InstanceId>,
    ) -> Option<Duration> {
        let addr = self.directory.get(peer)?.rpc;
        let (epoch, unsettled_roster) = self.fence.with(|_, fence| {
            let unsettled_roster = fence.roster().filter(|_| !fence.is_settled());
            (fence.epoch(), unsettled_roster.map(RosterRecord::from))
        });
        let sent = self.clock.now();
        let client = self.clients.get(addr).await.ok()?;
        let rpc_context = PeerClients::context(EXCHANGE_TIMEOUT);
        let (local_instance, subject) =
            (self.local_instance.to_string(), subject.map(ToString::to_string));
        let Ok(response) =
            client.exchange(rpc_context, local_instance, epoch, unsettled_roster, subject).await
        else {
            self.clients.disconnect(addr);
            return None;
        };
        if response.instance != peer.as_str() {
            return None;
        }
        if let Some(Ok(roster)) = response.roster.map(Roster::try_from) {
            self.adopt_roster(roster);
        }
        let (epoch, settled) = (response.epoch, response.settled);
        self.fence.with(|_, fence| fence.on_exchange(peer, sent, epoch, settled));
        Some(Duration::from_millis(response.silence_ms))
    }

    /// Adopts a roster that was read from the store or a peer if its epoch is higher than that of
    /// the current roster.
    pub(crate) fn adopt_roster(&self, roster: Roster) {
        let now = self.now();
        self.fence.with(|_, fence| {
            if roster.epoch > fence.epoch() {
                tracing::info!(
                    epoch = roster.epoch,
                    members = roster.instances.len(),
                    "home roster updated"
                );
            }
            fence.adopt(now, roster);
        });
    }

    /// Checks whether the current roster has settled by now.
    pub(crate) fn tick(&self) {
        let now = self.now();
        self.fence.with(|_, fence| fence.tick(now, &self.local_instance));
    }

    /// Returns the current roster.
    pub(crate) fn roster(&self) -> Option<Roster> {
        self.fence.with(|_, fence| fence.roster().cloned())
    }

    /// Returns for a state dump the epoch of the roster, whether the roster has settled, and the
    /// number of keys of this home.
    pub(crate) fn summary(&self) -> (u64, bool, usize) {
        let (epoch, settled) = self.fence.with(|_, fence| (fence.epoch(), fence.is_settled()));
        (epoch, settled, self.registry.with(|_, registry| registry.len()))
    }

    fn now(&self) -> ClockReading {
        ClockReading { monotonic: self.clock.now(), wall: self.clock.wall() }
    }
}
