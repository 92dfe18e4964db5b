//! Writing a daemon's configuration back to a store that lost it.

use super::{ConfigStore, ConfigStoreError};
use crate::{Mutation, Precondition, Store, SwapResult};
use fescuemux_core::config::{HEAD_KEY, Head, chunk_key};
use fescuemux_wire::config::{ChunkSet, ConfigError, encode_head};

impl<S: Store> ConfigStore<S> {
    /// Writes `head` and its chunks to a store without head, and returns whether it did. A head
    /// that exists is never replaced. Operators call this after a loss of the store's content;
    /// older generations of the history cannot be returned to afterwards, because daemons hold
    /// only the chunks in force.
    ///
    /// # Errors
    /// Fails when the store does, or when `chunks` lacks a chunk of `head`. With an unknown
    /// effect, calling again is harmless.
    pub fn restore(&self, head: &Head, chunks: &ChunkSet) -> Result<bool, ConfigStoreError> {
        for (_, name) in head.names.iter() {
            let key = chunk_key(&name);
            let bytes =
                chunks.bytes(&name).ok_or_else(|| ConfigError::MissingChunk(key.clone()))?;
            // A chunk that exists has this content, because its name is its digest.
            let _: bool = self.create(&key, &bytes, None)?;
        }
        let value = encode_head(head);
        let change = Mutation::Put { value: &value, lease: None };
        let swap = self.store.compare_and_swap(HEAD_KEY, Precondition::Absent, change)?;
        Ok(matches!(swap, SwapResult::Applied(_)))
    }
}
