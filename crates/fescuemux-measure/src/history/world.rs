//! The scheduler: virtual clock, queue of events, network and store calls with their faults.

use super::broken::InjectedBug;
use super::check::{INSTANCES, SERVERS};
use super::events::{Event, Msg, Reply, Scheduled, Target, Then};
use super::fault::{Fault, FaultKind};
use super::instance::{Call, Instance};
use super::record::{Event as Seen, HistoryEntry};
use super::store::{Answer, Key, MemoryStore, Op, Value};
use fescuemux_core::base::{Cx, Phase};
use fescuemux_core::dedup::ClockReading;
use rand::Rng as _;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant, SystemTime};

/// Wall-clock time of the start of a run.
const EPOCH: Duration = Duration::from_secs(1_700_000_000);
/// Longest time of a call to the store, as the settings of the daemon have it.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time to connect to another instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest offset of a wall clock; two clocks then differ by less than the 2 s permitted.
const CLOCK_OFFSET: i64 = 950;
/// Interval of the calls of an instance's parts.
const TICK: Duration = Duration::from_millis(100);
/// Interval of the announcements of a backend server.
const ANNOUNCE: Duration = Duration::from_secs(1);

/// Everything of one run.
#[derive(Debug)]
pub(super) struct World {
    pub(super) cx: Cx,
    pub(super) start: Instant,
    pub(super) now: Duration,
    pub(super) broken: Option<InjectedBug>,
    pub(super) faults: Vec<Fault>,
    pub(super) instances: Vec<Instance>,
    pub(super) phases: [Phase; SERVERS],
    pub(super) store: MemoryStore,
    pub(super) history: Vec<HistoryEntry>,
    pub(super) next: u64,
    offsets: Vec<i64>,
    pub(super) paused: [Duration; INSTANCES],
    queue: BinaryHeap<Scheduled>,
    sequence: u64,
}

impl World {
    pub(super) fn new(seed: u64, kinds: &[FaultKind], broken: Option<InjectedBug>) -> World {
        let start = Instant::now();
        let mut cx = Cx::new(start, seed);
        let faults = match kinds {
            [] => Fault::draw(&mut cx.rng),
            kinds => Fault::draw_kinds(&mut cx.rng, kinds),
        };
        let offsets = (0..16).map(|_| cx.rng.random_range(-CLOCK_OFFSET..=CLOCK_OFFSET)).collect();
        let mut world = World {
            cx,
            start,
            now: Duration::ZERO,
            broken,
            faults,
            instances: vec![],
            phases: [Phase::Ready; SERVERS],
            store: MemoryStore::default(),
            history: vec![],
            next: 0,
            offsets,
            paused: [Duration::ZERO; INSTANCES],
            queue: BinaryHeap::new(),
            sequence: 0,
        };
        for (index, fault) in world.faults.clone().into_iter().enumerate() {
            world.at(fault.from, Target::World, Event::FaultBegins { index, fault });
            world.at(fault.end(), Target::World, Event::FaultEnds { index, fault });
        }
        for index in 0..INSTANCES {
            let instance = world.process(index, 0);
            world.instances.push(instance);
            world.begin(index);
        }
        world
    }

    pub(super) fn is(&self, broken: InjectedBug) -> bool {
        self.broken == Some(broken)
    }

    pub(super) fn mono(&self) -> Instant {
        self.start + self.now
    }

    /// Returns the wall clock of an instance, or of caller `i - INSTANCES`.
    pub(super) fn wall(&self, i: usize) -> SystemTime {
        let ms = (EPOCH + self.now).as_millis() as i64 + self.offsets[i];
        SystemTime::UNIX_EPOCH + Duration::from_millis(ms as u64)
    }

    pub(super) fn since(&self, i: usize) -> ClockReading {
        ClockReading { monotonic: self.mono(), wall: self.wall(i) }
    }

    pub(super) fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    pub(super) fn record(&mut self, event: Seen) {
        self.history.push(HistoryEntry { at: self.now, event });
    }

