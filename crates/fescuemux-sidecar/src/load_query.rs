//! Questions to guards about their load, as datagrams.
//!
//! An answer shows that the path works in both directions a moment before it is used, and a
//! question that is lost costs nothing but its wait.

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

/// Longest wait for the first answer. Round trips between instances take up to 3 ms, and a
/// machine with a tenth of a core may answer after some tens.
const FIRST_WAIT: Duration = Duration::from_millis(60);

/// Wait for further answers after the first.
const MORE_WAIT: Duration = Duration::from_millis(8);

/// Longest datagram, below the usual size of a packet.
const MAX_DATAGRAM: usize = 1_200;

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
        quote: QuoteRecord,
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
        let Precedence { top_level: of_caller, priority, random_priority: lot } = precedence;
        PrecedenceRecord { of_caller, priority, lot }
    }
}

impl From<PrecedenceRecord> for Precedence {
    fn from(record: PrecedenceRecord) -> Precedence {
        let PrecedenceRecord { of_caller, priority, lot } = record;
        Precedence { top_level: of_caller, priority, random_priority: lot }
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct QuoteRecord {
    readiness: u8,
    slots: u32,
    busy: u32,
    queued: u32,
    wait_ms: u32,
    running_ms: u32,
    doubt: f32,
}

impl From<LoadReport> for QuoteRecord {
    fn from(quote: LoadReport) -> QuoteRecord {
        QuoteRecord {
            readiness: match quote.readiness {
                Readiness::Open => 0,
                Readiness::Idle => 1,
                Readiness::Closed => 2,
            },
            slots: quote.slots,
            busy: quote.busy,
            queued: quote.queued,
            wait_ms: quote.expected_wait.as_millis() as u32,
            running_ms: quote.expected_running_time.as_millis() as u32,
            doubt: quote.failure_probability as f32,
        }
    }
}

impl From<QuoteRecord> for LoadReport {
    fn from(record: QuoteRecord) -> LoadReport {
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

/// An instance and what it offers.
#[derive(Clone, Debug)]
pub(crate) struct Offer {
    pub(crate) peer: Peer,
    pub(crate) quote: LoadReport,
}

/// What a request needs to know of a guard.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Question {
    pub(crate) precedence: Precedence,
    /// Hash of the route.
    pub(crate) route: u64,
    /// Expected running time, for guards without a record of the route.
    pub(crate) expected: Duration,
}

/// The socket for questions, and the questions without an answer.
#[derive(Debug)]
pub(crate) struct Quotes {
    socket: UdpSocket,
    next_seq: Cell<u64>,
    open: RefCell<HashMap<u64, flume::Sender<(u64, LoadReport)>>>,
}

impl Quotes {
    /// Binds the socket.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub(crate) fn bind(addr: SocketAddr) -> io::Result<Quotes> {
        let socket = std::net::UdpSocket::bind(addr)?;
        socket.set_nonblocking(true)?;
        Ok(Quotes {
            socket: UdpSocket::from_std(socket)?,
            next_seq: Cell::new(0),
            open: RefCell::default(),
        })
    }
}

/// Asks `peers` and returns their offers. Peers that stay silent rest for a moment.
pub(crate) async fn collect(node: &Node, peers: Vec<Peer>, question: Question) -> Vec<Offer> {
    let (tx, rx) = flume::bounded(peers.len().max(1));
    let asked: Vec<(u64, Peer)> = peers
        .into_iter()
        .map(|peer| {
            let seq = node.quotes.next_seq.get() + 1;
            node.quotes.next_seq.set(seq);
            node.quotes.open.borrow_mut().insert(seq, tx.clone());
            ask(node, &peer, seq, question);
            (seq, peer)
        })
        .collect();
    let open = OpenQuestions { node, seqs: asked.iter().map(|(seq, _)| *seq).collect() };
    let mut offers = Vec::with_capacity(asked.len());
    let mut until = Instant::now() + FIRST_WAIT;
    while offers.len() < asked.len() {
        let Ok(Ok((seq, quote))) = tokio::time::timeout_at(until, rx.recv_async()).await else {
            break;
        };
        if offers.is_empty() {
            until = until.min(Instant::now() + MORE_WAIT);
        }
        if let Some((_, peer)) = asked.iter().find(|(other, _)| *other == seq) {
            offers.push(Offer { peer: peer.clone(), quote });
        }
    }
    drop(open);
    let silent = asked.iter().filter(|(_, peer)| offers.iter().all(|o| o.peer.id != peer.id));
    for (_, peer) in silent {
        node.directory.borrow_mut().on_timeout(node.now(), &peer.id);
    }
    offers
}

/// Removes questions when their asker is done or cancelled.
struct OpenQuestions<'a> {
    node: &'a Node,
    seqs: Vec<u64>,
}

impl Drop for OpenQuestions<'_> {
    fn drop(&mut self) {
        let mut open = self.node.quotes.open.borrow_mut();
        self.seqs.iter().for_each(|seq| {
            open.remove(seq);
        });
    }
}

fn ask(node: &Node, peer: &Peer, seq: u64, question: Question) {
    let datagram = Datagram::Ask {
        seq,
        to: peer.id.to_string(),
        from: node.settings.borrow().instance.to_string(),
        config_version: node.config_version(),
        precedence: question.precedence.into(),
        route: question.route,
        expected_ms: question.expected.as_millis() as u32,
    };
    send(node, peer.addr, &datagram);
}

fn send(node: &Node, addr: SocketAddr, datagram: &Datagram) {
    match postcard::to_stdvec(datagram) {
        // A datagram that finds no room in the socket counts as lost on the way.
        Ok(buf) => drop(node.quotes.socket.try_send_to(&buf, addr)),
        Err(e) => warn!(event = "datagram_not_encoded", error = %e),
    }
}

/// Answers questions and hands out answers, until the process ends.
pub(crate) async fn serve(node: Rc<Node>) {
    let mut buf = [0; MAX_DATAGRAM];
    loop {
        let (len, from) = match node.quotes.socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                warn!(event = "datagram_receive_failed", error = %e);
                tokio::time::sleep(FIRST_WAIT).await;
                continue;
            }
        };
        match postcard::from_bytes(&buf[..len]) {
            Ok(datagram) => on_datagram(&node, from, datagram),
            Err(e) => warn!(event = "datagram_invalid", from = %from, error = %e),
        }
    }
}

fn on_datagram(node: &Node, addr: SocketAddr, datagram: Datagram) {
    match datagram {
        Datagram::Ask { seq, to, from, config_version, precedence, route, expected_ms } => {
            let own = node.settings.borrow().instance.clone();
            if to != own {
                return;
            }
            let expected = Duration::from_millis(u64::from(expected_ms));
            let precedence = precedence.into();
            let quote = node.gate.borrow_mut().load_report(node.now(), precedence, route, expected);
            let held = node.config_version();
            let offer = Datagram::Offer {
                seq,
                from: own.to_string(),
                config_version: held,
                quote: quote.into(),
            };
            send(node, addr, &offer);
            let unknown = node.directory.borrow().get(&from).is_none();
            if config_version > held || unknown {
                node.request_pull(addr);
            }
        }
        Datagram::Offer { seq, from, config_version, quote } => {
            node.directory.borrow_mut().on_response(node.now(), &from);
            if config_version > node.config_version() {
                node.request_pull(addr);
            }
            let asker = node.quotes.open.borrow_mut().remove(&seq);
            if let Some(asker) = asker {
                // The asker has stopped waiting when its channel is closed.
                let _ = asker.try_send((seq, quote.into()));
            }
        }
    }
}
