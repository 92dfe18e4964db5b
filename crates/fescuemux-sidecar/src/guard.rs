//! Guard: decides when a request may run at the local backend server, and forwards it to the
//! server. The server receives requests only from its guard.

mod relay;
mod server_connections;

use crate::hop::{
    Frame, HopConnection, HopError, Message, OwnerDepartures, PeerRecord, Pull, Reserve, State,
};
use crate::memory::ConnectionPermit;
use crate::node::Node;
use fescuemux_core::placement::{
    Admission, AttemptKind, Refusal, SlotRefusalReason, SlotRequest, Ticket,
};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tracing::info;

/// Time after a grant for which the guard waits for the request. The admission controller revokes
/// an unused grant earlier; this timeout only ends the wait on the connection.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for an ingress to read the end of a response and close the connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

pub(crate) use server_connections::is_hop_by_hop;

/// Serves a connection from an instance, which may be this one, until the connection ends.
pub(crate) async fn serve(node: Rc<Node>, mut hop: HopConnection, permit: Rc<ConnectionPermit>) {
    loop {
        let message = hop.next_message().await;
        let _active = permit.begin_request();
        let result = match message {
            Ok(Message::Reserve(reserve)) => handle_reserve(&node, &mut hop, reserve).await,
            Ok(Message::Pull(pull)) => handle_pull(&node, &mut hop, pull).await,
            Ok(Message::HoldDepartures(departures)) => {
                hold_departures(&node, &mut hop, departures).await
            }
            Ok(_) => Err(HopError::UnexpectedMessage),
            Err(e) => Err(e),
        };
        match result {
            Ok(()) => {}
            // The peer closed the connection as usual.
            Err(HopError::Closed) => return,
            Err(HopError::IncompleteRequest) => {
                return hop.discard_until_closed(CLOSE_TIMEOUT).await;
            }
            Err(e) => {
                info!(event = "hop_ended", error = %e);
                return;
            }
        }
    }
}

async fn handle_pull(node: &Node, hop: &mut HopConnection, pull: Pull) -> Result<(), HopError> {
    let config = node.config.borrow().clone().filter(|config| config.version > pull.config_version);
    let mut peers: Vec<PeerRecord> = match pull.all_peers {
        true => node.directory.borrow().peers().map(Into::into).collect(),
        false => Vec::new(),
    };
    peers.push(PeerRecord::from(&node.own_peer()));
    let config = config.map(|config| config.raw.to_vec());
    hop.send(Message::State(State { config, peers })).await
}

async fn hold_departures(
    node: &Node,
    hop: &mut HopConnection,
    announced: OwnerDepartures,
) -> Result<(), HopError> {
    if *node.settings.borrow().instance != announced.addressee {
        return Err(HopError::UnexpectedMessage);
    }
    let departures = announced.departures.into_iter().map(Into::into).collect();
    let owner = announced.owner.into();
    let held = node.held_departures.borrow_mut().exchange(node.now(), &owner, departures);
    hop.send(Message::HeldDepartures(held.iter().map(Into::into).collect())).await
}

async fn handle_reserve(
    node: &Rc<Node>,
    hop: &mut HopConnection,
    reserve: Reserve,
) -> Result<(), HopError> {
    let entry = AdmissionEntry { node: node.clone(), ticket: node.next_ticket() };
    match request_admission(node, entry.ticket, &reserve) {
        Admission::Granted => {}
        Admission::Refused(refusal) => return send_refusal(node, hop, refusal).await,
        Admission::Queued(wait) => {
            let (tx, rx) = oneshot::channel();
            node.admission_senders.borrow_mut().insert(entry.ticket, tx);
            // This request may have made the queue too long; let the admission controller shorten
            // the queue.
            node.advance_admission();
            node.metrics.record_admission("queued");
            hop.send(Message::Queued(wait.as_millis() as u32)).await?;
            match wait_for_slot(hop, rx).await? {
                Admission::Granted => {}
                Admission::Refused(refusal) => return send_refusal(node, hop, refusal).await,
                Admission::Queued(_) => return Err(HopError::UnexpectedMessage),
            }
        }
    }
    node.metrics.record_admission("granted");
    hop.send(Message::Granted).await?;
    let next_message = tokio::time::timeout(COMMIT_TIMEOUT, hop.next_message());
    match next_message.await.map_err(|_| HopError::TimedOut)?? {
        Message::Commit(commit) => relay::run(node, hop, &entry, commit, &reserve).await,
        _ => Err(HopError::UnexpectedMessage),
    }
}