    /// Returns an instance with its context at the present time.
    pub(super) fn instance(&mut self, i: usize) -> &mut Instance {
        let now = self.mono();
        let instance = &mut self.instances[i];
        instance.cx.now = now;
        instance
    }

    fn at(&mut self, at: Duration, target: Target, event: Event) {
        self.sequence += 1;
        self.queue.push(Scheduled { at, sequence: self.sequence, target, event });
    }

    pub(super) fn after(&mut self, delay: Duration, target: Target, event: Event) {
        self.at(self.now + delay, target, event);
    }

    /// Schedules an event of the present process of an instance.
    pub(super) fn after_in(&mut self, i: usize, delay: Duration, event: Event) {
        let target = Target::Process(i, self.instances[i].life);
        self.after(delay, target, event);
    }

    /// Takes the next event that is due by `end` and whose process runs. Events of a paused
    /// process wait for its end of pause.
    pub(super) fn pop(&mut self, end: Duration) -> Option<(Target, Event)> {
        while let Some(next) = self.queue.pop() {
            if next.at > end {
                return None;
            }
            self.now = next.at;
            if let Target::Instance(i) | Target::Process(i, _) = next.target
                && self.paused[i] > self.now
            {
                self.at(self.paused[i], next.target, next.event);
                continue;
            }
            match next.target {
                Target::Process(i, life) if !self.runs(i, life) => {}
                target => return Some((target, next.event)),
            }
        }
        None
    }

    fn runs(&self, i: usize, life: u64) -> bool {
        self.instances[i].up && self.instances[i].life == life
    }

    pub(super) fn fault(&self, kind: FaultKind) -> Option<&Fault> {
        self.faults.iter().find(|f| f.kind == kind && f.is_on(self.now))
    }

    fn is_parted(&self, from: usize, to: usize) -> bool {
        self.faults.iter().any(|f| f.is_on(self.now) && f.parts(from, to))
    }

    /// Sends a message. Connections that are open survive a cut unnoticed; others are not made.
    pub(super) fn send(&mut self, from: usize, to: usize, msg: Msg) {
        let lost = self.is_parted(from, to);
        let parted = lost || self.is_parted(to, from);
        if parted && self.cx.rng.random_bool(0.5) {
            if let Some(call) = msg.call() {
                let reply = Msg::Reply { call, reply: Reply::Unreached };
                self.after_in(
                    from,
                    CONNECT_TIMEOUT,
                    Event::Deliver { from: to, msg: reply, copy: false },
                );
            }
            return;
        }
        let mut delay = Duration::from_micros(self.cx.rng.random_range(300..1_500));
        if self.fault(FaultKind::Delay).is_some() && self.cx.rng.random_bool(0.5) {
            delay += Duration::from_millis(self.cx.rng.random_range(0..1_000));
        }
        if self.fault(FaultKind::Reorder).is_some() {
            delay += Duration::from_millis(self.cx.rng.random_range(0..60));
        }
        if self.fault(FaultKind::Duplicate).is_some() && self.cx.rng.random_bool(0.3) {
            let longest = if self.cx.rng.random_bool(0.1) { 40_000 } else { 500 };
            let late = delay + Duration::from_millis(self.cx.rng.random_range(0..longest));
            let copy = Event::Deliver { from, msg: msg.clone(), copy: true };
            self.after(late, Target::Instance(to), copy);
        }
        if !lost {
            self.after(delay, Target::Instance(to), Event::Deliver { from, msg, copy: false });
        }
    }

    /// Sends a message that awaits an answer within `limit`.
    pub(super) fn call(
        &mut self,
        from: usize,
        to: usize,
        limit: Duration,
        call: Call,
        msg: impl FnOnce(u64) -> Msg,
    ) {
        let number = self.number();
        self.instances[from].calls.insert(number, (to, call));
        self.after_in(from, limit, Event::CallTimeout { call: number });
        self.send(from, to, msg(number));
    }

