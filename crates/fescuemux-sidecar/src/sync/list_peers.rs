//! Regular lists of the other instances' entries in the store.

use super::PEER_PREFIX;
use crate::hop::PeerRecord;
use crate::node::Node;
use crate::{Entry, MetadataStore};
use fescuemux_core::base::HashSet;
use fescuemux_core::placement::Peer;
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Delays before the first lists. The first one contains the instances that ran before; the store
/// may answer it from an old state, so the later ones contain those that start at the same time.
const FIRST_LIST_DELAYS: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(3)];

/// Minimum interval between lists. New instances also become known when they query this process.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(10);

/// Interval between lists for each entry of the last list. An entry has about 200 bytes, so that
/// lists use at most 8 KB/s.
const LIST_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(25);

/// Maximum difference of the wall clocks of two machines, by which the incarnation of an instance may
/// lie in the future.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(24 * 3_600);

/// Lists the entries of other instances. Runs until the process ends.
///
/// Lists cost a tenth of a watch, as the store may answer them from an old state, and their cost
/// does not grow with the number of changes. What a list misses is learned from load queries.
pub(crate) async fn list_peers<S: MetadataStore>(node: Rc<Node>, store: Rc<S>) {
    let mut first_delays = FIRST_LIST_DELAYS.into_iter();
    let mut interval = MIN_LIST_INTERVAL;
    loop {
        tokio::time::sleep(first_delays.next().unwrap_or(interval)).await;
        let listed = store.list(PEER_PREFIX).await;
        node.metrics.record_store_call("list", listed.is_ok());
        match listed {
            Ok(entries) => {
                let peers: Vec<_> =
                    entries.iter().filter_map(|entry| decode_peer(&node, entry)).collect();
                interval = MIN_LIST_INTERVAL.max(LIST_INTERVAL_PER_ENTRY * peers.len() as u32);
                let ids: HashSet<_> = peers.iter().map(|peer| peer.id.clone()).collect();
                peers.into_iter().for_each(|peer| node.add_peer(peer, "list"));
                node.directory.borrow_mut().mark_others_unlisted(node.now(), &ids);
                node.listed_at.set(Some(node.now()));
            }
            Err(e) => warn!(event = "list_failed", error = %e),
        }
    }
}

/// Returns the instance of an entry, or `None` if the instance did not write the entry or a field is
/// invalid. An incarnation of the far future would hide the instance's own entries for good.
fn decode_peer(node: &Node, entry: &Entry) -> Option<Peer> {
    let peer: Peer = match serde_json::from_slice::<PeerRecord>(&entry.value) {
        Ok(record) => record.into(),
        Err(e) => {
            warn!(event = "entry_invalid", key = entry.key, error = %e);
            return None;
        }
    };
    let is_own_entry = entry.key.strip_prefix(PEER_PREFIX) == Some(&peer.id);
    let latest_incarnation = node.unix_millis() + MAX_CLOCK_DIFFERENCE.as_millis() as u64;
    if !is_own_entry || peer.incarnation > latest_incarnation {
        let incarnation = peer.incarnation;
        warn!(event = "entry_implausible", key = entry.key, peer = %peer.id, incarnation);
        return None;
    }
    Some(peer)
}
