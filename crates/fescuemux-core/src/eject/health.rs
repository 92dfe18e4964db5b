//! State machine of one backend server.

use super::action::{Action, PermitAnswer};
use super::admission::{Admission, RefuseReason};
use super::config::HealthConfig;
use super::hold::Hold;
use super::probation::Probation;
use crate::base::{Cx, RequestKind, ServerHealth};
use crate::detect::{Assessment, Level, TrialOutcome};
use std::time::{Duration, Instant};

/// Evidence that steered a server counts as withdrawn below this part of the probation score.
const WITHDRAWN: f64 = 0.5;

/// Doublings of the gap between trials. At 16 times the base gap, five trials cover 6.4 s, more
/// than the period of the slowest flapping that holds need to catch.
const MOST_GAP_DOUBLINGS: u32 = 4;

/// State of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HealthState {
    /// Takes all requests.
    Serving,
    /// Takes last-resort requests only. Counts as healthy capacity.
    Steered,
    /// Takes no requests; the ledger holds a permit.
    Ejected,
    /// Returns by trial requests and growing shares.
    Probation,
}

impl HealthState {
    /// Returns the spelling used in headers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            HealthState::Serving => "serving",
            HealthState::Steered => "steered",
            HealthState::Ejected => "ejected",
            HealthState::Probation => "probation",
        }
    }
}

/// What is known about the server's entry in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Permit {
    Absent,
    Requested {
        at: Instant,
    },
    Held,
    /// To be released; the release was last asked for at this time.
    Releasing {
        at: Instant,
    },
}

/// Health of one backend server in its guard.
#[derive(Clone, Debug)]
pub struct HealthTracker {
    config: HealthConfig,
    state: HealthState,
    since: Instant,
    permit: Permit,
    hold: Hold,
    next_probation_at: Instant,
    next_request: Instant,
    probation: Probation,
}

impl HealthTracker {
    /// Returns a serving server. An entry that an earlier guard left in the ledger is released
    /// after the first [`HealthTracker::on_ledger_read`].
    pub fn new(config: HealthConfig, now: Instant) -> HealthTracker {
        let hold =
            Hold::new(config.base_hold_time, config.max_hold_time, config.hold_halving_time, now);
        HealthTracker {
            config,
            state: HealthState::Serving,
            since: now,
            permit: Permit::Absent,
            hold,
            next_probation_at: now,
            next_request: now,
            probation: Probation::new(Duration::ZERO),
        }
    }

    /// Replaces the times and counts; the state and the hold time in progress stay.
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

    /// Returns how often the server turned sick recently.
    pub fn relapses(&self) -> u32 {
        self.hold.relapses()
    }

    /// Returns the earliest time of the next probation while steered or ejected.
    pub fn next_probation_at(&self) -> Option<Instant> {
        matches!(self.state, HealthState::Steered | HealthState::Ejected)
            .then_some(self.next_probation_at)
    }

    /// Returns whether a trial request would be welcome now.
    pub fn wants_trial(&self, now: Instant) -> bool {
        match self.state {
            HealthState::Probation => self.probation.wants_trial(now),
            HealthState::Steered => self.probation.wants_check(now),
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

    /// Decides on a request. An admitted trial must end with [`HealthTracker::on_trial_end`], also
    /// when it was not sent.
    pub fn admit(&mut self, cx: &mut Cx, kind: RequestKind, idempotent: bool) -> Admission {
        match (self.state, kind) {
            (HealthState::Serving, _) | (HealthState::Steered, RequestKind::LastResort) => {
                Admission::Admit
            }
            (HealthState::Steered, RequestKind::Trial) => {
                self.probation.admit_check(cx.now, idempotent)
            }
            (HealthState::Steered, RequestKind::Normal) => Admission::Refuse(RefuseReason::Steered),
            (HealthState::Ejected, _) => Admission::Refuse(RefuseReason::Ejected),
            (HealthState::Probation, RequestKind::Trial) => {
                self.probation.admit_trial(cx, &self.config, idempotent)
            }
            (HealthState::Probation, RequestKind::Normal) => {
                self.probation.admit_normal(cx, &self.config)
            }
            // A held permit means that the fleet does not count on this server.
            (HealthState::Probation, RequestKind::LastResort) if self.permit == Permit::Held => {
                self.probation.admit_normal(cx, &self.config)
            }
            (HealthState::Probation, RequestKind::LastResort) => Admission::Admit,
        }
    }

    /// Takes the detector's newest assessment.
    pub fn on_assessment(&mut self, cx: &mut Cx, assessment: &Assessment) -> Vec<Action> {
        let mut actions = Vec::new();
        match self.state {
            HealthState::Serving if assessment.level >= Level::Suspect => {
                self.steer(cx.now, &mut actions);
            }
            HealthState::Probation if assessment.score >= self.config.relapse_score => {
                self.relapse(cx.now, &mut actions);
            }
            HealthState::Steered => self.weigh_steered(cx.now, assessment, &mut actions),
            _ => {}
        }
        actions
    }

    /// Takes the end of an admitted trial request.
    pub fn on_trial_end(&mut self, cx: &mut Cx, end: TrialOutcome) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.state != HealthState::Probation {
            self.probation.on_check_end();
            return actions;
        }
        self.probation.on_trial_end(cx.now, &self.config, end);
        if end == TrialOutcome::Bad {
            self.relapse(cx.now, &mut actions);
        }
        actions
    }

    /// Takes an answer of the ledger.
    pub fn on_permit_answer(&mut self, cx: &mut Cx, answer: PermitAnswer) -> Vec<Action> {
        let mut actions = Vec::new();
        match (answer, self.permit) {
            (PermitAnswer::Granted, Permit::Requested { .. })
                if self.state == HealthState::Steered =>
            {
                self.permit = Permit::Held;
                self.enter(HealthState::Ejected, cx.now, &mut actions);
            }
            (PermitAnswer::Granted, Permit::Requested { .. } | Permit::Absent) => {
                // The server returned while the request was on its way.
                self.release(cx.now, &mut actions);
            }
            (PermitAnswer::Refused, Permit::Requested { .. }) => self.permit = Permit::Absent,
            (PermitAnswer::Released, Permit::Releasing { .. }) => self.permit = Permit::Absent,
            _ => {}
        }
        actions
    }

    /// Takes what a read of the ledger shows about this server: whether an entry exists under
    /// this or an earlier incarnation of its guard. Finds entries that an earlier guard left and
    /// entries that were pruned while this guard was cut off.
    pub fn on_ledger_read(&mut self, cx: &mut Cx, has_entry: bool) -> Vec<Action> {
        let mut actions = Vec::new();
        match (has_entry, self.permit) {
            (true, Permit::Absent) => self.release(cx.now, &mut actions),
            (false, Permit::Held) => {
                self.permit = Permit::Absent;
                if self.state == HealthState::Ejected {
                    self.enter(HealthState::Steered, cx.now, &mut actions);
                }
            }
            _ => {}
        }
        actions
    }

    /// Returns the server early, because healthy capacity is below the floor without it.
    pub fn return_early(&mut self, cx: &mut Cx) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.permit != Permit::Held {
            return actions;
        }
        if self.state == HealthState::Ejected {
            self.probation = Probation::new(Duration::ZERO);
            self.enter(HealthState::Steered, cx.now, &mut actions);
        }
        self.release(cx.now, &mut actions);
        actions
    }

