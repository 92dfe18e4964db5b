//! Threads that make blocking calls to the store.

use super::parts::Components;
use super::threads::Threads;
use crate::config_sync::watch_store;
use crate::homes::RosterManager;
use crate::ledger::{LedgerManager, LedgerRequest};
use crate::seeds::maintain_seeds;
use fescuemux_settings::Settings;
use fescuemux_store::config_store::ConfigStore;
use std::sync::Arc;
use tokio::runtime::Handle;

/// Starts one thread each for the ledger, roster, seeds and configuration, so that no
/// thread waits for the store calls of another.
pub(super) fn spawn_store_threads(
    threads: &mut Threads,
    settings: &Settings,
    components: &Components,
    ledger_requests: flume::Receiver<LedgerRequest>,
    runtime: &Handle,
) -> anyhow::Result<()> {
    let ledger = LedgerManager {
        store: components.store(settings)?,
        guard: Arc::clone(&components.guard),
        ingress: Arc::clone(&components.ingress),
        members: Arc::clone(&components.members),
        incarnation: components.incarnation,
    };
    let stop = components.stop.clone();
    threads.spawn_detached("ledger", move || ledger.run(&ledger_requests, &stop))?;

    let roster = RosterManager {
        store: components.store(settings)?,
        homes: Arc::clone(&components.homes),
        members: Arc::clone(&components.members),
        local_instance: components.local_instance.clone(),
        runtime: runtime.clone(),
    };
    let stop = components.stop.clone();
    threads.spawn_detached("roster", move || roster.run(&stop))?;

    let (store, members) = (components.store(settings)?, Arc::clone(&components.members));
    let (domain, stop, handle) =
        (settings.domain.clone(), components.stop.clone(), runtime.clone());
    threads.spawn_detached("seeds", move || {
        let _runtime_guard = handle.enter();
        maintain_seeds(&store, &members, &domain, &stop);
    })?;

    let store = ConfigStore::new(components.store(settings)?);
    let (state, members) = (Arc::clone(&components.config_state), Arc::clone(&components.members));
    let (domain, stop, handle) =
        (settings.domain.clone(), components.stop.clone(), runtime.clone());
    threads.spawn_detached("config", move || {
        let _runtime_guard = handle.enter();
        watch_store(&store, &state, &members, &domain, &stop);
    })
}