fn request_admission(node: &Node, ticket: Ticket, reserve: &Reserve) -> Admission {
    let now = node.now();
    let is_addressee = *node.settings.borrow().instance == reserve.addressee;
    if is_addressee && let Some(notice) = &reserve.server_notice {
        node.on_relayed_notice(&notice.into());
    }
    let mut admission = node.admission.borrow_mut();
    let serves_service =
        admission.server().is_some_and(|server| server.report.service == reserve.service);
    if !is_addressee || !serves_service {
        let refusal = Refusal { reason: SlotRefusalReason::NoServer, retry_in: Duration::ZERO };
        return Admission::Refused(refusal);
    }
    let slot_request = SlotRequest {
        priority: reserve.priority,
        idempotent: reserve.idempotent,
        nested: reserve.nested,
        tie_breaker: reserve.tie_breaker,
        share: reserve.share.map(Into::into),
        attempt: match (reserve.is_retry, reserve.nested_in_retry) {
            (true, _) => AttemptKind::Retry,
            (false, true) => AttemptKind::NestedInRetry,
            (false, false) => AttemptKind::First,
        },
        route_hash: reserve.route_hash,
        deadline: now + Duration::from_millis(u64::from(reserve.time_left_ms)),
        objective: now + Duration::from_millis(u64::from(reserve.time_to_objective_ms)),
        expected_running_time: Duration::from_millis(u64::from(reserve.expected_running_ms)),
        may_queue: reserve.may_wait,
    };
    admission.request_slot(now, ticket, slot_request)
}

async fn send_refusal(
    node: &Node,
    hop: &mut HopConnection,
    refusal: Refusal,
) -> Result<(), HopError> {
    node.metrics.record_admission(refusal.reason.as_str());
    hop.send(Message::Refused(refusal.into())).await
}

/// Waits for the admission decision. Fails if the ingress withdraws the request by closing the
/// connection.
async fn wait_for_slot(
    hop: &mut HopConnection,
    rx: oneshot::Receiver<Admission>,
) -> Result<Admission, HopError> {
    tokio::select! {
        admission = rx => admission.map_err(|_| HopError::Closed),
        frame = hop.next_frame() => match frame {
            Ok(Frame::Body(_) | Frame::Message(_)) => Err(HopError::UnexpectedMessage),
            Err(e) => Err(e),
        },
    }
}

/// Slot, or place in the queue, of a request; released on drop.
struct AdmissionEntry {
    node: Rc<Node>,
    ticket: Ticket,
}

impl Drop for AdmissionEntry {
    fn drop(&mut self) {
        self.node.admission_senders.borrow_mut().remove(&self.ticket);
        self.node.eviction_senders.borrow_mut().remove(&self.ticket);
        self.node.admission.borrow_mut().cancel(self.node.now(), self.ticket);
        self.node.advance_admission();
    }
}

/// Interval between checks for hanging requests and expired grants.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Advances the admission controller at a regular interval. Runs until the process ends.
pub(crate) async fn tick(node: Rc<Node>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        if node.listed_at.get().is_some() {
            let instance_count =
                node.directory.borrow().instance_count(&node.settings.borrow().service);
            node.admission.borrow_mut().set_instance_count(node.now(), instance_count);
        }
        server_connections::close_unusable(&node);
        let active_requests = {
            let admission = node.admission.borrow();
            admission.used_slots() + admission.queued()
        };
        if active_requests == 0 {
            continue;
        }
        log_suspicion_change(&node, "running");
        node.advance_admission();
    }
}

/// Failure probability from which a server is logged as suspected to be faulty.
const SUSPECT_THRESHOLD: f64 = 0.5;

/// Logs when the local backend server becomes suspected to be faulty or is no longer suspected.
/// `cause` names what may have changed the failure probability: a request id, or `running`.
fn log_suspicion_change(node: &Node, cause: &str) {
    let failure_probability = node.admission.borrow().failure_probability(node.now());
    let suspected = failure_probability >= SUSPECT_THRESHOLD;
    if node.logged_as_suspected.replace(suspected) != suspected {
        info!(event = "server_doubt", suspected, failure_probability, cause);
    }
}
