//! Loading of the configuration head and its chunks.

use super::{ConfigStore, ConfigStoreError};
use crate::{Store, Version, WatchResult};
use fescuemux_core::base::Generation;
use fescuemux_core::config::{ChunkDigests, Config, GenerationRecord, HEAD_KEY, Head, chunk_key};
use fescuemux_wire::config::{ChunkSet, ConfigError, decode_head, decode_head_for_update};
use std::time::Duration;

/// A generation with its content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Head of the generation.
    pub head: Head,
    /// Content of the generation.
    pub config: Config,
}

/// Result of a load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadResult {
    /// Version of the head's key, to pass to the next watch; zero if there is no head.
    pub version: Version,
    /// Newest generation in the store, if it is above the known one.
    pub newer: Option<Snapshot>,
}

impl<S: Store> ConfigStore<S> {
    /// Loads the newest generation if it is above that of `known`. Only the chunks that are missing
    /// in `chunks` are read. `chunks` then holds the chunks of both generations: the daemon may
    /// reject the loaded one, and peers may still pull the known one.
    ///
    /// # Errors
    /// Fails when the store fails or a record cannot be used. `chunks` then still holds its chunks,
    /// and also the chunks read so far.
    pub fn load(
        &self,
        known: Option<&Head>,
        chunks: &mut ChunkSet,
    ) -> Result<LoadResult, ConfigStoreError> {
        let Some((version, head)) = self.read_head()? else {
            return Ok(LoadResult { version: 0, newer: None });
        };
        let known_generation = known.map_or(0, Head::generation);
        self.observe_generation(known_generation.max(head.generation()));
        if head.generation() <= known_generation {
            return Ok(LoadResult { version, newer: None });
        }
        self.fetch_missing(&head.names, chunks)?;
        let config = chunks.assemble(&head.names)?;
        let known_names = known.map(|head| &head.names);
        chunks.retain(&[known_names.unwrap_or(&head.names), &head.names]);
        Ok(LoadResult { version, newer: Some(Snapshot { head, config }) })
    }

    /// Waits until the head's key has a version above `after` and returns the head with its
    /// version; `None` if the head was deleted or did not change before the timeout.
    ///
    /// # Errors
    /// Fails when the store fails or the head cannot be used.
    pub fn watch(
        &self,
        after: Version,
        timeout: Duration,
    ) -> Result<Option<(Version, Head)>, ConfigStoreError> {
        match self.store.watch(HEAD_KEY, after, timeout)? {
            WatchResult::Changed(entry) => Ok(Some((entry.version, decode_head(&entry.value)?))),
            WatchResult::Deleted | WatchResult::TimedOut => Ok(None),
        }
    }

    /// Returns the generations of the history, newest first.
    ///
    /// # Errors
    /// Fails when the store fails or the head cannot be used.
    pub fn history(&self) -> Result<Vec<GenerationRecord>, ConfigStoreError> {
        let head = self.read_head()?;
        Ok(head.map(|(_, head)| head.records().cloned().collect()).unwrap_or_default())
    }

    /// Returns the head on which a plan is made or confirmed. Fails if its generation is below the
    /// newest known one.
    pub(super) fn read_head_for_update(&self) -> Result<Option<(Version, Head)>, ConfigStoreError> {
        let head = match self.store.get(HEAD_KEY)? {
            Some(entry) => Some((entry.version, decode_head_for_update(&entry.value)?)),
            None => None,
        };
        let found = head.as_ref().map_or(0, |(_, head)| head.generation());
        let known = self.newest_known();
        if found < known {
            return Err(ConfigStoreError::StaleGeneration { known, found });
        }
        self.observe_generation(found);
        Ok(head)
    }

    pub(super) fn read_head(&self) -> Result<Option<(Version, Head)>, ConfigStoreError> {
        let Some(entry) = self.store.get(HEAD_KEY)? else { return Ok(None) };
        Ok(Some((entry.version, decode_head(&entry.value)?)))
    }

    /// Loads the content of `names` through the chunk cache of the driver.
    pub(super) fn load_config(&self, names: &ChunkDigests) -> Result<Config, ConfigStoreError> {
        let mut chunks = self.chunks();
        self.fetch_missing(names, &mut chunks)?;
        Ok(chunks.assemble(names)?)
    }

    /// Loads the content of `generation`; `None` if the history of `head` does not hold it.
    /// Generation zero has empty content.
    pub(super) fn load_config_at(
        &self,
        head: &Head,
        generation: Generation,
    ) -> Result<Option<Config>, ConfigStoreError> {
        match head.names_at(generation) {
            Some(names) => self.load_config(&names).map(Some),
            None => Ok(None),
        }
    }

    fn fetch_missing(
        &self,
        names: &ChunkDigests,
        chunks: &mut ChunkSet,
    ) -> Result<(), ConfigStoreError> {
        for name in chunks.missing(names) {
            let key = chunk_key(&name);
            let entry =
                self.store.get(&key)?.ok_or_else(|| ConfigError::MissingChunk(key.clone()))?;
            chunks.insert(name, entry.value.into())?;
        }
        Ok(())
    }
}
