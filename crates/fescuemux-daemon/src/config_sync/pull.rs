//! Pulling newer generations from other daemons.

use super::ConfigEvent;
use super::state::{ConfigState, InstalledConfig, add_chunks, read_head};
use crate::ingress::PeerDirectory;
use crate::peers::{MembershipDriver, PeerClients};
use anyhow::Context;
use fescuemux_core::base::InstanceId;
use fescuemux_wire::rpc::{ConfigQuery, ConfigResponse};
use std::sync::Arc;
use std::time::Duration;

/// Longest time for one question.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Most questions for one generation: all 129 chunks at their largest need about as many.
const MAX_QUERIES: usize = 160;

/// Pulls a newer generation whenever another daemon is known to have one. One pull at a time;
/// events for generations that are in force by then are void.
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
                members.set_generation(generation, digest)
            }
            Ok(None) => {}
            Err(e) => tracing::debug!(%from, error = %format_args!("{e:#}"), "pull failed"),
        }
    }
}

async fn pull(
    state: &ConfigState,
    directory: &PeerDirectory,
    clients: &PeerClients,
    from: &InstanceId,
) -> anyhow::Result<Option<InstalledConfig>> {
    let peer = directory.get(from).context("the instance is not known")?;
    let client = clients.get(peer.rpc).await?;
    let generation = state.generation();
    let ask = async |chunks: Vec<_>| -> anyhow::Result<ConfigResponse> {
        let query = ConfigQuery { generation, chunks };
        Ok(client.config(PeerClients::context(QUERY_TIMEOUT), query).await?)
    };
    let Some(head) = ask(Vec::new()).await?.head else { return Ok(None) };
    let head = read_head(&head)?;
    let (_, mut chunks) = state.current();
    for _ in 0..MAX_QUERIES {
        let missing = chunks.missing(&head.names);
        if missing.is_empty() {
            return Ok(state.install(head, chunks)?);
        }
        let answer = ask(missing).await?;
        anyhow::ensure!(!answer.chunks.is_empty(), "the instance no longer has the chunks");
        add_chunks(&mut chunks, answer.chunks)?;
    }
    anyhow::bail!("the chunks did not arrive in {MAX_QUERIES} answers")
}