    /// Advances by time alone. Called several times a second.
    pub fn tick(&mut self, cx: &mut Cx) -> Vec<Action> {
        let mut actions = Vec::new();
        match self.state {
            HealthState::Steered | HealthState::Ejected if cx.now >= self.next_probation_at => {
                self.begin_probation(cx.now, &mut actions);
            }
            HealthState::Probation if self.probation.complete(cx.now, &self.config) => {
                self.serve(cx.now, &mut actions);
            }
            _ => {}
        }
        self.repeat_release(cx.now, &mut actions);
        actions
    }

    fn steer(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let hold = self.hold.begin(now);
        self.next_probation_at = now + hold;
        self.probation = Probation::checking(self.config.max_steered_trials);
        self.enter(HealthState::Steered, now, actions);
    }

    fn weigh_steered(&mut self, now: Instant, assessment: &Assessment, actions: &mut Vec<Action>) {
        if assessment.score < self.config.relapse_score * WITHDRAWN {
            // The baseline rose to meet the evidence: the whole service is slow.
            self.hold.withdraw(now);
            self.serve(now, actions);
            return;
        }
        if assessment.level == Level::Bad {
            self.request_permit(now, actions);
        }
    }

    fn request_permit(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let due = match self.permit {
            Permit::Absent => now >= self.next_request,
            Permit::Requested { at } => now >= at + self.config.permit_retry_interval,
            Permit::Held | Permit::Releasing { .. } => false,
        };
        if due {
            self.permit = Permit::Requested { at: now };
            self.next_request = now + self.config.permit_retry_interval;
            actions.push(Action::RequestPermit);
        }
    }

    /// Returns a server that failed its probation to where it came from.
    fn relapse(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let hold = self.hold.begin(now);
        self.next_probation_at = now + hold;
        self.probation = Probation::new(Duration::ZERO);
        let back =
            if self.permit == Permit::Held { HealthState::Ejected } else { HealthState::Steered };
        self.enter(back, now, actions);
    }

    fn begin_probation(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let doublings = self.hold.relapses().saturating_sub(1).min(MOST_GAP_DOUBLINGS);
        self.probation = Probation::new(self.config.min_trial_interval * (1 << doublings));
        self.enter(HealthState::Probation, now, actions);
        actions.push(Action::ResetEvidence);
    }

    /// The permit is released only now: during probation the server carries less than its share,
    /// so the fleet must not count on it.
    fn serve(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.hold.serve(now);
        self.enter(HealthState::Serving, now, actions);
        if self.permit != Permit::Absent {
            self.release(now, actions);
        }
    }

    fn release(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.permit = Permit::Releasing { at: now };
        actions.push(Action::ReleasePermit);
    }

    fn repeat_release(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Permit::Releasing { at } = self.permit
            && now.saturating_duration_since(at) >= self.config.permit_retry_interval
        {
            self.release(now, actions);
        }
    }

    fn enter(&mut self, to: HealthState, now: Instant, actions: &mut Vec<Action>) {
        let from = self.state;
        self.state = to;
        self.since = now;
        actions.push(Action::Publish { from, to });
    }
    /// Returns how long the server has been in its state.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Returns whether the ledger may hold the server.
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
