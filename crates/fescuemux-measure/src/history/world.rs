//! Discrete-event simulation: virtual clock, event queue, network and store calls with faults.

use super::broken::InjectedBug;
use super::check::{INSTANCES, SERVERS};
use super::events::{Event, PeerMessage, Reply, ScheduledEvent, StoreContinuation, Target};
use super::fault::{Fault, FaultKind};
use super::instance::{Instance, PendingCall};
use super::record::{Event as HistoryEvent, HistoryEntry};
use super::store::{MemoryStore, RecordKey, RecordValue, StoreAnswer, StoreOp};
use fescuemux_core::base::{Cx, Phase};
use fescuemux_core::dedup::ClockReading;
use rand::Rng as _;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant, SystemTime};

/// Unix time of the start of a run.
const START_WALL_TIME: Duration = Duration::from_secs(1_700_000_000);
/// Timeout of a store call; the default of the daemon's settings.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for opening a connection to another instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest offset of a wall clock. Two clocks then differ by less than 2 s, which is permitted.
const MAX_CLOCK_OFFSET_MS: i64 = 950;
/// Interval between ticks of an instance's components.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between announcements of a backend server.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);

/// State of one simulated run.
#[derive(Debug)]
pub(super) struct World {
    pub(super) cx: Cx,
    pub(super) start: Instant,
    pub(super) now: Duration,
    pub(super) bug: Option<InjectedBug>,
    pub(super) faults: Vec<Fault>,
    pub(super) instances: Vec<Instance>,
    /// Phase that each backend server announces.
    pub(super) phases: [Phase; SERVERS],
    pub(super) store: MemoryStore,
    pub(super) history: Vec<HistoryEntry>,
    pub(super) last_id: u64,
    /// Wall clock offsets of the instances, then of the callers.
    clock_offsets_ms: Vec<i64>,
    pub(super) paused_until: [Duration; INSTANCES],
    queue: BinaryHeap<ScheduledEvent>,
    last_sequence: u64,
}

impl World {
    pub(super) fn new(seed: u64, kinds: &[FaultKind], bug: Option<InjectedBug>) -> World {
        let start = Instant::now();
        let mut cx = Cx::new(start, seed);
        let faults = match kinds {
            [] => Fault::random(&mut cx.rng),
            kinds => Fault::random_of_kinds(&mut cx.rng, kinds),
        };
        let clock_offsets_ms = (0..16)
            .map(|_| cx.rng.random_range(-MAX_CLOCK_OFFSET_MS..=MAX_CLOCK_OFFSET_MS))
            .collect();
        let mut world = World {
            cx,
            start,
            now: Duration::ZERO,
            bug,
            faults,
            instances: vec![],
            phases: [Phase::Ready; SERVERS],
            store: MemoryStore::default(),
            history: vec![],
            last_id: 0,
            clock_offsets_ms,
            paused_until: [Duration::ZERO; INSTANCES],
            queue: BinaryHeap::new(),
            last_sequence: 0,
        };
        for (index, fault) in world.faults.clone().into_iter().enumerate() {
            world.schedule_at(fault.from, Target::World, Event::FaultBegins { index, fault });
            world.schedule_at(fault.end(), Target::World, Event::FaultEnds { index, fault });
        }
        for index in 0..INSTANCES {
            let instance = world.new_process(index, 0);
            world.instances.push(instance);
            world.start_process(index);
        }
        world
    }

    pub(super) fn has_bug(&self, bug: InjectedBug) -> bool {
        self.bug == Some(bug)
    }

    pub(super) fn monotonic_now(&self) -> Instant {
        self.start + self.now
    }

    /// Returns the wall-clock time of instance `i`, or of caller `i - INSTANCES`.
    pub(super) fn wall_clock(&self, i: usize) -> SystemTime {
        let ms = (START_WALL_TIME + self.now).as_millis() as i64 + self.clock_offsets_ms[i];
        SystemTime::UNIX_EPOCH + Duration::from_millis(ms as u64)
    }

    pub(super) fn clock_reading(&self, i: usize) -> ClockReading {
        ClockReading { monotonic: self.monotonic_now(), wall: self.wall_clock(i) }
    }

    pub(super) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    pub(super) fn record(&mut self, event: HistoryEvent) {
        self.history.push(HistoryEntry { at: self.now, event });
    }

    /// Returns an instance after setting its context to the current time.
    pub(super) fn instance(&mut self, i: usize) -> &mut Instance {
        let now = self.monotonic_now();
        let instance = &mut self.instances[i];
        instance.cx.now = now;
        instance
    }