    /// Calls the store. The call has an answer in any case; a write may take effect after it.
    pub(super) fn store(&mut self, i: usize, op: Op, then: Then) {
        let is_write = matches!(op, Op::Swap(..));
        let life = self.instances[i].life;
        let mut delay = Duration::from_micros(self.cx.rng.random_range(500..3_000));
        if self.fault(FaultKind::StoreSlow).is_some() {
            delay += Duration::from_millis(self.cx.rng.random_range(0..4_000));
        }
        let away = self.fault(FaultKind::StoreAway).is_some();
        let lost = is_write
            && self.fault(FaultKind::StoreRepliesLost).is_some()
            && self.cx.rng.random_bool(0.5);
        let in_time = delay < STORE_TIMEOUT && !away && !lost;
        if !in_time {
            let answer = if is_write { Answer::Unknown } else { Answer::Failed };
            let reply = Event::StoreReply { answer, then: then.clone() };
            self.after_in(i, STORE_TIMEOUT, reply);
        }
        if !away {
            let arrives = Event::StoreArrives { instance: i, life, op, then, answered: !in_time };
            self.after(delay, Target::World, arrives);
        }
    }

    fn on_store(&mut self, i: usize, life: u64, op: Op, then: Then, answered: bool) {
        let answer = match op {
            Op::Get(key) => {
                let stale = self.fault(FaultKind::StoreStale).is_some();
                let age = if stale { self.cx.rng.random_range(0..3) } else { 0 };
                self.store.get(key, age)
            }
            Op::Swap(key, expect, value) => self.on_swap(key, expect, value),
        };
        if !answered && self.runs(i, life) {
            let delay = Duration::from_micros(self.cx.rng.random_range(300..2_000));
            self.after_in(i, delay, Event::StoreReply { answer, then });
        }
    }

    fn on_swap(&mut self, key: Key, expect: u64, value: Value) -> Answer {
        let blind = self.is(InjectedBug::BlindLedger) && matches!(key, Key::Ledger(_));
        let answer = self.store.swap(key, expect, value.clone(), blind);
        if let (Key::Ledger(service), Value::Ledger(ledger), Answer::Done) = (key, &value, &answer)
        {
            let held = ledger.entries().iter().map(|e| super::instance::number(&e.server));
            let held = held.collect();
            self.record(Seen::Ledger { service, held });
        }
        answer
    }

    fn tick(&mut self, i: usize) {
        self.after_in(i, TICK, Event::Tick);
        self.tick_members(i);
        self.tick_guard(i);
        self.tick_roster(i);
        self.tick_ledger(i);
        self.tick_watch(i);
    }

    pub(super) fn handle(&mut self, target: Target, event: Event) {
        let i = match target {
            Target::World => 0,
            Target::Instance(i) | Target::Process(i, _) => i,
        };
        match event {
            Event::Tick => self.tick(i),
            Event::Announce { server } => {
                self.after_in(i, ANNOUNCE, Event::Announce { server });
                self.announce(i, server);
            }
            Event::Deliver { copy: true, .. } if !self.instances[i].up => {}
            Event::Deliver { from, msg, .. } => self.deliver(i, from, msg),
            Event::CallTimeout { call } => self.on_reply(i, call, Reply::Lost),
            Event::Settle { order, holder, outcome, attempt } => {
                self.settle(i, order, holder, outcome, attempt);
            }
            Event::FromCaller { order } => self.on_caller(i, order),
            Event::Retry { flight } => self.try_next(i, flight),
            Event::QueueTimeout { server, id } => self.leave_queue(i, server, id),
            Event::WorkTimeout { work } => self.on_work_timeout(i, work),
            Event::ServerDone { work, ok, whole } => self.on_server_done(i, work, ok, whole),
            Event::StoreReply { answer, then } => self.on_store_reply(i, answer, then),
            Event::StoreArrives { instance, life, op, then, answered } => {
                self.on_store(instance, life, op, then, answered);
            }
            Event::Propose { stale } => {
                self.store(i, Op::Get(Key::Head), Then::PlanBase { stale });
            }
            Event::Confirm(confirming) => self.step_confirm(i, *confirming),
            Event::StopCloses => self.advance_stop(i),
            Event::StopEnds { by } => self.end_stop(i, by),
            Event::Start { instance } => self.start_again(instance),
            Event::Caller { caller } => self.on_caller_due(caller),
            Event::Resend { order } => self.send_order(order),
            Event::Operator => self.on_operator_due(),
            Event::FaultBegins { index, fault } => self.on_fault(index, fault),
            Event::FaultEnds { index, fault } => self.on_fault_end(index, fault),
        }
    }

