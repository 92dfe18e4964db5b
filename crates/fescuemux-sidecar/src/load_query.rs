//! Load queries to guards over UDP, and the socket of all datagrams between instances.
//!
//! A reply shows that the network path worked in both directions just before a request is sent over
//! it. A lost query costs nothing but the timeout.

mod records;

use crate::allowance_exchange::{self, AllowanceDatagram};
use crate::fair_share_record::FairShareRecord;
use crate::node::Node;
use fescuemux_core::base::HashMap;
use fescuemux_core::fair_queue::FairShare;
use fescuemux_core::locality::Offered;
use fescuemux_core::placement::{LoadReport, Peer, Precedence};
use records::{LoadReportRecord, PrecedenceRecord, ReportedAgeRecord};
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

/// Timeout of all further replies, from the first reply on.
const MORE_REPLIES_TIMEOUT: Duration = Duration::from_millis(8);

/// Round-trip time assumed to another failure domain before the first reply from there.
const UNKNOWN_RTT: Duration = Duration::from_millis(20);

/// Maximum datagram size, below the usual MTU.
const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Datagram between instances.
#[derive(Debug, Serialize, Deserialize)]
enum Datagram {
    #[serde(rename = "Ask")]
    Query {
        seq: u64,
        /// Id of the instance that should reply.
        to: String,
        /// Id of the instance that sent the query.
        from: String,
        config_version: u64,
        precedence: PrecedenceRecord,
        share: Option<FairShareRecord>,
        #[serde(rename = "route")]
        route_hash: u64,
        #[serde(rename = "expected_ms")]
        expected_running_ms: u32,
    },
    Offer {
        /// Sequence number of the query.
        seq: u64,
        /// Id of the instance that replies.
        from: String,
        config_version: u64,
        config_age: ReportedAgeRecord,
        #[serde(rename = "quote")]
        load_report: LoadReportRecord,
    },
    Allowances(AllowanceDatagram),
}

/// Load report of an instance, received as a reply to a load query.
#[derive(Clone, Debug)]
pub(crate) struct LoadReply {
    pub(crate) peer: Peer,
    pub(crate) load_report: LoadReport,
}

/// Load query for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadQuery {
    pub(crate) precedence: Precedence,
    /// Share of the customer, if there is one.
    pub(crate) share: Option<FairShare>,
    /// Hash of the route.
    pub(crate) route_hash: u64,
    /// Running time that the ingress expects, used by guards that have not measured the route.
    pub(crate) expected_running_time: Duration,
}

impl LoadQuery {
    /// Returns a query that only exchanges configuration versions.
    pub(crate) fn without_request() -> LoadQuery {
        LoadQuery {
            precedence: Precedence::top_level(0),
            share: None,
            route_hash: 0,
            expected_running_time: Duration::ZERO,
        }
    }
}

/// Socket for load queries, and the senders that deliver replies to the tasks that wait for them,
/// by the sequence number of the query.
#[derive(Debug)]
pub(crate) struct LoadQueries {
    socket: UdpSocket,
    next_seq: Cell<u64>,
    pending: RefCell<HashMap<u64, PendingQuery>>,
}

/// Query whose reply has not arrived.
#[derive(Debug)]
struct PendingQuery {
    sent_at: std::time::Instant,
    reply_tx: flume::Sender<(u64, LoadReport)>,
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

/// Queries `peers` and returns the replies that arrive in time. Peers that do not reply are put
/// into backoff, in which they are queried only if too few other peers are known.
pub(crate) async fn query_peers(node: &Node, peers: Vec<Peer>, query: LoadQuery) -> Vec<LoadReply> {
    let Answers { replies, silent } = ask_peers(node, peers, query).await;
    for peer in silent {
        node.directory.borrow_mut().on_timeout(node.now(), &peer.id);
        node.locality.borrow_mut().on_no_reply(node.now(), &peer.domain);
    }
    let record = |(reply, rtt): (LoadReply, Duration)| {
        let offered = Offered { domain: &reply.peer.domain, report: reply.load_report };
        node.locality.borrow_mut().on_reply(node.now(), &reply.peer.service, offered, rtt);
        reply
    };
    replies.into_iter().map(record).collect()
}

/// Replies to load queries, and the peers that did not reply.
#[derive(Debug)]
pub(crate) struct Answers {
    /// Replies with their round-trip times.
    pub(crate) replies: Vec<(LoadReply, Duration)>,
    pub(crate) silent: Vec<Peer>,
}

/// Queries `peers` without recording the result.
pub(crate) async fn ask_peers(node: &Node, peers: Vec<Peer>, query: LoadQuery) -> Answers {
    let (tx, rx) = flume::bounded(peers.len().max(1));
    let queried: Vec<(u64, Peer)> = peers
        .into_iter()
        .map(|peer| {
            let seq = node.load_queries.next_seq.get() + 1;
            node.load_queries.next_seq.set(seq);
            let pending = PendingQuery { sent_at: node.now(), reply_tx: tx.clone() };
            node.load_queries.pending.borrow_mut().insert(seq, pending);
            send_query(node, &peer, seq, query);
            (seq, peer)
        })
        .collect();
    let sent_at = node.now();
    let more_replies_timeout = more_replies_timeout(node, queried.iter().map(|(_, peer)| peer));
    let pending = PendingQueries { node, seqs: queried.iter().map(|(seq, _)| *seq).collect() };
    let mut replies = Vec::with_capacity(queried.len());
    let mut deadline = Instant::now() + FIRST_REPLY_TIMEOUT;
    while replies.len() < queried.len() {
        let Ok(Ok((seq, load_report))) = tokio::time::timeout_at(deadline, rx.recv_async()).await
        else {
            break;
        };
        if replies.is_empty() {
            deadline = deadline.min(Instant::now() + more_replies_timeout);
        }
        if let Some((_, peer)) = queried.iter().find(|(other, _)| *other == seq) {
            let rtt = node.now().saturating_duration_since(sent_at);
            replies.push((LoadReply { peer: peer.clone(), load_report }, rtt));
        }
    }
    drop(pending);
    let is_silent =
        |peer: &Peer| replies.iter().all(|(reply, _): &(LoadReply, _)| reply.peer.id != peer.id);
    let silent = queried.into_iter().map(|(_, peer)| peer).filter(is_silent).collect();
    Answers { replies, silent }
}

/// Returns the timeout of all replies after the first. With a locality policy it includes the
/// round-trip time to the domains that are queried; a reply from the own domain may arrive earlier
/// than one from another domain by more than [`MORE_REPLIES_TIMEOUT`].
fn more_replies_timeout<'a>(node: &Node, peers: impl Iterator<Item = &'a Peer>) -> Duration {
    let settings = node.settings.borrow();
    if !settings.locality {
        return MORE_REPLIES_TIMEOUT;
    }
    let locality = node.locality.borrow();
    let others = peers.filter(|peer| peer.domain != settings.domain);
    let rtt = others.map(|peer| locality.rtt(&peer.domain).unwrap_or(UNKNOWN_RTT)).max();
    (MORE_REPLIES_TIMEOUT + rtt.unwrap_or(Duration::ZERO)).min(FIRST_REPLY_TIMEOUT)
}

