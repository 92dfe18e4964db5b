//! Return of a backend server through trial requests and growing shares of normal requests.

use super::admission::{Admission, RefuseReason};
use super::config::HealthConfig;
use crate::base::Cx;
use crate::detect::TrialOutcome;
use rand::Rng as _;
use std::time::{Duration, Instant};

/// Time after which a trial without a reported end no longer blocks the next trial.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after the first refusal of a trial that is not idempotent from which trials that are not
/// idempotent are admitted, because a service may have no idempotent route. Ingresses wait equally
/// long before they send requests that are not idempotent as trials.
const MAX_IDEMPOTENT_WAIT: Duration = Duration::from_secs(10);

/// Progress of one probation, or of the trials of a steered server.
#[derive(Clone, Debug)]
pub(super) struct Probation {
    good_trials: u32,
    /// Number of trials that may still be admitted while the server is steered.
    steered_trials_left: u32,
    min_trial_interval: Duration,
    next_trial_at: Option<Instant>,
    trial_started_at: Option<Instant>,
    /// Start of the first stage of growing shares; `None` until the trials are passed.
    ramp_since: Option<Instant>,
    /// Time of the first refusal of a trial that is not idempotent.
    non_idempotent_refused_at: Option<Instant>,
}

impl Probation {
    pub(super) fn new(min_trial_interval: Duration) -> Probation {
        Probation {
            good_trials: 0,
            steered_trials_left: 0,
            min_trial_interval,
            next_trial_at: None,
            trial_started_at: None,
            ramp_since: None,
            non_idempotent_refused_at: None,
        }
    }

    /// Returns the initial progress of a steered server that takes at most `trials` trial requests.
    pub(super) fn for_steered(trials: u32) -> Probation {
        Probation { steered_trials_left: trials, ..Probation::new(Duration::ZERO) }
    }

    pub(super) fn wants_trial(&self, now: Instant) -> bool {
        let due = self.next_trial_at.is_none_or(|next| now >= next);
        due && self.ramp_since.is_none() && !self.trial_in_flight(now)
    }

    pub(super) fn wants_steered_trial(&self, now: Instant) -> bool {
        self.steered_trials_left > 0 && !self.trial_in_flight(now)
    }

    pub(super) fn admit_steered_trial(&mut self, now: Instant, idempotent: bool) -> Admission {
        if self.steered_trials_left == 0 {
            return Admission::Refuse(RefuseReason::Steered);
        }
        if self.trial_in_flight(now) {
            return Admission::Refuse(RefuseReason::TrialInFlight);
        }
        if !idempotent {
            return Admission::Refuse(RefuseReason::TrialNotIdempotent);
        }
        self.steered_trials_left -= 1;
        self.trial_started_at = Some(now);
        Admission::Admit
    }

    pub(super) fn on_steered_trial_end(&mut self) {
        self.trial_started_at = None;
    }

    pub(super) fn admit_trial(
        &mut self,
        cx: &Cx,
        config: &HealthConfig,
        idempotent: bool,
    ) -> Admission {
        if self.ramp_since.is_some() {
            return Admission::Refuse(RefuseReason::NoTrialWanted);
        }
        if !self.wants_trial(cx.now) {
            return Admission::Refuse(RefuseReason::TrialInFlight);
        }
        if !idempotent && self.requires_idempotent(cx.now, config) {
            return Admission::Refuse(RefuseReason::TrialNotIdempotent);
        }
        self.trial_started_at = Some(cx.now);
        self.next_trial_at = Some(cx.now + self.min_trial_interval);
        Admission::Admit
    }

    fn requires_idempotent(&mut self, now: Instant, config: &HealthConfig) -> bool {
        if self.good_trials >= config.required_idempotent_trials {
            return false;
        }
        let first_refusal = *self.non_idempotent_refused_at.get_or_insert(now);
        now.saturating_duration_since(first_refusal) < MAX_IDEMPOTENT_WAIT
    }

    pub(super) fn admit_normal(&self, cx: &mut Cx, config: &HealthConfig) -> Admission {
        let share = self.share(cx.now, config);
        if share > 0.0 && cx.rng.random::<f64>() < share {
            return Admission::Admit;
        }
        Admission::Refuse(RefuseReason::ProbationShare)
    }

    pub(super) fn on_trial_end(
        &mut self,
        now: Instant,
        config: &HealthConfig,
        outcome: TrialOutcome,
    ) {
        self.trial_started_at = None;
        if outcome != TrialOutcome::Good {
            return;
        }
        self.good_trials += 1;
        if self.good_trials >= config.required_trials && self.ramp_since.is_none() {
            self.ramp_since = Some(now);
        }
    }

    pub(super) fn is_complete(&self, now: Instant, config: &HealthConfig) -> bool {
        self.stage(now, config).is_some_and(|stage| stage >= config.stage_shares.len())
    }

    pub(super) fn share(&self, now: Instant, config: &HealthConfig) -> f64 {
        match self.stage(now, config) {
            None => 0.0,
            Some(stage) => config.stage_shares.get(stage).copied().unwrap_or(1.0),
        }
    }

    fn stage(&self, now: Instant, config: &HealthConfig) -> Option<usize> {
        let since = self.ramp_since?;
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        Some((elapsed / config.stage_duration.as_secs_f64()) as usize)
    }

    fn trial_in_flight(&self, now: Instant) -> bool {
        self.trial_started_at
            .is_some_and(|start| now.saturating_duration_since(start) < TRIAL_TIMEOUT)
    }
}
