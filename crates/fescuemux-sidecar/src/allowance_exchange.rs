//! Messages about allowances between instances, as datagrams on the socket of the load queries.

use crate::load_query;
use crate::node::Node;
use fescuemux_core::allowances::{
    Allowance, AllowanceExchange, AllowanceMessage, CallerHash, LeaseReply, LeaseRequest, Outbox,
    caller_hash,
};
use fescuemux_core::base::{CallerId, HashMap, InstanceId};
use serde::{Deserialize, Serialize};
use std::rc::Rc;
use std::time::Duration;
use tracing::info;

/// Maximum number of records in a datagram. A record has at most 40 bytes, so that a datagram stays
/// below the usual MTU.
const MAX_RECORDS: usize = 24;

/// Number of ticks between updates of the known instances and of the metrics.
const TICKS_PER_UPDATE: u32 = 4;

/// Number of customers in the metrics and the log, the busiest ones.
const BUSIEST_COUNT: usize = 5;

/// Interval between log lines about the busiest customers, in updates.
const UPDATES_PER_LOG: u32 = 10;

/// Records of one instance for another one.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct AllowanceDatagram {
    /// Id of the instance that should handle the records.
    to: String,
    from: String,
    records: Vec<AllowanceRecord>,
}

/// Encoded [`AllowanceMessage`].
#[derive(Debug, Serialize, Deserialize)]
enum AllowanceRecord {
    LeaseRequest {
        caller: u64,
        seq: u32,
        version: u64,
        rate: f64,
        burst: f64,
        wanted: u32,
        returned: u32,
    },
    Granted {
        caller: u64,
        seq: u32,
        count: u32,
    },
    Refused {
        caller: u64,
        seq: u32,
        wait_ms: u32,
    },
    NotCounting {
        caller: u64,
        seq: u32,
    },
    Probe,
    ProbeReply,
}

impl From<AllowanceMessage> for AllowanceRecord {
    fn from(message: AllowanceMessage) -> AllowanceRecord {
        match message {
            AllowanceMessage::LeaseRequest(request) => AllowanceRecord::LeaseRequest {
                caller: request.caller,
                seq: request.seq,
                version: request.version,
                rate: request.allowance.rate,
                burst: request.allowance.burst,
                wanted: request.wanted,
                returned: request.returned,
            },
            AllowanceMessage::LeaseReply { caller, seq, reply } => match reply {
                LeaseReply::Granted(count) => AllowanceRecord::Granted { caller, seq, count },
                LeaseReply::Refused(wait) => {
                    let wait_ms = wait.as_millis() as u32;
                    AllowanceRecord::Refused { caller, seq, wait_ms }
                }
                LeaseReply::NotCounting => AllowanceRecord::NotCounting { caller, seq },
            },
            AllowanceMessage::Probe => AllowanceRecord::Probe,
            AllowanceMessage::ProbeReply => AllowanceRecord::ProbeReply,
        }
    }
}

/// A record that no instance sends.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("an allowance is not a finite number above zero")]
pub(crate) struct InvalidRecord;

impl TryFrom<AllowanceRecord> for AllowanceMessage {
    type Error = InvalidRecord;

    fn try_from(record: AllowanceRecord) -> Result<AllowanceMessage, InvalidRecord> {
        let reply = |caller, seq, reply| AllowanceMessage::LeaseReply { caller, seq, reply };
        Ok(match record {
            AllowanceRecord::LeaseRequest {
                caller,
                seq,
                version,
                rate,
                burst,
                wanted,
                returned,
            } => {
                let is_valid = rate.is_finite() && rate > 0.0 && burst.is_finite() && burst >= 0.0;
                let allowance = is_valid.then_some(Allowance { rate, burst });
                let allowance = allowance.ok_or(InvalidRecord)?;
                let request = LeaseRequest { caller, seq, version, allowance, wanted, returned };
                AllowanceMessage::LeaseRequest(request)
            }
            AllowanceRecord::Granted { caller, seq, count } => {
                reply(caller, seq, LeaseReply::Granted(count))
            }
            AllowanceRecord::Refused { caller, seq, wait_ms } => {
                let wait = Duration::from_millis(u64::from(wait_ms));
                reply(caller, seq, LeaseReply::Refused(wait))
            }
            AllowanceRecord::NotCounting { caller, seq } => {
                reply(caller, seq, LeaseReply::NotCounting)
            }
            AllowanceRecord::Probe => AllowanceMessage::Probe,
            AllowanceRecord::ProbeReply => AllowanceMessage::ProbeReply,
        })
    }
}