    fn schedule_at(&mut self, at: Duration, target: Target, event: Event) {
        self.last_sequence += 1;
        self.queue.push(ScheduledEvent { at, sequence: self.last_sequence, target, event });
    }

    pub(super) fn schedule_after(&mut self, delay: Duration, target: Target, event: Event) {
        self.schedule_at(self.now + delay, target, event);
    }

    /// Schedules an event for the current process of an instance.
    pub(super) fn schedule_for_process(&mut self, i: usize, delay: Duration, event: Event) {
        let target = Target::Process(i, self.instances[i].process_id);
        self.schedule_after(delay, target, event);
    }

    /// Returns the next event that is due by `end`. Drops events for a process that has ended, and
    /// postpones events for a paused process to the end of its pause.
    pub(super) fn next_event(&mut self, end: Duration) -> Option<(Target, Event)> {
        while let Some(next) = self.queue.pop() {
            if next.at > end {
                return None;
            }
            self.now = next.at;
            if let Target::Instance(i) | Target::Process(i, _) = next.target
                && self.paused_until[i] > self.now
            {
                self.schedule_at(self.paused_until[i], next.target, next.event);
                continue;
            }
            match next.target {
                Target::Process(i, process_id) if !self.is_running(i, process_id) => {}
                target => return Some((target, next.event)),
            }
        }
        None
    }

    fn is_running(&self, i: usize, process_id: u64) -> bool {
        self.instances[i].is_up && self.instances[i].process_id == process_id
    }

    pub(super) fn active_fault(&self, kind: FaultKind) -> Option<&Fault> {
        self.faults.iter().find(|f| f.kind == kind && f.is_active(self.now))
    }

    fn is_link_cut(&self, from: usize, to: usize) -> bool {
        self.faults.iter().any(|f| f.is_active(self.now) && f.drops_messages(from, to))
    }

    /// Sends a message. If the link is cut in either direction, half of the messages need a new
    /// connection, which cannot be opened. The others use an open connection; they are lost without
    /// notice if the link is cut in their direction, and arrive otherwise.
    pub(super) fn send(&mut self, from: usize, to: usize, msg: PeerMessage) {
        let dropped = self.is_link_cut(from, to);
        let cut_either_way = dropped || self.is_link_cut(to, from);
        if cut_either_way && self.cx.rng.random_bool(0.5) {
            if let Some(call_id) = msg.call_id() {
                let reply = PeerMessage::Reply { call_id, reply: Reply::ConnectFailed };
                self.schedule_for_process(
                    from,
                    CONNECT_TIMEOUT,
                    Event::Deliver { from: to, msg: reply, is_duplicate: false },
                );
            }
            return;
        }
        let mut delay = Duration::from_micros(self.cx.rng.random_range(300..1_500));
        if self.active_fault(FaultKind::Delay).is_some() && self.cx.rng.random_bool(0.5) {
            delay += Duration::from_millis(self.cx.rng.random_range(0..1_000));
        }
        if self.active_fault(FaultKind::Reorder).is_some() {
            delay += Duration::from_millis(self.cx.rng.random_range(0..60));
        }
        if self.active_fault(FaultKind::Duplicate).is_some() && self.cx.rng.random_bool(0.3) {
            let max_extra_ms = if self.cx.rng.random_bool(0.1) { 40_000 } else { 500 };
            let duplicate_delay =
                delay + Duration::from_millis(self.cx.rng.random_range(0..max_extra_ms));
            let duplicate = Event::Deliver { from, msg: msg.clone(), is_duplicate: true };
            self.schedule_after(duplicate_delay, Target::Instance(to), duplicate);
        }
        if !dropped {
            self.schedule_after(
                delay,
                Target::Instance(to),
                Event::Deliver { from, msg, is_duplicate: false },
            );
        }
    }

    /// Sends a message and waits for its reply for at most `timeout`.
    pub(super) fn call(
        &mut self,
        from: usize,
        to: usize,
        timeout: Duration,
        pending: PendingCall,
        new_message: impl FnOnce(u64) -> PeerMessage,
    ) {
        let call_id = self.next_id();
        self.instances[from].calls.insert(call_id, (to, pending));
        self.schedule_for_process(from, timeout, Event::CallTimeout { call_id });
        self.send(from, to, new_message(call_id));
    }

