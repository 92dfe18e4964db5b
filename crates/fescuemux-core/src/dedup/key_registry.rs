//! Registry of the idempotency keys claimed at one home.

use super::claim::{ClaimResponse, ClaimState, KeyOutcome, RegistryEntry};
use super::home_fence::ClockReading;
use super::key_creation_time::{KeyCreationTime, MAX_CLOCK_SKEW, key_creation_time};
use crate::base::{Cx, HashMap, RequestId, ServiceId};
use std::collections::VecDeque;
use std::time::{Duration, Instant, SystemTime};

/// Limits of a registry.
#[derive(Clone, Copy, Debug)]
pub struct RegistryConfig {
    /// Time for which a key is kept after its claim or last settlement.
    pub retention: Duration,
    /// Maximum number of keys. A full registry refuses new keys rather than evicting old ones.
    pub max_keys: usize,
}

impl Default for RegistryConfig {
    fn default() -> RegistryConfig {
        RegistryConfig { retention: Duration::from_secs(600), max_keys: 65_536 }
    }
}

/// Idempotency keys claimed at one home.
#[derive(Debug)]
pub struct KeyRegistry {
    config: RegistryConfig,
    started: ClockReading,
    /// Claims by the string that [`join_service_and_key`] returns.
    keys: HashMap<String, ClaimState>,
    /// Time and joined key of each change. An entry is stale if its key has changed again or was
    /// released.
    expiry_queue: VecDeque<(Instant, String)>,
}

impl KeyRegistry {
    /// Returns an empty registry without knowledge of claims before `started`.
    pub fn new(config: RegistryConfig, started: ClockReading) -> KeyRegistry {
        KeyRegistry { config, started, keys: HashMap::default(), expiry_queue: VecDeque::new() }
    }

    /// Claims `key` of `service` for the request `holder`. `complete_since` is the time since
    /// which this home has received every claim for the key, unless the registry started later.
    ///
    /// While a claim is not settled, a repeated claim by the same holder is granted again, because
    /// the response to the first claim may have been lost.
    pub fn claim(
        &mut self,
        cx: &Cx,
        wall: SystemTime,
        complete_since: ClockReading,
        service: &ServiceId,
        key: &str,
        holder: RequestId,
    ) -> ClaimResponse {
        self.expire(cx.now);
        let joined_key = join_service_and_key(service, key);
        if let Some(state) = self.keys.get(&joined_key) {
            if state.holder == holder && state.outcome == KeyOutcome::InProgress {
                return ClaimResponse::Granted;
            }
            return ClaimResponse::Duplicate { outcome: state.outcome };
        }
        let started_earlier = complete_since.monotonic > self.started.monotonic;
        let known_since = if started_earlier { complete_since } else { self.started };
        if let Some(refusal) = self.check_creation_time(cx.now, wall, known_since, key) {
            return refusal;
        }
        if self.keys.len() >= self.config.max_keys {
            return ClaimResponse::Full;
        }
        self.insert(
            joined_key,
            ClaimState { holder, outcome: KeyOutcome::InProgress, changed_at: cx.now },
        );
        ClaimResponse::Granted
    }

    /// Records the outcome of the request `holder`. Has no effect unless `holder` holds the key,
    /// or if the request is already known to have run.
    pub fn settle(
        &mut self,
        cx: &Cx,
        service: &ServiceId,
        key: &str,
        holder: RequestId,
        outcome: KeyOutcome,
    ) {
        let joined_key = join_service_and_key(service, key);
        let Some(state) = self.keys.get(&joined_key) else { return };
        if state.holder != holder || matches!(state.outcome, KeyOutcome::Ran { .. }) {
            return;
        }
        self.insert(joined_key, ClaimState { holder, outcome, changed_at: cx.now });
    }

