//! Garbage collection of chunks that no generation of the history refers to.

use super::{ConfigStore, ConfigStoreError};
use crate::{Mutation, Precondition, Store, SwapResult};
use fescuemux_core::config::{CHUNK_PREFIX, HEAD_KEY, chunk_key};
use fescuemux_wire::config::decode_head;
use std::collections::BTreeSet;

/// Result of a sweep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SweepResult {
    /// Number of deleted chunks.
    Deleted(usize),
    /// There is no head, or it changed during the sweep; nothing was deleted.
    Interrupted,
}

impl<S: Store> ConfigStore<S> {
    /// Deletes the chunks that no generation of the history refers to.
    ///
    /// A confirm in progress may be about to refer to such a chunk. The sweep therefore first lists
    /// the chunks with their versions and then writes the head unchanged. A confirm that read the
    /// head before that write fails its swap and starts again. A confirm that reads the head after
    /// that write also writes its chunks after it, which gives them versions that the sweep does
    /// not delete.
    ///
    /// # Errors
    /// Fails when the store fails or the head cannot be used. The next sweep deletes the remaining
    /// chunks.
    pub fn sweep(&self) -> Result<SweepResult, ConfigStoreError> {
        let chunks = self.store.list(CHUNK_PREFIX)?;
        let Some(entry) = self.store.get(HEAD_KEY)? else { return Ok(SweepResult::Interrupted) };
        let head = decode_head(&entry.value)?;
        let unchanged_head = Mutation::Put { value: &entry.value, lease: None };
        match self.store.compare_and_swap(
            HEAD_KEY,
            Precondition::Version(entry.version),
            unchanged_head,
        )? {
            SwapResult::Applied(_) => {}
            SwapResult::Conflict(_) => return Ok(SweepResult::Interrupted),
        }
        let referenced: BTreeSet<String> = head.chunks().iter().map(chunk_key).collect();
        let mut deleted = 0;
        for chunk in chunks.iter().filter(|chunk| !referenced.contains(&chunk.key)) {
            let precondition = Precondition::Version(chunk.version);
            let result = self.store.compare_and_swap(&chunk.key, precondition, Mutation::Delete)?;
            deleted += usize::from(matches!(result, SwapResult::Applied(_)));
        }
        Ok(SweepResult::Deleted(deleted))
    }
}
