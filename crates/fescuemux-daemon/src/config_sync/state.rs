//! The active generation, with the chunks that other daemons may request.

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

/// Maximum total size in bytes of the chunks in one response. A chunk has at most 1 MB, so a
/// response stays below the maximum frame size.
const MAX_RESPONSE_CHUNK_BYTES: usize = 1_000_000;

/// Components that a new generation is applied to.
#[derive(Debug)]
pub(crate) struct ConfigContext {
    pub(crate) ingress: Arc<Ingress>,
    pub(crate) guard: Arc<Guard>,
    pub(crate) metrics: Arc<Metrics>,
}

/// A generation that was just activated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InstalledConfig {
    pub(crate) generation: Generation,
    /// Truncated SHA-256 digest of the encoded head.
    pub(crate) digest: [u8; 16],
}

/// The active configuration of this daemon.
#[derive(Debug)]
pub(crate) struct ConfigState {
    context: ConfigContext,
    inner: Mutex<ConfigInner>,
}

#[derive(Debug, Default)]
struct ConfigInner {
    current: CurrentHead,
    chunks: ChunkSet,
}

impl ConfigState {
    pub(crate) fn new(context: ConfigContext) -> Arc<ConfigState> {
        Arc::new(ConfigState { context, inner: Mutex::default() })
    }

    /// Returns the active generation, or zero if there is none.
    pub(crate) fn generation(&self) -> Generation {
        self.lock().current.generation()
    }

    /// Returns the active head and a copy of its chunks, to which the chunks of a newer head can be
    /// added.
    pub(crate) fn current(&self) -> (Option<Head>, ChunkSet) {
        let inner = self.lock();
        (inner.current.head().cloned(), inner.chunks.clone())
    }

    /// Activates a generation if it is newer than the active one.
    ///
    /// # Errors
    ///
    /// Returns an error and changes nothing when a chunk is missing or malformed.
    pub(crate) fn install(
        &self,
        head: Head,
        mut chunks: ChunkSet,
    ) -> Result<Option<InstalledConfig>, ConfigError> {
        let config = chunks.assemble(&head.names)?;
        chunks.retain(&[&head.names]);
        let generation = head.generation();
        let digest = head_digest(&head);
        let mut inner = self.lock();
        match inner.current.install(head) {
            HeadComparison::Newer => {}
            HeadComparison::Same | HeadComparison::Older => return Ok(None),
            HeadComparison::Conflict { generation, ours, theirs } => {
                tracing::error!(generation, ours = %format_args!("{ours:032x}"),
                    theirs = %format_args!("{theirs:032x}"),
                    "two plans claim the same generation; keeping the active one");
                return Ok(None);
            }
        }
        inner.chunks = chunks;
        // The lock is still held, so that concurrent calls apply generations in order.
        let policies =
            config.services.values().map(|s| (s.id.clone(), service_policy(s))).collect();
        self.context.guard.set_policies(policies);
        self.context.ingress.set_effective_config(Arc::new(EffectiveConfig::new(config)));
        self.context.metrics.generation.set(i64::try_from(generation).unwrap_or(i64::MAX));
        tracing::info!(generation, "configuration activated");
        Ok(Some(InstalledConfig { generation, digest }))
    }

    /// Answers a query of another daemon for a newer head and for chunks. The response may lack
    /// some of the requested chunks.
    pub(crate) fn handle_query(&self, query: &ConfigQuery) -> ConfigResponse {
        let inner = self.lock();
        let newer = inner.current.head().filter(|head| head.generation() > query.generation);
        let head = newer.map(encode_head);
        let mut remaining = MAX_RESPONSE_CHUNK_BYTES;
        let mut chunks = Vec::new();
        for name in &query.chunks {
            let Some(bytes) = inner.chunks.bytes(name) else { continue };
            if bytes.len() > remaining && !chunks.is_empty() {
                break;
            }
            remaining = remaining.saturating_sub(bytes.len());
            chunks.push((*name, bytes.to_vec()));
        }
        ConfigResponse { head, chunks }
    }

    fn lock(&self) -> MutexGuard<'_, ConfigInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Decodes a head.
pub(super) fn parse_head(bytes: &[u8]) -> Result<Head, ConfigError> {
    decode_head(bytes)
}

/// Adds the chunks of a response to a set.
pub(super) fn add_chunks(
    set: &mut ChunkSet,
    chunks: Vec<(Digest, Vec<u8>)>,
) -> Result<(), ConfigError> {
    for (name, bytes) in chunks {
        set.insert(name, Bytes::from(bytes))?;
    }
    Ok(())
}

fn head_digest(head: &Head) -> [u8; 16] {
    let full: [u8; 32] = Sha256::digest(encode_head(head)).into();
    let mut digest = [0; 16];
    digest.copy_from_slice(&full[..16]);
    digest
}

fn service_policy(service: &Service) -> ServicePolicy {
    let queue_limit = usize::try_from(service.queue_limit).unwrap_or(usize::MAX);
    ServicePolicy { favor: service.favor, queue_limit }
}
