//! The fleet and the queue that moves its messages.

use super::frame::Framer;
use super::meter::{Traffic, TrafficMeter};
use super::names::{address, name, node_at, record, region, servers};
use fescuemux_core::base::{Cx, Generation};
use fescuemux_core::member::{InstanceRecord, MemberConfig, MemberState, Membership, Output, Send};
use rand::Rng as _;
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// One-way latency between regions, on top of that between failure domains.
const REGION_LATENCY: Duration = Duration::from_millis(20);
/// Time that a pull of changed chunks takes on top of a round trip.
const PULL_TIME: Duration = Duration::from_millis(20);
/// Time after which a pull without answer may be tried again.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
enum Kind {
    Deliver { from: usize, to: usize, frame: Vec<u8> },
    Wake(usize),
    Installed { node: usize, generation: Generation },
}

#[derive(Clone, Debug)]
struct Event {
    at: Instant,
    number: u64,
    kind: Kind,
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
    /// The heap yields its greatest element, so the earliest event is the greatest.
    fn cmp(&self, other: &Event) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

#[derive(Clone, Debug)]
pub(super) struct Node {
    pub(super) member: Membership,
    pub(super) up: bool,
    /// Earliest pending wake-up, if any.
    wake: Option<Instant>,
    pull_until: Instant,
    pub(super) installed_at: Instant,
}

/// The membership state of every daemon and the messages between them.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub(super) cx: Cx,
    pub(super) nodes: Vec<Node>,
    pub(super) meter: TrafficMeter,
    /// Share of messages lost.
    pub(super) loss: f64,
    /// Whether the regions cannot reach each other.
    pub(super) cut: bool,
    /// Deaths declared of instances that ran and could be reached.
    pub(super) false_deaths: u64,
    servers_each: usize,
    queue: BinaryHeap<Event>,
    numbers: u64,
    framer: Framer,
}

impl Fleet {
    /// Returns `nodes` daemons with `servers_each` backend servers each. They know only the
    /// addresses of the first two of every failure domain.
    pub fn new(nodes: usize, servers_each: usize, seed: u64) -> Fleet {
        let now = Instant::now();
        let member = |i| {
            Membership::new(MemberConfig::default(), record(i, servers_each, servers_each, 0), now)
        };
        let node = |i| Node {
            member: member(i),
            up: false,
            wake: None,
            pull_until: now,
            installed_at: now,
        };
        Fleet {
            cx: Cx::new(now, seed),
            nodes: (0..nodes).map(node).collect(),
            meter: TrafficMeter::new(nodes, now),
            loss: 0.0,
            cut: false,
            false_deaths: 0,
            servers_each,
            queue: BinaryHeap::new(),
            numbers: 0,
            framer: Framer::new(),
        }
    }

    /// Starts a new process of `node` whose servers are all cold, or all ready.
    pub(super) fn start(&mut self, node: usize, life: u64, ready: bool) {
        let ready = if ready { self.servers_each } else { 0 };
        let own = record(node, self.servers_each, ready, life);
        let now = self.cx.now;
        self.nodes[node].member = Membership::new(MemberConfig::default(), own, now);
        self.nodes[node].up = true;
        let seeds = (0..2 * super::names::DOMAINS).map(address).collect();
        let sends = self.nodes[node].member.join(&mut self.cx, seeds);
        self.post_all(node, sends);
        self.schedule(node);
    }

    pub(super) fn stop(&mut self, node: usize) {
        self.nodes[node].up = false;
    }

    /// Lets a stopped process go on where it was, as after a pause.
    pub(super) fn resume(&mut self, node: usize) {
        self.nodes[node].up = true;
        self.nodes[node].wake = None;
        self.schedule(node);
    }

    /// Announces the planned stop of `node`.
    pub(super) fn leave(&mut self, node: usize) {
        let sends = self.nodes[node].member.leave(&mut self.cx);
        self.post_all(node, sends);
    }

    /// Makes the first `ready` servers of `node` ready.
    pub(super) fn warm(&mut self, node: usize, ready: usize, life: u64) {
        let servers = servers(node, self.servers_each, ready, life);
        let sends = self.nodes[node].member.set_servers(&mut self.cx, servers);
        self.post_all(node, sends);
    }

    /// Puts a generation in force at `node` after `delay`.
    pub(super) fn install(&mut self, node: usize, generation: Generation, delay: Duration) {
        self.push(delay, Kind::Installed { node, generation });
    }

    pub(super) fn reset_meter(&mut self) {
        self.meter = TrafficMeter::new(self.nodes.len(), self.cx.now);
        self.false_deaths = 0;
    }

