//! The guard of an instance and the backend servers beside it.

use super::broken::InjectedBug;
use super::events::{Event, HopAnswer, HopRequest, PeerMessage, Reply};
use super::fault::FaultKind;
use super::instance::{
    GuardRequest, GuardedServer, Instance, RunningRequest, StopPhase, service_id,
};
use super::record::Event as HistoryEvent;
use super::world::World;
use fescuemux_core::admit::{PermitId, PushOutcome, QueuedRequest};
use fescuemux_core::base::{Cx, RequestId, Verdict};
use fescuemux_core::dedup::Registration;
use fescuemux_core::detect::{Observation, Outcome, TrialOutcome};
use fescuemux_core::eject::{Action, Admission, HealthState, PermitAnswer, RequestKind};
use fescuemux_core::route::ServerLoad;
use rand::Rng as _;
use std::time::Duration;

/// Oldest signed time that a guard accepts, as on the wire.
const MAX_REQUEST_AGE: Duration = Duration::from_secs(30);
/// As in the guard of the daemon.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(3);

impl World {
    /// Takes an announcement of a backend server.
    pub(super) fn on_announcement(&mut self, i: usize, server: usize) {
        let phase = self.phases[server];
        let registration_id = self.next_id();
        let now = self.monotonic_now();
        let instance = self.instance(i);
        let known = instance.servers.get_mut(&server);
        let changed = known.as_ref().is_none_or(|known| known.phase != phase);
        match known {
            Some(known) => {
                known.announced = now;
                known.phase = phase;
                known.detector.on_phase(&mut instance.cx, phase);
            }
            None => {
                instance.servers.insert(server, GuardedServer::new(registration_id, now, phase));
            }
        }
        if changed {
            self.publish_servers(i);
        }
    }

    pub(super) fn tick_guard(&mut self, i: usize) {
        let indices: Vec<usize> = self.instances[i].servers.keys().copied().collect();
        let mut removed_any = false;
        for server in indices {
            let actions = self.with_server(i, server, |cx, known| {
                let mut actions = assess(cx, known);
                actions.extend(known.health.tick(cx));
                actions
            });
            self.apply_actions(i, server, actions);
            let now = self.monotonic_now();
            let servers = &mut self.instances[i].servers;
            let last = servers.get(&server).map(|known| known.announced);
            if last.is_some_and(|at| now.saturating_duration_since(at) > ANNOUNCEMENT_TIMEOUT) {
                removed_any = true;
                self.remove_server(i, server);
            }
        }
        if removed_any {
            self.publish_servers(i);
        }
    }

    /// Takes off a silent server. Its queue stays until its requests expire.
    fn remove_server(&mut self, i: usize, server: usize) {
        let Some(known) = self.instances[i].servers.remove(&server) else { return };
        if known.health.state() == HealthState::Ejected {
            self.record(HistoryEvent::Refusing { server, all: false });
        }
        let mut queue = known.queue;
        let mut cx = self.instance(i).cx.clone();
        let mut waiting = vec![];
        while let Some(next) = queue.pop(&mut cx, &mut waiting) {
            waiting.push(next);
        }
        for next in waiting {
            self.refuse(i, &next.item, Verdict::NotRun);
        }
    }

    /// Runs a decision on a server with the context of its instance.
    pub(super) fn with_server(
        &mut self,
        i: usize,
        server: usize,
        f: impl FnOnce(&mut Cx, &mut GuardedServer) -> Vec<Action>,
    ) -> Vec<Action> {
        let instance = self.instance(i);
        let Some(known) = instance.servers.get_mut(&server) else { return vec![] };
        let actions = f(&mut instance.cx, known);
        if actions.contains(&Action::ResetEvidence) {
            known.detector.reset_evidence(&mut instance.cx);
        }
        actions
    }