    /// Releases the claim of a request that certainly did not run. Has no effect unless
    /// `holder` holds the key and the claim is not settled.
    pub fn release(&mut self, service: &ServiceId, key: &str, holder: RequestId) {
        let joined_key = join_service_and_key(service, key);
        let Some(state) = self.keys.get(&joined_key) else { return };
        if state.holder == holder && state.outcome == KeyOutcome::InProgress {
            self.keys.remove(&joined_key);
        }
    }

    /// Exports all entries for the homes that take over the keys after a planned stop.
    pub fn export(&self, now: Instant) -> Vec<RegistryEntry> {
        self.keys
            .iter()
            .map(|(key, state)| RegistryEntry {
                key: key.clone(),
                holder: state.holder,
                outcome: state.outcome,
                age: now.saturating_duration_since(state.changed_at),
            })
            .collect()
    }

    /// Imports entries of the previous home. A key that is already in the registry keeps its entry,
    /// which is newer.
    pub fn import(&mut self, now: Instant, entries: Vec<RegistryEntry>) {
        for entry in entries {
            if self.keys.contains_key(&entry.key) {
                continue;
            }
            let changed_at = now.checked_sub(entry.age).unwrap_or(now);
            self.insert(
                entry.key,
                ClaimState { holder: entry.holder, outcome: entry.outcome, changed_at },
            );
        }
    }

    /// Returns the number of keys in the registry.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether the registry is empty.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the refusal of a claim for a key that is not in the registry, or `None` if the key
    /// may be granted: if the registry still holds every claim made since the key was created or,
    /// for an opaque key, every claim made within the retention. `known_since` is the time since
    /// which the registry has recorded every claim for the key.
    fn check_creation_time(
        &self,
        now: Instant,
        wall: SystemTime,
        known_since: ClockReading,
        key: &str,
    ) -> Option<ClaimResponse> {
        match key_creation_time(key) {
            KeyCreationTime::CreatedAt(created_at) if created_at > wall + MAX_CLOCK_SKEW => {
                Some(ClaimResponse::FromFuture)
            }
            KeyCreationTime::CreatedAt(created_at)
                if self.retains_all_claims(created_at, wall, known_since) =>
            {
                None
            }
            KeyCreationTime::CreatedAt(_) => Some(ClaimResponse::PossiblyClaimed),
            KeyCreationTime::Opaque
                if now.saturating_duration_since(known_since.monotonic)
                    >= self.config.retention =>
            {
                None
            }
            KeyCreationTime::Opaque => Some(ClaimResponse::PossiblyClaimed),
        }
    }

    /// Returns whether the registry still holds every claim for a key created at `created_at`:
    /// the key was created after `known_since` and less than the retention ago, with an allowance
    /// for clock skew on both sides.
    fn retains_all_claims(
        &self,
        created_at: SystemTime,
        wall: SystemTime,
        known_since: ClockReading,
    ) -> bool {
        let age = wall.duration_since(created_at).unwrap_or_default();
        created_at >= known_since.wall + MAX_CLOCK_SKEW
            && age + MAX_CLOCK_SKEW <= self.config.retention
    }

    fn insert(&mut self, joined_key: String, state: ClaimState) {
        self.expiry_queue.push_back((state.changed_at, joined_key.clone()));
        self.keys.insert(joined_key, state);
    }

    fn expire(&mut self, now: Instant) {
        while let Some((changed_at, _)) = self.expiry_queue.front() {
            if now.saturating_duration_since(*changed_at) < self.config.retention {
                return;
            }
            let Some((changed_at, joined_key)) = self.expiry_queue.pop_front() else { return };
            if self.keys.get(&joined_key).is_some_and(|state| state.changed_at == changed_at) {
                self.keys.remove(&joined_key);
            }
        }
    }
}

/// Joins service and idempotency key by a line feed. Service names contain no line feed, so the
/// result is unambiguous.
fn join_service_and_key(service: &ServiceId, key: &str) -> String {
    format!("{service}\n{key}")
}
