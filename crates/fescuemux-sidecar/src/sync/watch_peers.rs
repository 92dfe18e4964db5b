//! Watch of the other instances' entries in the store.

use super::{PEER_PREFIX, WATCH_WAIT};
use crate::hop::PeerRecord;
use crate::node::Node;
use crate::{Change, Entry, MetadataStore, Revision};
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// Pause between a change and the next watch. Instances start and leave in groups, and every
/// watch response costs one store call per instance, so changes are batched. Meanwhile a new
/// instance becomes known to the peers that it queries.
const WATCH_BATCH_PAUSE: Duration = Duration::from_secs(10);

/// Pause before listing again after a failed call. It may be long, because unknown instances
/// also become known when they query this process.
const RELIST_PAUSE: Duration = Duration::from_secs(4);

/// Delay of the first list after the start, in which other starting instances register too.
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
        let changes = store.watch(PEER_PREFIX, after, WATCH_WAIT).await;
        node.metrics.record_store_call("watch", changes.is_ok());
        let changes = match changes {
            Ok(changes) => changes,
            Err(e) => {
                warn!(event = "watch_failed", prefix = PEER_PREFIX, error = %e);
                return;
            }
        };
        after = changes.revision;
        let is_empty = changes.changes.is_empty();
        changes.changes.into_iter().for_each(|change| apply_change(node, change));
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
