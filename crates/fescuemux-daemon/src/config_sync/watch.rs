//! Watches the store for newer generations.

use super::state::{ConfigState, InstalledConfig};
use crate::peers::MembershipDriver;
use crate::stop::{StopPhase, StopSignal};
use fescuemux_core::base::DomainId;
use fescuemux_store::{
    Store,
    config_store::{ConfigStore, ConfigStoreError},
};
use rand::Rng;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum time for which one watch call blocks.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a daemon that is not a watcher checks its role again, and whether it is its turn
/// to read the store.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which a daemon without a configuration reads the store itself.
const OVERDUE_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a daemon without a configuration reads the store itself. By then its
/// peers would have announced their configuration.
const STORE_FALLBACK_DELAY: Duration = Duration::from_secs(2);
/// Minimum mean delay after a failed call; doubles with each further failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum mean delay after a failed call.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);

/// Watches the store while this instance is one of its failure domain's watchers. Otherwise reads it
/// when no peer has provided a configuration, and once in each of its turns as a follower. Blocks
/// until the daemon stops.
pub(crate) fn watch_store<S: Store>(
    store: &ConfigStore<S>,
    state: &ConfigState,
    members: &Arc<MembershipDriver>,
    domain: &DomainId,
    stop: &StopSignal,
) {
    let started = Instant::now();
    let mut version = 0;
    let mut retry_delay = MIN_RETRY_DELAY;
    let mut last_turn = None;
    while stop.phase() < StopPhase::Closing {
        let is_watcher = members.is_watcher(domain);
        let config_overdue = state.generation() == 0 && started.elapsed() >= STORE_FALLBACK_DELAY;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let turn = members.follower_turn(domain, since_epoch).filter(|at| last_turn != Some(*at));
        if !is_watcher && !config_overdue && turn.is_none() {
            std::thread::sleep(ROLE_CHECK_INTERVAL);
            continue;
        }
        last_turn = turn.or(last_turn);
        let watch_timeout = if is_watcher { WATCH_TIMEOUT } else { Duration::ZERO };
        match sync_once(store, state, members, version, watch_timeout) {
            Ok(seen_version) => {
                version = seen_version;
                retry_delay = MIN_RETRY_DELAY;
                if !is_watcher {
                    let delay =
                        if config_overdue { OVERDUE_READ_INTERVAL } else { ROLE_CHECK_INTERVAL };
                    std::thread::sleep(delay);
                }
            }
            Err(e) => {
                tracing::warn!(error = %e, "store does not respond");
                // Jitter keeps the watchers from retrying all at once after an outage.
                std::thread::sleep(retry_delay.mul_f64(rand::rng().random_range(0.5..1.5)));
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// Activates the stored generation if it is newer than the active one. If `version` is not zero,
/// first waits for up to `watch_timeout` until the stored head has another version. Returns the
/// version of the stored head, or zero if there is none.
fn sync_once<S: Store>(
    store: &ConfigStore<S>,
    state: &ConfigState,
    members: &Arc<MembershipDriver>,
    version: u64,
    watch_timeout: Duration,
) -> Result<u64, ConfigStoreError> {
    if version > 0 && store.watch(version, watch_timeout)?.is_none() {
        return Ok(version);
    }
    let (head, mut chunks) = state.current();
    let loaded = store.load(head.as_ref(), &mut chunks)?;
    if let Some(newer) = loaded.newer
        && let Some(InstalledConfig { generation, digest }) = state.install(newer.head, chunks)?
    {
        members.publish_generation(generation, digest);
    }
    if loaded.version == 0 {
        // The store has no head yet, so this watch waits for the first one.
        store.watch(0, watch_timeout)?;
    }
    Ok(loaded.version)
}
