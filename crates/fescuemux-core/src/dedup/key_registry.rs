//! Idempotency keys at their home.

use super::claim::{ClaimResponse, ClaimState, KeyOutcome, RegistryEntry};
use super::home_fence::ClockReading;
use super::key_creation_time::{KeyCreationTime, MAX_CLOCK_SKEW, key_creation_time};
use crate::base::{Cx, HashMap, RequestId, ServiceId};
use std::collections::VecDeque;
use std::time::{Duration, Instant, SystemTime};

/// Bounds of a registry.
#[derive(Clone, Copy, Debug)]
pub struct RegistryConfig {
    /// Time for which a key is remembered after its last change.
    pub retention: Duration,
    /// Largest number of keys held. Past it, new keys are refused rather than old ones forgotten.
    pub max_keys: usize,
}

impl Default for RegistryConfig {
    fn default() -> RegistryConfig {
        RegistryConfig { retention: Duration::from_secs(600), max_keys: 65_536 }
    }
}

/// Keys claimed at one home.
#[derive(Debug)]
pub struct KeyRegistry {
    cfg: RegistryConfig,
    started: ClockReading,
    keys: HashMap<String, ClaimState>,
    /// Keys by time of their last change; an entry is skipped when the key changed since.
    expiry: VecDeque<(Instant, String)>,
}

impl KeyRegistry {
    /// Returns an empty registry that knows nothing of the time before `started`.
    pub fn new(cfg: RegistryConfig, started: ClockReading) -> KeyRegistry {
        KeyRegistry { cfg, started, keys: HashMap::default(), expiry: VecDeque::new() }
    }

    /// Claims `key` of `service` for the request `holder`. `home_since` is the time since which
    /// this home has seen every claim of the key, if it did not start later.
    ///
    /// A repeated claim by the same holder is granted again while the claim is open, because the
    /// first grant may have been lost on its way.
    pub fn claim(
        &mut self,
        cx: &Cx,
        wall: SystemTime,
        home_since: ClockReading,
        service: &ServiceId,
        key: &str,
        holder: RequestId,
    ) -> ClaimResponse {
        self.expire(cx.now);
        let id = join(service, key);
        if let Some(state) = self.keys.get(&id) {
            if state.holder == holder && state.outcome == KeyOutcome::InProgress {
                return ClaimResponse::Granted;
            }
            return ClaimResponse::Duplicate { outcome: state.outcome };
        }
        let later = home_since.monotonic > self.started.monotonic;
        let since = if later { home_since } else { self.started };
        if let Some(refusal) = self.check_age(cx.now, wall, since, key) {
            return refusal;
        }
        if self.keys.len() >= self.cfg.max_keys {
            return ClaimResponse::Full;
        }
        self.put(id, ClaimState { holder, outcome: KeyOutcome::InProgress, since: cx.now });
        ClaimResponse::Granted
    }

    /// Settles a claim with what became of its request. Calls of other holders are ignored.
    pub fn settle(
        &mut self,
        cx: &Cx,
        service: &ServiceId,
        key: &str,
        holder: RequestId,
        outcome: KeyOutcome,
    ) {
        let id = join(service, key);
        let Some(state) = self.keys.get(&id) else { return };
        if state.holder != holder || matches!(state.outcome, KeyOutcome::Ran { .. }) {
            return;
        }
        self.put(id, ClaimState { holder, outcome, since: cx.now });
    }

    /// Releases a claim whose request truly did not run. Calls of other holders are ignored.
    pub fn release(&mut self, service: &ServiceId, key: &str, holder: RequestId) {
        let id = join(service, key);
        let Some(state) = self.keys.get(&id) else { return };
        if state.holder == holder && state.outcome == KeyOutcome::InProgress {
            self.keys.remove(&id);
        }
    }

    /// Exports all entries for a successor after a planned stop.
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

    /// Adds the entries of a predecessor. Existing entries win, since they are newer.
    pub fn import(&mut self, now: Instant, entries: Vec<RegistryEntry>) {
        for entry in entries {
            if self.keys.contains_key(&entry.key) {
                continue;
            }
            let since = now.checked_sub(entry.age).unwrap_or(now);
            self.put(entry.key, ClaimState { holder: entry.holder, outcome: entry.outcome, since });
        }
    }

    /// Returns the number of keys held.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn check_age(
        &self,
        now: Instant,
        wall: SystemTime,
        since: ClockReading,
        key: &str,
    ) -> Option<ClaimResponse> {
        match key_creation_time(key) {
            KeyCreationTime::CreatedAt(created) if created > wall + MAX_CLOCK_SKEW => {
                Some(ClaimResponse::FromFuture)
            }
            KeyCreationTime::CreatedAt(created) if self.remembers(created, wall, since) => None,
            KeyCreationTime::CreatedAt(_) => Some(ClaimResponse::Unknown),
            KeyCreationTime::Opaque
                if now.saturating_duration_since(since.monotonic) >= self.cfg.retention =>
            {
                None
            }
            KeyCreationTime::Opaque => Some(ClaimResponse::Unknown),
        }
    }

    /// Returns whether every claim of a key created at `created` is still in this registry: the
    /// key is younger than the registry and younger than the retention.
    fn remembers(&self, created: SystemTime, wall: SystemTime, since: ClockReading) -> bool {
        let age = wall.duration_since(created).unwrap_or_default();
        created >= since.wall + MAX_CLOCK_SKEW && age + MAX_CLOCK_SKEW <= self.cfg.retention
    }

    fn put(&mut self, id: String, state: ClaimState) {
        self.expiry.push_back((state.since, id.clone()));
        self.keys.insert(id, state);
    }

    fn expire(&mut self, now: Instant) {
        while let Some((since, _)) = self.expiry.front() {
            if now.saturating_duration_since(*since) < self.cfg.retention {
                return;
            }
            let Some((since, id)) = self.expiry.pop_front() else { return };
            if self.keys.get(&id).is_some_and(|state| state.since == since) {
                self.keys.remove(&id);
            }
        }
    }
}

/// Joins service and key. Service names hold no line feed, so the result is unambiguous.
fn join(service: &ServiceId, key: &str) -> String {
    format!("{service}\n{key}")
}
