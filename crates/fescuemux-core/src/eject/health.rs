//! Health state machine of one backend server.

use super::action::{Action, PermitAnswer};
use super::admission::{Admission, RefuseReason};
use super::config::HealthConfig;
use super::hold::HoldBackoff;
use super::probation::Probation;
use crate::base::{Cx, RequestKind, ServerHealth};
use crate::detect::{Assessment, Level, TrialOutcome};
use std::time::{Duration, Instant};

/// Fraction of the relapse score below which a steered server returns to service without
/// probation.
const WITHDRAWAL_RATIO: f64 = 0.5;

/// Maximum number of doublings of the minimum trial interval. At 16 times its base of 100 ms, five
/// trials cover 6.4 s, which is longer than the period of the slowest flapping that must be
/// detected.
const MAX_INTERVAL_DOUBLINGS: u32 = 4;

/// Health state of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HealthState {
    /// Takes all requests.
    Serving,
    /// Takes last-resort requests and a few trial requests. Counts as healthy capacity.
    Steered,
    /// Takes no requests. The guard holds a permit: the ledger has an entry for the server.
    Ejected,
    /// Returns to service through trial requests and growing shares of normal requests.
    Probation,
}

impl HealthState {
    /// Returns the name used in headers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            HealthState::Serving => "serving",
            HealthState::Steered => "steered",
            HealthState::Ejected => "ejected",
            HealthState::Probation => "probation",
        }
    }
}

/// State of the permit, which is the server's entry in the ledger, as this guard knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Permit {
    Absent,
    Requested {
        /// Time of the last request for the permit.
        at: Instant,
    },
    Held,
    Releasing {
        /// Time of the last request to release the permit.
        at: Instant,
    },
}

/// Tracks the health of one backend server in its guard.
#[derive(Clone, Debug)]
pub struct HealthTracker {
    config: HealthConfig,
    state: HealthState,
    /// Start of `state`.
    since: Instant,
    permit: Permit,
    hold: HoldBackoff,
    next_probation_at: Instant,
    next_permit_request_at: Instant,
    /// Also tracks the trials of a steered server.
    probation: Probation,
}

impl HealthTracker {
    /// Returns the tracker of a serving server. An entry that an earlier guard of the server left
    /// in the ledger is released after the first [`HealthTracker::on_ledger_read`].
    pub fn new(config: HealthConfig, now: Instant) -> HealthTracker {
        let hold = HoldBackoff::new(
            config.base_hold_time,
            config.max_hold_time,
            config.hold_halving_time,
            now,
        );
        HealthTracker {
            config,
            state: HealthState::Serving,
            since: now,
            permit: Permit::Absent,
            hold,
            next_probation_at: now,
            next_permit_request_at: now,
            probation: Probation::new(Duration::ZERO),
        }
    }

    /// Replaces the parameters. Keeps the state and the end of the hold in progress.
    pub fn set_config(&mut self, config: HealthConfig) {
        self.hold.set_bounds(config.base_hold_time, config.max_hold_time, config.hold_halving_time);
        self.config = config;
    }

    /// Returns the current state.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Returns the time at which the current state began.
    pub fn since(&self) -> Instant {
        self.since
    }

    /// Returns the number of holds since the hold time last decayed to its base. The decay takes
    /// effect when a hold starts, and that hold counts as the first.
    pub fn hold_count(&self) -> u32 {
        self.hold.hold_count()
    }

    /// Returns the time at which the next probation begins, while steered or ejected.
    pub fn next_probation_at(&self) -> Option<Instant> {
        matches!(self.state, HealthState::Steered | HealthState::Ejected)
            .then_some(self.next_probation_at)
    }

    /// Returns whether an idempotent trial request would be admitted now.
    pub fn wants_trial(&self, now: Instant) -> bool {
        match self.state {
            HealthState::Probation => self.probation.wants_trial(now),
            HealthState::Steered => self.probation.wants_steered_trial(now),
            HealthState::Serving | HealthState::Ejected => false,
        }
    }

    /// Returns the share of normal requests that is admitted, from 0 to 1.
    pub fn normal_share(&self, now: Instant) -> f64 {
        match self.state {
            HealthState::Serving => 1.0,
            HealthState::Steered | HealthState::Ejected => 0.0,
            HealthState::Probation => self.probation.share(now, &self.config),
        }
    }

