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
    /// Time for which a key is kept after its last change.
    pub retention: Duration,
    /// Maximum number of keys. Beyond it, new keys are refused rather than old ones evicted.
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
    keys: HashMap<String, ClaimState>,
    /// Keys in the order of their changes. Entries whose key has changed again are stale.
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
    /// the response to the first one may have been lost.
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
        let id = registry_key(service, key);
        if let Some(state) = self.keys.get(&id) {
            if state.holder == holder && state.outcome == KeyOutcome::InProgress {
                return ClaimResponse::Granted;
            }
            return ClaimResponse::Duplicate { outcome: state.outcome };
        }
        let later = complete_since.monotonic > self.started.monotonic;
        let since = if later { complete_since } else { self.started };
        if let Some(refusal) = self.check_creation_time(cx.now, wall, since, key) {
            return refusal;
        }
        if self.keys.len() >= self.config.max_keys {
            return ClaimResponse::Full;
        }
        self.insert(id, ClaimState { holder, outcome: KeyOutcome::InProgress, since: cx.now });
        ClaimResponse::Granted
    }

    /// Records the outcome of the request `holder`. Ignored unless `holder` holds the key, or if
    /// the request is already known to have run.
    pub fn settle(
        &mut self,
        cx: &Cx,
        service: &ServiceId,
        key: &str,
        holder: RequestId,
        outcome: KeyOutcome,
    ) {
        let id = registry_key(service, key);
        let Some(state) = self.keys.get(&id) else { return };
        if state.holder != holder || matches!(state.outcome, KeyOutcome::Ran { .. }) {
            return;
        }
        self.insert(id, ClaimState { holder, outcome, since: cx.now });
    }

    /// Releases the claim of a request that certainly did not run. Ignored unless `holder` holds
    /// the key and its claim is not settled.
    pub fn release(&mut self, service: &ServiceId, key: &str, holder: RequestId) {
        let id = registry_key(service, key);
        let Some(state) = self.keys.get(&id) else { return };
        if state.holder == holder && state.outcome == KeyOutcome::InProgress {
            self.keys.remove(&id);
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
                age: now.saturating_duration_since(state.since),
            })
            .collect()
    }

    /// Imports entries of the previous home. Existing entries are kept because they are newer.
    pub fn import(&mut self, now: Instant, entries: Vec<RegistryEntry>) {
        for entry in entries {
            if self.keys.contains_key(&entry.key) {
                continue;
            }
            let since = now.checked_sub(entry.age).unwrap_or(now);
            self.insert(
                entry.key,
                ClaimState { holder: entry.holder, outcome: entry.outcome, since },
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

    fn check_creation_time(
        &self,
        now: Instant,
        wall: SystemTime,
        since: ClockReading,
        key: &str,
    ) -> Option<ClaimResponse> {
        match key_creation_time(key) {
            KeyCreationTime::CreatedAt(created_at) if created_at > wall + MAX_CLOCK_SKEW => {
                Some(ClaimResponse::FromFuture)
            }
            KeyCreationTime::CreatedAt(created_at)
                if self.retains_all_claims(created_at, wall, since) =>
            {
                None
            }
            KeyCreationTime::CreatedAt(_) => Some(ClaimResponse::Unknown),
            KeyCreationTime::Opaque
                if now.saturating_duration_since(since.monotonic) >= self.config.retention =>
            {
                None
            }
            KeyCreationTime::Opaque => Some(ClaimResponse::Unknown),
        }
    }

    /// Returns whether the registry still holds every claim for a key created at `created_at`:
    /// the key is younger than both the registry and the retention.
    fn retains_all_claims(
        &self,
        created_at: SystemTime,
        wall: SystemTime,
        since: ClockReading,
    ) -> bool {
        let age = wall.duration_since(created_at).unwrap_or_default();
        created_at >= since.wall + MAX_CLOCK_SKEW && age + MAX_CLOCK_SKEW <= self.config.retention
    }

    fn insert(&mut self, id: String, state: ClaimState) {
        self.expiry_queue.push_back((state.since, id.clone()));
        self.keys.insert(id, state);
    }

    fn expire(&mut self, now: Instant) {
        while let Some((since, _)) = self.expiry_queue.front() {
            if now.saturating_duration_since(*since) < self.config.retention {
                return;
            }
            let Some((since, id)) = self.expiry_queue.pop_front() else { return };
            if self.keys.get(&id).is_some_and(|state| state.since == since) {
                self.keys.remove(&id);
            }
        }
    }
}

/// Joins service and key. Service names contain no line feed, so the result is unambiguous.
fn registry_key(service: &ServiceId, key: &str) -> String {
    format!("{service}\n{key}")
}
