//! Registration of this instance in the store, with a lease.

use super::{PEER_PREFIX, RETRY_PAUSE};
use crate::hop::PeerRecord;
use crate::node::Node;
use crate::{Lease, LeaseId, MetadataStore, StoreError};
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// TTL of the lease of this instance's entry. The TTL only limits how long a dead instance stays
/// listed; other instances detect the failure much earlier, because they get no reply.
const LEASE_TTL: Duration = Duration::from_secs(12);

/// Lease renewals per TTL.
const RENEWALS_PER_TTL: u32 = 3;

/// Keeps this instance registered until shutdown begins, then revokes its lease.
pub(crate) async fn register<S: MetadataStore>(node: Rc<Node>, store: Rc<S>) {
    let mut stopping = node.stopping.subscribe();
    let current_lease_id = std::cell::Cell::new(None);
    tokio::select! {
        _ = stopping.wait_for(|stopping| *stopping) => {}
        () = maintain_registration(&node, &*store, &current_lease_id) => {}
    }
    let Some(id) = current_lease_id.get() else { return };
    if let Err(e) = store.revoke_lease(id).await {
        info!(event = "lease_not_ended", lease = id, error = %e);
    }
}

async fn maintain_registration<S: MetadataStore>(
    node: &Node,
    store: &S,
    current_lease_id: &std::cell::Cell<Option<LeaseId>>,
) {
    loop {
        let granted = register_once(node, store).await;
        node.metrics.record_store_call("register", granted.is_ok());
        let lease = match granted {
            Ok(lease) => lease,
            Err(e) => {
                warn!(event = "registration_failed", error = %e);
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        current_lease_id.set(Some(lease.id));
        info!(event = "registered", lease = lease.id);
        renew(node, store, lease).await;
        current_lease_id.set(None);
    }
}

async fn register_once<S: MetadataStore>(node: &Node, store: &S) -> Result<Lease, StoreError> {
    let ttl = LEASE_TTL.max(node.settings.borrow().min_lease_ttl);
    let lease = store.grant_lease(ttl).await?;
    let peer = node.own_peer();
    let value = serde_json::to_vec(&PeerRecord::from(&peer))
        .map_err(|e| StoreError::NoResponse(e.to_string()))?;
    store.put(&format!("{PEER_PREFIX}{}", peer.id), &value, lease.id).await?;
    Ok(lease)
}

/// Renews a lease regularly until the lease has expired.
async fn renew<S: MetadataStore>(node: &Node, store: &S, lease: Lease) {
    let mut pause = lease.ttl / RENEWALS_PER_TTL;
    loop {
        tokio::time::sleep(pause).await;
        let renewed = store.renew_lease(lease.id).await;
        node.metrics.record_store_call("renew", renewed.is_ok());
        match renewed {
            Ok(()) => pause = lease.ttl / RENEWALS_PER_TTL,
            Err(StoreError::LeaseExpired) => {
                warn!(event = "lease_ended", lease = lease.id);
                return;
            }
            Err(e) => {
                warn!(event = "renewal_failed", lease = lease.id, error = %e);
                pause = RETRY_PAUSE;
            }
        }
    }
}
