//! One backend server behind the guard.

use super::GuardContext;
use super::event::GuardEvent;
use super::lease::{Grant, Lease, Ticket};
use super::policy::ServicePolicy;
use super::refused::Refused;
use super::server_state::ServerState;
use super::snapshot::ServerSnapshot;
use crate::decisions::SharedState;
use fescuemux_core::admit::{
    DeadlineQueue, PermitId, PushOutcome, QueueConfig, QueuedRequest, RejectReason, Slots,
};
use fescuemux_core::base::{Cx, Phase, RequestId, ServerHealth, ServerId, ServiceId};
use fescuemux_core::detect::{
    Baseline, Detector, DetectorConfig, Observation, ProbeResult, TrialOutcome,
};
use fescuemux_core::eject::{Action, Admission, HealthConfig, HealthTracker, PermitAnswer};
use fescuemux_wire::announce::Announcement;
use fescuemux_wire::hop::{HopBaseline, HopHealth, HopKind, HopRequest, ServerLoad};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A backend server and everything that is decided about it.
#[derive(Debug)]
pub(super) struct GuardedServer {
    pub(super) id: ServerId,
    cx: GuardContext,
    state: SharedState<ServerState>,
}

impl GuardedServer {
    pub(super) fn new(
        cx: &GuardContext,
        announcement: Announcement,
        policy: ServicePolicy,
    ) -> Arc<GuardedServer> {
        let now = cx.clock.now();
        let mut detector = Detector::new(DetectorConfig::new(policy.favor), now);
        detector.on_phase(&mut Cx::new(now, 0), announcement.phase);
        let queue = QueueConfig { max_len: policy.queue_limit, ..QueueConfig::default() };
        let state = ServerState {
            detector,
            health: HealthTracker::new(HealthConfig::new(policy.favor), now),
            slots: Slots::new(announcement.slots),
            queue: DeadlineQueue::new(queue),
            peak_busy: 0,
            announced: now,
            announcement: announcement.clone(),
        };
        Arc::new(GuardedServer {
            id: announcement.server,
            state: SharedState::new(Arc::clone(&cx.clock), announcement.incarnation, state),
            cx: cx.clone(),
        })
    }

    /// Takes a further announcement. Returns false when the server has restarted or moved, so
    /// that everything known of it is void.
    pub(super) fn on_announcement(&self, announcement: &Announcement) -> bool {
        let changed = self.state.with(|cx, state| {
            let known = &state.announcement;
            if announcement.incarnation < known.incarnation {
                return Some(false);
            }
            let same = announcement.incarnation == known.incarnation
                && announcement.address == known.address
                && announcement.service == known.service;
            if !same {
                return None;
            }
            let changed = announcement != known;
            state.announced = cx.now;
            state.announcement = announcement.clone();
            state.slots.set_limit(announcement.slots);
            state.detector.on_phase(cx, announcement.phase);
            if announcement.phase == Phase::Draining {
                state.refuse_waiting();
            }
            Some(changed)
        });
        if changed == Some(true) {
            let _ = self.cx.events.send(GuardEvent::ServersChanged);
        }
        changed.is_some()
    }

    /// Decides whether a request may wait for a slot, and waits for it.
    pub(super) async fn admit(
        self: &Arc<GuardedServer>,
        hop: &HopRequest,
        deadline: Instant,
        caller: &str,
    ) -> Result<Lease, Refused> {
        self.check_health(hop)?;
        let trial = hop.kind == HopKind::Trial;
        let ticket = match self.take_slot(hop, deadline, caller) {
            Ok(Taken::Slot(permit)) => return Ok(Lease::new(self, permit, trial)),
            Ok(Taken::Queued(rx)) => Ticket::new(self, hop.id, rx),
            Err(refused) => {
                self.end_trial(trial, TrialOutcome::Unknown);
                return Err(refused);
            }
        };
        let refused = match ticket.wait(deadline).await {
            Grant::Slot(permit) => return Ok(Lease::new(self, permit, trial)),
            Grant::Expired => Refused::too_late(),
            Grant::Displaced => Refused::not_run("a request with a stronger claim came"),
            Grant::Draining => Refused::not_run("the server is draining"),
        };
        self.end_trial(trial, TrialOutcome::Unknown);
        Err(self.describe(refused))
    }

