//! Watching the store for newer generations.

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
use std::time::{Duration, Instant};

/// Time for which one watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Pause of a daemon that need not watch, before it looks at its role again.
const IDLE_PAUSE: Duration = Duration::from_millis(500);
/// A daemon without configuration reads the store itself after this long: by then its peers
/// would have told it of theirs.
const ALONE_AFTER: Duration = Duration::from_secs(2);
/// Shortest and longest mean pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(8);

/// Watches the store while this instance is one of its failure domain's watchers, and reads it
/// once when no peer has a configuration. Blocks until the daemon stops.
pub(crate) fn watch_store<S: Store>(
    store: &ConfigStore<S>,
    state: &ConfigState,
    members: &Arc<MembershipDriver>,
    domain: &DomainId,
    stop: &StopSignal,
) {
    let started = Instant::now();
    let mut version = 0;
    let mut pause = RETRY_PAUSE;
    while stop.phase() < StopPhase::Closing {
        let watches = members.is_watcher(domain);
        let alone = state.generation() == 0 && started.elapsed() >= ALONE_AFTER;
        if !watches && !alone {
            std::thread::sleep(IDLE_PAUSE);
            continue;
        }
        match step(store, state, members, version) {
            Ok(seen) => {
                version = seen;
                pause = RETRY_PAUSE;
                if !watches {
                    std::thread::sleep(IDLE_PAUSE);
                }
            }
            Err(e) => {
                tracing::warn!(error = %e, "the store does not answer");
                // The spread keeps the watchers from returning all at once after an outage.
                std::thread::sleep(pause.mul_f64(rand::rng().random_range(0.5..1.5)));
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }
}

/// Loads what is newer, or waits for a change when nothing is. Returns the version of the head
/// that was seen.
fn step<S: Store>(
    store: &ConfigStore<S>,
    state: &ConfigState,
    members: &Arc<MembershipDriver>,
    version: u64,
) -> Result<u64, ConfigStoreError> {
    if version > 0 && store.watch(version, WATCH_WAIT)?.is_none() {
        return Ok(version);
    }
    let (head, mut chunks) = state.current();
    let loaded = store.load(head.as_ref(), &mut chunks)?;
    if let Some(newer) = loaded.newer
        && let Some(InstalledConfig { generation, digest }) = state.install(newer.head, chunks)?
    {
        members.set_generation(generation, digest);
    }
    if loaded.version == 0 {
        // Without a head there is nothing to compare with; the watch waits for the first one.
        store.watch(0, WATCH_WAIT)?;
    }
    Ok(loaded.version)
}
