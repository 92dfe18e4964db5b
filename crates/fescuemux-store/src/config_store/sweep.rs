//! Deletion of chunks that no generation of the history needs.

use super::{ConfigStore, ConfigStoreError};
use crate::{Mutation, Precondition, Store, SwapResult};
use fescuemux_core::config::{CHUNK_PREFIX, HEAD_KEY, chunk_key};
use fescuemux_wire::config::decode_head;
use std::collections::BTreeSet;

/// Result of a sweep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SweepResult {
    /// This many chunks were deleted.
    Deleted(usize),
    /// A confirm came in between; nothing was deleted.
    Interrupted,
}

impl<S: Store> ConfigStore<S> {
    /// Deletes the chunks that no generation of the history needs.
    ///
    /// A confirm in progress may be about to name such a chunk. The sweep therefore lists the
    /// chunks with their versions first and then writes the head unchanged: a confirm that read
    /// the head before this fails its swap and starts again, and one that read it after writes
    /// its chunks afresh, which gives them versions that the sweep does not delete.
    ///
    /// # Errors
    /// Fails when the store does, or when the head cannot be used. What is left is found by the
    /// next sweep.
    pub fn sweep(&self) -> Result<SweepResult, ConfigStoreError> {
        let listed = self.store.list(CHUNK_PREFIX)?;
        let Some(entry) = self.store.get(HEAD_KEY)? else { return Ok(SweepResult::Interrupted) };
        let head = decode_head(&entry.value)?;
        let fence = Mutation::Put { value: &entry.value, lease: None };
        match self.store.compare_and_swap(HEAD_KEY, Precondition::Version(entry.version), fence)? {
            SwapResult::Applied(_) => {}
            SwapResult::Conflict(_) => return Ok(SweepResult::Interrupted),
        }
        let kept: BTreeSet<String> = head.chunks().iter().map(chunk_key).collect();
        let mut deleted = 0;
        for chunk in listed.iter().filter(|chunk| !kept.contains(&chunk.key)) {
            let expect = Precondition::Version(chunk.version);
            let swap = self.store.compare_and_swap(&chunk.key, expect, Mutation::Delete)?;
            deleted += usize::from(matches!(swap, SwapResult::Applied(_)));
        }
        Ok(SweepResult::Deleted(deleted))
    }
}
