//! Keys, versions and leases of a stand-in store, without threads or faults.

use fescuemux_store::{
    Entry, FailureKind, KeyVersion, LeaseId, MAX_KEY_BYTES, MAX_VALUE_BYTES, Mutation,
    Precondition, RenewResult, StoreError, SwapResult, Version, WatchResult,
};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Duration,
}

/// Content of the store.
#[derive(Clone, Debug, Default)]
pub(crate) struct State {
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<LeaseId, Lease>,
    last_version: Version,
    last_lease_id: LeaseId,
}

impl State {
    pub(crate) fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        check_key(key)?;
        Ok(self.entries.get(key).cloned())
    }

    pub(crate) fn list(&self, prefix: &str) -> Vec<KeyVersion> {
        self.entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, entry)| KeyVersion { key: key.clone(), version: entry.version })
            .collect()
    }

    /// Returns the change that a watch after version `after` reports now, if any.
    pub(crate) fn watch_result(&self, key: &str, after: Version) -> Option<WatchResult> {
        match self.entries.get(key) {
            Some(entry) if entry.version > after => Some(WatchResult::Changed(entry.clone())),
            None if after > 0 => Some(WatchResult::Deleted),
            _ => None,
        }
    }

    pub(crate) fn compare_and_swap(
        &mut self,
        key: &str,
        precondition: Precondition,
        mutation: Mutation<'_>,
    ) -> Result<SwapResult, StoreError> {
        check_key(key)?;
        self.check_mutation(mutation)?;
        let found = self.entries.get(key).map(|entry| entry.version);
        let expected = match precondition {
            Precondition::Absent => None,
            Precondition::Version(version) => Some(version),
        };
        if found != expected {
            return Ok(SwapResult::Conflict(found));
        }
        self.last_version += 1;
        let version = self.last_version;
        match mutation {
            Mutation::Put { value, lease } => {
                let entry = Entry { version, value: value.to_vec(), lease };
                self.entries.insert(key.to_owned(), entry);
            }
            Mutation::Delete => {
                self.entries.remove(key);
            }
        }
        Ok(SwapResult::Applied(version))
    }

    fn check_mutation(&self, mutation: Mutation<'_>) -> Result<(), StoreError> {
        let Mutation::Put { value, lease } = mutation else { return Ok(()) };
        if value.len() > MAX_VALUE_BYTES {
            return Err(refused("value too large"));
        }
        match lease {
            Some(lease) if !self.leases.contains_key(&lease) => Err(refused("no such lease")),
            _ => Ok(()),
        }
    }

    pub(crate) fn grant_lease(&mut self, now: Duration, ttl: Duration) -> LeaseId {
        self.last_lease_id += 1;
        self.leases.insert(self.last_lease_id, Lease { ttl, expires_at: now + ttl });
        self.last_lease_id
    }

    pub(crate) fn renew_lease(&mut self, now: Duration, lease_id: LeaseId) -> RenewResult {
        let Some(lease) = self.leases.get_mut(&lease_id) else { return RenewResult::Expired };
        lease.expires_at = now + lease.ttl;
        RenewResult::Renewed
    }

    pub(crate) fn revoke_lease(&mut self, lease_id: LeaseId) {
        if self.leases.remove(&lease_id).is_some() {
            self.entries.retain(|_, entry| entry.lease != Some(lease_id));
        }
    }

    /// Ends expired leases and removes their entries. Returns whether any lease
    /// expired.
    pub(crate) fn expire_leases(&mut self, now: Duration) -> bool {
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        expired.iter().for_each(|id| self.revoke_lease(*id));
        !expired.is_empty()
    }

    /// Ends all leases and removes their entries.
    pub(crate) fn expire_all_leases(&mut self) {
        let ids: Vec<LeaseId> = self.leases.keys().copied().collect();
        ids.iter().for_each(|id| self.revoke_lease(*id));
    }
}

fn check_key(key: &str) -> Result<(), StoreError> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(refused("key length out of bounds"));
    }
    Ok(())
}

fn refused(detail: &str) -> StoreError {
    StoreError::without_effect(FailureKind::Refused, detail)
}