    pub(super) fn traffic(&mut self) -> Traffic {
        self.meter.traffic(self.cx.now)
    }

    /// Lets `time` pass.
    pub(super) fn run(&mut self, time: Duration) {
        let end = self.cx.now + time;
        while self.queue.peek().is_some_and(|e| e.at <= end) {
            let event = self.queue.pop().expect("peeked");
            self.cx.now = event.at;
            self.handle(event.kind);
        }
        self.cx.now = end;
    }

    fn handle(&mut self, kind: Kind) {
        match kind {
            Kind::Deliver { from, to, frame } => {
                if !self.nodes[to].up {
                    return;
                }
                self.meter.count(self.cx.now, to, frame.len());
                let message = self.framer.open(&frame);
                let outputs = self.nodes[to].member.on_message(&mut self.cx, name(from), message);
                self.act(to, outputs);
            }
            Kind::Wake(node) => {
                if self.nodes[node].wake != Some(self.cx.now) || !self.nodes[node].up {
                    return;
                }
                self.nodes[node].wake = None;
                let outputs = self.nodes[node].member.tick(&mut self.cx);
                self.act(node, outputs);
            }
            Kind::Installed { node, generation } => {
                let target = &mut self.nodes[node];
                if !target.up || generation <= target.member.config_version().generation {
                    return;
                }
                target.installed_at = self.cx.now;
                let sends = target.member.set_generation(&mut self.cx, generation, [1; 16]);
                self.post_all(node, sends);
            }
        }
    }

    fn act(&mut self, node: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(send) => self.post(node, send),
                Output::RecordChanged(instance) => {
                    let record = self.nodes[node].member.record(&instance);
                    let dead = record.filter(|r| r.state == MemberState::Dead);
                    if dead.is_some_and(|r| self.is_false_death(node, r)) {
                        self.false_deaths += 1;
                    }
                }
                Output::NewerGeneration { from, generation } => {
                    let peer = self.nodes[node].member.record(&from);
                    let peer = peer.map(|r| node_at(r.addresses.rpc));
                    self.pull(node, peer, generation);
                }
            }
        }
        self.schedule(node);
    }

    /// Returns whether the process that `record` is about runs and can be reached from `node`.
    /// The death of an earlier process of the same instance is a true one.
    fn is_false_death(&self, node: usize, record: &InstanceRecord) -> bool {
        let of = node_at(record.addresses.rpc);
        let target = &self.nodes[of];
        let same = target.member.local_record().incarnation == record.incarnation;
        target.up && same && self.reaches(node, of)
    }

    /// Pulls a generation from a peer. Request and answer are lost as often as any message.
    fn pull(&mut self, node: usize, peer: Option<usize>, generation: Generation) {
        let Some(peer) = peer.filter(|_| self.cx.now >= self.nodes[node].pull_until) else {
            return;
        };
        self.nodes[node].pull_until = self.cx.now + PULL_TIMEOUT;
        let lost = (0..2).any(|_| self.cx.rng.random_bool(self.loss));
        if lost || !self.nodes[peer].up || !self.reaches(node, peer) {
            return;
        }
        let delay = self.latency(node, peer) * 2 + PULL_TIME;
        self.nodes[node].pull_until = self.cx.now + delay;
        self.install(node, generation, delay);
    }

    fn post_all(&mut self, node: usize, sends: Vec<Send>) {
        for send in sends {
            self.post(node, send);
        }
        self.schedule(node);
    }

    fn post(&mut self, from: usize, send: Send) {
        let to = node_at(send.addr);
        let frame = self.framer.seal(self.numbers, send.message);
        self.meter.count(self.cx.now, from, frame.len());
        self.meter.count_message();
        if !self.reaches(from, to) || self.cx.rng.random_bool(self.loss) {
            return;
        }
        let delay = self.latency(from, to);
        self.push(delay, Kind::Deliver { from, to, frame });
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        !self.cut || region(from) == region(to)
    }

    fn latency(&mut self, from: usize, to: usize) -> Duration {
        let near = Duration::from_micros(self.cx.rng.random_range(500..1500));
        if region(from) == region(to) { near } else { near + REGION_LATENCY }
    }

    fn schedule(&mut self, node: usize) {
        let at = self.nodes[node].member.next_wake().max(self.cx.now);
        if !self.nodes[node].up || self.nodes[node].wake.is_some_and(|w| w <= at) {
            return;
        }
        self.nodes[node].wake = Some(at);
        self.push(at - self.cx.now, Kind::Wake(node));
    }

    fn push(&mut self, delay: Duration, kind: Kind) {
        self.numbers += 1;
        self.queue.push(Event { at: self.cx.now + delay, number: self.numbers, kind });
    }
}
