//! Load queries to guards over UDP.
//!
//! A reply shows that the network path worked in both directions just before it is used. A lost
//! query costs nothing but the timeout.

use crate::node::Node;
use fescuemux_core::base::HashMap;
use fescuemux_core::placement::{LoadReport, Peer, Precedence, Readiness};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tracing::warn;

/// Timeout of the first reply. Round trips between instances take up to 3 ms, but a machine with
/// a tenth of a core may reply only after some tens of milliseconds.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(60);

/// Timeout of further replies after the first.
const MORE_REPLIES_TIMEOUT: Duration = Duration::from_millis(8);

/// Maximum datagram size, below the usual MTU.
const MAX_DATAGRAM_BYTES: usize = 1_200;

#[derive(Debug, Serialize, Deserialize)]
enum Datagram {
    Ask {
        seq: u64,
        to: String,
        from: String,
        config_version: u64,
        precedence: PrecedenceRecord,
        route: u64,
        expected_ms: u32,
    },
    Offer {
        seq: u64,
        from: String,
        config_version: u64,
        quote: LoadReportRecord,
    },
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct PrecedenceRecord {
    of_caller: bool,
    priority: u8,
    lot: u16,
}

impl From<Precedence> for PrecedenceRecord {
    fn from(precedence: Precedence) -> PrecedenceRecord {
        let Precedence { top_level: of_caller, priority, tie_breaker: lot } = precedence;
        PrecedenceRecord { of_caller, priority, lot }
    }
}

impl From<PrecedenceRecord> for Precedence {
    fn from(record: PrecedenceRecord) -> Precedence {
        let PrecedenceRecord { of_caller, priority, lot } = record;
        Precedence { top_level: of_caller, priority, tie_breaker: lot }
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct LoadReportRecord {
    readiness: u8,
    slots: u32,
    busy: u32,
    queued: u32,
    wait_ms: u32,
    running_ms: u32,
    doubt: f32,
}

impl From<LoadReport> for LoadReportRecord {
    fn from(load_report: LoadReport) -> LoadReportRecord {
        LoadReportRecord {
            readiness: match load_report.readiness {
                Readiness::Open => 0,
                Readiness::Idle => 1,
                Readiness::Closed => 2,
            },
            slots: load_report.slots,
            busy: load_report.busy,
            queued: load_report.queued,
            wait_ms: load_report.expected_wait.as_millis() as u32,
            running_ms: load_report.expected_running_time.as_millis() as u32,
            doubt: load_report.failure_probability as f32,
        }
    }
}

impl From<LoadReportRecord> for LoadReport {
    fn from(record: LoadReportRecord) -> LoadReport {
        LoadReport {
            readiness: match record.readiness {
                0 => Readiness::Open,
                1 => Readiness::Idle,
                _ => Readiness::Closed,
            },
            slots: record.slots,
            busy: record.busy,
            queued: record.queued,
            expected_wait: Duration::from_millis(u64::from(record.wait_ms)),
            expected_running_time: Duration::from_millis(u64::from(record.running_ms)),
            failure_probability: f64::from(record.doubt),
        }
    }
}

/// Instance and its load report.
#[derive(Clone, Debug)]
pub(crate) struct Offer {
    pub(crate) peer: Peer,
    pub(crate) load_report: LoadReport,
}

/// Load query for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadQuery {
    pub(crate) precedence: Precedence,
    /// Hash of the route.
    pub(crate) route: u64,
    /// Expected running time, for guards that have not measured the route.
    pub(crate) expected_running_time: Duration,
}

/// Socket for load queries, and the queries that have no reply yet.
#[derive(Debug)]
pub(crate) struct LoadQueries {
    socket: UdpSocket,
    next_seq: Cell<u64>,
    pending: RefCell<HashMap<u64, flume::Sender<(u64, LoadReport)>>>,
}

impl LoadQueries {
    /// Binds the socket.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub(crate) fn bind(addr: SocketAddr) -> io::Result<LoadQueries> {
        let socket = std::net::UdpSocket::bind(addr)?;
        socket.set_nonblocking(true)?;
        Ok(LoadQueries {
            socket: UdpSocket::from_std(socket)?,
            next_seq: Cell::new(0),
            pending: RefCell::default(),
        })
    }
}

/// Queries `peers` and returns their offers. Peers that do not reply are avoided for a moment.
pub(crate) async fn query_peers(node: &Node, peers: Vec<Peer>, query: LoadQuery) -> Vec<Offer> {
    let (tx, rx) = flume::bounded(peers.len().max(1));
    let queried: Vec<(u64, Peer)> = peers
        .into_iter()
        .map(|peer| {
            let seq = node.load_queries.next_seq.get() + 1;
            node.load_queries.next_seq.set(seq);
            node.load_queries.pending.borrow_mut().insert(seq, tx.clone());
            send_query(node, &peer, seq, query);
            (seq, peer)
        })
        .collect();
    let pending = PendingQueries { node, seqs: queried.iter().map(|(seq, _)| *seq).collect() };
    let mut offers = Vec::with_capacity(queried.len());
    let mut deadline = Instant::now() + FIRST_REPLY_TIMEOUT;
    while offers.len() < queried.len() {
        let Ok(Ok((seq, load_report))) = tokio::time::timeout_at(deadline, rx.recv_async()).await
        else {
            break;
        };
        if offers.is_empty() {
            deadline = deadline.min(Instant::now() + MORE_REPLIES_TIMEOUT);
        }
        if let Some((_, peer)) = queried.iter().find(|(other, _)| *other == seq) {
            offers.push(Offer { peer: peer.clone(), load_report });
        }
    }
    drop(pending);
    let unresponsive =
        queried.iter().filter(|(_, peer)| offers.iter().all(|o| o.peer.id != peer.id));
    for (_, peer) in unresponsive {
        node.directory.borrow_mut().on_timeout(node.now(), &peer.id);
    }
    offers
}

/// Removes pending queries when their sender has finished or was cancelled.
struct PendingQueries<'a> {
    node: &'a Node,
    seqs: Vec<u64>,
}

