//! JSON encoding and names of configuration chunks.

use super::digest::sha256_digest;
use super::error::{from_json, to_json};
use super::item::{CallerBody, RouteBody, ServiceBody, convert_items};
use super::{ConfigError, FORMAT};
use bytes::Bytes;
use fescuemux_core::config::{BUCKET_COUNT, Chunk, Digest, FieldError};
use serde::{Deserialize, Serialize};

/// Maximum size of an encoded chunk in bytes; the maximum value size of the store.
const MAX_CHUNK_BYTES: usize = 1_000_000;

/// Encoded chunk as stored and sent, with its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedChunk {
    /// SHA-256 digest of the bytes.
    pub name: Digest,
    /// Encoded chunk.
    pub bytes: Bytes,
}

#[derive(Serialize, Deserialize)]
struct ChunkBody {
    format: u32,
    #[serde(flatten)]
    items: ItemsBody,
}

#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum ItemsBody {
    Services { services: Vec<ServiceBody> },
    Routes { bucket: u8, routes: Vec<RouteBody> },
    Callers { bucket: u8, callers: Vec<CallerBody> },
}

/// Encodes a chunk and computes its name.
///
/// # Errors
///
/// Returns an error if the encoded chunk exceeds the maximum value size of the store.
pub fn encode_chunk(chunk: &Chunk) -> Result<EncodedChunk, ConfigError> {
    let items = match chunk {
        Chunk::Services(services) => {
            ItemsBody::Services { services: services.iter().map(Into::into).collect() }
        }
        Chunk::Routes(bucket, routes) => {
            ItemsBody::Routes { bucket: *bucket, routes: routes.iter().map(Into::into).collect() }
        }
        Chunk::Callers(bucket, callers) => ItemsBody::Callers {
            bucket: *bucket,
            callers: callers.iter().map(Into::into).collect(),
        },
    };
    let bytes = to_json(&ChunkBody { format: FORMAT, items });
    if bytes.len() > MAX_CHUNK_BYTES {
        return Err(ConfigError::TooLarge { size: bytes.len(), max: MAX_CHUNK_BYTES });
    }
    Ok(EncodedChunk { name: sha256_digest(&bytes), bytes: bytes.into() })
}

/// Decodes the chunk named `name`, ignoring unknown fields. Also returns the format number that the
/// chunk was written with.
///
/// # Errors
///
/// Returns an error if the bytes do not match the digest `name`, or are not a valid chunk.
pub fn decode_chunk(name: &Digest, bytes: &[u8]) -> Result<(Chunk, u32), ConfigError> {
    if bytes.len() > MAX_CHUNK_BYTES {
        return Err(ConfigError::TooLarge { size: bytes.len(), max: MAX_CHUNK_BYTES });
    }
    if sha256_digest(bytes) != *name {
        return Err(ConfigError::DigestMismatch);
    }
    let body: ChunkBody = from_json(bytes, MAX_CHUNK_BYTES)?;
    let chunk = match body.items {
        ItemsBody::Services { services } => Chunk::Services(convert_items("services", services)?),
        ItemsBody::Routes { bucket, routes } => {
            Chunk::Routes(check_bucket(bucket)?, convert_items("routes", routes)?)
        }
        ItemsBody::Callers { bucket, callers } => {
            Chunk::Callers(check_bucket(bucket)?, convert_items("callers", callers)?)
        }
    };
    Ok((chunk, body.format))
}

fn check_bucket(bucket: u8) -> Result<u8, ConfigError> {
    if usize::from(bucket) < BUCKET_COUNT {
        return Ok(bucket);
    }
    Err(FieldError::new("bucket", format!("is {bucket}, must be below {BUCKET_COUNT}")).into())
}