    /// Decides whether a request may be sent. An admitted trial must end with
    /// [`HealthTracker::on_trial_end`], even when the trial was not sent.
    pub fn admit(&mut self, cx: &mut Cx, kind: RequestKind, idempotent: bool) -> Admission {
        match (self.state, kind) {
            (HealthState::Serving, _) | (HealthState::Steered, RequestKind::LastResort) => {
                Admission::Admit
            }
            (HealthState::Steered, RequestKind::Trial) => {
                self.probation.admit_steered_trial(cx.now, idempotent)
            }
            (HealthState::Steered, RequestKind::Normal) => Admission::Refuse(RefuseReason::Steered),
            (HealthState::Ejected, _) => Admission::Refuse(RefuseReason::Ejected),
            (HealthState::Probation, RequestKind::Trial) => {
                self.probation.admit_trial(cx, &self.config, idempotent)
            }
            (HealthState::Probation, RequestKind::Normal) => {
                self.probation.admit_normal(cx, &self.config)
            }
            // While the permit is held, the server does not count as healthy capacity and may
            // refuse last-resort requests.
            (HealthState::Probation, RequestKind::LastResort) if self.permit == Permit::Held => {
                self.probation.admit_normal(cx, &self.config)
            }
            (HealthState::Probation, RequestKind::LastResort) => Admission::Admit,
        }
    }

    /// Handles the newest assessment of the detector.
    pub fn on_assessment(&mut self, cx: &mut Cx, assessment: &Assessment) -> Vec<Action> {
        let mut actions = Vec::new();
        match self.state {
            HealthState::Serving if assessment.level >= Level::Suspect => {
                self.steer(cx.now, &mut actions);
            }
            HealthState::Probation if assessment.score >= self.config.relapse_score => {
                self.relapse(cx.now, &mut actions);
            }
            HealthState::Steered => self.assess_steered(cx.now, assessment, &mut actions),
            _ => {}
        }
        actions
    }