    fn check_health(&self, hop: &HopRequest) -> Result<(), Refused> {
        let refusal = self.state.with(|cx, state| {
            if let Some(reason) = state.unannounced_reason(cx) {
                return Some(reason);
            }
            if let Some(HopBaseline { median, error_ratio }) = hop.baseline {
                state.detector.on_baseline(cx, Baseline { median, error_ratio });
            }
            match state.health.admit(cx, hop.kind.into(), hop.idempotent) {
                Admission::Admit => None,
                Admission::Refuse(reason) => Some(reason.as_str()),
            }
        });
        match refusal {
            None => Ok(()),
            Some(reason) => Err(self.describe(Refused::not_run(reason))),
        }
    }

    fn take_slot(
        &self,
        hop: &HopRequest,
        deadline: Instant,
        caller: &str,
    ) -> Result<Taken, Refused> {
        let taken = self.state.with(|cx, state| {
            if state.queue.is_empty() {
                if !state.queue.can_finish(cx.now, deadline) {
                    return Err("the request cannot finish in time");
                }
                if let Some(permit) = state.slots.acquire(hop.id) {
                    state.peak_busy = state.peak_busy.max(state.slots.busy());
                    return Ok(Taken::Slot(permit));
                }
            }
            let (tx, rx) = flume::bounded(1);
            let waiting = QueuedRequest {
                id: hop.id,
                caller: caller.into(),
                // The queue serves small numbers first, operators give large ones to what
                // matters most.
                priority: u8::MAX - hop.priority,
                cost: 1,
                deadline,
                item: tx,
            };
            let slots = state.slots.limit();
            match state.queue.push(cx, slots, waiting) {
                Ok(PushOutcome::Queued) => Ok(Taken::Queued(rx)),
                Ok(PushOutcome::Displaced(other)) => {
                    let _ = other.item.send(Grant::Displaced);
                    Ok(Taken::Queued(rx))
                }
                Err(refused) => Err(match refused.reason {
                    RejectReason::Full => "the queue is full",
                    RejectReason::CannotFinish => "the request cannot finish in time",
                }),
            }
        });
        taken.map_err(|reason| self.describe(Refused::not_run(reason)))
    }

    /// Frees a slot and passes it to the next request that can still finish.
    pub(super) fn release(&self, permit: PermitId) {
        self.state.with(|cx, state| {
            state.slots.release(permit);
            state.grant_free_slots(cx);
        });
    }

    /// Removes a request that no longer waits. A slot granted meanwhile goes to the next one.
    pub(super) fn leave_queue(&self, id: RequestId, rx: &flume::Receiver<Grant>) {
        self.state.with(|cx, state| {
            state.queue.remove(id);
            if let Ok(Grant::Slot(permit)) = rx.try_recv() {
                state.slots.release(permit);
                state.grant_free_slots(cx);
            }
        });
    }

    pub(super) fn on_start(&self, id: RequestId) {
        self.state.with(|cx, state| state.detector.on_start(cx, id));
    }

    /// Takes the end of a request that was sent to the server.
    pub(super) fn on_finish(&self, observation: Observation, trial: bool) {
        self.act(|cx, state| {
            state.detector.on_finish(cx, observation);
            state.queue.record_service_time(observation.latency);
            let mut actions = Vec::new();
            if trial {
                let end = state.detector.classify_trial(&observation);
                actions = state.health.on_trial_end(cx, end);
            }
            actions.extend(state.assess(cx));
            actions
        });
    }

    /// Ends a trial whose request was never sent.
    pub(super) fn end_trial(&self, trial: bool, end: TrialOutcome) {
        if trial {
            self.act(|cx, state| state.health.on_trial_end(cx, end));
        }
    }

    pub(super) fn tick(&self) {
        self.act(|cx, state| {
            let mut actions = state.assess(cx);
            actions.extend(state.health.tick(cx));
            actions
        });
    }

    pub(super) fn on_pause(&self, length: Duration) {
        self.state.with(|cx, state| state.detector.on_pause(cx, length));
    }

