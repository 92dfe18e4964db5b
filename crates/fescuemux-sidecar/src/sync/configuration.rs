//! Watch of the configuration in the store.

use super::{RETRY_PAUSE, WATCH_WAIT};
use crate::node::Node;
use crate::{Change, Entry, MetadataStore, Revision};
use std::rc::Rc;
use tracing::warn;

/// Reads and watches the configuration. Runs until the process ends.
pub(crate) async fn watch_config<S: MetadataStore>(node: Rc<Node>, store: Rc<S>) {
    let key = node.dialect.config_key();
    loop {
        let read = store.get(key).await;
        node.metrics.record_store_call("get", read.is_ok());
        match read {
            Ok((entry, revision)) => {
                if let Some(entry) = entry {
                    apply_entry(&node, &entry);
                }
                watch_until_error(&node, &*store, key, revision).await;
            }
            Err(e) => warn!(event = "read_failed", key, error = %e),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Watches and applies changes until a watch fails.
async fn watch_until_error<S: MetadataStore>(
    node: &Node,
    store: &S,
    key: &str,
    mut after: Revision,
) {
    loop {
        let watched = store.watch(key, after, WATCH_WAIT).await;
        node.metrics.record_store_call("watch", watched.is_ok());
        match watched {
            Ok(response) => {
                after = response.revision;
                for change in response.changes {
                    match change {
                        Change::Put(entry) => apply_entry(node, &entry),
                        Change::Removed(_) => warn!(event = "configuration_removed", key),
                    }
                }
            }
            Err(e) => {
                warn!(event = "watch_failed", prefix = key, error = %e);
                return;
            }
        }
    }
}

fn apply_entry(node: &Node, entry: &Entry) {
    if entry.key != node.dialect.config_key() {
        return;
    }
    match node.dialect.decode_config(&entry.value) {
        Ok(config) => node.install_config(config, "store"),
        Err(e) => warn!(event = "configuration_invalid", revision = entry.revision, error = %e),
    }
}
