//! Watch of the other instances' entries in the store.

use super::{PEER_PREFIX, WATCH_WAIT};
use crate::hop::PeerRecord;
use crate::node::Node;
use crate::{Change, Entry, MetadataStore, Revision};
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// Pause between a change and the next watch, so that the next response contains several changes:
/// instances start and leave in groups, and every watch response costs one store call per instance.
/// During the pause a new instance becomes known to the peers that it queries.
const WATCH_BATCH_PAUSE: Duration = Duration::from_secs(10);

/// Pause before listing again after a failed list or watch. The pause may be long, because new
/// instances also become known when they query this process.
const RELIST_PAUSE: Duration = Duration::from_secs(4);

/// Delay between the start of the process and its first list, so that the list contains instances
/// that start at the same time.
const FIRST_LIST_DELAY: Duration = Duration::from_millis(500);

/// Lists and watches the entries of other instances. Runs until the process ends.
pub(crate) async fn watch_peers<S: MetadataStore>(node: Rc<Node>, store: Rc<S>) {
    tokio::time::sleep(FIRST_LIST_DELAY).await;
    loop {
        let listed = store.list(PEER_PREFIX).await;
        node.metrics.record_store_call("list", listed.is_ok());
        match listed {
            Ok(listing) => {
                let peers: Vec<_> = listing.entries.iter().filter_map(decode_peer).collect();
                let ids: Vec<_> = peers.iter().map(|peer| peer.id.clone()).collect();
                peers.into_iter().for_each(|peer| node.add_peer(peer, "list"));
                node.directory.borrow_mut().mark_others_unlisted(node.now(), &ids);
                watch_until_error(&node, &*store, listing.revision).await;
            }
            Err(e) => warn!(event = "list_failed", error = %e),
        }
        tokio::time::sleep(RELIST_PAUSE).await;
    }
}

/// Watches and applies changes until a watch fails.
async fn watch_until_error<S: MetadataStore>(node: &Node, store: &S, mut after: Revision) {
    loop {
        let watched = store.watch(PEER_PREFIX, after, WATCH_WAIT).await;
        node.metrics.record_store_call("watch", watched.is_ok());
        let response = match watched {
            Ok(response) => response,
            Err(e) => {
                warn!(event = "watch_failed", prefix = PEER_PREFIX, error = %e);
                return;
            }
        };
        after = response.revision;
        let is_empty = response.changes.is_empty();
        response.changes.into_iter().for_each(|change| apply_change(node, change));
        if !is_empty {
            tokio::time::sleep(WATCH_BATCH_PAUSE).await;
        }
    }
}

fn apply_change(node: &Node, change: Change) {
    match change {
        Change::Put(entry) => {
            if let Some(peer) = decode_peer(&entry) {
                node.add_peer(peer, "watch");
            }
        }
        Change::Removed(key) => {
            let id = key.strip_prefix(PEER_PREFIX).unwrap_or_default();
            info!(event = "peer_unlisted", peer = id);
            node.directory.borrow_mut().mark_unlisted(node.now(), id);
        }
    }
}

fn decode_peer(entry: &Entry) -> Option<fescuemux_core::placement::Peer> {
    match serde_json::from_slice::<PeerRecord>(&entry.value) {
        Ok(record) => Some(record.into()),
        Err(e) => {
            warn!(event = "entry_invalid", key = entry.key, error = %e);
            None
        }
    }
}
