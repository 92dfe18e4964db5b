//! Driver that keeps the configuration in a store: proposes and confirms plans and loads the
//! newest content. All calls block.
//!
//! Decides nothing by itself: plans and the confirm protocol come from core, encodings from the
//! wire types.

mod confirm;
mod error;
mod load;
mod plans;
mod sweep;

pub use confirm::Confirmation;
pub use error::ConfigStoreError;
pub use load::{Loaded, Snapshot};
pub use sweep::Swept;

use crate::Store;
use fescuemux_wire::config::ChunkSet;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// The configuration in a store.
pub struct ConfigStore<S> {
    store: S,
    retry_pause: Duration,
    /// Chunks read or written last, so that a plan and its confirm read each chunk once.
    chunks: Mutex<ChunkSet>,
}

impl<S: Store> ConfigStore<S> {
    /// Returns a driver on `store` that waits 200 ms after a failed call, and twice as long
    /// after each further one.
    pub fn new(store: S) -> ConfigStore<S> {
        ConfigStore {
            store,
            retry_pause: Duration::from_millis(200),
            chunks: Mutex::new(ChunkSet::new()),
        }
    }

    /// Sets the pause after the first failed call of a confirm.
    #[must_use]
    pub fn with_retry_pause(mut self, pause: Duration) -> ConfigStore<S> {
        self.retry_pause = pause;
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
