//! The guard: the only way by which work reaches the own backend server.

mod relay;
mod server_connections;

use crate::hop::{Frame, HopConnection, HopError, Message, PeerRecord, Reserve, State};
use crate::node::Node;
use fescuemux_core::placement::{
    Admission, AttemptKind, Refusal, RefusalReason, SlotRequest, Ticket,
};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tracing::info;

/// Time between a grant and the request; see the gate's own bound, which decides.
const COMMIT_WAIT: Duration = Duration::from_millis(400);

pub(crate) use server_connections::is_hop_by_hop;

/// Serves a connection of another instance until it ends.
pub(crate) async fn serve(node: Rc<Node>, mut hop: HopConnection) {
    loop {
        let done = match hop.message().await {
            Ok(Message::Reserve(reserve)) => on_reserve(&node, &mut hop, reserve).await,
            Ok(Message::Pull(version)) => on_pull(&node, &mut hop, version).await,
            Ok(_) => Err(HopError::Unexpected),
            Err(e) => Err(e),
        };
        match done {
            Ok(()) => {}
            // The other side is done with the connection.
            Err(HopError::Closed) => return,
            Err(e) => {
                info!(event = "hop_ended", error = %e);
                return;
            }
        }
    }
}

async fn on_pull(node: &Node, hop: &mut HopConnection, version: u64) -> Result<(), HopError> {
    let config = node.config.borrow().clone().filter(|config| config.version > version);
    let mut peers: Vec<PeerRecord> = node.directory.borrow().peers().map(Into::into).collect();
    peers.push(PeerRecord::from(&node.own_peer()));
    let config = config.map(|config| config.raw.to_vec());
    hop.send(Message::State(State { config, peers })).await
}

async fn on_reserve(
    node: &Rc<Node>,
    hop: &mut HopConnection,
    reserve: Reserve,
) -> Result<(), HopError> {
    let held = Held { node: node.clone(), ticket: node.next_ticket() };
    match ask(node, held.ticket, &reserve) {
        Admission::Granted => {}
        Admission::Refused(refusal) => return refuse(node, hop, refusal).await,
        Admission::Queued(wait) => {
            let (tx, rx) = oneshot::channel();
            node.waiting.borrow_mut().insert(held.ticket, tx);
            // The queue may be longer than it should be by this request.
            node.advance_gate();
            node.metrics.on_admission("queued");
            hop.send(Message::Queued(wait.as_millis() as u32)).await?;
            match wait_for_slot(hop, rx).await? {
                Admission::Granted => {}
                Admission::Refused(refusal) => return refuse(node, hop, refusal).await,
                Admission::Queued(_) => return Err(HopError::Unexpected),
            }
        }
    }
    node.metrics.on_admission("granted");
    hop.send(Message::Granted).await?;
    let commit = tokio::time::timeout(COMMIT_WAIT, hop.message());
    match commit.await.map_err(|_| HopError::TimedOut)?? {
        Message::Commit(commit) => relay::run(node, hop, &held, commit, &reserve).await,
        _ => Err(HopError::Unexpected),
    }
}

fn ask(node: &Node, ticket: Ticket, reserve: &Reserve) -> Admission {
    let now = node.now();
    let mut gate = node.gate.borrow_mut();
    let is_here = *node.settings.borrow().instance == reserve.instance;
    let serves = gate.server().is_some_and(|server| server.report.service == reserve.service);
    if !is_here || !serves {
        let refusal = Refusal { reason: RefusalReason::NoServer, retry_in: Duration::ZERO };
        return Admission::Refused(refusal);
    }
    let work = SlotRequest {
        priority: reserve.priority,
        idempotent: reserve.idempotent,
        nested: reserve.nested,
        random_priority: reserve.lot,
        attempt: match (reserve.again, reserve.of_repeat) {
            (true, _) => AttemptKind::Retry,
            (false, true) => AttemptKind::NestedInRetry,
            (false, false) => AttemptKind::First,
        },
        route: reserve.route,
        deadline: now + Duration::from_millis(u64::from(reserve.left_ms)),
        objective: now + Duration::from_millis(u64::from(reserve.objective_ms)),
        expected_running_time: Duration::from_millis(u64::from(reserve.expected_ms)),
        may_queue: reserve.may_wait,
    };
    gate.set_instance_count(node.directory.borrow().instance_count(&reserve.service));
    gate.request_slot(now, ticket, work)
}

async fn refuse(node: &Node, hop: &mut HopConnection, refusal: Refusal) -> Result<(), HopError> {
    node.metrics.on_admission(refusal.reason.as_str());
    hop.send(Message::Refused(refusal.into())).await
}

/// Waits for the gate's decision; the other side withdraws by closing.
async fn wait_for_slot(
    hop: &mut HopConnection,
    rx: oneshot::Receiver<Admission>,
) -> Result<Admission, HopError> {
    tokio::select! {
        admission = rx => admission.map_err(|_| HopError::Closed),
        frame = hop.next() => match frame {
            Ok(Frame::Body(_) | Frame::Message(_)) => Err(HopError::Unexpected),
            Err(e) => Err(e),
        },
    }
}

/// Place of a request at the gate; dropping it gives the place up.
struct Held {
    node: Rc<Node>,
    ticket: Ticket,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.node.waiting.borrow_mut().remove(&self.ticket);
        self.node.evictions.borrow_mut().remove(&self.ticket);
        self.node.gate.borrow_mut().cancel(self.ticket);
        self.node.advance_gate();
    }
}

/// Pause between checks for requests that hang and grants that were not used.
const TICK: Duration = Duration::from_millis(100);

/// Moves the gate along as time passes, until the process ends.
pub(crate) async fn tick(node: Rc<Node>) {
    loop {
        tokio::time::sleep(TICK).await;
        let busy = {
            let gate = node.gate.borrow();
            gate.busy() + gate.queued()
        };
        if busy == 0 {
            continue;
        }
        note_doubt(&node, "running");
        node.advance_gate();
    }
}

/// Probability of a fault from which a server counts as doubted in logs.
const DOUBTED: f64 = 0.5;

/// Logs when the own server becomes doubted or trusted.
fn note_doubt(node: &Node, cause: &str) {
    let doubt = node.gate.borrow().failure_probability(node.now());
    let doubted = doubt >= DOUBTED;
    if node.server_doubted.replace(doubted) != doubted {
        info!(event = "server_doubt", doubted, doubt, cause);
    }
}
