//! Fleet of ingresses and counting instances on virtual time.

use super::checker::Record;
use super::load::{Customer, arrivals};
use fescuemux_core::allowances::{
    Allowance, AllowanceBounds, AllowanceDecision, AllowanceExchange, AllowanceMessage,
    LimitedCaller, Members, Outbox,
};
use fescuemux_core::base::{Cx, InstanceId, stable_hash};
use rand::Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

/// Fault or change at a given time.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    /// Kills the counting instance of customer 0; others forget it four seconds later.
    KillCounter,
    /// Suspends the counting instance of customer 0.
    PauseCounter(Duration),
    /// Drops all messages from (or to, if false) the counting instance of customer 0.
    CutCounter { outgoing: bool, duration: Duration },
    /// Adds an instance that counts for customer 0, known to each instance within a second.
    ReplaceCounter,
    /// Drops all messages between the first part of the instances, in percent, and the others.
    Partition { percent: usize, duration: Duration },
    /// Gives customer 0 another allowance at every `step`-th instance.
    ChangeAllowance { allowance: Allowance, step: usize },
    /// Restarts all instances within a second.
    RestartAll,
}

enum Event {
    Arrival { customer: usize, ingress: usize },
    Decide { customer: usize, ingress: usize, since: Duration },
    Message { from: usize, to: usize, message: AllowanceMessage },
    Tick(usize),
    SetMembers(usize),
    Restart(usize),
    Act(Action),
}

struct Instance {
    exchange: AllowanceExchange,
    is_up: bool,
    paused_until: Duration,
    /// Requests that wait for a reply: customer and time of arrival.
    waiting: Vec<(usize, Duration)>,
    allowances: BTreeMap<usize, Allowance>,
    version: u64,
}

/// Number of messages between instances.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cost {
    pub(crate) messages: u64,
    pub(crate) probes: u64,
    pub(crate) most_messages_of_one: u64,
}

/// Run of a load.
pub(crate) struct World {
    bounds: AllowanceBounds,
    customers: Vec<Customer>,
    instances: Vec<Instance>,
    listed: Vec<bool>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Event>,
    cx: Cx,
    started_at: Instant,
    cuts: Vec<Cut>,
    loss: f64,
    sent_by: Vec<u64>,
    pub(crate) records: Vec<Record>,
    pub(crate) cost: Cost,
    /// Longest time that a request waited for a decision, and the number of requests that waited.
    pub(crate) longest_wait: Duration,
    pub(crate) waits: usize,
}

struct Cut {
    until: Duration,
    drops: Box<dyn Fn(usize, usize) -> bool>,
}

fn name(index: usize) -> InstanceId {
    format!("instance-{index}").into()
}

/// Returns the hash of a customer of a load.
pub(crate) fn hash(customer: usize) -> u64 {
    stable_hash(&[b"customer", &customer.to_le_bytes()])
}

impl World {
    /// Returns a fleet that knows all of its instances. The one at the end of the list is a spare
    /// that is not part of it at first.
    pub(crate) fn new(instances: usize, customers: Vec<Customer>, loss: f64, seed: u64) -> World {
        let started_at = Instant::now();
        let cx = Cx::new(started_at, seed);
        let mut world = World {
            bounds: AllowanceBounds::default(),
            records: vec![Record::default(); customers.len()],
            customers,
            instances: Vec::new(),
            listed: vec![true; instances],
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            cx,
            started_at,
            cuts: Vec::new(),
            loss,
            sent_by: vec![0; instances + 1],
            cost: Cost::default(),
            longest_wait: Duration::ZERO,
            waits: 0,
        };
        for index in 0..instances {
            world.add_instance(index, true);
        }
        world
    }