    /// Calls the store. A running instance gets an answer in any case, at the latest a few
    /// milliseconds after [`STORE_TIMEOUT`]; a write may take effect even later.
    pub(super) fn call_store(&mut self, i: usize, op: StoreOp, continuation: StoreContinuation) {
        let is_write = matches!(op, StoreOp::Swap(..));
        let process_id = self.instances[i].process_id;
        let mut delay = Duration::from_micros(self.cx.rng.random_range(500..3_000));
        if self.active_fault(FaultKind::StoreSlow).is_some() {
            delay += Duration::from_millis(self.cx.rng.random_range(0..4_000));
        }
        let unavailable = self.active_fault(FaultKind::StoreAway).is_some();
        let reply_lost = is_write
            && self.active_fault(FaultKind::StoreRepliesLost).is_some()
            && self.cx.rng.random_bool(0.5);
        let in_time = delay < STORE_TIMEOUT && !unavailable && !reply_lost;
        if !in_time {
            let answer = if is_write { StoreAnswer::Unknown } else { StoreAnswer::Failed };
            let reply = Event::StoreReply { answer, continuation: continuation.clone() };
            self.schedule_for_process(i, STORE_TIMEOUT, reply);
        }
        if !unavailable {
            let arrives = Event::StoreCallArrives {
                instance: i,
                process_id,
                op,
                continuation,
                answer_scheduled: !in_time,
            };
            self.schedule_after(delay, Target::World, arrives);
        }
    }

    fn apply_store_call(
        &mut self,
        i: usize,
        process_id: u64,
        op: StoreOp,
        continuation: StoreContinuation,
        answer_scheduled: bool,
    ) {
        let answer = match op {
            StoreOp::Get(key) => {
                let stale = self.active_fault(FaultKind::StoreStale).is_some();
                let age = if stale { self.cx.rng.random_range(0..3) } else { 0 };
                self.store.get(key, age)
            }
            StoreOp::Swap(key, expected_version, value) => {
                self.on_swap(key, expected_version, value)
            }
        };
        if !answer_scheduled && self.is_running(i, process_id) {
            let delay = Duration::from_micros(self.cx.rng.random_range(300..2_000));
            self.schedule_for_process(i, delay, Event::StoreReply { answer, continuation });
        }
    }

    fn on_swap(
        &mut self,
        key: RecordKey,
        expected_version: u64,
        value: RecordValue,
    ) -> StoreAnswer {
        let unconditional =
            self.has_bug(InjectedBug::BlindLedger) && matches!(key, RecordKey::Ledger(_));
        let answer = self.store.swap(key, expected_version, value.clone(), unconditional);
        if let (RecordKey::Ledger(service), RecordValue::Ledger(ledger), StoreAnswer::Done) =
            (key, &value, &answer)
        {
            let held = ledger.entries().iter().map(|e| super::instance::index_of(&e.server));
            let held = held.collect();
            self.record(HistoryEvent::Ledger { service, held });
        }
        answer
    }