/// Pending queries of one call of [`query_peers`], removed when the call ends or is cancelled.
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
    let datagram = Datagram::Query {
        seq,
        to: peer.id.to_string(),
        from: node.settings.borrow().instance.to_string(),
        config_version: node.config_version(),
        precedence: query.precedence.into(),
        share: query.share.map(Into::into),
        route_hash: query.route_hash,
        expected_running_ms: query.expected_running_time.as_millis() as u32,
    };
    send(node, peer.addr, &datagram);
}

/// Sends messages about allowances.
pub(crate) fn send_allowances(node: &Node, addr: SocketAddr, datagram: AllowanceDatagram) {
    send(node, addr, &Datagram::Allowances(datagram));
}

fn send(node: &Node, addr: SocketAddr, datagram: &Datagram) {
    match postcard::to_stdvec(datagram) {
        // A datagram that does not fit into the send buffer is treated as lost.
        Ok(buf) => drop(node.load_queries.socket.try_send_to(&buf, addr)),
        Err(e) => warn!(event = "datagram_not_encoded", error = %e),
    }
}

/// Responds to load queries, and passes replies to the tasks that wait for them. Runs until the
/// process ends.
pub(crate) async fn serve(node: Rc<Node>) {
    let mut buf = [0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, addr) = match node.load_queries.socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                warn!(event = "datagram_receive_failed", error = %e);
                tokio::time::sleep(FIRST_REPLY_TIMEOUT).await;
                continue;
            }
        };
        match postcard::from_bytes(&buf[..len]) {
            Ok(datagram) => handle_datagram(&node, addr, datagram),
            Err(e) => warn!(event = "datagram_invalid", from = %addr, error = %e),
        }
    }
}

fn handle_datagram(node: &Node, addr: SocketAddr, datagram: Datagram) {
    match datagram {
        Datagram::Query {
            seq,
            to,
            from,
            config_version,
            precedence,
            share,
            route_hash,
            expected_running_ms,
        } => {
            let own_id = node.settings.borrow().instance.clone();
            if to != own_id {
                return;
            }
            let expected_running_time = Duration::from_millis(u64::from(expected_running_ms));
            let precedence = precedence.into();
            let load_report = node.admission.borrow_mut().load_report_for(
                node.now(),
                precedence,
                share.map(Into::into),
                route_hash,
                expected_running_time,
            );
            let reply = Datagram::Offer {
                seq,
                from: own_id.to_string(),
                config_version: node.config_version(),
                config_age: node.config_freshness.borrow().reported_age(node.now()).into(),
                load_report: load_report.into(),
            };
            send(node, addr, &reply);
            node.on_peer_version(addr, config_version);
            let sender_unknown = node.directory.borrow().get(&from).is_none();
            if sender_unknown {
                node.request_pull(addr);
            }
        }
        Datagram::Offer { seq, from, config_version, config_age, load_report } => {
            node.directory.borrow_mut().on_response(node.now(), &from);
            node.on_peer_version(addr, config_version);
            let query = node.load_queries.pending.borrow_mut().remove(&seq);
            if let Some(query) = query {
                if config_version == node.config_version() {
                    let mut freshness = node.config_freshness.borrow_mut();
                    freshness.confirm_by_reply(query.sent_at, config_age.into());
                }
                // The send fails if the task that sent the query no longer waits.
                let _ = query.reply_tx.try_send((seq, load_report.into()));
            }
        }
        Datagram::Allowances(datagram) => allowance_exchange::handle_datagram(node, datagram),
    }
}
