//! Local set of configuration chunks, encoded and decoded, by name.

use super::chunk::{EncodedChunk, decode_chunk};
use super::digest::format_digest;
use super::{ConfigError, FORMAT};
use bytes::Bytes;
use fescuemux_core::base::HashMap;
use fescuemux_core::config::{Chunk, ChunkDigests, Config, Digest, join_chunks};
use std::sync::Arc;

/// Local set of configuration chunks. Keeps the encoded form for peers that pull it, and the
/// decoded form so that a configuration change decodes only the chunks that differ.
#[derive(Clone, Debug, Default)]
pub struct ChunkSet {
    chunks: HashMap<Digest, CachedChunk>,
}

#[derive(Clone, Debug)]
struct CachedChunk {
    bytes: Bytes,
    chunk: Arc<Chunk>,
    format: u32,
}

impl ChunkSet {
    /// Returns an empty set.
    pub fn new() -> ChunkSet {
        ChunkSet::default()
    }

    /// Returns the number of chunks.
    pub fn len(&self) -> usize {
        self.chunks.len()
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Returns the encoded chunk named `name`.
    pub fn bytes(&self, name: &Digest) -> Option<Bytes> {
        self.chunks.get(name).map(|cached| cached.bytes.clone())
    }

    /// Decodes and adds a chunk received from the store or a peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes do not match the digest `name`, or are not a valid chunk.
    pub fn insert(&mut self, name: Digest, bytes: Bytes) -> Result<(), ConfigError> {
        if self.chunks.contains_key(&name) {
            return Ok(());
        }
        let (chunk, format) = decode_chunk(&name, &bytes)?;
        self.chunks.insert(name, CachedChunk { bytes, chunk: Arc::new(chunk), format });
        Ok(())
    }

    /// Adds a chunk encoded by this process.
    pub fn insert_encoded(&mut self, encoded: EncodedChunk, chunk: Chunk) {
        let cached = CachedChunk { bytes: encoded.bytes, chunk: Arc::new(chunk), format: FORMAT };
        self.chunks.insert(encoded.name, cached);
    }

    /// Returns the names of the chunks in `names` that are missing from the set.
    pub fn missing(&self, names: &ChunkDigests) -> Vec<Digest> {
        let is_missing = |name: &Digest| !self.chunks.contains_key(name);
        names.iter().map(|(_, name)| name).filter(is_missing).collect()
    }

    /// Assembles the configuration from the chunks in `names`.
    ///
    /// # Errors
    ///
    /// Returns an error if a chunk is missing, listed under the wrong part, or inconsistent with
    /// the other chunks.
    pub fn assemble(&self, names: &ChunkDigests) -> Result<Config, ConfigError> {
        let mut chunks = Vec::new();
        for (part, name) in names.iter() {
            let cached = self
                .chunks
                .get(&name)
                .ok_or_else(|| ConfigError::MissingChunk(format_digest(&name)))?;
            if cached.chunk.part() != part {
                return Err(ConfigError::shape("names", "chunk lies at the wrong part"));
            }
            chunks.push(&*cached.chunk);
        }
        join_chunks(chunks).map_err(ConfigError::Layout)
    }

    /// Checks that this version can write back the content of `names` without loss.
    ///
    /// # Errors
    ///
    /// Returns an error if a newer version wrote one of the chunks.
    pub fn check_writable(&self, names: &ChunkDigests) -> Result<(), ConfigError> {
        let formats =
            names.iter().filter_map(|(_, name)| self.chunks.get(&name)).map(|cached| cached.format);
        match formats.max() {
            Some(format) if format > FORMAT => Err(ConfigError::NewerFormat(format)),
            _ => Ok(()),
        }
    }

    /// Removes the chunks that none of `names` refers to.
    pub fn retain(&mut self, names: &[&ChunkDigests]) {
        let retained: fescuemux_core::base::HashSet<Digest> =
            names.iter().flat_map(|names| names.iter().map(|(_, name)| name)).collect();
        self.chunks.retain(|name, _| retained.contains(name));
    }
}