    fn deliver(&mut self, i: usize, from: usize, msg: Msg) {
        if !self.instances[i].up {
            if let Some(call) = msg.call() {
                let reply = Msg::Reply { call, reply: Reply::Unreached };
                self.send(i, from, reply);
            } else if matches!(msg, Msg::Member(_)) && self.instances[from].up {
                self.on_undelivered(from, i);
            }
            return;
        }
        match msg {
            Msg::Member(message) => self.on_member(i, from, *message),
            Msg::Exchange { call, epoch, young, about } => {
                let reply = self.answer_exchange(i, from, epoch, young, about);
                self.send(i, from, Msg::Reply { call, reply });
            }
            Msg::Claim { call, epoch, order, holder } => {
                let claim = self.claim_here(i, epoch, &order, holder);
                self.send(i, from, Msg::Reply { call, reply: Reply::Claim(claim) });
            }
            Msg::Settle { call, order, holder, outcome } => {
                self.settle_here(i, &order, holder, outcome);
                self.send(i, from, Msg::Reply { call, reply: Reply::Settled });
            }
            Msg::Pull { call, generation } => {
                let newer = self.newer_config(i, generation);
                self.send(i, from, Msg::Reply { call, reply: Reply::Config(newer) });
            }
            Msg::Hop { call, hop } => self.on_hop(i, from, call, *hop),
            Msg::Reply { call, reply } => self.on_reply(i, call, reply),
        }
    }

    /// Takes the first answer to a call; later ones belong to nothing.
    fn on_reply(&mut self, i: usize, call: u64, reply: Reply) {
        let Some((peer, pending)) = self.take_call(i, call) else { return };
        match pending {
            Call::Exchange { sent, about } => self.on_exchange(i, peer, sent, about, reply),
            Call::Claim { flight } => self.on_claim(i, flight, reply),
            Call::Settle { order, holder, outcome, attempt } => {
                if !matches!(reply, Reply::Settled) {
                    self.repeat_settle(i, order, holder, outcome, attempt);
                }
            }
            Call::Pull => self.on_pulled(i, reply),
            Call::Hop { flight, choice, started } => {
                self.on_hop_answer(i, flight, &choice, started, reply);
            }
        }
    }

    fn take_call(&mut self, i: usize, call: u64) -> Option<(usize, Call)> {
        let calls = &mut self.instances[i].calls;
        let answered = calls.get(&call)?;
        let (peer, is_hop) = (answered.0, matches!(answered.1, Call::Hop { .. }));
        if !is_hop || self.broken != Some(InjectedBug::AnswersInOrder) {
            return calls.remove(&call);
        }
        let same = |(_, (to, call)): &(&u64, &(usize, Call))| {
            *to == peer && matches!(call, Call::Hop { .. })
        };
        let oldest = calls.iter().find(same).map(|(number, _)| *number)?;
        calls.remove(&oldest)
    }

    fn on_store_reply(&mut self, i: usize, answer: Answer, then: Then) {
        match then {
            Then::RosterRead { leave } => self.on_roster_read(i, leave, answer),
            Then::RosterWritten { roster } => self.on_roster_written(i, *roster, answer),
            Then::LedgerRead => self.on_ledger_read(i, answer),
            Then::LedgerWritten => self.on_ledger_written(i, answer),
            Then::LedgerReviewed { service } => self.on_ledger_reviewed(i, service, answer),
            Then::HeadSeen => self.on_head_seen(i, answer),
            Then::PlanBase { stale } => self.on_plan_base(i, stale, answer),
            Then::Confirm(confirming) => self.on_confirm_reply(i, *confirming, answer),
        }
    }
}
