//! Record in the store of the backend server that announced its departure to this instance. A new
//! process of the instance reads it, so that a delayed report does not bring the server back.

use crate::control::apply_report;
use crate::node::Node;
use crate::{MetadataStore, StoreError};
use fescuemux_core::base::Incarnation;
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// Key prefix of the records.
const DEPARTURE_PREFIX: &str = "fescuemux/departures/";

/// Time for which a record is kept. Reports arrive seconds late, not minutes.
const RECORD_TTL: Duration = Duration::from_secs(60);

/// Announced departure of a backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Departure {
    /// Id of the server.
    pub(crate) server: String,
    /// Incarnation of the server; a later one may be used.
    pub(crate) incarnation: Incarnation,
}

/// Reads the record of an earlier process, and then writes one for each departure that the server
/// announces. Runs until the process ends.
pub(crate) async fn keep_departures<S: MetadataStore>(node: Rc<Node>, store: Rc<S>) {
    let key = format!("{DEPARTURE_PREFIX}{}", node.settings.borrow().instance);
    if !node.departures_known.get() {
        match read_departure(&node, &*store, &key).await {
            Ok(Some(departure)) => {
                info!(event = "departure_recalled", server = departure.server);
                let mut admission = node.admission.borrow_mut();
                admission.on_server_left(departure.incarnation, &departure.server);
            }
            Ok(None) => {}
            // Without the store, serving goes on; a delayed report is rarer than an outage.
            Err(e) => warn!(event = "departures_unknown", error = %e),
        }
        node.departures_known.set(true);
        let deferred_report = node.deferred_report.borrow_mut().take();
        if let Some(report) = deferred_report {
            apply_report(&node, report);
        }
    }
    loop {
        node.departure_notify.notified().await;
        let departure = node.departure.borrow_mut().take();
        let Some(departure) = departure else { continue };
        let written = write_departure(&node, &*store, &key, &departure).await;
        node.metrics.record_store_call("departure", written.is_ok());
        if let Err(e) = written {
            warn!(event = "departure_not_recorded", server = departure.server, error = %e);
        }
    }
}

async fn read_departure<S: MetadataStore>(
    node: &Node,
    store: &S,
    key: &str,
) -> Result<Option<Departure>, StoreError> {
    let read = store.get(key).await;
    node.metrics.record_store_call("get", read.is_ok());
    let (entry, _) = read?;
    entry
        .map(|entry| serde_json::from_slice(&entry.value))
        .transpose()
        .map_err(|e| StoreError::NoResponse(e.to_string()))
}

async fn write_departure<S: MetadataStore>(
    node: &Node,
    store: &S,
    key: &str,
    departure: &Departure,
) -> Result<(), StoreError> {
    let value = serde_json::to_vec(departure).map_err(|e| StoreError::NoResponse(e.to_string()))?;
    let ttl = RECORD_TTL.max(node.settings.borrow().min_lease_ttl);
    let lease = store.grant_lease(ttl).await?;
    store.put(key, &value, lease.id).await
}
