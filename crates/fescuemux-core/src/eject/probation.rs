//! Return of a backend server by trial requests and growing shares.

use super::admission::{Admission, RefuseReason};
use super::config::HealthConfig;
use crate::base::Cx;
use crate::detect::TrialOutcome;
use rand::Rng as _;
use std::time::{Duration, Instant};

/// A trial whose end was never reported no longer blocks the next one after this time.
const LOST_TRIAL: Duration = Duration::from_secs(30);
/// Time after which trials need not be idempotent, when none that is was offered. A service may
/// have no idempotent route at all. Ingresses wait as long before they offer others.
const IDEMPOTENT_WAIT: Duration = Duration::from_secs(10);

/// Progress of one probation, or of the checks of a server that was just steered.
#[derive(Clone, Debug)]
pub(super) struct Probation {
    good_trials: u32,
    checks_left: u32,
    min_trial_interval: Duration,
    next_trial: Option<Instant>,
    in_flight_since: Option<Instant>,
    shares_since: Option<Instant>,
    /// Time of the first trial refused for not being idempotent.
    refused_since: Option<Instant>,
}

impl Probation {
    pub(super) fn new(min_trial_interval: Duration) -> Probation {
        Probation {
            good_trials: 0,
            checks_left: 0,
            min_trial_interval,
            next_trial: None,
            in_flight_since: None,
            shares_since: None,
            refused_since: None,
        }
    }

    /// Returns the progress of a steered server that takes `checks` trial requests.
    pub(super) fn checking(checks: u32) -> Probation {
        Probation { checks_left: checks, ..Probation::new(Duration::ZERO) }
    }

    pub(super) fn wants_trial(&self, now: Instant) -> bool {
        let due = self.next_trial.is_none_or(|next| now >= next);
        due && self.shares_since.is_none() && !self.occupied(now)
    }

    pub(super) fn wants_check(&self, now: Instant) -> bool {
        self.checks_left > 0 && !self.occupied(now)
    }

    pub(super) fn admit_check(&mut self, now: Instant, idempotent: bool) -> Admission {
        if self.checks_left == 0 {
            return Admission::Refuse(RefuseReason::Steered);
        }
        if self.occupied(now) {
            return Admission::Refuse(RefuseReason::TrialInFlight);
        }
        if !idempotent {
            return Admission::Refuse(RefuseReason::TrialNotIdempotent);
        }
        self.checks_left -= 1;
        self.in_flight_since = Some(now);
        Admission::Admit
    }

    pub(super) fn on_check_end(&mut self) {
        self.in_flight_since = None;
    }

    pub(super) fn admit_trial(
        &mut self,
        cx: &Cx,
        config: &HealthConfig,
        idempotent: bool,
    ) -> Admission {
        if self.shares_since.is_some() {
            return Admission::Refuse(RefuseReason::NoTrialWanted);
        }
        if !self.wants_trial(cx.now) {
            return Admission::Refuse(RefuseReason::TrialInFlight);
        }
        if !idempotent && self.insists_on_idempotent(cx.now, config) {
            return Admission::Refuse(RefuseReason::TrialNotIdempotent);
        }
        self.in_flight_since = Some(cx.now);
        self.next_trial = Some(cx.now + self.min_trial_interval);
        Admission::Admit
    }

    fn insists_on_idempotent(&mut self, now: Instant, config: &HealthConfig) -> bool {
        if self.good_trials >= config.required_idempotent_trials {
            return false;
        }
        let since = *self.refused_since.get_or_insert(now);
        now.saturating_duration_since(since) < IDEMPOTENT_WAIT
    }

    pub(super) fn admit_normal(&self, cx: &mut Cx, config: &HealthConfig) -> Admission {
        let share = self.share(cx.now, config);
        if share > 0.0 && cx.rng.random::<f64>() < share {
            return Admission::Admit;
        }
        Admission::Refuse(RefuseReason::ProbationShare)
    }

    pub(super) fn on_trial_end(&mut self, now: Instant, config: &HealthConfig, end: TrialOutcome) {
        self.in_flight_since = None;
        if end != TrialOutcome::Good {
            return;
        }
        self.good_trials += 1;
        if self.good_trials >= config.required_trials && self.shares_since.is_none() {
            self.shares_since = Some(now);
        }
    }

    pub(super) fn complete(&self, now: Instant, config: &HealthConfig) -> bool {
        self.stage(now, config).is_some_and(|stage| stage >= config.stage_shares.len())
    }

    pub(super) fn share(&self, now: Instant, config: &HealthConfig) -> f64 {
        match self.stage(now, config) {
            None => 0.0,
            Some(stage) => config.stage_shares.get(stage).copied().unwrap_or(1.0),
        }
    }

    fn stage(&self, now: Instant, config: &HealthConfig) -> Option<usize> {
        let since = self.shares_since?;
        let passed = now.saturating_duration_since(since).as_secs_f64();
        Some((passed / config.stage_duration.as_secs_f64()) as usize)
    }

    fn occupied(&self, now: Instant) -> bool {
        self.in_flight_since.is_some_and(|since| now.saturating_duration_since(since) < LOST_TRIAL)
    }
}
