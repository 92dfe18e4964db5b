//! Simulated network for a small fleet of members, with message delays and faults drawn from a
//! seed.

use fescuemux_core::base::{Cx, InstanceId, Phase};
use fescuemux_core::member::{
    Addresses, InstanceRecord, MemberConfig, MemberState, Membership, Message, OutgoingMessage,
    Output, ServerHealth, ServerRecord,
};
use rand::Rng as _;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Returns the name of member `i`.
pub(crate) fn name(i: usize) -> InstanceId {
    format!("i-{i}").into()
}

pub(crate) fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (i / 256) as u8, (i % 256) as u8], 7000))
}

/// Returns the record of member `i`, whose backend server has `version` slots.
pub(crate) fn record(i: usize, incarnation: u64, version: u64) -> InstanceRecord {
    InstanceRecord {
        instance: name(i),
        domain: format!("d{}", i % 2).into(),
        region: format!("r{}", i % 2).into(),
        incarnation,
        version,
        refutation: 0,
        addresses: Addresses { rpc: addr(i), hop: addr(i) },
        state: MemberState::Alive,
        servers: vec![server(version as u16)],
        generation: 0,
    }
}

pub(crate) fn server(slots: u16) -> ServerRecord {
    ServerRecord {
        server: "s".into(),
        service: "permits".into(),
        slots,
        phase: Phase::Ready,
        health: ServerHealth::Serving,
        incarnation: 1,
    }
}

/// Network faults.
#[derive(Default)]
pub(crate) struct Faults {
    /// Probability that a message is lost.
    pub(crate) loss: f64,
    /// Probability that a message is delivered twice.
    pub(crate) duplicates: f64,
    pub(crate) max_delay_ms: u64,
    /// Returns whether all messages from the first to the second member are lost.
    pub(crate) cut: Option<fn(usize, usize) -> bool>,
}

pub(crate) struct Net {
    pub(crate) cx: Cx,
    pub(crate) members: Vec<Membership>,
    pub(crate) is_running: Vec<bool>,
    pub(crate) is_paused: Vec<bool>,
    pub(crate) faults: Faults,
    /// Messages in flight by arrival time and sequence number: sender, receiver and message.
    in_flight: BTreeMap<(Instant, u64), (usize, usize, Message)>,
    /// Messages buffered in the sockets of paused members: sender, receiver and message.
    messages_while_paused: Vec<(usize, usize, Message)>,
    sent: u64,
}

impl Net {
    /// Returns `count` members 30 s after all joined through member 0, and member 0 through member
    /// 1.
    pub(crate) fn settled(seed: u64, count: usize) -> Net {
        let start = Instant::now();
        let mut net = Net {
            cx: Cx::new(start, seed),
            members: Vec::new(),
            is_running: vec![true; count],
            is_paused: vec![false; count],
            faults: Faults { max_delay_ms: 4, ..Faults::default() },
            in_flight: BTreeMap::new(),
            messages_while_paused: Vec::new(),
            sent: 0,
        };
        for i in 0..count {
            let member = Membership::new(MemberConfig::default(), record(i, 1, 1), start);
            net.members.push(member);
            net.join(i, if i == 0 { 1 } else { 0 });
        }
        net.run(30);
        net
    }

    pub(crate) fn join(&mut self, i: usize, seed_member: usize) {
        let sends = self.members[i].join(&mut self.cx, vec![addr(seed_member)]);
        self.send_all(i, sends);
    }

    /// Restarts member `i` with a new incarnation.
    pub(crate) fn restart(&mut self, i: usize, incarnation: u64) {
        let local = record(i, incarnation, 1);
        self.members[i] = Membership::new(MemberConfig::default(), local, self.cx.now);
        self.is_running[i] = true;
        self.join(i, (i + 1) % self.members.len());
    }

    pub(crate) fn send_all(&mut self, from: usize, sends: Vec<OutgoingMessage>) {
        for send in sends {
            self.send(from, send);
        }
    }

    fn send(&mut self, from: usize, send: OutgoingMessage) {
        let [_, _, high, low] = match send.addr {
            SocketAddr::V4(a) => a.ip().octets(),
            SocketAddr::V6(_) => return,
        };
        let to = usize::from(high) * 256 + usize::from(low);
        let is_cut = self.faults.cut.is_some_and(|cut| cut(from, to));
        if is_cut || self.cx.rng.random_bool(self.faults.loss) {
            return;
        }
        let copies = 1 + u32::from(self.cx.rng.random_bool(self.faults.duplicates));
        for _ in 0..copies {
            let delay = self.cx.rng.random_range(1..=self.faults.max_delay_ms.max(1));
            self.sent += 1;
            let arrives_at = self.cx.now + Duration::from_millis(delay);
            self.in_flight.insert((arrives_at, self.sent), (from, to, send.message.clone()));
        }
    }

    fn send_outputs(&mut self, i: usize, outputs: Vec<Output>) {
        for output in outputs {
            if let Output::Send(send) = output {
                self.send(i, send);
            }
        }
    }

    pub(crate) fn deliver(&mut self, from: usize, to: usize, message: Message) {
        if self.is_paused[to] {
            self.messages_while_paused.push((from, to, message));
        } else if self.is_running[to] {
            let outputs = self.members[to].on_message(&mut self.cx, name(from), message);
            self.send_outputs(to, outputs);
        }
    }

    /// Advances the simulation by `secs` seconds.
    pub(crate) fn run(&mut self, secs: u64) {
        let end = self.cx.now + Duration::from_secs(secs);
        loop {
            let is_awake = |i: &usize| self.is_running[*i] && !self.is_paused[*i];
            let wakes =
                (0..self.members.len()).filter(is_awake).map(|i| self.members[i].next_wake());
            let arrival = self.in_flight.first_key_value().map(|(key, _)| key.0);
            let next = wakes.chain(arrival).min().unwrap_or(end).max(self.cx.now);
            if next >= end {
                break;
            }
            self.cx.now = next;
            while self.in_flight.first_key_value().is_some_and(|(key, _)| key.0 <= next) {
                let (_, (from, to, message)) = self.in_flight.pop_first().unwrap();
                self.deliver(from, to, message);
            }
            for i in 0..self.members.len() {
                if self.is_running[i] && !self.is_paused[i] && self.members[i].next_wake() <= next {
                    let outputs = self.members[i].tick(&mut self.cx);
                    self.send_outputs(i, outputs);
                }
            }
        }
        self.cx.now = end;
    }

    /// Ends the pause of member `i` and delivers the messages buffered in its socket.
    pub(crate) fn resume(&mut self, i: usize) {
        self.is_paused[i] = false;
        for (from, to, message) in std::mem::take(&mut self.messages_while_paused) {
            self.deliver(from, to, message);
        }
    }

    /// Returns the state of member `of` in the view of member `at`.
    pub(crate) fn state(&self, at: usize, of: usize) -> Option<MemberState> {
        self.members[at].record(&name(of)).map(|r| r.state)
    }

    /// Returns the sum of [`Counters::deaths`](fescuemux_core::member::Counters::deaths) over all
    /// members.
    pub(crate) fn deaths(&self) -> u64 {
        self.members.iter().map(|member| member.counters().deaths).sum()
    }
}