impl Drop for PendingQueries<'_> {
    fn drop(&mut self) {
        let mut pending = self.node.load_queries.pending.borrow_mut();
        self.seqs.iter().for_each(|seq| {
            pending.remove(seq);
        });
    }
}

fn send_query(node: &Node, peer: &Peer, seq: u64, query: LoadQuery) {
    let datagram = Datagram::Ask {
        seq,
        to: peer.id.to_string(),
        from: node.settings.borrow().instance.to_string(),
        config_version: node.config_version(),
        precedence: query.precedence.into(),
        route: query.route,
        expected_ms: query.expected_running_time.as_millis() as u32,
    };
    send(node, peer.addr, &datagram);
}

fn send(node: &Node, addr: SocketAddr, datagram: &Datagram) {
    match postcard::to_stdvec(datagram) {
        // A datagram that does not fit into the send buffer is treated as lost.
        Ok(buf) => drop(node.load_queries.socket.try_send_to(&buf, addr)),
        Err(e) => warn!(event = "datagram_not_encoded", error = %e),
    }
}

/// Replies to queries and dispatches replies to their senders. Runs until the process ends.
pub(crate) async fn serve(node: Rc<Node>) {
    let mut buf = [0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, from) = match node.load_queries.socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                warn!(event = "datagram_receive_failed", error = %e);
                tokio::time::sleep(FIRST_REPLY_TIMEOUT).await;
                continue;
            }
        };
        match postcard::from_bytes(&buf[..len]) {
            Ok(datagram) => handle_datagram(&node, from, datagram),
            Err(e) => warn!(event = "datagram_invalid", from = %from, error = %e),
        }
    }
}

fn handle_datagram(node: &Node, addr: SocketAddr, datagram: Datagram) {
    match datagram {
        Datagram::Ask { seq, to, from, config_version, precedence, route, expected_ms } => {
            let own = node.settings.borrow().instance.clone();
            if to != own {
                return;
            }
            let expected = Duration::from_millis(u64::from(expected_ms));
            let precedence = precedence.into();
            let load_report =
                node.admission.borrow_mut().load_report(node.now(), precedence, route, expected);
            let installed_version = node.config_version();
            let offer = Datagram::Offer {
                seq,
                from: own.to_string(),
                config_version: installed_version,
                quote: load_report.into(),
            };
            send(node, addr, &offer);
            let unknown = node.directory.borrow().get(&from).is_none();
            if config_version > installed_version || unknown {
                node.request_pull(addr);
            }
        }
        Datagram::Offer { seq, from, config_version, quote } => {
            node.directory.borrow_mut().on_response(node.now(), &from);
            if config_version > node.config_version() {
                node.request_pull(addr);
            }
            let waiter = node.load_queries.pending.borrow_mut().remove(&seq);
            if let Some(waiter) = waiter {
                // A closed channel means that the sender of the query no longer waits.
                let _ = waiter.try_send((seq, quote.into()));
            }
        }
    }
}
