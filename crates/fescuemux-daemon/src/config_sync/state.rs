//! The generation in force, with the chunks that other daemons may ask for.

use crate::guard::{Guard, ServicePolicy};
use crate::ingress::{EffectiveConfig, Ingress};
use crate::metrics::Metrics;
use bytes::Bytes;
use fescuemux_core::base::Generation;
use fescuemux_core::config::{CurrentHead, Digest, Head, HeadComparison, Service};
use fescuemux_wire::config::{ChunkSet, ConfigError, decode_head, encode_head};
use fescuemux_wire::rpc::{ConfigQuery, ConfigResponse};
use sha2::{Digest as _, Sha256};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Most bytes of chunks in one answer. One chunk is at most 1 MB, so an answer stays below the
/// largest frame.
const MAX_ANSWER_BYTES: usize = 1_000_000;

/// Where a generation is put in force.
#[derive(Debug)]
pub(crate) struct ConfigContext {
    pub(crate) ingress: Arc<Ingress>,
    pub(crate) guard: Arc<Guard>,
    pub(crate) metrics: Arc<Metrics>,
}

/// A generation that was just put in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InstalledConfig {
    pub(crate) generation: Generation,
    /// First bytes of the digest of the head.
    pub(crate) digest: [u8; 16],
}

/// The configuration of this daemon.
#[derive(Debug)]
pub(crate) struct ConfigState {
    cx: ConfigContext,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    current: CurrentHead,
    chunks: ChunkSet,
}

impl ConfigState {
    pub(crate) fn new(cx: ConfigContext) -> Arc<ConfigState> {
        Arc::new(ConfigState { cx, inner: Mutex::default() })
    }

    /// Returns the generation in force, zero without one.
    pub(crate) fn generation(&self) -> Generation {
        self.lock().current.generation()
    }

    /// Returns the head in force and a copy of its chunks, to load a newer one with.
    pub(crate) fn current(&self) -> (Option<Head>, ChunkSet) {
        let inner = self.lock();
        (inner.current.head().cloned(), inner.chunks.clone())
    }

    /// Puts a generation in force if it is newer than the present one.
    ///
    /// # Errors
    ///
    /// Returns an error when a chunk is missing or malformed; nothing changes then.
    pub(crate) fn install(
        &self,
        head: Head,
        mut chunks: ChunkSet,
    ) -> Result<Option<InstalledConfig>, ConfigError> {
        let config = chunks.assemble(&head.names)?;
        chunks.retain(&[&head.names]);
        let generation = head.generation();
        let digest = digest_of(&head);
        let mut inner = self.lock();
        match inner.current.install(head) {
            HeadComparison::Newer => {}
            HeadComparison::Same | HeadComparison::Older => return Ok(None),
            HeadComparison::Conflict { generation, ours, theirs } => {
                tracing::error!(generation, ours = %format_args!("{ours:032x}"),
                    theirs = %format_args!("{theirs:032x}"),
                    "two plans claim one generation; the one in force stays");
                return Ok(None);
            }
        }
        inner.chunks = chunks;
        // Still under the lock, so that two installations cannot overtake each other.
        let policies = config.services.values().map(|s| (s.id.clone(), policy_of(s))).collect();
        self.cx.guard.set_policies(policies);
        self.cx.ingress.set_effective_config(Arc::new(EffectiveConfig::new(config)));
        self.cx.metrics.generation.set(i64::try_from(generation).unwrap_or(i64::MAX));
        tracing::info!(generation, "configuration in force");
        Ok(Some(InstalledConfig { generation, digest }))
    }

    /// Answers another daemon's question for content.
    pub(crate) fn answer(&self, query: &ConfigQuery) -> ConfigResponse {
        let inner = self.lock();
        let newer = inner.current.head().filter(|head| head.generation() > query.generation);
        let head = newer.map(encode_head);
        let mut left = MAX_ANSWER_BYTES;
        let mut chunks = Vec::new();
        for name in &query.chunks {
            let Some(bytes) = inner.chunks.bytes(name) else { continue };
            if bytes.len() > left && !chunks.is_empty() {
                break;
            }
            left = left.saturating_sub(bytes.len());
            chunks.push((*name, bytes.to_vec()));
        }
        ConfigResponse { head, chunks }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads an encoded head.
pub(super) fn read_head(bytes: &[u8]) -> Result<Head, ConfigError> {
    decode_head(bytes)
}

/// Adds chunks of an answer to a set.
pub(super) fn add_chunks(
    set: &mut ChunkSet,
    chunks: Vec<(Digest, Vec<u8>)>,
) -> Result<(), ConfigError> {
    for (name, bytes) in chunks {
        set.insert(name, Bytes::from(bytes))?;
    }
    Ok(())
}

fn digest_of(head: &Head) -> [u8; 16] {
    let full: [u8; 32] = Sha256::digest(encode_head(head)).into();
    let mut digest = [0; 16];
    digest.copy_from_slice(&full[..16]);
    digest
}

fn policy_of(service: &Service) -> ServicePolicy {
    let queue_limit = usize::try_from(service.queue_limit).unwrap_or(usize::MAX);
    ServicePolicy { favor: service.favor, queue_limit }
}
