//! Driver that keeps the configuration in a store: proposes and confirms plans and loads the
//! newest content. All calls block.
//!
//! Decides nothing by itself: plans and the confirm protocol come from core, encodings from the
//! wire types.

mod confirm;
mod error;
mod load;
mod plans;
mod restore;
mod sweep;

pub use confirm::Confirmation;
pub use error::ConfigStoreError;
pub use load::{LoadResult, Snapshot};
pub use sweep::SweepResult;

use crate::Store;
use fescuemux_core::base::Generation;
use fescuemux_wire::config::ChunkSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// The configuration in a store.
pub struct ConfigStore<S> {
    store: S,
    retry_delay: Duration,
    /// Newest generation that this process has seen, in the store or from a peer.
    known: AtomicU64,
    /// Chunks read or written last, so that a plan and its confirm read each chunk once.
    chunks: Mutex<ChunkSet>,
}

impl<S: Store> ConfigStore<S> {
    /// Returns a driver on `store` that waits 200 ms after a failed call, and twice as long
    /// after each further one.
    pub fn new(store: S) -> ConfigStore<S> {
        ConfigStore {
            store,
            retry_delay: Duration::from_millis(200),
            known: AtomicU64::new(0),
            chunks: Mutex::new(ChunkSet::new()),
        }
    }

    /// Tells the driver of a generation that is in force, for example one from a peer. No plan
    /// is made or confirmed on an older one: daemons would never take its generation.
    pub fn observe_generation(&self, generation: Generation) {
        self.known.fetch_max(generation, Ordering::Relaxed);
    }

    fn known(&self) -> Generation {
        self.known.load(Ordering::Relaxed)
    }

    /// Sets the pause after the first failed call of a confirm.
    #[must_use]
    pub fn with_retry_delay(mut self, pause: Duration) -> ConfigStore<S> {
        self.retry_delay = pause;
        self
    }

    /// Returns the store.
    pub fn store(&self) -> &S {
        &self.store
    }

    fn chunks(&self) -> MutexGuard<'_, ChunkSet> {
        self.chunks.lock().expect("no holder panics")
    }
}