    /// Handles the end of an admitted trial request.
    pub fn on_trial_end(&mut self, cx: &mut Cx, outcome: TrialOutcome) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.state != HealthState::Probation {
            self.probation.on_steered_trial_end();
            return actions;
        }
        self.probation.on_trial_end(cx.now, &self.config, outcome);
        if outcome == TrialOutcome::Bad {
            self.relapse(cx.now, &mut actions);
        }
        actions
    }

    /// Handles the answer to a request for or release of a permit.
    pub fn on_permit_answer(&mut self, cx: &mut Cx, answer: PermitAnswer) -> Vec<Action> {
        let mut actions = Vec::new();
        match (answer, self.permit) {
            (PermitAnswer::Granted, Permit::Requested { .. })
                if self.state == HealthState::Steered =>
            {
                self.permit = Permit::Held;
                self.enter_state(HealthState::Ejected, cx.now, &mut actions);
            }
            (PermitAnswer::Granted, Permit::Requested { .. } | Permit::Absent) => {
                // The server is no longer steered, or the guard no longer expects a permit.
                self.release_permit(cx.now, &mut actions);
            }
            (PermitAnswer::Refused, Permit::Requested { .. }) => self.permit = Permit::Absent,
            (PermitAnswer::Released, Permit::Releasing { .. }) => self.permit = Permit::Absent,
            _ => {}
        }
        actions
    }

    /// Handles a read of the ledger. `has_entry` states whether the server has an entry under this
    /// or an earlier incarnation of its guard. Releases an entry that an earlier guard left. Ends
    /// an ejection whose entry was pruned while this guard was disconnected.
    pub fn on_ledger_read(&mut self, cx: &mut Cx, has_entry: bool) -> Vec<Action> {
        let mut actions = Vec::new();
        match (has_entry, self.permit) {
            (true, Permit::Absent) => self.release_permit(cx.now, &mut actions),
            (false, Permit::Held) => {
                self.permit = Permit::Absent;
                if self.state == HealthState::Ejected {
                    self.enter_state(HealthState::Steered, cx.now, &mut actions);
                }
            }
            _ => {}
        }
        actions
    }

    /// Releases a held permit early, because healthy capacity is below the floor without the
    /// server. An ejected server becomes steered.
    pub fn return_early(&mut self, cx: &mut Cx) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.permit != Permit::Held {
            return actions;
        }
        if self.state == HealthState::Ejected {
            self.probation = Probation::new(Duration::ZERO);
            self.enter_state(HealthState::Steered, cx.now, &mut actions);
        }
        self.release_permit(cx.now, &mut actions);
        actions
    }

    /// Performs transitions that depend on time only. Must be called several times a second.
    pub fn tick(&mut self, cx: &mut Cx) -> Vec<Action> {
        let mut actions = Vec::new();
        match self.state {
            HealthState::Steered | HealthState::Ejected if cx.now >= self.next_probation_at => {
                self.begin_probation(cx.now, &mut actions);
            }
            HealthState::Probation if self.probation.is_complete(cx.now, &self.config) => {
                self.return_to_service(cx.now, &mut actions);
            }
            _ => {}
        }
        self.retry_release(cx.now, &mut actions);
        actions
    }

    fn steer(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let hold_time = self.hold.next_hold_time(now);
        self.next_probation_at = now + hold_time;
        self.probation = Probation::for_steered(self.config.max_steered_trials);
        self.enter_state(HealthState::Steered, now, actions);
    }

    fn assess_steered(&mut self, now: Instant, assessment: &Assessment, actions: &mut Vec<Action>) {
        if assessment.score < self.config.relapse_score * WITHDRAWAL_RATIO {
            // The evidence is gone, for example because the baseline now shows that the whole
            // service is slow.
            self.hold.undo_hold(now);
            self.return_to_service(now, actions);
            return;
        }
        if assessment.level == Level::Bad {
            self.request_permit(now, actions);
        }
    }

    fn request_permit(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let due = match self.permit {
            Permit::Absent => now >= self.next_permit_request_at,
            Permit::Requested { at } => now >= at + self.config.permit_retry_interval,
            Permit::Held | Permit::Releasing { .. } => false,
        };
        if due {
            self.permit = Permit::Requested { at: now };
            self.next_permit_request_at = now + self.config.permit_retry_interval;
            actions.push(Action::RequestPermit);
        }
    }

    /// Ends a failed probation and starts another hold. A server whose permit is still held is
    /// ejected again, any other server is steered.
    fn relapse(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let hold_time = self.hold.next_hold_time(now);
        self.next_probation_at = now + hold_time;
        self.probation = Probation::new(Duration::ZERO);
        let to =
            if self.permit == Permit::Held { HealthState::Ejected } else { HealthState::Steered };
        self.enter_state(to, now, actions);
    }

    fn begin_probation(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let doublings = self.hold.hold_count().saturating_sub(1).min(MAX_INTERVAL_DOUBLINGS);
        self.probation = Probation::new(self.config.min_trial_interval * (1 << doublings));
        self.enter_state(HealthState::Probation, now, actions);
        actions.push(Action::ResetEvidence);
    }

    /// Returns the server to full service and releases its permit. The permit is held until the end
    /// of probation, because the server takes less than its share of requests until then and must
    /// not count as healthy capacity.
    fn return_to_service(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.hold.on_serving(now);
        self.enter_state(HealthState::Serving, now, actions);
        if self.permit != Permit::Absent {
            self.release_permit(now, actions);
        }
    }

    fn release_permit(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.permit = Permit::Releasing { at: now };
        actions.push(Action::ReleasePermit);
    }

    fn retry_release(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Permit::Releasing { at } = self.permit
            && now.saturating_duration_since(at) >= self.config.permit_retry_interval
        {
            self.release_permit(now, actions);
        }
    }

    fn enter_state(&mut self, to: HealthState, now: Instant, actions: &mut Vec<Action>) {
        let from = self.state;
        self.state = to;
        self.since = now;
        actions.push(Action::Publish { from, to });
    }

    /// Returns how long the current state has lasted.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Returns whether the ledger may have an entry for the server.
    pub fn may_hold_permit(&self) -> bool {
        self.permit != Permit::Absent
    }
}

impl From<HealthState> for ServerHealth {
    fn from(state: HealthState) -> ServerHealth {
        match state {
            HealthState::Serving => ServerHealth::Serving,
            HealthState::Steered => ServerHealth::Steered,
            HealthState::Ejected => ServerHealth::Ejected,
            HealthState::Probation => ServerHealth::Probation,
        }
    }
}