    /// Runs the load and the actions.
    pub(crate) fn run(&mut self, duration: Duration, actions: &[(Duration, Action)], seed: u64) {
        let load = arrivals(&self.customers, self.instances.len(), duration, seed);
        for (at, customer, ingress) in load {
            self.schedule(at, Event::Arrival { customer, ingress });
        }
        for (at, action) in actions {
            self.schedule(*at, Event::Act(action.clone()));
        }
        while let Some(Reverse((at, seq))) = self.queue.pop() {
            if at > duration {
                break;
            }
            self.cx.now = self.started_at + at;
            let event = self.events.remove(&seq).expect("an event");
            self.handle(at, event);
        }
        for record in &mut self.records {
            record.sent.sort_unstable();
        }
        self.cost.most_messages_of_one = self.sent_by.iter().copied().max().unwrap_or(0);
    }

    fn add_instance(&mut self, index: usize, is_first_start: bool) {
        let exchange =
            AllowanceExchange::new(&mut self.cx, self.bounds, name(index), is_first_start);
        let instance = Instance {
            exchange,
            is_up: true,
            paused_until: Duration::ZERO,
            waiting: Vec::new(),
            allowances: BTreeMap::new(),
            version: 1,
        };
        if index < self.instances.len() {
            self.instances[index] = instance;
        } else {
            self.instances.push(instance);
            let at = self.now() + Duration::from_millis(self.cx.rng.random_range(0..250));
            self.schedule(at, Event::Tick(index));
        }
        self.set_members(index);
    }

    fn set_members(&mut self, index: usize) {
        let listed = (0..self.listed.len()).filter(|other| self.listed[*other]).map(name);
        self.instances[index].exchange.set_members(&self.cx, listed);
    }

    fn now(&self) -> Duration {
        self.cx.now - self.started_at
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        let seq = self.events.last_key_value().map_or(0, |(seq, _)| seq + 1);
        self.events.insert(seq, event);
        self.queue.push(Reverse((at, seq)));
    }

    fn counter(&self) -> usize {
        let mut members = Members::new(name(0));
        let listed = (0..self.listed.len()).filter(|other| self.listed[*other]).map(name);
        members.set(self.started_at, listed);
        let id = members.counting_instance(hash(0)).expect("an instance");
        (0..self.listed.len()).find(|index| name(*index) == *id).expect("an index")
    }

    fn handle(&mut self, now: Duration, event: Event) {
        let instance = match &event {
            Event::Arrival { ingress, .. } | Event::Decide { ingress, .. } => Some(*ingress),
            Event::Message { to, .. } => Some(*to),
            Event::Tick(index) | Event::SetMembers(index) => Some(*index),
            Event::Restart(_) | Event::Act(_) => None,
        };
        if let Some(instance) = instance.map(|index| &self.instances[index]) {
            if instance.paused_until > now {
                return self.schedule(instance.paused_until, event);
            }
            if !instance.is_up && !matches!(event, Event::Tick(_)) {
                return;
            }
        }
        match event {
            Event::Arrival { customer, ingress } => self.decide(customer, ingress, now, true),
            Event::Decide { customer, ingress, since } => {
                let waiting = &mut self.instances[ingress].waiting;
                if let Some(at) = waiting.iter().position(|entry| *entry == (customer, since)) {
                    waiting.remove(at);
                    self.decide(customer, ingress, since, false);
                }
            }
            Event::Message { from, to, message } => {
                let mut out = Outbox::new();
                let exchange = &mut self.instances[to].exchange;
                let is_reply = exchange.on_message(&mut self.cx, &name(from), message, &mut out);
                self.send(to, out);
                if is_reply {
                    let waiting = std::mem::take(&mut self.instances[to].waiting);
                    for (customer, since) in waiting {
                        self.decide(customer, to, since, false);
                    }
                }
            }
            Event::Tick(index) => {
                if self.instances[index].is_up {
                    let mut out = Outbox::new();
                    self.instances[index].exchange.tick(&mut self.cx, &mut out);
                    self.send(index, out);
                }
                self.schedule(now + AllowanceExchange::TICK_INTERVAL, Event::Tick(index));
            }
            Event::SetMembers(index) => self.set_members(index),
            Event::Restart(index) => self.add_instance(index, false),
            Event::Act(action) => self.act(now, action),
        }
    }

