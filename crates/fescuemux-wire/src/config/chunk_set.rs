//! Chunks at hand, encoded and decoded, by name.

use super::chunk::{EncodedChunk, decode_chunk};
use super::digest::format_digest;
use super::{ConfigError, FORMAT};
use bytes::Bytes;
use fescuemux_core::base::HashMap;
use fescuemux_core::config::{Chunk, ChunkNames, Config, Digest, join_chunks};
use std::sync::Arc;

/// Chunks at hand. Keeps the encoded form for peers that pull it and the decoded form, so that a
/// change decodes only the chunks that it touches.
#[derive(Clone, Debug, Default)]
pub struct ChunkSet {
    chunks: HashMap<Digest, Held>,
}

#[derive(Clone, Debug)]
struct Held {
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

    /// Returns whether the set holds no chunk.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Returns the encoded chunk named `name`.
    pub fn bytes(&self, name: &Digest) -> Option<Bytes> {
        self.chunks.get(name).map(|held| held.bytes.clone())
    }

    /// Adds a chunk that came from the store or a peer.
    ///
    /// # Errors
    /// Fails when the bytes do not belong to `name`, or are not a chunk within bounds.
    pub fn insert(&mut self, name: Digest, bytes: Bytes) -> Result<(), ConfigError> {
        if self.chunks.contains_key(&name) {
            return Ok(());
        }
        let (chunk, format) = decode_chunk(&name, &bytes)?;
        self.chunks.insert(name, Held { bytes, chunk: Arc::new(chunk), format });
        Ok(())
    }

    /// Adds a chunk that this process encoded.
    pub fn insert_encoded(&mut self, encoded: EncodedChunk, chunk: Chunk) {
        let held = Held { bytes: encoded.bytes, chunk: Arc::new(chunk), format: FORMAT };
        self.chunks.insert(encoded.name, held);
    }

    /// Returns the chunks of `names` that the set lacks.
    pub fn missing(&self, names: &ChunkNames) -> Vec<Digest> {
        let lacks = |name: &Digest| !self.chunks.contains_key(name);
        names.iter().map(|(_, name)| name).filter(lacks).collect()
    }

    /// Returns the configuration that `names` stand for.
    ///
    /// # Errors
    /// Fails when a chunk is missing or lies at the wrong part.
    pub fn assemble(&self, names: &ChunkNames) -> Result<Config, ConfigError> {
        let mut chunks = Vec::new();
        for (part, name) in names.iter() {
            let held = self
                .chunks
                .get(&name)
                .ok_or_else(|| ConfigError::MissingChunk(format_digest(&name)))?;
            if held.chunk.part() != part {
                return Err(ConfigError::shape("names", "chunk lies at the wrong part"));
            }
            chunks.push(&*held.chunk);
        }
        join_chunks(chunks).map_err(ConfigError::Layout)
    }

    /// Checks that this version can write the content of `names` back without loss.
    ///
    /// # Errors
    /// Fails when a newer version wrote one of the chunks.
    pub fn check_writable(&self, names: &ChunkNames) -> Result<(), ConfigError> {
        let newest = names.iter().filter_map(|(_, name)| self.chunks.get(&name)).map(|h| h.format);
        match newest.max() {
            Some(format) if format > FORMAT => Err(ConfigError::NewerFormat(format)),
            _ => Ok(()),
        }
    }

    /// Drops the chunks that none of `names` needs.
    pub fn retain(&mut self, names: &[&ChunkNames]) {
        let wanted: fescuemux_core::base::HashSet<Digest> =
            names.iter().flat_map(|names| names.iter().map(|(_, name)| name)).collect();
        self.chunks.retain(|name, _| wanted.contains(name));
    }
}
