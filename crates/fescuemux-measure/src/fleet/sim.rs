//! Simulated fleet and its event queue.

use super::frame::FrameCodec;
use super::meter::{Traffic, TrafficMeter};
use super::names::{
    address, instance_id, instance_record, node_of_address, region, server_records,
};
use fescuemux_core::base::{Cx, Generation};
use fescuemux_core::member::{
    InstanceRecord, MemberConfig, MemberState, Membership, OutgoingMessage, Output,
};
use rand::Rng as _;
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// One-way latency between regions, in addition to the latency within a region.
const REGION_LATENCY: Duration = Duration::from_millis(20);
/// Time that a pull of changed configuration chunks takes in addition to a round trip.
const PULL_TIME: Duration = Duration::from_millis(20);
/// Time after which a pull without a response may be retried.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
enum EventKind {
    Deliver { from: usize, to: usize, frame: Vec<u8> },
    Wake(usize),
    Install { node: usize, generation: Generation },
}

#[derive(Clone, Debug)]
struct Event {
    at: Instant,
    sequence: u64,
    kind: EventKind,
}

impl PartialEq for Event {
    fn eq(&self, other: &Event) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Event) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    /// Reverses the order, because `BinaryHeap` returns its greatest element first.
    fn cmp(&self, other: &Event) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

#[derive(Clone, Debug)]
pub(super) struct Node {
    pub(super) membership: Membership,
    pub(super) running: bool,
    /// Earliest pending wake-up, if any.
    next_wakeup: Option<Instant>,
    /// Earliest time of the next pull.
    next_pull_at: Instant,
    /// Time at which the node installed its configuration generation.
    pub(super) installed_at: Instant,
}

/// Membership state of every daemon and the messages in flight between them.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub(super) cx: Cx,
    pub(super) nodes: Vec<Node>,
    pub(super) meter: TrafficMeter,
    /// Share of messages that are lost.
    pub(super) message_loss: f64,
    /// Whether the regions cannot reach each other.
    pub(super) regions_partitioned: bool,
    /// Number of times that a node declared a running and reachable instance dead.
    pub(super) false_deaths: u64,
    servers_each: usize,
    queue: BinaryHeap<Event>,
    last_sequence: u64,
    codec: FrameCodec,
}

impl Fleet {
    /// Returns a fleet of `nodes` stopped daemons with `servers_each` backend servers each. They
    /// join through the addresses of the first two daemons of every failure domain.
    pub fn new(nodes: usize, servers_each: usize, seed: u64) -> Fleet {
        let now = Instant::now();
        let new_membership = |i| {
            Membership::new(
                MemberConfig::default(),
                instance_record(i, servers_each, servers_each, 0),
                now,
            )
        };
        let new_node = |i| Node {
            membership: new_membership(i),
            running: false,
            next_wakeup: None,
            next_pull_at: now,
            installed_at: now,
        };
        Fleet {
            cx: Cx::new(now, seed),
            nodes: (0..nodes).map(new_node).collect(),
            meter: TrafficMeter::new(nodes, now),
            message_loss: 0.0,
            regions_partitioned: false,
            false_deaths: 0,
            servers_each,
            queue: BinaryHeap::new(),
            last_sequence: 0,
            codec: FrameCodec::new(),
        }
    }

    /// Starts a new process of `node` whose servers are all ready, or all cold.
    pub(super) fn start_node(
        &mut self,
        node: usize,
        incarnation_offset_ms: u64,
        servers_ready: bool,
    ) {
        let ready = if servers_ready { self.servers_each } else { 0 };
        let own = instance_record(node, self.servers_each, ready, incarnation_offset_ms);
        let now = self.cx.now;
        self.nodes[node].membership = Membership::new(MemberConfig::default(), own, now);
        self.nodes[node].running = true;
        let seed_addresses = (0..2 * super::names::DOMAINS).map(address).collect();
        let sends = self.nodes[node].membership.join(&mut self.cx, seed_addresses);
        self.send_all(node, sends);
        self.schedule_wakeup(node);
    }

    pub(super) fn stop_node(&mut self, node: usize) {
        self.nodes[node].running = false;
    }

    /// Resumes a stopped process with its state, as after a pause.
    pub(super) fn resume_node(&mut self, node: usize) {
        self.nodes[node].running = true;
        self.nodes[node].next_wakeup = None;
        self.schedule_wakeup(node);
    }

    /// Announces the planned stop of `node`.
    pub(super) fn leave_node(&mut self, node: usize) {
        let sends = self.nodes[node].membership.leave(&mut self.cx);
        self.send_all(node, sends);
    }

    /// Makes the first `ready` servers of `node` ready and the rest cold.
    pub(super) fn set_ready_servers(
        &mut self,
        node: usize,
        ready: usize,
        incarnation_offset_ms: u64,
    ) {
        let server_records = server_records(node, self.servers_each, ready, incarnation_offset_ms);
        let sends = self.nodes[node].membership.set_servers(&mut self.cx, server_records);
        self.send_all(node, sends);
    }

    /// Installs a configuration generation at `node` after `delay`.
    pub(super) fn install(&mut self, node: usize, generation: Generation, delay: Duration) {
        self.push(delay, EventKind::Install { node, generation });
    }

    pub(super) fn reset_meter(&mut self) {
        self.meter = TrafficMeter::new(self.nodes.len(), self.cx.now);
        self.false_deaths = 0;
    }

