//! Threads of a daemon whose calls to the store block.

use super::parts::Components;
use super::threads::Threads;
use crate::config_sync::watch_store;
use crate::homes::RosterManager;
use crate::ledger::{LedgerManager, LedgerRequest};
use crate::seeds::keep_seeds;
use fescuemux_settings::Settings;
use fescuemux_store::config_store::ConfigStore;
use std::sync::Arc;
use tokio::runtime::Handle;

/// Starts one thread for each of ledger, roster, seeds and configuration, so that none waits for
/// another's calls.
pub(super) fn spawn(
    threads: &mut Threads,
    settings: &Settings,
    parts: &Components,
    ledger_requests: flume::Receiver<LedgerRequest>,
    runtime: &Handle,
) -> anyhow::Result<()> {
    let ledger = LedgerManager {
        store: parts.store(settings)?,
        guard: Arc::clone(&parts.guard),
        ingress: Arc::clone(&parts.ingress),
        members: Arc::clone(&parts.members),
        incarnation: parts.incarnation,
    };
    let stop = parts.stop.clone();
    threads.spawn("ledger", move || ledger.run(&ledger_requests, &stop))?;

    let roster = RosterManager {
        store: parts.store(settings)?,
        homes: Arc::clone(&parts.homes),
        members: Arc::clone(&parts.members),
        own_instance: parts.own.clone(),
        runtime: runtime.clone(),
    };
    let stop = parts.stop.clone();
    threads.spawn("roster", move || roster.run(&stop))?;

    let (store, members) = (parts.store(settings)?, Arc::clone(&parts.members));
    let (domain, stop, handle) = (settings.domain.clone(), parts.stop.clone(), runtime.clone());
    threads.spawn("seeds", move || {
        let _entered = handle.enter();
        keep_seeds(&store, &members, &domain, &stop);
    })?;

    let store = ConfigStore::new(parts.store(settings)?);
    let (state, members) = (Arc::clone(&parts.state), Arc::clone(&parts.members));
    let (domain, stop, handle) = (settings.domain.clone(), parts.stop.clone(), runtime.clone());
    threads.spawn("config", move || {
        let _entered = handle.enter();
        watch_store(&store, &state, &members, &domain, &stop);
    })
}