/// Sends messages, those to the same instance together. An instance that is no longer known gets
/// none.
pub(crate) fn send(node: &Node, outbox: Outbox) {
    let mut by_receiver: HashMap<InstanceId, Vec<AllowanceMessage>> = HashMap::default();
    for (to, message) in outbox {
        by_receiver.entry(to).or_default().push(message);
    }
    let from = node.settings.borrow().instance.to_string();
    for (to, messages) in by_receiver {
        let Some(addr) = node.directory.borrow().get(&to).map(|peer| peer.addr) else { continue };
        for messages in messages.chunks(MAX_RECORDS) {
            let records = messages.iter().map(|message| (*message).into()).collect();
            let datagram = AllowanceDatagram { to: to.to_string(), from: from.clone(), records };
            load_query::send_allowances(node, addr, datagram);
        }
    }
}

/// Handles the records of a datagram.
pub(crate) fn handle_datagram(node: &Node, datagram: AllowanceDatagram) {
    let AllowanceDatagram { to, from, records } = datagram;
    if node.settings.borrow().instance != to || node.directory.borrow().get(&from).is_none() {
        return;
    }
    let from = InstanceId::from(from);
    let mut outbox = Outbox::new();
    let mut has_reply = false;
    for record in records {
        match AllowanceMessage::try_from(record) {
            Ok(message) => {
                has_reply |= node.with_cx(|cx| {
                    node.allowances.borrow_mut().on_message(cx, &from, message, &mut outbox)
                });
            }
            Err(e) => info!(event = "allowance_record_invalid", peer = %from, error = %e),
        }
    }
    send(node, outbox);
    if has_reply {
        node.allowance_notify.notify_waiters();
    }
}

/// Returns unused leases, watches the reachability of other instances and updates the metrics, at a
/// regular interval.
pub(crate) async fn tick(node: Rc<Node>) {
    let mut interval = tokio::time::interval(AllowanceExchange::TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for tick_count in 0_u32.. {
        interval.tick().await;
        let is_listed = node.listed_at.get().is_some() || node.directory.borrow().len() > 1;
        let is_update = tick_count.is_multiple_of(TICKS_PER_UPDATE);
        if is_listed && (is_update || !node.allowances.borrow().knows_members()) {
            let directory = node.directory.borrow();
            let ids = directory.peers().map(|peer| peer.id.clone());
            node.with_cx(|cx| node.allowances.borrow_mut().set_members(cx, ids));
        }
        let mut outbox = Outbox::new();
        node.with_cx(|cx| node.allowances.borrow_mut().tick(cx, &mut outbox));
        send(&node, outbox);
        if is_update {
            update_metrics(&node, (tick_count / TICKS_PER_UPDATE).is_multiple_of(UPDATES_PER_LOG));
        }
    }
}

/// Returns the name of a customer, or an empty one if the configuration no longer contains it.
fn caller_name(node: &Node, caller: CallerHash) -> CallerId {
    let config = node.config.borrow();
    let keys = config.as_ref().and_then(|config| config.caller_keys.as_ref());
    let mut accounts = keys.into_iter().flat_map(|keys| keys.accounts());
    let account = accounts.find(|account| caller_hash(&account.id) == caller);
    account.map(|account| account.id.clone()).unwrap_or_default()
}

/// Updates the metrics of the busiest customers that this instance counts.
fn update_metrics(node: &Node, is_logged: bool) {
    let busiest = node.with_cx(|cx| node.allowances.borrow_mut().busiest(cx, BUSIEST_COUNT));
    node.metrics.allowance_use.reset();
    for (rank, usage) in busiest.iter().enumerate() {
        let rank = (rank + 1).to_string();
        let set = |value: &str, count: f64| {
            node.metrics.allowance_use.with_label_values(&[&rank, value]).set(count as i64);
        };
        set("used", f64::from(usage.used));
        set("allowed", usage.allowed);
        set("refused", usage.refused as f64);
        if is_logged {
            info!(
                event = "allowance_use",
                caller = %caller_name(node, usage.caller),
                used = usage.used,
                allowed = usage.allowed,
                refused = usage.refused
            );
        }
    }
}

#[cfg(test)]
mod tests;