    pub(super) fn measure_traffic(&mut self) -> Traffic {
        self.meter.traffic(self.cx.now)
    }

    /// Advances the clock by `time` and handles all events until then.
    pub(super) fn run(&mut self, time: Duration) {
        let end = self.cx.now + time;
        while self.queue.peek().is_some_and(|e| e.at <= end) {
            let event = self.queue.pop().expect("peeked");
            self.cx.now = event.at;
            self.handle(event.kind);
        }
        self.cx.now = end;
    }

    fn handle(&mut self, kind: EventKind) {
        match kind {
            EventKind::Deliver { from, to, frame } => {
                if !self.nodes[to].running {
                    return;
                }
                self.meter.count_bytes(self.cx.now, to, frame.len());
                let message = self.codec.decode(&frame);
                let outputs =
                    self.nodes[to].membership.on_message(&mut self.cx, instance_id(from), message);
                self.handle_outputs(to, outputs);
            }
            EventKind::Wake(node) => {
                if self.nodes[node].next_wakeup != Some(self.cx.now) || !self.nodes[node].running {
                    return;
                }
                self.nodes[node].next_wakeup = None;
                let outputs = self.nodes[node].membership.tick(&mut self.cx);
                self.handle_outputs(node, outputs);
            }
            EventKind::Install { node, generation } => {
                let installing = &mut self.nodes[node];
                if !installing.running
                    || generation <= installing.membership.config_version().generation
                {
                    return;
                }
                installing.installed_at = self.cx.now;
                let sends = installing.membership.set_generation(&mut self.cx, generation, [1; 16]);
                self.send_all(node, sends);
            }
        }
    }

    fn handle_outputs(&mut self, node: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(send) => self.send_message(node, send),
                Output::RecordChanged(instance) => {
                    let record = self.nodes[node].membership.record(&instance);
                    let dead_record = record.filter(|r| r.state == MemberState::Dead);
                    if dead_record.is_some_and(|r| self.is_false_death(node, r)) {
                        self.false_deaths += 1;
                    }
                }
                Output::NewerGeneration { from, generation } => {
                    let peer_record = self.nodes[node].membership.record(&from);
                    let peer = peer_record.map(|r| node_of_address(r.addresses.rpc));
                    self.pull(node, peer, generation);
                }
            }
        }
        self.schedule_wakeup(node);
    }

    /// Returns whether the process of `record` is running and reachable from `node`, so that
    /// declaring the instance dead is wrong. An earlier process of the same instance is really
    /// dead.
    fn is_false_death(&self, node: usize, record: &InstanceRecord) -> bool {
        let target_node = node_of_address(record.addresses.rpc);
        let target = &self.nodes[target_node];
        let same_process = target.membership.local_record().incarnation == record.incarnation;
        target.running && same_process && self.is_reachable(node, target_node)
    }

    /// Pulls a generation from a peer, unless a pull is in progress. The request and the response
    /// can be lost like any message.
    fn pull(&mut self, node: usize, peer: Option<usize>, generation: Generation) {
        let Some(peer) = peer.filter(|_| self.cx.now >= self.nodes[node].next_pull_at) else {
            return;
        };
        self.nodes[node].next_pull_at = self.cx.now + PULL_TIMEOUT;
        let lost = (0..2).any(|_| self.cx.rng.random_bool(self.message_loss));
        if lost || !self.nodes[peer].running || !self.is_reachable(node, peer) {
            return;
        }
        let delay = self.latency(node, peer) * 2 + PULL_TIME;
        self.nodes[node].next_pull_at = self.cx.now + delay;
        self.install(node, generation, delay);
    }

    fn send_all(&mut self, node: usize, sends: Vec<OutgoingMessage>) {
        for send in sends {
            self.send_message(node, send);
        }
        self.schedule_wakeup(node);
    }

    fn send_message(&mut self, from: usize, send: OutgoingMessage) {
        let to = node_of_address(send.addr);
        let frame = self.codec.encode(self.last_sequence, send.message);
        self.meter.count_bytes(self.cx.now, from, frame.len());
        self.meter.count_message();
        if !self.is_reachable(from, to) || self.cx.rng.random_bool(self.message_loss) {
            return;
        }
        let delay = self.latency(from, to);
        self.push(delay, EventKind::Deliver { from, to, frame });
    }

    fn is_reachable(&self, from: usize, to: usize) -> bool {
        !self.regions_partitioned || region(from) == region(to)
    }

    fn latency(&mut self, from: usize, to: usize) -> Duration {
        let local_latency = Duration::from_micros(self.cx.rng.random_range(500..1500));
        if region(from) == region(to) { local_latency } else { local_latency + REGION_LATENCY }
    }

    fn schedule_wakeup(&mut self, node: usize) {
        let at = self.nodes[node].membership.next_wake().max(self.cx.now);
        if !self.nodes[node].running || self.nodes[node].next_wakeup.is_some_and(|w| w <= at) {
            return;
        }
        self.nodes[node].next_wakeup = Some(at);
        self.push(at - self.cx.now, EventKind::Wake(node));
    }

    fn push(&mut self, delay: Duration, kind: EventKind) {
        self.last_sequence += 1;
        self.queue.push(Event { at: self.cx.now + delay, sequence: self.last_sequence, kind });
    }
}
