//! Chunks in JSON, and their names.

use super::digest::digest_of;
use super::error::{parse, write};
use super::item::{CallerBody, RouteBody, ServiceBody, convert_all};
use super::{ConfigError, FORMAT};
use bytes::Bytes;
use fescuemux_core::config::{BUCKET_COUNT, Chunk, Digest, FieldError};
use serde::{Deserialize, Serialize};

/// Largest encoded chunk, the largest value of the store.
const MAX_CHUNK_BYTES: usize = 1_000_000;

/// A chunk as it is stored and sent, with its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedChunk {
    /// SHA-256 of the bytes.
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

/// Encodes a chunk and names it.
///
/// # Errors
/// Fails when the chunk is larger than a value of the store may be.
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
    let bytes = write(&ChunkBody { format: FORMAT, items });
    if bytes.len() > MAX_CHUNK_BYTES {
        return Err(ConfigError::TooLarge { size: bytes.len(), max: MAX_CHUNK_BYTES });
    }
    Ok(EncodedChunk { name: digest_of(&bytes), bytes: bytes.into() })
}

/// Decodes the chunk named `name`. Unknown fields are ignored; the second value is the format
/// that the chunk was written in.
///
/// # Errors
/// Fails when the bytes do not belong to the name, or are not a chunk within bounds.
pub fn decode_chunk(name: &Digest, bytes: &[u8]) -> Result<(Chunk, u32), ConfigError> {
    if bytes.len() > MAX_CHUNK_BYTES {
        return Err(ConfigError::TooLarge { size: bytes.len(), max: MAX_CHUNK_BYTES });
    }
    if digest_of(bytes) != *name {
        return Err(ConfigError::DigestMismatch);
    }
    let body: ChunkBody = parse(bytes, MAX_CHUNK_BYTES)?;
    let chunk = match body.items {
        ItemsBody::Services { services } => Chunk::Services(convert_all("services", services)?),
        ItemsBody::Routes { bucket, routes } => {
            Chunk::Routes(check_bucket(bucket)?, convert_all("routes", routes)?)
        }
        ItemsBody::Callers { bucket, callers } => {
            Chunk::Callers(check_bucket(bucket)?, convert_all("callers", callers)?)
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
