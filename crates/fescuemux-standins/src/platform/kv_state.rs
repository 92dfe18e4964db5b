//! Items, leases and change history of the key-value store.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
struct Item {
    value: String,
    /// Revision of the last write.
    rev: u64,
    /// Revision at which the item was created.
    created: u64,
    /// Id of the lease that the item is bound to; zero for none.
    lease: u64,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// State of the key-value store.
#[derive(Debug, Default)]
pub(super) struct KvState {
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    history: Vec<Value>,
    /// Changes up to this revision were discarded from `history`.
    compacted_rev: u64,
    rev: u64,
    last_lease_id: u64,
}

impl KvState {
    /// Ends expired leases and removes their items.
    pub(super) fn expire(&mut self, now: Instant) {
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.expires_at <= now).map(|(id, _)| *id).collect();
        for id in expired {
            self.end_lease(id);
        }
    }

    /// Restarts all leases with their full TTL, as after an outage during which leases were
    /// suspended.
    pub(super) fn restart_leases(&mut self, now: Instant) {
        self.leases.values_mut().for_each(|lease| lease.expires_at = now + lease.ttl);
    }

    /// Discards the change history.
    pub(super) fn compact(&mut self) {
        self.compacted_rev = self.rev;
        self.history.clear();
    }

    /// Writes an item and returns its new revision.
    pub(super) fn put(&mut self, key: &str, value: &[u8], lease: u64) -> u64 {
        self.put_encoded(key, STANDARD.encode(value), lease)
    }

    pub(super) fn put_encoded(&mut self, key: &str, value: String, lease: u64) -> u64 {
        self.rev += 1;
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        self.items.insert(key.to_owned(), Item { value, rev: self.rev, created, lease });
        let event = self.item(key);
        self.history.extend(event);
        self.rev
    }

    /// Returns an item as JSON.
    pub(super) fn item(&self, key: &str) -> Option<Value> {
        let item = self.items.get(key)?;
        Some(json!({"key": key, "value": item.value, "rev": item.rev, "created": item.created,
                    "lease": item.lease}))
    }

    /// Returns the items with a prefix whose keys are greater than `after`.
    pub(super) fn range(&self, prefix: &str, after: &str) -> Value {
        let keys = self.items.keys().filter(|key| key.starts_with(prefix));
        let keys = keys.filter(|key| key.as_str() > after);
        let items: Vec<_> = keys.filter_map(|key| self.item(key)).collect();
        json!({"items": items, "truncated": false, "as_of": self.rev})
    }

    /// Returns the changes after revision `after` to keys with `prefix`, or `None` when changes
    /// after this revision were discarded.
    pub(super) fn changes_after(&self, prefix: &str, after: u64) -> Option<Vec<Value>> {
        if after < self.compacted_rev {
            return None;
        }
        let later_changes = self.history.iter().filter(|event| event["rev"].as_u64() > Some(after));
        let event_key = |event: &Value| event["key"].as_str().unwrap_or_default().to_owned();
        Some(later_changes.filter(|event| event_key(event).starts_with(prefix)).cloned().collect())
    }

    /// Returns the latest revision.
    pub(super) fn rev(&self) -> u64 {
        self.rev
    }

    /// Applies a transaction and returns the HTTP status and the response body.
    pub(super) fn transact(&mut self, body: &Value) -> (u16, Value) {
        let array = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        for expectation in array("expected") {
            let key = expectation["key"].as_str().unwrap_or_default();
            let rev = self.items.get(key).map_or(0, |item| item.rev);
            if expectation["rev"].as_u64() != Some(rev) {
                let items: Vec<_> = self.item(key).into_iter().collect();
                return (412, json!({ "items": items }));
            }
        }
        for write in array("writes") {
            let lease = write["lease"].as_u64().unwrap_or_default();
            if lease != 0 && !self.leases.contains_key(&lease) {
                return (404, json!({}));
            }
        }
        for write in array("writes") {
            let key = write["key"].as_str().unwrap_or_default().to_owned();
            let value = write["value"].as_str().unwrap_or_default().to_owned();
            self.put_encoded(&key, value, write["lease"].as_u64().unwrap_or_default());
        }
        for key in array("delete") {
            self.remove(key.as_str().unwrap_or_default());
        }
        (200, json!({ "rev": self.rev }))
    }

    /// Creates a lease and returns its id.
    pub(super) fn grant_lease(&mut self, ttl: Duration, now: Instant) -> u64 {
        self.last_lease_id += 1;
        self.leases.insert(self.last_lease_id, Lease { ttl, expires_at: now + ttl });
        self.last_lease_id
    }

    /// Renews a lease and returns its TTL, or `None` when it has ended.
    pub(super) fn renew_lease(&mut self, id: u64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_at = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease, removes its items and returns whether the lease existed.
    pub(super) fn end_lease(&mut self, id: u64) -> bool {
        let existed = self.leases.remove(&id).is_some();
        let attached = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<_> = attached.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
        existed
    }

    /// Ends all leases and removes their items.
    pub(super) fn end_all_leases(&mut self) {
        let ids: Vec<u64> = self.leases.keys().copied().collect();
        for id in ids {
            self.end_lease(id);
        }
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            self.history.push(json!({"key": key, "rev": self.rev, "tombstone": true}));
        }
    }
}
