//! Restoration of a store that lost its content from the configuration of a daemon.

use super::{ConfigStore, ConfigStoreError};
use crate::{Mutation, Precondition, Store, SwapResult};
use fescuemux_core::config::{HEAD_KEY, Head, chunk_key};
use fescuemux_wire::config::{ChunkSet, ConfigError, encode_head};

impl<S: Store> ConfigStore<S> {
    /// Writes the chunks of `head`, then `head` itself if the store has no head, and returns
    /// whether the head was written. An existing head is never replaced. Operators call this after
    /// the store lost its content. Afterwards, plans cannot return to older generations of the
    /// history, because daemons hold only the chunks of the generation in force.
    ///
    /// # Errors
    /// Fails when the store fails or `chunks` lacks a chunk of `head`. The call can be repeated
    /// after an error whose effect is unknown.
    pub fn restore(&self, head: &Head, chunks: &ChunkSet) -> Result<bool, ConfigStoreError> {
        for (_, name) in head.names.iter() {
            let key = chunk_key(&name);
            let bytes =
                chunks.bytes(&name).ok_or_else(|| ConfigError::MissingChunk(key.clone()))?;
            // An existing chunk has the same content, because its name is its digest.
            let _: bool = self.create(&key, &bytes, None)?;
        }
        let value = encode_head(head);
        let mutation = Mutation::Put { value: &value, lease: None };
        let result = self.store.compare_and_swap(HEAD_KEY, Precondition::Absent, mutation)?;
        Ok(matches!(result, SwapResult::Applied(_)))
    }
}