    pub(super) fn on_baseline(&self, baseline: HopBaseline) {
        let HopBaseline { median, error_ratio } = baseline;
        self.state.with(|cx, s| s.detector.on_baseline(cx, Baseline { median, error_ratio }));
    }

    pub(super) fn on_permit(&self, answer: PermitAnswer) {
        self.act(|cx, state| state.health.on_permit_answer(cx, answer));
    }

    pub(super) fn on_ledger(&self, held: bool) {
        self.act(|cx, state| state.health.on_ledger_read(cx, held));
    }

    pub(super) fn return_early(&self) {
        self.act(|cx, state| state.health.return_early(cx));
    }

    pub(super) fn set_policy(&self, policy: ServicePolicy) {
        self.state.with(|_, state| {
            state.detector.set_config(DetectorConfig::new(policy.favor));
            state.health.set_config(HealthConfig::new(policy.favor));
            state.queue.set_max_len(policy.queue_limit);
        });
    }

    /// Takes the answer of the server's health endpoint, which is weak evidence.
    pub(super) fn on_probe(&self, result: ProbeResult) {
        self.state.with(|cx, state| state.detector.on_probe(cx, result));
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.state.with(|_, state| state.announcement.address)
    }

    pub(super) fn service(&self) -> ServiceId {
        self.state.with(|_, state| state.announcement.service.clone())
    }

    /// Returns the time since the last announcement.
    pub(super) fn silence(&self) -> Duration {
        self.state.with(|cx, state| cx.now.saturating_duration_since(state.announced))
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.state.with(|_, state| state.slots.busy() + state.queue.len() as u32)
    }

    /// Returns load and health for answers.
    pub(super) fn report(&self) -> (ServerLoad, HopHealth) {
        self.state.with(|_, state| {
            let load = ServerLoad {
                busy: state.slots.busy(),
                slots: state.announcement.slots,
                queued: state.queue.len() as u32,
            };
            (load, ServerHealth::from(state.health.state()).into())
        })
    }

    pub(super) fn snapshot(&self) -> ServerSnapshot {
        self.state.with(|cx, state| ServerSnapshot {
            server: state.announcement.server.clone(),
            service: state.announcement.service.clone(),
            address: state.announcement.address,
            incarnation: state.announcement.incarnation,
            phase: state.announcement.phase,
            state: state.health.state(),
            state_age: state.health.age(cx.now),
            relapses: state.health.relapses(),
            may_hold_permit: state.health.may_hold_permit(),
            assessment: state.detector.assess(cx),
            slots: state.announcement.slots,
            busy: state.slots.busy(),
            queued: state.queue.len() as u32,
            peak_busy: state.peak_busy,
        })
    }

    fn describe(&self, refused: Refused) -> Refused {
        let (load, health) = self.report();
        refused.with_server(load, health)
    }

    /// Runs a decision and carries out the actions it asks for.
    fn act(&self, decide: impl FnOnce(&mut Cx, &mut ServerState) -> Vec<Action>) {
        let (actions, service) = self.state.with(|cx, state| {
            let actions = decide(cx, state);
            if actions.contains(&Action::ResetEvidence) {
                state.detector.reset_evidence(cx);
            }
            (actions, state.announcement.service.clone())
        });
        for action in actions {
            self.carry_out(action, &service);
        }
    }

    fn carry_out(&self, action: Action, service: &ServiceId) {
        let (service, server) = (service.clone(), self.id.clone());
        let event = match action {
            Action::RequestPermit => GuardEvent::RequestPermit { service, server },
            Action::ReleasePermit => GuardEvent::ReleasePermit { service, server },
            Action::ResetEvidence => return,
            Action::Publish { from, to } => {
                tracing::info!(%server, from = from.as_str(), to = to.as_str(), "health changed");
                self.cx.metrics.count_health_change(&service, &server, to.as_str());
                GuardEvent::ServersChanged
            }
        };
        let _ = self.cx.events.send(event);
    }
}

/// Result of asking for a slot.
enum Taken {
    Slot(PermitId),
    Queued(flume::Receiver<Grant>),
}