    fn decide(&mut self, customer: usize, ingress: usize, since: Duration, is_new: bool) {
        let now = self.now();
        let instance = &mut self.instances[ingress];
        let allowance = instance.allowances.get(&customer);
        let caller = LimitedCaller {
            hash: hash(customer),
            allowance: *allowance.unwrap_or(&self.customers[customer].allowance),
            version: instance.version,
        };
        let mut out = Outbox::new();
        let decision = {
            let waiting_since = (!is_new).then_some(self.started_at + since);
            instance.exchange.decide(&mut self.cx, &caller, waiting_since, &mut out)
        };
        match decision {
            AllowanceDecision::Admitted { .. } => self.records[customer].sent.push(now),
            AllowanceDecision::Refused(_) => self.records[customer].refused.push(now),
            AllowanceDecision::Wait(until) => {
                self.waits += usize::from(is_new);
                instance.waiting.push((customer, since));
                let until = until - self.started_at;
                self.schedule(until, Event::Decide { customer, ingress, since });
            }
        }
        self.longest_wait = self.longest_wait.max(now - since);
        self.send(ingress, out);
    }

    fn send(&mut self, from: usize, out: Outbox) {
        let now = self.now();
        self.cuts.retain(|cut| cut.until > now);
        for (to, message) in out {
            let to = to.trim_start_matches("instance-").parse().expect("an index");
            let is_probe =
                matches!(message, AllowanceMessage::Probe | AllowanceMessage::ProbeReply);
            self.cost.messages += u64::from(!is_probe);
            self.cost.probes += u64::from(is_probe);
            self.sent_by[from] += 1;
            let is_cut = self.cuts.iter().any(|cut| (cut.drops)(from, to));
            if is_cut || self.cx.rng.random::<f64>() < self.loss {
                continue;
            }
            let latency = Duration::from_micros(self.cx.rng.random_range(250..3_000));
            self.schedule(now + latency, Event::Message { from, to, message });
        }
    }

    fn announce(&mut self, after: Duration) {
        for index in 0..self.instances.len() {
            let lag = Duration::from_millis(self.cx.rng.random_range(0..1_000));
            self.schedule(self.now() + after + lag, Event::SetMembers(index));
        }
    }

    fn act(&mut self, now: Duration, action: Action) {
        let counter = self.counter();
        let mut cut = |duration: Duration, drops: Box<dyn Fn(usize, usize) -> bool>| {
            self.cuts.push(Cut { until: now + duration, drops });
        };
        match action {
            Action::KillCounter => {
                self.instances[counter].is_up = false;
                self.listed[counter] = false;
                self.announce(Duration::from_secs(4));
            }
            Action::PauseCounter(duration) => {
                self.instances[counter].paused_until = now + duration;
            }
            Action::CutCounter { outgoing: true, duration } => {
                cut(duration, Box::new(move |from, _| from == counter));
            }
            Action::CutCounter { outgoing: false, duration } => {
                cut(duration, Box::new(move |_, to| to == counter));
            }
            Action::ReplaceCounter => {
                while self.counter() < self.instances.len() {
                    self.listed.push(true);
                    if self.counter() < self.instances.len() {
                        // Not the counting instance: it stays out of the fleet.
                        *self.listed.last_mut().expect("an entry") = false;
                        self.add_instance(self.listed.len() - 1, false);
                        self.instances.last_mut().expect("an instance").is_up = false;
                    }
                }
                self.sent_by.resize(self.listed.len(), 0);
                self.add_instance(self.listed.len() - 1, false);
                self.announce(Duration::ZERO);
            }
            Action::Partition { percent, duration } => {
                let first = self.instances.len() * percent / 100;
                cut(duration, Box::new(move |from, to| (from < first) != (to < first)));
            }
            Action::ChangeAllowance { allowance, step } => {
                for instance in self.instances.iter_mut().step_by(step) {
                    instance.allowances.insert(0, allowance);
                    instance.version = 2;
                }
            }
            Action::RestartAll => {
                for index in 0..self.instances.len() {
                    self.instances[index].is_up = false;
                    let back = Duration::from_millis(self.cx.rng.random_range(200..1_200));
                    self.schedule(now + back, Event::Restart(index));
                }
            }
        }
    }
}
