//! Driver that keeps the configuration in a store. It proposes and confirms plans and loads the
//! newest content. All calls block.
//!
//! The driver only performs I/O: `fescuemux_core` makes the plans and decides the steps of a
//! confirm, `fescuemux_wire` defines the encodings.
//!
//! A configuration head, here called head, is the record that holds the generation in force, the
//! names of its chunks and the history of older generations.

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

/// Driver of the configuration in a store.
pub struct ConfigStore<S> {
    store: S,
    retry_delay: Duration,
    /// Newest generation that this process has seen in the store or from a peer.
    newest_known: AtomicU64,
    /// Cache of the chunks last read or written, so that a plan and its confirm read each chunk
    /// once.
    chunks: Mutex<ChunkSet>,
}

impl<S: Store> ConfigStore<S> {
    /// Returns a driver on `store` that waits 200 ms after the first failed step of a confirm,
    /// and twice as long after each further failed step.
    pub fn new(store: S) -> ConfigStore<S> {
        ConfigStore {
            store,
            retry_delay: Duration::from_millis(200),
            newest_known: AtomicU64::new(0),
            chunks: Mutex::new(ChunkSet::new()),
        }
    }

    /// Records that `generation` is in force, for example because a peer sent it. Plans are not
    /// made or confirmed on an older generation, because daemons would never install the result.
    pub fn observe_generation(&self, generation: Generation) {
        self.newest_known.fetch_max(generation, Ordering::Relaxed);
    }

    fn newest_known(&self) -> Generation {
        self.newest_known.load(Ordering::Relaxed)
    }

    /// Sets the delay after the first failed step of a confirm.
    #[must_use]
    pub fn with_retry_delay(mut self, delay: Duration) -> ConfigStore<S> {
        self.retry_delay = delay;
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
