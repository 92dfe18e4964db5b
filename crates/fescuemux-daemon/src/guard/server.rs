//! A backend server guarded by this instance.

use super::GuardContext;
use super::event::GuardEvent;
use super::lease::{QueueOutcome, QueueTicket, SlotLease};
use super::policy::ServicePolicy;
use super::refused::GuardError;
use super::server_state::ServerState;
use super::snapshot::ServerSnapshot;
use crate::decisions::SharedState;
use fescuemux_core::admit::{
    DeadlineQueue, PermitId, PushOutcome, QueueConfig, QueueRejectReason, QueuedRequest, Slots,
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

/// A backend server with its slots, queue, failure detector and health.
#[derive(Debug)]
pub(super) struct GuardedServer {
    pub(super) id: ServerId,
    context: GuardContext,
    state: SharedState<ServerState>,
}

impl GuardedServer {
    pub(super) fn new(
        context: &GuardContext,
        announcement: Announcement,
        policy: ServicePolicy,
    ) -> Arc<GuardedServer> {
        let now = context.clock.now();
        let mut detector = Detector::new(DetectorConfig::new(policy.favor), now);
        detector.on_phase(&mut Cx::new(now, 0), announcement.phase);
        let queue = QueueConfig { max_len: policy.queue_limit, ..QueueConfig::default() };
        let state = ServerState {
            detector,
            health: HealthTracker::new(HealthConfig::new(policy.favor), now),
            slots: Slots::new(announcement.slots),
            queue: DeadlineQueue::new(queue),
            peak_busy: 0,
            last_announced: now,
            announcement: announcement.clone(),
        };
        Arc::new(GuardedServer {
            id: announcement.server,
            state: SharedState::new(Arc::clone(&context.clock), announcement.incarnation, state),
            context: context.clone(),
        })
    }

    /// Processes a repeated announcement; ignores announcements of an earlier incarnation. Returns
    /// `false` if the server restarted or its address or service changed, so that the state of this
    /// [`GuardedServer`] must be discarded.
    pub(super) fn on_announcement(&self, announcement: &Announcement) -> bool {
        let changed = self.state.with(|cx, state| {
            let previous = &state.announcement;
            if announcement.incarnation < previous.incarnation {
                return Some(false);
            }
            let same_server = announcement.incarnation == previous.incarnation
                && announcement.address == previous.address
                && announcement.service == previous.service;
            if !same_server {
                return None;
            }
            let changed = announcement != previous;
            state.last_announced = cx.now;
            state.announcement = announcement.clone();
            state.slots.set_limit(announcement.slots);
            state.detector.on_phase(cx, announcement.phase);
            if announcement.phase == Phase::Draining {
                state.reject_queued();
            }
            Some(changed)
        });
        if changed == Some(true) {
            let _ = self.context.events.send(GuardEvent::ServersChanged);
        }
        changed.is_some()
    }

    /// Admits a request: checks the server's health and waits for a slot until `deadline`.
    pub(super) async fn admit(
        self: &Arc<GuardedServer>,
        hop: &HopRequest,
        deadline: Instant,
        caller: &str,
    ) -> Result<SlotLease, GuardError> {
        self.check_health(hop)?;
        let trial = hop.kind == HopKind::Trial;
        let ticket = match self.request_slot(hop, deadline, caller) {
            Ok(SlotOutcome::Slot(permit)) => return Ok(SlotLease::new(self, permit, trial)),
            Ok(SlotOutcome::Queued(rx)) => QueueTicket::new(self, hop.id, rx),
            Err(error) => {
                self.end_trial(trial, TrialOutcome::Unknown);
                return Err(error);
            }
        };
        let error = match ticket.wait(deadline).await {
            QueueOutcome::Slot(permit) => return Ok(SlotLease::new(self, permit, trial)),
            QueueOutcome::Expired => GuardError::too_late(),
            QueueOutcome::Displaced => GuardError::not_run("a request with a stronger claim came"),
            QueueOutcome::Draining => GuardError::not_run("the server is draining"),
        };
        self.end_trial(trial, TrialOutcome::Unknown);
        Err(self.add_server_status(error))
    }

    /// Checks whether the server takes the request, and updates its baseline from the request.
    fn check_health(&self, hop: &HopRequest) -> Result<(), GuardError> {
        let refusal = self.state.with(|cx, state| {
            if let Some(reason) = state.unavailable_reason(cx) {
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
            Some(reason) => Err(self.add_server_status(GuardError::not_run(reason))),
        }
    }

    fn request_slot(
        &self,
        hop: &HopRequest,
        deadline: Instant,
        caller: &str,
    ) -> Result<SlotOutcome, GuardError> {
        let outcome = self.state.with(|cx, state| {
            if state.queue.is_empty() {
                if !state.queue.can_finish(cx.now, deadline) {
                    return Err("the request cannot finish in time");
                }
                if let Some(permit) = state.slots.acquire(hop.id) {
                    state.peak_busy = state.peak_busy.max(state.slots.busy());
                    return Ok(SlotOutcome::Slot(permit));
                }
            }
            let (tx, rx) = flume::bounded(1);
            let queued_request = QueuedRequest {
                id: hop.id,
                caller: caller.into(),
                // The queue serves the smallest number first, while in the configuration the
                // largest number is the highest priority.
                priority: u8::MAX - hop.priority,
                cost: 1,
                deadline,
                item: tx,
            };
            let slots = state.slots.limit();
            match state.queue.push(cx, slots, queued_request) {
                Ok(PushOutcome::Queued) => Ok(SlotOutcome::Queued(rx)),
                Ok(PushOutcome::Displaced(displaced)) => {
                    let _ = displaced.item.send(QueueOutcome::Displaced);
                    Ok(SlotOutcome::Queued(rx))
                }
                Err(error) => Err(match error.reason {
                    QueueRejectReason::Full => "the queue is full",
                    QueueRejectReason::CannotFinish => "the request cannot finish in time",
                }),
            }
        });
        outcome.map_err(|reason| self.add_server_status(GuardError::not_run(reason)))
    }

    /// Frees a slot and grants it to the next queued request that can still finish in time.
    pub(super) fn release(&self, permit: PermitId) {
        self.state.with(|cx, state| {
            state.slots.release(permit);
            state.grant_free_slots(cx);
        });
    }

    /// Removes a request from the queue. A slot that was granted to the request but not yet
    /// received by it goes to the next request.
    pub(super) fn leave_queue(&self, id: RequestId, rx: &flume::Receiver<QueueOutcome>) {
        self.state.with(|cx, state| {
            state.queue.remove(id);
            if let Ok(QueueOutcome::Slot(permit)) = rx.try_recv() {
                state.slots.release(permit);
                state.grant_free_slots(cx);
            }
        });
    }

    pub(super) fn on_start(&self, id: RequestId) {
        self.state.with(|cx, state| state.detector.on_start(cx, id));
    }

    /// Records the end of a request that was sent to the server.
    pub(super) fn on_finish(&self, observation: Observation, trial: bool) {
        self.apply(|cx, state| {
            state.detector.on_finish(cx, observation);
            state.queue.record_service_time(observation.latency);
            let mut actions = Vec::new();
            if trial {
                let outcome = state.detector.classify_trial(&observation);
                actions = state.health.on_trial_end(cx, outcome);
            }
            actions.extend(state.assess(cx));
            actions
        });
    }

    /// Ends a trial whose request was never sent. Has no effect if `trial` is `false`.
    pub(super) fn end_trial(&self, trial: bool, outcome: TrialOutcome) {
        if trial {
            self.apply(|cx, state| state.health.on_trial_end(cx, outcome));
        }
    }

    pub(super) fn tick(&self) {
        self.apply(|cx, state| {
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

    /// Passes the answer to a request for an ejection permit, or to its release, to the tracker.
    pub(super) fn on_permit_answer(&self, answer: PermitAnswer) {
        self.apply(|cx, state| state.health.on_permit_answer(cx, answer));
    }

    pub(super) fn on_ledger_entry(&self, has_entry: bool) {
        self.apply(|cx, state| state.health.on_ledger_read(cx, has_entry));
    }

    pub(super) fn return_early(&self) {
        self.apply(|cx, state| state.health.return_early(cx));
    }

    pub(super) fn set_policy(&self, policy: ServicePolicy) {
        self.state.with(|_, state| {
            state.detector.set_config(DetectorConfig::new(policy.favor));
            state.health.set_config(HealthConfig::new(policy.favor));
            state.queue.set_max_len(policy.queue_limit);
        });
    }

    /// Records the result of a health probe, which is weak evidence.
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
        self.state.with(|cx, state| cx.now.saturating_duration_since(state.last_announced))
    }

    /// Returns the number of requests that hold a slot or wait for a slot.
    pub(super) fn in_flight(&self) -> u32 {
        self.state.with(|_, state| state.slots.busy() + state.queue.len() as u32)
    }

    /// Returns the load and health to report in responses.
    pub(super) fn load_and_health(&self) -> (ServerLoad, HopHealth) {
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
            health_state: state.health.state(),
            health_state_age: state.health.age(cx.now),
            relapses: state.health.hold_count(),
            may_hold_permit: state.health.may_hold_permit(),
            assessment: state.detector.assess(cx),
            slots: state.announcement.slots,
            busy: state.slots.busy(),
            queued: state.queue.len() as u32,
            peak_busy: state.peak_busy,
        })
    }

    fn add_server_status(&self, error: GuardError) -> GuardError {
        let (load, health) = self.load_and_health();
        error.with_server_status(load, health)
    }

    /// Runs `decide` and performs the actions that it returns.
    fn apply(&self, decide: impl FnOnce(&mut Cx, &mut ServerState) -> Vec<Action>) {
        let (actions, service) = self.state.with(|cx, state| {
            let actions = decide(cx, state);
            if actions.contains(&Action::ResetEvidence) {
                state.detector.reset_evidence(cx);
            }
            (actions, state.announcement.service.clone())
        });
        for action in actions {
            self.perform(action, &service);
        }
    }

    fn perform(&self, action: Action, service: &ServiceId) {
        let (service, server) = (service.clone(), self.id.clone());
        let event = match action {
            Action::RequestPermit => GuardEvent::RequestPermit { service, server },
            Action::ReleasePermit => GuardEvent::ReleasePermit { service, server },
            Action::ResetEvidence => return,
            Action::Publish { from, to } => {
                tracing::info!(%server, from = from.as_str(), to = to.as_str(), "health changed");
                self.context.metrics.count_health_change(&service, &server, to.as_str());
                GuardEvent::ServersChanged
            }
        };
        let _ = self.context.events.send(event);
    }
}

/// Result of requesting a slot: a granted slot or a place in the queue.
enum SlotOutcome {
    Slot(PermitId),
    Queued(flume::Receiver<QueueOutcome>),
}
