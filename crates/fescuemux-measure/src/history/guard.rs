//! The guard of an instance and its backend servers.

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

/// Largest difference between the signed time of a request and the guard's clock, as in
/// `fescuemux-wire`.
const MAX_REQUEST_AGE: Duration = Duration::from_secs(30);
/// Time without announcements after which a server is removed, as in the daemon's guard.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(3);

impl World {
    /// Handles an announcement of a backend server.
    pub(super) fn on_announcement(&mut self, i: usize, server: usize) {
        let phase = self.phases[server];
        let registration_id = self.next_id();
        let now = self.monotonic_now();
        let instance = self.instance(i);
        let guarded = instance.servers.get_mut(&server);
        let changed = guarded.as_ref().is_none_or(|guarded| guarded.phase != phase);
        match guarded {
            Some(guarded) => {
                guarded.last_announcement = now;
                guarded.phase = phase;
                guarded.detector.on_phase(&mut instance.cx, phase);
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
            let actions = self.with_server(i, server, |cx, guarded| {
                let mut actions = assess(cx, guarded);
                actions.extend(guarded.health.tick(cx));
                actions
            });
            self.apply_actions(i, server, actions);
            let now = self.monotonic_now();
            let servers = &mut self.instances[i].servers;
            let last = servers.get(&server).map(|guarded| guarded.last_announcement);
            if last.is_some_and(|at| now.saturating_duration_since(at) > ANNOUNCEMENT_TIMEOUT) {
                removed_any = true;
                self.remove_server(i, server);
            }
        }
        if removed_any {
            self.publish_servers(i);
        }
    }

    /// Removes a server that stopped announcing itself and answers its queued requests with "not
    /// run".
    fn remove_server(&mut self, i: usize, server: usize) {
        let Some(guarded) = self.instances[i].servers.remove(&server) else { return };
        if guarded.health.state() == HealthState::Ejected {
            self.record(HistoryEvent::Refusing { server, all: false });
        }
        let mut queue = guarded.queue;
        let mut cx = self.instance(i).cx.clone();
        let mut to_refuse = vec![];
        while let Some(next) = queue.pop(&mut cx, &mut to_refuse) {
            to_refuse.push(next);
        }
        for queued in to_refuse {
            self.refuse(i, &queued.item, Verdict::NotRun);
        }
    }

    /// Calls `f` with the state of a server and the context of its instance, and returns the
    /// actions to apply. [`Action::ResetEvidence`] is already applied.
    pub(super) fn with_server(
        &mut self,
        i: usize,
        server: usize,
        f: impl FnOnce(&mut Cx, &mut GuardedServer) -> Vec<Action>,
    ) -> Vec<Action> {
        let instance = self.instance(i);
        let Some(guarded) = instance.servers.get_mut(&server) else { return vec![] };
        let actions = f(&mut instance.cx, guarded);
        if actions.contains(&Action::ResetEvidence) {
            guarded.detector.reset_evidence(&mut instance.cx);
        }
        actions
    }

    pub(super) fn apply_actions(&mut self, i: usize, server: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::ResetEvidence => {}
                Action::RequestPermit if self.has_bug(InjectedBug::EjectAlone) => {
                    let granted = PermitAnswer::Granted;
                    let actions = self.with_server(i, server, |cx, guarded| {
                        guarded.health.on_permit_answer(cx, granted)
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

    /// Handles a request of an ingress.
    pub(super) fn on_hop_request(&mut self, i: usize, from: usize, call_id: u64, hop: HopRequest) {
        let wall_clock = self.wall_clock(i);
        let age = wall_clock
            .duration_since(hop.signed_at)
            .or_else(|_| hop.signed_at.duration_since(wall_clock));
        if age.is_ok_and(|age| age > MAX_REQUEST_AGE) {
            // The guard does not accept such a request as authentic, so its answer reveals nothing.
            let answer = verdict_only(Verdict::MayHaveRun);
            self.send(i, from, PeerMessage::Reply { call_id, reply: Reply::HopAnswer(answer) });
            return;
        }
        let deadline = self.monotonic_now() + hop.time_to_deadline;
        let item = GuardRequest { hop, from, call_id, deadline };
        if let Err(verdict) = self.check_hop(i, &item.hop) {
            self.send_answer(i, &item, verdict_only(verdict));
            return;
        }
        if let Err(item) = self.admit(i, item) {
            self.refuse(i, &item, Verdict::NotRun);
        }
    }

    /// Checks whether a request may be admitted and registers its id.
    ///
    /// # Errors
    ///
    /// Returns the verdict to answer with if the request must not be admitted.
    fn check_hop(&mut self, i: usize, hop: &HopRequest) -> Result<(), Verdict> {
        let deduplicates = !self.has_bug(InjectedBug::NoRequestTable);
        let instance = self.instance(i);
        let is_known = instance.servers.contains_key(&hop.server);
        let closed = instance.stop_phase >= StopPhase::Closing;
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

    /// Starts or queues a request.
    ///
    /// # Errors
    ///
    /// Returns the request if it must be refused with "not run".
    fn admit(&mut self, i: usize, item: GuardRequest) -> Result<(), Box<GuardRequest>> {
        let server = item.hop.server;
        let ignores_draining = self.has_bug(InjectedBug::IgnoreDraining);
        let instance = self.instance(i);
        let cx = &mut instance.cx;
        let Some(guarded) = instance.servers.get_mut(&server) else { return Err(Box::new(item)) };
        if guarded.refuses_work(cx.now) && !ignores_draining {
            return Err(Box::new(item));
        }
        if let Some(baseline) = item.hop.baseline {
            guarded.detector.on_baseline(cx, baseline);
        }
        let idempotent = item.hop.request.service == 0;
        if guarded.health.admit(cx, item.hop.kind, idempotent) != Admission::Admit {
            return Err(Box::new(item));
        }
        let is_trial = item.hop.kind == RequestKind::Trial;
        if guarded.queue.is_empty() {
            if !guarded.queue.can_finish(cx.now, item.deadline) {
                self.report_trial(i, server, is_trial, TrialOutcome::Unknown);
                return Err(Box::new(item));
            }
            if let Some(permit) = guarded.slots.acquire(item.hop.id) {
                self.start_request(i, item, permit);
                return Ok(());
            }
        }
        self.enqueue(i, item, is_trial)
    }

    fn enqueue(
        &mut self,
        i: usize,
        item: GuardRequest,
        is_trial: bool,
    ) -> Result<(), Box<GuardRequest>> {
        let (server, id, deadline) = (item.hop.server, item.hop.id, item.deadline);
        let instance = self.instance(i);
        let Some(guarded) = instance.servers.get_mut(&server) else { return Err(Box::new(item)) };
        let limit = guarded.slots.limit();
        let caller = format!("c{}", item.hop.request.op % 8).into();
        let queued_request = QueuedRequest { id, caller, priority: 155, cost: 1, deadline, item };
        match guarded.queue.push(&mut instance.cx, limit, queued_request) {
            Ok(pushed) => {
                let remaining = deadline.saturating_duration_since(self.monotonic_now());
                self.schedule_for_process(i, remaining, Event::QueueTimeout { server, id });
                if let PushOutcome::Displaced(other) = pushed {
                    self.refuse(i, &other.item, Verdict::NotRun);
                }
                Ok(())
            }
            Err(refused) => {
                self.report_trial(i, server, is_trial, TrialOutcome::Unknown);
                Err(Box::new(refused.request.item))
            }
        }
    }

    pub(super) fn on_queue_timeout(&mut self, i: usize, server: usize, id: RequestId) {
        let guarded = self.instances[i].servers.get_mut(&server);
        if let Some(late) = guarded.and_then(|guarded| guarded.queue.remove(id)) {
            let is_trial = late.item.hop.kind == RequestKind::Trial;
            self.report_trial(i, server, is_trial, TrialOutcome::Unknown);
            self.refuse(i, &late.item, Verdict::NotRun);
        }
    }

    /// Reports the end of a trial request to the health tracker. Ignores requests of other kinds.
    fn report_trial(&mut self, i: usize, server: usize, is_trial: bool, end: TrialOutcome) {
        if is_trial {
            let actions =
                self.with_server(i, server, |cx, guarded| guarded.health.on_trial_end(cx, end));
            self.apply_actions(i, server, actions);
        }
    }

    /// Sends a request to its backend server, which starts it at once.
    fn start_request(&mut self, i: usize, item: GuardRequest, permit: PermitId) {
        let (server, id) = (item.hop.server, item.hop.id);
        let running_id = self.next_id();
        let remaining = item.deadline.saturating_duration_since(self.monotonic_now());
        let (op, send) = (item.hop.request.op, item.hop.request.send);
        let instance = self.instance(i);
        let Some(guarded) = instance.servers.get_mut(&server) else { return };
        guarded.detector.on_start(&mut instance.cx, id);
        let started = instance.cx.now;
        let running_request = RunningRequest {
            item,
            permit,
            registration_id: guarded.registration_id,
            started,
            open: true,
        };
        instance.running.insert(running_id, running_request);
        self.record(HistoryEvent::Executed { server, op, send });
        self.schedule_for_process(i, remaining, Event::RequestTimeout { running_id });
        let is_affected_by = |world: &World, kind| {
            world.active_fault(kind).is_some_and(|fault| fault.affects_server(server))
        };
        if is_affected_by(self, FaultKind::ServersSilent) {
            return;
        }
        let mut time = Duration::from_millis(self.cx.rng.random_range(15..60));
        if is_affected_by(self, FaultKind::ServersSlow) {
            time *= 12;
        }
        let fails =
            is_affected_by(self, FaultKind::ServersErroring) && self.cx.rng.random_bool(0.7);
        let complete = !fails || self.cx.rng.random_bool(0.5);
        self.schedule_for_process(i, time, Event::ServerDone { running_id, ok: !fails, complete });
    }

    pub(super) fn on_server_done(&mut self, i: usize, running_id: u64, ok: bool, complete: bool) {
        let Some(running_request) = self.instances[i].running.remove(&running_id) else { return };
        let outcome = match (ok, complete) {
            (_, false) => Outcome::Cut,
            (false, true) => Outcome::ServerError,
            (true, true) => Outcome::Ok,
        };
        self.finish_request(i, &running_request, outcome);
        if !complete && !self.has_bug(InjectedBug::CutAnswer) {
            self.refuse(i, &running_request.item, Verdict::MayHaveRun);
            return;
        }
        let mut answer = self.answer_with_status(i, running_request.item.hop.server, Verdict::Ran);
        answer.body = Some((running_request.item.hop.request.send, complete, ok));
        answer.service_time =
            self.monotonic_now().saturating_duration_since(running_request.started);
        self.send_answer(i, &running_request.item, answer);
    }

    pub(super) fn on_request_timeout(&mut self, i: usize, running_id: u64) {
        let Some(running_request) = self.instances[i].running.remove(&running_id) else { return };
        self.finish_request(i, &running_request, Outcome::DeadlineMissed);
        let has_bug = self.has_bug(InjectedBug::LateIsNotRun);
        let verdict = if has_bug { Verdict::NotRun } else { Verdict::MayHaveRun };
        self.refuse(i, &running_request.item, verdict);
    }

    /// Reports the outcome of a request to the state of its server and frees its slot, unless the
    /// server has been registered anew since, and starts queued requests.
    fn finish_request(&mut self, i: usize, running_request: &RunningRequest, outcome: Outcome) {
        let server = running_request.item.hop.server;
        let is_trial = running_request.item.hop.kind == RequestKind::Trial;
        let latency = self.monotonic_now().saturating_duration_since(running_request.started);
        let observation = Observation { id: running_request.item.hop.id, outcome, latency };
        let (registration_id, permit) = (running_request.registration_id, running_request.permit);
        let actions = self.with_server(i, server, |cx, guarded| {
            if guarded.registration_id != registration_id {
                return vec![];
            }
            guarded.detector.on_finish(cx, observation);
            guarded.queue.record_service_time(latency);
            let mut actions = vec![];
            if is_trial {
                let end = guarded.detector.classify_trial(&observation);
                actions = guarded.health.on_trial_end(cx, end);
            }
            actions.extend(assess(cx, guarded));
            guarded.slots.release(permit);
            actions
        });
        self.apply_actions(i, server, actions);
        self.grant_free_slots(i, server);
    }

    fn grant_free_slots(&mut self, i: usize, server: usize) {
        let ignores_draining = self.has_bug(InjectedBug::IgnoreDraining);
        loop {
            let Instance { servers, cx, .. } = self.instance(i);
            let Some(guarded) = servers.get_mut(&server) else { return };
            if guarded.refuses_work(cx.now) && !ignores_draining {
                self.refuse_queued(i, server);
                return;
            }
            if guarded.slots.free() == 0 {
                return;
            }
            let mut expired = vec![];
            let next = guarded.queue.pop(cx, &mut expired);
            let granted = next.map(|next| (guarded.slots.acquire(next.id), next));
            for request in expired {
                self.refuse(i, &request.item, Verdict::NotRun);
            }
            match granted {
                Some((Some(permit), next)) => self.start_request(i, next.item, permit),
                _ => return,
            }
        }
    }

    /// Answers all queued requests of a server that accepts no more requests with "not run".
    pub(super) fn refuse_queued(&mut self, i: usize, server: usize) {
        loop {
            let Some(guarded) = self.instance(i).servers.get_mut(&server) else { return };
            let Some(queued) = guarded.queue.pop_any() else { return };
            self.refuse(i, &queued.item, Verdict::NotRun);
        }
    }

    fn answer_with_status(&self, i: usize, server: usize, verdict: Verdict) -> HopAnswer {
        let guarded = self.instances[i].servers.get(&server);
        let mut answer = verdict_only(verdict);
        answer.health = guarded.map(|guarded| guarded.health.state());
        answer.load = guarded.map(|guarded| ServerLoad {
            busy: guarded.slots.busy(),
            slots: guarded.slots.limit(),
            queued: guarded.queue.len() as u32,
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
        self.send(i, item.from, PeerMessage::Reply { call_id: item.call_id, reply });
    }

    /// Returns the services in whose ledgers this guard may have an entry.
    pub(super) fn services_with_permit(&self, i: usize) -> Vec<usize> {
        let servers = self.instances[i].servers.iter();
        let may_hold_permit = servers.filter(|(_, guarded)| guarded.health.may_hold_permit());
        may_hold_permit.map(|(server, _)| server % 2).collect()
    }

    /// Returns the capacity of a service according to the membership of an instance.
    pub(super) fn capacity(
        &self,
        i: usize,
        service: usize,
    ) -> fescuemux_core::eject::ServiceCapacity {
        use fescuemux_core::eject::{ServerCapacity, ServiceCapacity};
        use fescuemux_core::member::MemberState;
        let instance = &self.instances[i];
        let id = service_id(service);
        let service_config = instance.config.as_ref().and_then(|config| config.services.get(&id));
        let mut capacity = ServiceCapacity::new(service_config.map_or(u32::MAX, |s| s.floor_slots));
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

fn assess(cx: &mut Cx, guarded: &mut GuardedServer) -> Vec<Action> {
    let assessment = guarded.detector.assess(cx);
    guarded.health.on_assessment(cx, &assessment)
}

fn verdict_only(verdict: Verdict) -> HopAnswer {
    HopAnswer { verdict, body: None, load: None, health: None, service_time: Duration::ZERO }
}
