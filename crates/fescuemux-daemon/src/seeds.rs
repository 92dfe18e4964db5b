//! Seed addresses in the store, with which starting daemons find the fleet.
//!
//! Must not depend on the membership protocol.

use crate::peers::MembershipDriver;
use crate::stop::{StopPhase, StopSignal};
use fescuemux_core::base::DomainId;
use fescuemux_store::{Mutation, Precondition, Store, StoreError};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Prefix of the store keys of seeds; there is one key for each failure domain.
const SEED_KEY_PREFIX: &str = "seeds/";
/// Maximum number of addresses per failure domain.
const MAX_SEEDS_PER_DOMAIN: usize = 8;
/// Interval of reviews. In a review, a watcher compares the stored seeds with the members that it
/// knows; other instances have nothing to compare.
const REVIEW_INTERVAL: Duration = Duration::from_secs(60);
/// Interval of reviews until one review has succeeded, and while the daemon knows no other
/// instance.
const BOOTSTRAP_INTERVAL: Duration = Duration::from_secs(3);
/// Time for which the main loop sleeps in each iteration.
const LOOP_INTERVAL: Duration = Duration::from_millis(500);

/// Updates `seeds/<domain>` while this instance is a watcher of the store for `domain`, and joins
/// the seeds of all failure domains while it knows no other instance. Blocks until the daemon
/// stops.
pub(crate) fn maintain_seeds<S: Store>(
    store: &S,
    members: &Arc<MembershipDriver>,
    domain: &DomainId,
    stop: &StopSignal,
) {
    let mut last_review = Instant::now();
    let mut succeeded_once = false;
    while stop.phase() < StopPhase::Leaving {
        std::thread::sleep(LOOP_INTERVAL);
        let isolated = members.live_instances().len() < 2;
        // The first review happens soon, so that instances that start next find this instance.
        let interval =
            if isolated || !succeeded_once { BOOTSTRAP_INTERVAL } else { REVIEW_INTERVAL };
        if last_review.elapsed() < interval {
            continue;
        }
        last_review = Instant::now();
        let joined = if isolated { join_seeds(store, members) } else { Ok(()) };
        let result = joined.and_then(|()| {
            if members.is_watcher(domain) { write_seeds(store, members, domain) } else { Ok(()) }
        });
        match result {
            Ok(()) => succeeded_once = true,
            Err(e) => tracing::debug!(error = %e, "failed to read or write the seeds"),
        }
    }
}

fn join_seeds<S: Store>(store: &S, members: &Arc<MembershipDriver>) -> Result<(), StoreError> {
    let mut seeds = Vec::new();
    for key in store.list(SEED_KEY_PREFIX)? {
        let Some(entry) = store.get(&key.key)? else { continue };
        seeds.extend(parse_seeds(&entry.value));
    }
    if !seeds.is_empty() {
        members.join(seeds);
    }
    Ok(())
}

fn write_seeds<S: Store>(
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
    seeds.truncate(MAX_SEEDS_PER_DOMAIN);
    let key = format!("{SEED_KEY_PREFIX}{domain}");
    let entry = store.get(&key)?;
    if entry.as_ref().is_some_and(|entry| parse_seeds(&entry.value) == seeds) {
        return Ok(());
    }
    let precondition =
        entry.map_or(Precondition::Absent, |entry| Precondition::Version(entry.version));
    let value = serde_json::to_vec(&seeds).unwrap_or_default();
    // A conflict or a lost reply needs no handling, because the next review compares again.
    store.compare_and_swap(&key, precondition, Mutation::Put { value: &value, lease: None })?;
    Ok(())
}

fn parse_seeds(value: &[u8]) -> Vec<SocketAddr> {
    serde_json::from_slice(value).unwrap_or_default()
}