    fn tick(&mut self, i: usize) {
        self.schedule_for_process(i, TICK_INTERVAL, Event::Tick);
        self.tick_membership(i);
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
                self.schedule_for_process(i, ANNOUNCEMENT_INTERVAL, Event::Announce { server });
                self.on_announcement(i, server);
            }
            Event::Deliver { is_duplicate: true, .. } if !self.instances[i].is_up => {}
            Event::Deliver { from, msg, .. } => self.deliver(i, from, msg),
            Event::CallTimeout { call_id } => self.on_reply(i, call_id, Reply::TimedOut),
            Event::Settle { request, holder, outcome, attempt } => {
                self.settle(i, request, holder, outcome, attempt);
            }
            Event::CallerRequestArrives { request } => self.on_caller_request(i, request),
            Event::Retry { flight_id } => self.send_attempt(i, flight_id),
            Event::QueueTimeout { server, id } => self.on_queue_timeout(i, server, id),
            Event::RequestTimeout { running_id } => self.on_request_timeout(i, running_id),
            Event::ServerDone { running_id, ok, complete } => {
                self.on_server_done(i, running_id, ok, complete)
            }
            Event::StoreReply { answer, continuation } => {
                self.on_store_reply(i, answer, continuation)
            }
            Event::StoreCallArrives {
                instance,
                process_id,
                op,
                continuation,
                answer_scheduled,
            } => {
                self.apply_store_call(instance, process_id, op, continuation, answer_scheduled);
            }
            Event::RequestPlan { confirm_late } => {
                self.call_store(
                    i,
                    StoreOp::Get(RecordKey::Head),
                    StoreContinuation::PlanBase { confirm_late },
                );
            }
            Event::Confirm(task) => self.step_confirm(i, *task),
            Event::AdvanceStop => self.advance_stop(i),
            Event::PollStop { deadline } => self.poll_stop(i, deadline),
            Event::StartInstance { instance } => self.restart_process(instance),
            Event::CallerDue { caller } => self.on_caller_due(caller),
            Event::Resend { request } => self.send_request(request),
            Event::OperatorDue => self.on_operator_due(),
            Event::FaultBegins { index, fault } => self.on_fault(index, fault),
            Event::FaultEnds { index, fault } => self.on_fault_end(index, fault),
        }
    }

    fn deliver(&mut self, i: usize, from: usize, msg: PeerMessage) {
        if !self.instances[i].is_up {
            if let Some(call_id) = msg.call_id() {
                let reply = PeerMessage::Reply { call_id, reply: Reply::ConnectFailed };
                self.send(i, from, reply);
            } else if matches!(msg, PeerMessage::Member(_)) && self.instances[from].is_up {
                self.on_undelivered(from, i);
            }
            return;
        }
        match msg {
            PeerMessage::Member(message) => self.on_membership_message(i, from, *message),
            PeerMessage::Exchange { call_id, epoch, unsettled, silent_home } => {
                let reply = self.answer_exchange(i, from, epoch, unsettled, silent_home);
                self.send(i, from, PeerMessage::Reply { call_id, reply });
            }
            PeerMessage::Claim { call_id, epoch, request, holder } => {
                let claim = self.claim_locally(i, epoch, &request, holder);
                self.send(i, from, PeerMessage::Reply { call_id, reply: Reply::Claim(claim) });
            }
            PeerMessage::Settle { call_id, request, holder, outcome } => {
                self.settle_locally(i, &request, holder, outcome);
                self.send(i, from, PeerMessage::Reply { call_id, reply: Reply::Settled });
            }
            PeerMessage::Pull { call_id, generation } => {
                let newer = self.newer_config(i, generation);
                self.send(i, from, PeerMessage::Reply { call_id, reply: Reply::Config(newer) });
            }
            PeerMessage::HopRequest { call_id, hop } => self.on_hop_request(i, from, call_id, *hop),
            PeerMessage::Reply { call_id, reply } => self.on_reply(i, call_id, reply),
        }
    }

    /// Handles the first reply to a call and ignores later ones.
    fn on_reply(&mut self, i: usize, call_id: u64, reply: Reply) {
        let Some((peer, pending)) = self.take_call(i, call_id) else { return };
        match pending {
            PendingCall::Exchange { sent, silent_home } => {
                self.on_exchange(i, peer, sent, silent_home, reply)
            }
            PendingCall::Claim { flight_id } => self.on_claim(i, flight_id, reply),
            PendingCall::Settle { request, holder, outcome, attempt } => {
                if !matches!(reply, Reply::Settled) {
                    self.retry_settle(i, request, holder, outcome, attempt);
                }
            }
            PendingCall::Pull => self.on_pulled(i, reply),
            PendingCall::HopRequest { flight_id, choice, started } => {
                self.on_hop_answer(i, flight_id, &choice, started, reply);
            }
        }
    }

    /// Removes and returns the pending call that a reply belongs to, with its recipient.
    fn take_call(&mut self, i: usize, call_id: u64) -> Option<(usize, PendingCall)> {
        let calls = &mut self.instances[i].calls;
        let pending = calls.get(&call_id)?;
        let (peer, is_hop) = (pending.0, matches!(pending.1, PendingCall::HopRequest { .. }));
        if !is_hop || self.bug != Some(InjectedBug::AnswersInOrder) {
            return calls.remove(&call_id);
        }
        let is_hop_to_peer = |(_, (to, pending)): &(&u64, &(usize, PendingCall))| {
            *to == peer && matches!(pending, PendingCall::HopRequest { .. })
        };
        let oldest = calls.iter().find(is_hop_to_peer).map(|(id, _)| *id)?;
        calls.remove(&oldest)
    }

    fn on_store_reply(&mut self, i: usize, answer: StoreAnswer, continuation: StoreContinuation) {
        match continuation {
            StoreContinuation::RosterRead { leave } => self.on_roster_read(i, leave, answer),
            StoreContinuation::RosterWritten { roster } => {
                self.on_roster_written(i, *roster, answer)
            }
            StoreContinuation::LedgerRead => self.on_ledger_read(i, answer),
            StoreContinuation::LedgerWritten => self.on_ledger_written(i, answer),
            StoreContinuation::LedgerReviewed { service } => {
                self.on_ledger_reviewed(i, service, answer)
            }
            StoreContinuation::HeadRead => self.on_head_read(i, answer),
            StoreContinuation::PlanBase { confirm_late } => {
                self.on_plan_base(i, confirm_late, answer)
            }
            StoreContinuation::Confirm(task) => self.on_confirm_reply(i, *task, answer),
        }
    }
}