    pub(super) fn apply_actions(&mut self, i: usize, server: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::ResetEvidence => {}
                Action::RequestPermit if self.has_bug(InjectedBug::EjectAlone) => {
                    let granted = PermitAnswer::Granted;
                    let actions = self.with_server(i, server, |cx, known| {
                        known.health.on_permit_answer(cx, granted)
                    });
                    self.apply_actions(i, server, actions);
                }
                Action::RequestPermit => self.queue_ledger_change(i, server, true),
                Action::ReleasePermit => self.queue_ledger_change(i, server, false),
                Action::Publish { from, to } => {
                    if to == HealthState::Ejected || from == HealthState::Ejected {
                        self.record(HistoryEvent::Refusing {
                            server,
                            all: to == HealthState::Ejected,
                        });
                    }
                    self.publish_servers(i);
                }
            }
        }
    }

    /// Takes a request of an ingress.
    pub(super) fn on_hop_request(&mut self, i: usize, from: usize, call: u64, hop: HopRequest) {
        let wall_clock = self.wall_clock(i);
        let age = wall_clock
            .duration_since(hop.signed_at)
            .or_else(|_| hop.signed_at.duration_since(wall_clock));
        if age.is_ok_and(|age| age > MAX_REQUEST_AGE) {
            // Not authentic: the ingress learns nothing from it.
            let answer = verdict_only(Verdict::MayHaveRun);
            self.send(i, from, PeerMessage::Reply { call, reply: Reply::HopAnswer(answer) });
            return;
        }
        let deadline = self.monotonic_now() + hop.deadline;
        let item = GuardRequest { hop, from, call, deadline };
        if let Err(verdict) = self.check_hop(i, &item.hop) {
            self.send_answer(i, &item, verdict_only(verdict));
            return;
        }
        if let Err(item) = self.admit(i, item) {
            self.refuse(i, &item, Verdict::NotRun);
        }
    }

    fn check_hop(&mut self, i: usize, hop: &HopRequest) -> Result<(), Verdict> {
        let deduplicates = !self.has_bug(InjectedBug::NoRequestTable);
        let instance = self.instance(i);
        let is_known = instance.servers.contains_key(&hop.server);
        let closed = instance.stop >= StopPhase::Closing;
        if closed || hop.incarnation != instance.incarnation || !is_known {
            return Err(Verdict::NotRun);
        }
        if !deduplicates {
            return Ok(());
        }
        match instance.request_table.register(&instance.cx, hop.id, hop.attempt) {
            Some(Registration::New) => Ok(()),
            Some(Registration::Duplicate(verdict)) => Err(verdict),
            None => Err(Verdict::NotRun),
        }
    }

    /// Lets a request start or wait. Returns one that is refused as not run.
    fn admit(&mut self, i: usize, item: GuardRequest) -> Result<(), Box<GuardRequest>> {
        let server = item.hop.server;
        let ignores_draining = self.has_bug(InjectedBug::IgnoreDraining);
        let instance = self.instance(i);
        let cx = &mut instance.cx;
        let Some(known) = instance.servers.get_mut(&server) else { return Err(Box::new(item)) };
        if known.refuses_work(cx.now) && !ignores_draining {
            return Err(Box::new(item));
        }
        if let Some(baseline) = item.hop.baseline {
            known.detector.on_baseline(cx, baseline);
        }
        let idempotent = item.hop.request.service == 0;
        if known.health.admit(cx, item.hop.kind, idempotent) != Admission::Admit {
            return Err(Box::new(item));
        }
        let trial = item.hop.kind == RequestKind::Trial;
        if known.queue.is_empty() {
            if !known.queue.can_finish(cx.now, item.deadline) {
                self.report_trial(i, server, trial, TrialOutcome::Unknown);
                return Err(Box::new(item));
            }
            if let Some(permit) = known.slots.acquire(item.hop.id) {
                self.start_request(i, item, permit);
                return Ok(());
            }
        }
        self.enqueue(i, item, trial)
    }

    fn enqueue(
        &mut self,
        i: usize,
        item: GuardRequest,
        trial: bool,
    ) -> Result<(), Box<GuardRequest>> {
        let (server, id, deadline) = (item.hop.server, item.hop.id, item.deadline);
        let instance = self.instance(i);
        let Some(known) = instance.servers.get_mut(&server) else { return Err(Box::new(item)) };
        let limit = known.slots.limit();
        let caller = format!("c{}", item.hop.request.op % 8).into();
        let waiting = QueuedRequest { id, caller, priority: 155, cost: 1, deadline, item };
        match known.queue.push(&mut instance.cx, limit, waiting) {
            Ok(pushed) => {
                let left = deadline.saturating_duration_since(self.monotonic_now());
                self.schedule_for_process(i, left, Event::QueueTimeout { server, id });
                if let PushOutcome::Displaced(other) = pushed {
                    self.refuse(i, &other.item, Verdict::NotRun);
                }
                Ok(())
            }
            Err(refused) => {
                self.report_trial(i, server, trial, TrialOutcome::Unknown);
                Err(Box::new(refused.request.item))
            }
        }
    }

    pub(super) fn on_queue_timeout(&mut self, i: usize, server: usize, id: RequestId) {
        let known = self.instances[i].servers.get_mut(&server);
        if let Some(late) = known.and_then(|known| known.queue.remove(id)) {
            let trial = late.item.hop.kind == RequestKind::Trial;
            self.report_trial(i, server, trial, TrialOutcome::Unknown);
            self.refuse(i, &late.item, Verdict::NotRun);
        }
    }

    fn report_trial(&mut self, i: usize, server: usize, trial: bool, end: TrialOutcome) {
        if trial {
            let actions =
                self.with_server(i, server, |cx, known| known.health.on_trial_end(cx, end));
            self.apply_actions(i, server, actions);
        }
    }

    /// Sends a request to its backend server, which runs it at once.
    fn start_request(&mut self, i: usize, item: GuardRequest, permit: PermitId) {
        let (server, id) = (item.hop.server, item.hop.id);
        let number = self.next_id();
        let left = item.deadline.saturating_duration_since(self.monotonic_now());
        let (op, send) = (item.hop.request.op, item.hop.request.send);
        let instance = self.instance(i);
        let Some(known) = instance.servers.get_mut(&server) else { return };
        known.detector.on_start(&mut instance.cx, id);
        let started = instance.cx.now;
        let work = RunningRequest {
            item,
            permit,
            registration_id: known.registration_id,
            started,
            open: true,
        };
        instance.running.insert(number, work);
        self.record(HistoryEvent::Executed { server, op, send });
        self.schedule_for_process(i, left, Event::RequestTimeout { work: number });
        let affects_server = |world: &World, kind| {
            world.active_fault(kind).is_some_and(|fault| fault.affects_server(server))
        };
        if affects_server(self, FaultKind::ServersSilent) {
            return;
        }
        let mut time = Duration::from_millis(self.cx.rng.random_range(15..60));
        if affects_server(self, FaultKind::ServersSlow) {
            time *= 12;
        }
        let fails =
            affects_server(self, FaultKind::ServersErroring) && self.cx.rng.random_bool(0.7);
        let whole = !fails || self.cx.rng.random_bool(0.5);
        self.schedule_for_process(i, time, Event::ServerDone { work: number, ok: !fails, whole });
    }

    pub(super) fn on_server_done(&mut self, i: usize, number: u64, ok: bool, whole: bool) {
        let Some(work) = self.instances[i].running.remove(&number) else { return };
        let outcome = match (ok, whole) {
            (_, false) => Outcome::Cut,
            (false, true) => Outcome::ServerError,
            (true, true) => Outcome::Ok,
        };
        self.finish_request(i, &work, outcome);
        if !whole && !self.has_bug(InjectedBug::CutAnswer) {
            self.refuse(i, &work.item, Verdict::MayHaveRun);
            return;
        }
        let mut answer = self.answer_with_status(i, work.item.hop.server, Verdict::Ran);
        answer.body = Some((work.item.hop.request.send, whole, ok));
        answer.service_time = self.monotonic_now().saturating_duration_since(work.started);
        self.send_answer(i, &work.item, answer);
    }

    pub(super) fn on_request_timeout(&mut self, i: usize, number: u64) {
        let Some(work) = self.instances[i].running.remove(&number) else { return };
        self.finish_request(i, &work, Outcome::DeadlineMissed);
        let broken = self.has_bug(InjectedBug::LateIsNotRun);
        let verdict = if broken { Verdict::NotRun } else { Verdict::MayHaveRun };
        self.refuse(i, &work.item, verdict);
    }

    /// Reports the outcome, frees the slot and lets the next requests start.
    fn finish_request(&mut self, i: usize, work: &RunningRequest, outcome: Outcome) {
        let server = work.item.hop.server;
        let trial = work.item.hop.kind == RequestKind::Trial;
        let latency = self.monotonic_now().saturating_duration_since(work.started);
        let observation = Observation { id: work.item.hop.id, outcome, latency };
        let (registration_id, permit) = (work.registration_id, work.permit);
        let actions = self.with_server(i, server, |cx, known| {
            if known.registration_id != registration_id {
                return vec![];
            }
            known.detector.on_finish(cx, observation);
            known.queue.record_service_time(latency);
            let mut actions = vec![];
            if trial {
                let end = known.detector.classify_trial(&observation);
                actions = known.health.on_trial_end(cx, end);
            }
            actions.extend(assess(cx, known));
            known.slots.release(permit);
            actions
        });
        self.apply_actions(i, server, actions);
        self.grant_free_slots(i, server);
    }

    fn grant_free_slots(&mut self, i: usize, server: usize) {
        let ignores_draining = self.has_bug(InjectedBug::IgnoreDraining);
        loop {
            let Instance { servers, cx, .. } = self.instance(i);
            let Some(known) = servers.get_mut(&server) else { return };
            if known.refuses_work(cx.now) && !ignores_draining {
                self.refuse_waiting(i, server);
                return;
            }
            if known.slots.free() == 0 {
                return;
            }
            let mut late = vec![];
            let next = known.queue.pop(cx, &mut late);
            let granted = next.map(|next| (known.slots.acquire(next.id), next));
            for other in late {
                self.refuse(i, &other.item, Verdict::NotRun);
            }
            match granted {
                Some((Some(permit), next)) => self.start_request(i, next.item, permit),
                _ => return,
            }
        }
    }

    /// Answers all waiting requests of a server that takes no more work as not run.
    pub(super) fn refuse_waiting(&mut self, i: usize, server: usize) {
        loop {
            let Some(known) = self.instance(i).servers.get_mut(&server) else { return };
            let Some(waiting) = known.queue.pop_any() else { return };
            self.refuse(i, &waiting.item, Verdict::NotRun);
        }
    }

    fn answer_with_status(&self, i: usize, server: usize, verdict: Verdict) -> HopAnswer {
        let known = self.instances[i].servers.get(&server);
        let mut answer = verdict_only(verdict);
        answer.health = known.map(|known| known.health.state());
        answer.load = known.map(|known| ServerLoad {
            busy: known.slots.busy(),
            slots: known.slots.limit(),
            queued: known.queue.len() as u32,
        });
        answer
    }

    fn refuse(&mut self, i: usize, item: &GuardRequest, verdict: Verdict) {
        let answer = self.answer_with_status(i, item.hop.server, verdict);
        self.send_answer(i, item, answer);
    }

    fn send_answer(&mut self, i: usize, item: &GuardRequest, answer: HopAnswer) {
        self.instances[i].request_table.finish(item.hop.id, item.hop.attempt, answer.verdict);
        let reply = Reply::HopAnswer(answer);
        self.send(i, item.from, PeerMessage::Reply { call: item.call, reply });
    }

    /// Returns the services of which this guard may hold an entry in a ledger.
    pub(super) fn services_with_permit(&self, i: usize) -> Vec<usize> {
        let servers = self.instances[i].servers.iter();
        let held = servers.filter(|(_, known)| known.health.may_hold_permit());
        held.map(|(server, _)| server % 2).collect()
    }

    /// Returns the capacity of a service as the membership of an instance shows it.
    pub(super) fn capacity(
        &self,
        i: usize,
        service: usize,
    ) -> fescuemux_core::eject::ServiceCapacity {
        use fescuemux_core::eject::{ServerCapacity, ServiceCapacity};
        use fescuemux_core::member::MemberState;
        let instance = &self.instances[i];
        let id = service_id(service);
        let known = instance.config.as_ref().and_then(|config| config.services.get(&id));
        let mut capacity = ServiceCapacity::new(known.map_or(u32::MAX, |s| s.floor_slots));
        for record in instance.membership.members() {
            for server in record.servers.iter().filter(|server| server.service == id) {
                let alive = record.state == MemberState::Alive;
                let slots = u32::from(server.slots);
                let of_server = ServerCapacity { slots, phase: server.phase, alive };
                capacity.set(server.server.clone(), of_server);
            }
        }
        capacity
    }
}

fn assess(cx: &mut Cx, known: &mut GuardedServer) -> Vec<Action> {
    let assessment = known.detector.assess(cx);
    known.health.on_assessment(cx, &assessment)
}

fn verdict_only(verdict: Verdict) -> HopAnswer {
    HopAnswer { verdict, body: None, load: None, health: None, service_time: Duration::ZERO }
}
