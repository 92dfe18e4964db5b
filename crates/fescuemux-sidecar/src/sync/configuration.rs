//! Watch of the configuration in the store, by a few instances of each failure domain.

use super::RETRY_PAUSE;
use crate::load_query::{self, LoadQuery};
use crate::node::Node;
use crate::{Change, Entry, MetadataStore, Revision};
use fescuemux_core::placement::ConfigRole;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// Time for which a reader's watch waits for a change. Each answer confirms that the configuration
/// is the latest; without confirmations, the other instances turn to the store themselves.
const WATCH_WAIT: Duration = Duration::from_millis(750);

/// Time for which a reader's watch waits after a change, so that the new version is soon confirmed
/// and standbys need not read it too.
const WATCH_WAIT_AFTER_CHANGE: Duration = Duration::from_millis(100);

/// Interval at which an instance that has just started checks whether it has its first list.
const FIRST_LIST_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time after the start in which the instance waits for its first list before it decides whether it
/// is a reader.
const FIRST_LIST_WAIT: Duration = Duration::from_millis(1_500);

/// Pause after a failed call of a follower, so that an outage of the store costs few calls. Readers
/// and standbys retry sooner, and pass on what they read.
const FOLLOWER_RETRY_PAUSE: Duration = Duration::from_secs(4);

/// Age of the confirmation from which it is logged as late. The reader's watch and a standby's
/// queries confirm the configuration more often.
const LATE_AGE: Duration = Duration::from_millis(1_100);

/// Reads the configuration, and keeps it current from the store while this instance is a reader or
/// no instance has confirmed it for a while. Runs until the process ends.
pub(crate) async fn watch_config<S: MetadataStore>(node: Rc<Node>, store: Rc<S>) {
    let key = node.dialect.config_key();
    let mut observer = RoleObserver::default();
    loop {
        observer.observe(&node);
        let called_at = node.now();
        let read = store.get(key).await;
        node.metrics.record_store_call("get", read.is_ok());
        match read {
            Ok((entry, revision)) => {
                if let Some(entry) = entry {
                    apply_entry(&node, &entry);
                }
                confirm(&node, called_at);
                watch_while_reader(&node, &*store, key, revision).await;
            }
            Err(e) => {
                warn!(event = "read_failed", key, error = %e);
                let is_follower = node.config_role() == ConfigRole::Follower;
                let has_config = node.config_version() > 0;
                let pause =
                    if is_follower && has_config { FOLLOWER_RETRY_PAUSE } else { RETRY_PAUSE };
                tokio::time::sleep(pause).await;
            }
        }
        while !must_read(&node) {
            let role = node.config_role();
            let check_in = node.config_freshness.borrow().next_check_in(node.now(), role);
            tokio::time::sleep(check_in).await;
            query_for_confirmation(&node).await;
            observer.observe(&node);
        }
    }
}

/// Logs changes of this instance's role, and confirmations that become late.
#[derive(Debug, Default)]
struct RoleObserver {
    role: Option<ConfigRole>,
    is_late: bool,
}

impl RoleObserver {
    fn observe(&mut self, node: &Node) {
        let role = node.config_role();
        let age = node.config_age();
        let age_ms = age.map(|age| age.as_millis() as u64);
        if self.role.replace(role) != Some(role) {
            info!(event = "config_role", role = ?role, age_ms);
        }
        let is_late = age.is_some_and(|age| age > LATE_AGE);
        if is_late && !self.is_late {
            info!(event = "confirmation_late", role = ?role, age_ms);
        }
        self.is_late = is_late;
    }
}

/// Watches and applies changes until a watch fails or this instance needs not read any more.
async fn watch_while_reader<S: MetadataStore>(
    node: &Node,
    store: &S,
    key: &str,
    mut after: Revision,
) {
    while node.listed_at.get().is_none()
        && node.now().saturating_duration_since(node.started_at) < FIRST_LIST_WAIT
    {
        tokio::time::sleep(FIRST_LIST_CHECK_INTERVAL).await;
    }
    let mut wait = WATCH_WAIT;
    let mut has_watched = false;
    while node.config_role() == ConfigRole::Reader {
        let called_at = node.now();
        let watched = store.watch(key, after, wait).await;
        node.metrics.record_store_call("watch", watched.is_ok());
        match watched {
            Ok(response) => {
                has_watched = true;
                after = response.revision;
                // The store holds an answer without a change back for the whole wait. An answer with
                // a change may have been on its way for as long as the call took.
                let held_until = called_at + wait;
                let is_held = response.changes.is_empty() && held_until <= node.now();
                let as_of = if is_held { held_until } else { called_at };
                wait =
                    if response.changes.is_empty() { WATCH_WAIT } else { WATCH_WAIT_AFTER_CHANGE };
                for change in response.changes {
                    match change {
                        Change::Put(entry) => apply_entry(node, &entry),
                        Change::Removed(_) => warn!(event = "configuration_removed", key),
                    }
                }
                confirm(node, as_of);
            }
            Err(e) => {
                warn!(event = "watch_failed", prefix = key, error = %e);
                // The configuration may have changed unseen, so it is read at once, unless watches
                // fail again and again.
                if !has_watched {
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
                return;
            }
        }
    }
}

/// Returns whether this instance must read the store: it is the reader of its failure domain, or the
/// reader does not confirm the configuration.
fn must_read(node: &Node) -> bool {
    let role = node.config_role();
    let must_read = node.config_freshness.borrow().must_read(node.now(), role);
    if must_read && role != ConfigRole::Reader {
        info!(event = "configuration_unconfirmed", role = ?role, version = node.config_version());
    }
    must_read
}

/// Queries the instances that should confirm the configuration, if a query is due: each reply tells a
/// version and the age of its confirmation, and a reader or standby that does not reply loses its
/// role.
async fn query_for_confirmation(node: &Node) {
    let role = node.config_role();
    let query = node.config_freshness.borrow().query(node.now(), role);
    let peers = {
        let settings = node.settings.borrow();
        let directory = node.directory.borrow();
        directory.confirmation_peers(&settings.instance, &settings.domain, query)
    };
    if !peers.is_empty() {
        load_query::query_peers(node, peers, LoadQuery::without_request()).await;
    }
}

fn confirm(node: &Node, as_of: Instant) {
    let mut freshness = node.config_freshness.borrow_mut();
    freshness.confirm(as_of);
    freshness.on_up_to_date();
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
