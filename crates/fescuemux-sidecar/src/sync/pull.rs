//! Exchange of configuration and membership between instances.

use crate::hop::{Message, Pull, State};
use crate::load_query::{self, LoadQuery};
use crate::node::Node;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// Interval between load queries to a random instance. A configuration that a few instances know
/// reaches all other instances within a few intervals.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(700);

/// Number of random instances that are told of a new configuration at once. Each of them tells as
/// many others, so the configuration reaches a thousand instances in five steps.
const ANNOUNCED_PEERS: usize = 4;

/// Age of the last list of instances above which a pull asks for all instances that the other one
/// knows, because the store does not answer.
const LIST_MAX_AGE: Duration = Duration::from_secs(60);

/// Timeout of a pull, including a complete configuration.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);

/// Pause after a pull, so that many replies with the same new version cause only one pull.
const PULL_PAUSE: Duration = Duration::from_millis(30);

/// Pulls state from another instance whenever [`Node::request_pull`] was called. Runs until the
/// process ends.
pub(crate) async fn pull(node: Rc<Node>) {
    loop {
        node.pull_notify.notified().await;
        let addr = node.pull_addr.borrow_mut().take();
        let Some(addr) = addr else { continue };
        match tokio::time::timeout(PULL_TIMEOUT, fetch_state(&node, addr)).await {
            Ok(Ok(state)) => apply_state(&node, state),
            Ok(Err(e)) => info!(event = "pull_failed", from = %addr, error = %e),
            Err(_) => info!(event = "pull_failed", from = %addr, error = "timed out"),
        }
        tokio::time::sleep(PULL_PAUSE).await;
    }
}

async fn fetch_state(node: &Node, addr: SocketAddr) -> Result<State, crate::hop::HopError> {
    let mut hop = node.hop_pool.take(addr, node.now()).await?;
    let all_peers = node
        .listed_at
        .get()
        .is_none_or(|at| node.now().saturating_duration_since(at) > LIST_MAX_AGE);
    let pull = Pull { config_version: node.config_version(), all_peers };
    hop.send(Message::Pull(pull)).await?;
    match hop.next_message().await? {
        Message::State(state) => {
            node.hop_pool.put(addr, node.now(), hop);
            Ok(state)
        }
        _ => Err(crate::hop::HopError::UnexpectedMessage),
    }
}

fn apply_state(node: &Node, state: State) {
    if let Some(raw) = state.config {
        match node.dialect.decode_config(&raw) {
            Ok(config) => node.install_config(config, "instance"),
            Err(e) => warn!(event = "configuration_invalid", source = "instance", error = %e),
        }
    }
    let own = node.own_peer();
    for record in state.peers {
        let peer: fescuemux_core::placement::Peer = record.into();
        let known = node.directory.borrow().get(&peer.id).is_some();
        if peer.id != own.id && !known {
            let id = peer.id.clone();
            node.add_peer(peer, "instance");
            // Only the store confirms membership; a peer that is not listed there is dropped if it
            // does not reply.
            node.directory.borrow_mut().mark_unlisted(node.now(), &id);
        }
    }
}

/// Queries a random instance at a regular interval, and several at once after a new configuration
/// was installed, so that configurations spread without traffic. Drops peers and connections that
/// have expired.
pub(crate) async fn gossip(node: Rc<Node>) {
    loop {
        let peer_count = tokio::select! {
            () = tokio::time::sleep(GOSSIP_INTERVAL) => 1,
            () = node.config_notify.notified() => ANNOUNCED_PEERS,
        };
        let own_id = node.settings.borrow().instance.clone();
        let peers =
            node.with_cx(|cx| node.directory.borrow().random_peers(cx, &own_id, peer_count));
        if !peers.is_empty() {
            load_query::query_peers(&node, peers, LoadQuery::without_request()).await;
        }
        for id in node.directory.borrow_mut().remove_expired(node.now()) {
            info!(event = "peer_dropped", peer = %id);
        }
        node.hop_pool.remove_expired(node.now());
    }
}
