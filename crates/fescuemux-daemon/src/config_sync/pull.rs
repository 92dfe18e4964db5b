//! Pulls newer generations from other daemons.

use super::ConfigEvent;
use super::state::{ConfigState, InstalledConfig, add_chunks, parse_head};
use crate::ingress::PeerDirectory;
use crate::peers::{MembershipDriver, PeerClients};
use anyhow::Context;
use fescuemux_core::base::InstanceId;
use fescuemux_wire::rpc::{ConfigQuery, ConfigResponse};
use std::sync::Arc;
use std::time::Duration;

/// Timeout of one query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of queries for one generation. All 129 chunks at their maximum size need one
/// query each.
const MAX_QUERIES: usize = 160;

/// Pulls a generation whenever an event tells that another daemon has a newer generation.
/// Pulls are sequential. Events whose generation is no longer newer are ignored.
pub(crate) async fn pull_from_peers(
    events: flume::Receiver<ConfigEvent>,
    state: Arc<ConfigState>,
    members: Arc<MembershipDriver>,
    directory: Arc<PeerDirectory>,
    clients: Arc<PeerClients>,
) {
    while let Ok(ConfigEvent::Newer { from, generation }) = events.recv_async().await {
        if generation <= state.generation() {
            continue;
        }
        match pull(&state, &directory, &clients, &from).await {
            Ok(Some(InstalledConfig { generation, digest })) => {
                members.publish_generation(generation, digest)
            }
            Ok(None) => {}
            Err(e) => {
                tracing::debug!(%from, error = %format_args!("{e:#}"), "configuration pull failed")
            }
        }
    }
}

async fn pull(
    state: &ConfigState,
    directory: &PeerDirectory,
    clients: &PeerClients,
    from: &InstanceId,
) -> anyhow::Result<Option<InstalledConfig>> {
    let peer = directory.get(from).context("the instance is not in the peer directory")?;
    let client = clients.get(peer.rpc).await?;
    let generation = state.generation();
    let query_peer = async |chunks: Vec<_>| -> anyhow::Result<ConfigResponse> {
        let query = ConfigQuery { generation, chunks };
        Ok(client.config(PeerClients::context(QUERY_TIMEOUT), query).await?)
    };
    let Some(head) = query_peer(Vec::new()).await?.head else { return Ok(None) };
    let head = parse_head(&head)?;
    let (_, mut chunks) = state.current();
    for _ in 0..MAX_QUERIES {
        let missing = chunks.missing(&head.names);
        if missing.is_empty() {
            return Ok(state.install(head, chunks)?);
        }
        let response = query_peer(missing).await?;
        anyhow::ensure!(!response.chunks.is_empty(), "the instance no longer has the chunks");
        add_chunks(&mut chunks, response.chunks)?;
    }
    anyhow::bail!("the chunks did not arrive within {MAX_QUERIES} queries")
}
