//! Durability of departures that backend servers announce to this instance: in the store, and at
//! other instances, which hold them while the store is away.
//!
//! A departure is acknowledged once either has it. A new process of the instance asks both, so that
//! a delayed report does not bring the server back.

use super::RETRY_PAUSE;
use crate::control::apply_report;
use crate::hop::{DepartureRecord, HopConnection, HopError, Message, OwnerDepartures};
use crate::node::Node;
use crate::{MetadataStore, StoreError};
use fescuemux_core::placement::{DEPARTURE_TTL, Departure, Peer};
use futures::future::join_all;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// Key prefix of the records.
const DEPARTURE_PREFIX: &str = "fescuemux/departures/";

/// Interval between checks for instances to exchange departures with. A process that has just
/// started learns of instances gradually.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(300);

/// Pause between exchanges while a call waits for its departure to be durable.
const URGENT_EXCHANGE_INTERVAL: Duration = Duration::from_millis(30);

/// Timeout of an exchange, including connecting. Each one uses a new connection, as an idle one may
/// have gone silent.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(250);

/// Reads the record of earlier processes, and writes it whenever the departures change, until the
/// store has acknowledged both. Runs until the process ends.
pub(crate) async fn record_departures<S: MetadataStore>(node: Rc<Node>, store: Rc<S>) {
    let key = format!("{DEPARTURE_PREFIX}{}", node.settings.borrow().instance);
    let mut changes = node.departures_changed.subscribe();
    loop {
        let (must_read, must_write) = {
            let departures = node.own_departures.borrow();
            (departures.must_read_store(), departures.must_write_store())
        };
        let result = if must_read {
            read_record(&node, &*store, &key).await
        } else if must_write {
            write_record(&node, &*store, &key).await
        } else {
            // The sender lives as long as the node.
            let _ = changes.changed().await;
            continue;
        };
        if let Err(e) = result {
            let event = if must_read { "departures_unknown" } else { "departure_not_recorded" };
            warn!(event, error = %e);
            node.own_departures.borrow_mut().on_store_failed();
            accept_deferred_report(&node);
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn read_record<S: MetadataStore>(
    node: &Node,
    store: &S,
    key: &str,
) -> Result<(), StoreError> {
    let read = store.get(key).await;
    node.metrics.record_store_call("get", read.is_ok());
    let (entry, _) = read?;
    let records: Vec<DepartureRecord> = match entry {
        // Nothing better can be read later, so a record that cannot be decoded counts as none.
        Some(entry) => serde_json::from_slice(&entry.value).unwrap_or_else(|e| {
            warn!(event = "departure_record_invalid", error = %e);
            Vec::new()
        }),
        None => Vec::new(),
    };
    recall_departures(node, records, "store");
    node.own_departures.borrow_mut().on_store_read();
    accept_deferred_report(node);
    Ok(())
}

async fn write_record<S: MetadataStore>(
    node: &Node,
    store: &S,
    key: &str,
) -> Result<(), StoreError> {
    let (departures, version) = node.own_departures.borrow().current();
    let records: Vec<DepartureRecord> = departures.iter().map(Into::into).collect();
    let value = serde_json::to_vec(&records).map_err(|e| StoreError::NoResponse(e.to_string()))?;
    let ttl = DEPARTURE_TTL.max(node.settings.borrow().min_lease_ttl);
    let written = match store.grant_lease(ttl).await {
        Ok(lease) => store.put(key, &value, lease.id).await,
        Err(e) => Err(e),
    };
    node.metrics.record_store_call("departure", written.is_ok());
    written?;
    node.own_departures.borrow_mut().on_stored(version);
    node.departures_changed.send_replace(());
    Ok(())
}

/// Exchanges departures with other instances: announces those of this instance to its holders, and
/// learns from them what earlier processes announced. Runs until the process ends.
pub(crate) async fn exchange_departures(node: Rc<Node>) {
    let mut changes = node.departures_changed.subscribe();
    loop {
        if !node.own_departures.borrow().is_exchanging(node.now()) {
            // The sender lives as long as the node.
            let _ = changes.changed().await;
            continue;
        }
        let own_id = node.settings.borrow().instance.clone();
        let candidates = node.directory.borrow().departure_holders(&own_id);
        let peers = node.own_departures.borrow().next_exchanges(node.now(), &candidates);
        let confirmed = join_all(peers.iter().map(|peer| exchange_with(&node, peer))).await;
        if confirmed.contains(&true) {
            accept_deferred_report(&node);
            node.departures_changed.send_replace(());
        }
        let is_urgent = !node.departures_are_durable();
        let interval = if is_urgent { URGENT_EXCHANGE_INTERVAL } else { EXCHANGE_INTERVAL };
        tokio::select! {
            _ = changes.changed() => {}
            () = tokio::time::sleep(interval) => {}
        }
    }
}

/// Exchanges departures with one instance and returns whether it confirmed.
async fn exchange_with(node: &Node, peer: &Peer) -> bool {
    let (departures, version) = node.own_departures.borrow().current();
    let held = tokio::time::timeout(EXCHANGE_TIMEOUT, send_departures(node, peer, &departures));
    match held.await.unwrap_or(Err(HopError::TimedOut)) {
        Ok(records) => {
            node.directory.borrow_mut().on_response(node.now(), &peer.id);
            recall_departures(node, records, "instance");
            node.own_departures.borrow_mut().on_held(peer, version);
            true
        }
        Err(e) => {
            info!(event = "departures_not_held", peer = %peer.id, error = %e);
            node.directory.borrow_mut().on_timeout(node.now(), &peer.id);
            false
        }
    }
}

async fn send_departures(
    node: &Node,
    peer: &Peer,
    departures: &[Departure],
) -> Result<Vec<DepartureRecord>, HopError> {
    let mut hop = HopConnection::open(peer.addr, node.now(), EXCHANGE_TIMEOUT).await?;
    let owner = node.settings.borrow().instance.to_string();
    let departures = departures.iter().map(Into::into).collect();
    let addressee = peer.id.to_string();
    hop.send(Message::HoldDepartures(OwnerDepartures { addressee, owner, departures })).await?;
    match hop.next_message().await? {
        Message::HeldDepartures(records) => Ok(records),
        _ => Err(HopError::UnexpectedMessage),
    }
}

/// Applies departures that an earlier process of this instance acknowledged.
fn recall_departures(node: &Node, records: Vec<DepartureRecord>, source: &str) {
    for departure in records.into_iter().map(Departure::from) {
        let is_new = node.own_departures.borrow_mut().add(node.now(), departure.clone());
        if is_new {
            info!(event = "departure_recalled", server = %departure.server, source);
            node.admission.borrow_mut().on_departure(departure);
            node.advance_admission();
            node.departures_changed.send_replace(());
        }
    }
}

/// Applies the report that was deferred, once the departures of earlier processes are known.
fn accept_deferred_report(node: &Node) {
    if !node.knows_departures() {
        return;
    }
    let deferred_report = node.deferred_report.borrow_mut().take();
    if let Some(report) = deferred_report {
        apply_report(node, report);
    }
}
