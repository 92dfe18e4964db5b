//! Addresses in the store by which daemons find the fleet.
//!
//! Must not know how members keep track of each other.

use crate::peers::MembershipDriver;
use crate::stop::{StopPhase, StopSignal};
use fescuemux_core::base::DomainId;
use fescuemux_store::{Change, Expect, Store, StoreError};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Prefix of the keys, one for each failure domain.
const PREFIX: &str = "seeds/";
/// Most addresses of one failure domain.
const MAX_SEEDS: usize = 8;
/// Interval at which a watcher compares the key with its view.
const REVIEW_INTERVAL: Duration = Duration::from_secs(60);
/// A daemon that knows nobody reads the store at this interval.
const ALONE_INTERVAL: Duration = Duration::from_secs(3);
/// Interval of looks at the time.
const STEP: Duration = Duration::from_millis(500);

/// Keeps `seeds/<domain>` current while this instance is a watcher, and joins the seeds of all
/// failure domains while it knows nobody. Blocks until the daemon stops.
pub(crate) fn keep_seeds<S: Store>(
    store: &S,
    members: &Arc<MembershipDriver>,
    domain: &DomainId,
    stop: &StopSignal,
) {
    let mut acted = Instant::now();
    let mut written = false;
    while stop.phase() < StopPhase::Leaving {
        std::thread::sleep(STEP);
        let alone = members.live_instances().len() < 2;
        // The first write comes soon, so that instances that start next find this one.
        let interval = if alone || !written { ALONE_INTERVAL } else { REVIEW_INTERVAL };
        if acted.elapsed() < interval {
            continue;
        }
        acted = Instant::now();
        let joined = if alone { join(store, members) } else { Ok(()) };
        let result = joined.and_then(|()| {
            if members.is_watcher(domain) { write(store, members, domain) } else { Ok(()) }
        });
        match result {
            Ok(()) => written = true,
            Err(e) => tracing::debug!(error = %e, "the seeds cannot be read or written"),
        }
    }
}

fn join<S: Store>(store: &S, members: &Arc<MembershipDriver>) -> Result<(), StoreError> {
    let mut seeds = Vec::new();
    for key in store.list(PREFIX)? {
        let Some(entry) = store.get(&key.key)? else { continue };
        seeds.extend(parse(&entry.value));
    }
    if !seeds.is_empty() {
        members.join(seeds);
    }
    Ok(())
}

fn write<S: Store>(
    store: &S,
    members: &MembershipDriver,
    domain: &DomainId,
) -> Result<(), StoreError> {
    let mut seeds: Vec<SocketAddr> = members
        .records()
        .iter()
        .filter(|record| record.domain == *domain)
        .map(|record| record.addresses.rpc)
        .collect();
    seeds.sort_unstable();
    seeds.truncate(MAX_SEEDS);
    let key = format!("{PREFIX}{domain}");
    let entry = store.get(&key)?;
    if entry.as_ref().is_some_and(|entry| parse(&entry.value) == seeds) {
        return Ok(());
    }
    let expect = entry.map_or(Expect::Absent, |entry| Expect::Version(entry.version));
    let value = serde_json::to_vec(&seeds).unwrap_or_default();
    // A lost reply or a conflict needs nothing: the next review compares again.
    store.compare_and_swap(&key, expect, Change::Put { value: &value, lease: None })?;
    Ok(())
}

fn parse(value: &[u8]) -> Vec<SocketAddr> {
    serde_json::from_slice(value).unwrap_or_default()
}
