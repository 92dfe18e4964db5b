//! Sequential likelihood test over the requests of one backend server.
//!
//! Scores are log-likelihood ratios of "faulty" to "healthy". Latencies are compared as binary
//! logarithms. Their differences are in octaves: one octave is a factor of two in latency.

use super::assessment::{Assessment, Level, Reason};
use super::baseline::Baseline;
use super::config::DetectorConfig;
use super::in_flight::InFlight;
use super::latency_model::LatencyModel;
use super::observation::{Observation, Outcome, ProbeResult, TrialOutcome};
use super::reference::Reference;
use super::window::{Sample, WINDOW_SIZE, Window};
use crate::base::{Cx, Phase, RequestId};
use std::time::{Duration, Instant};

/// Share of requests that a faulty server is assumed to fail among those that a healthy server
/// would answer.
const FAULTY_SERVER_FAILURE_SHARE: f64 = 0.3;
/// Score of a loopback connection that cannot be opened. No network is involved, so two such
/// failures in a row suffice to eject.
const CONNECT_FAILED_SCORE: f64 = 9.0;
/// Score of a cut or wrong answer. Overload alone does not make a healthy server send such an
/// answer.
const BROKEN_ANSWER_SCORE: f64 = 4.5;
/// Upper bound of the score of one error or missed deadline.
const MAX_ERROR_SCORE: f64 = 3.5;
/// While a reference is known, a missed deadline counts as a failure when the request lasted at
/// least this many octaves (eight times) longer than the reference. Callers may set deadlines that
/// no healthy server can meet.
const FAIR_DEADLINE_OCTAVES: f64 = 3.0;
/// Octaves (four times) that are added to the reference latency in [`Phase::Cold`].
const COLD_ALLOWANCE_OCTAVES: f64 = 2.0;
/// Score of one failed probe. Health endpoints report late and can be wrong.
const PROBE_FAILED_SCORE: f64 = 0.5;
/// Upper bound of the score of all failed probes.
const MAX_PROBE_SCORE: f64 = 2.0;
/// Score of a request in flight that is older than
/// [`age_limit_without_reference`](DetectorConfig::age_limit_without_reference), while no reference
/// is known.
const OVER_AGE_LIMIT_SCORE: f64 = 4.0;
/// Number of finished requests in the window from which their median latency becomes the server's
/// own reference. It is the reference latency while no service-wide baseline is known.
const MIN_HISTORY_SAMPLES: usize = 32;
/// A trial is bad when its answer is more than this many octaves (four times) slower than the
/// reference.
const SLOW_TRIAL_OCTAVES: f64 = 2.0;
/// Latency score that requests started after the suspicion must reach before slow answers alone may
/// eject. A pause of the server delays all four of its requests at once, which is one event and not
/// four. Two slow answers do not suffice: in the long-tail trace a healthy server gives two once in
/// 21 server-hours.
const MIN_FRESH_SCORE: f64 = 6.0;
/// Number of fast answers to requests started after the suspicion at which old requests in flight
/// are taken for stragglers of a healthy server and no longer suffice to eject. A server that
/// answers nothing never reaches this number.
const MIN_FAST_ANSWERS: u32 = 2;
/// Number of newest successful answers whose median latency is the current latency of the server.
const RECENT_ANSWERS: usize = 5;
/// Multiple of the current latency that is added to the confirmation time.
const CONFIRMATION_LATENCIES: u32 = 4;
/// Upper bound of the current latency in the confirmation time.
const MAX_CONFIRMATION_LATENCY: Duration = Duration::from_secs(2);
/// Smallest score reported as a reason. Healthy servers often reach lower scores by chance.
const MIN_REASON_SCORE: f64 = 3.0;
/// Lower bound of a latency before its logarithm is taken, in seconds.
const MIN_LATENCY_SECS: f64 = 1e-6;

/// Evidence about one backend server. Memory is bounded, and each call takes constant time.
#[derive(Clone, Debug)]
pub struct Detector {
    config: DetectorConfig,
    phase: Phase,
    reference: Reference,
    latency_model: LatencyModel,
    window: Window,
    in_flight: InFlight,
    probe_failures: u32,
    suspect_since: Option<Instant>,
    /// Cumulative latency score, never negative, of requests that started after `suspect_since`.
    fresh_score: f64,
    /// Number of requests that started after `suspect_since` and were answered with a negative
    /// latency score, as by a healthy server.
    fresh_fast_answers: u32,
    evidence_since: Instant,
    /// Score of the newest assessment.
    last_score: f64,
}

impl Detector {
    /// Returns a detector without evidence or history.
    pub fn new(config: DetectorConfig, now: Instant) -> Detector {
        Detector {
            config,
            phase: Phase::Ready,
            reference: Reference::default(),
            latency_model: LatencyModel::new(),
            window: Window::default(),
            in_flight: InFlight::default(),
            probe_failures: 0,
            suspect_since: None,
            fresh_score: 0.0,
            fresh_fast_answers: 0,
            evidence_since: now,
            last_score: 0.0,
        }
    }

    /// Replaces the thresholds and keeps the evidence.
    pub fn set_config(&mut self, config: DetectorConfig) {
        self.config = config;
    }

    /// Records the announced phase. A cold server may be slower, and only a ready server is learned
    /// from.
    pub fn on_phase(&mut self, _cx: &mut Cx, phase: Phase) {
        self.phase = phase;
    }

    /// Records that a request was sent to the backend server.
    pub fn on_start(&mut self, cx: &mut Cx, id: RequestId) {
        self.in_flight.start(id, cx.now);
    }

    /// Records the end of a request.
    pub fn on_finish(&mut self, _cx: &mut Cx, observation: Observation) {
        let Some(started) = self.in_flight.finish(observation.id) else { return };
        let sample =
            Sample { outcome: observation.outcome, log2_latency: log2_secs(observation.latency) };
        self.record_fresh(started, &sample);
        if let Some(oldest) = self.window.push(sample) {
            self.learn(oldest);
        }
        if !self.reference.has_own_latency() && self.window.len() >= MIN_HISTORY_SAMPLES {
            self.start_own_reference();
        }
    }

    /// Records a service-wide baseline that arrived with a request.
    pub fn on_baseline(&mut self, _cx: &mut Cx, baseline: Baseline) {
        self.reference.add(baseline);
    }

    /// Records the result of a probe of the health endpoint.
    pub fn on_probe(&mut self, _cx: &mut Cx, result: ProbeResult) {
        match result {
            ProbeResult::Healthy => self.probe_failures = 0,
            ProbeResult::Unhealthy | ProbeResult::TimedOut => {
                self.probe_failures = self.probe_failures.saturating_add(1);
            }
        }
    }

    /// Handles a pause of `length` in which this process did not run. The ages and latencies of
    /// requests in flight during the pause say nothing about the backend server, and the pause does
    /// not confirm a suspicion.
    pub fn on_pause(&mut self, cx: &mut Cx, length: Duration) {
        self.in_flight.reset_ages(cx.now);
        self.suspect_since = self.suspect_since.map(|since| (since + length).min(cx.now));
        self.probe_failures = 0;
    }

    /// Discards all evidence and keeps the learned history. Called when probation begins, so that
    /// only the trial requests decide.
    pub fn reset_evidence(&mut self, cx: &mut Cx) {
        self.window.clear();
        self.in_flight.reset_ages(cx.now);
        self.probe_failures = 0;
        self.suspect_since = None;
        self.fresh_score = 0.0;
        self.fresh_fast_answers = 0;
        self.evidence_since = cx.now;
        self.last_score = 0.0;
    }

    /// Classifies the result of a trial request.
    pub fn classify_trial(&self, observation: &Observation) -> TrialOutcome {
        let slow = self.reference_log2().map(|reference_log2| {
            log2_secs(observation.latency) - reference_log2 > SLOW_TRIAL_OCTAVES
        });
        match (observation.outcome, slow) {
            (Outcome::Ok, Some(true)) => TrialOutcome::Bad,
            (Outcome::Ok, _) => TrialOutcome::Good,
            (Outcome::Canceled, _) | (Outcome::DeadlineMissed, Some(false)) => {
                TrialOutcome::Unknown
            }
            _ => TrialOutcome::Bad,
        }
    }

    /// Weighs all evidence at the current time.
    pub fn assess(&mut self, cx: &mut Cx) -> Assessment {
        let mut reasons = Vec::new();
        let (latency, age) = self.slowness_scores(cx.now, &mut reasons);
        let failures = self.failure_score(&mut reasons);
        let probes = self.probe_score(&mut reasons);
        let score = failures.max(latency + age) + probes;
        self.last_score = score;
        let may_eject = failures + probes >= self.config.bad_score
            || (age >= self.config.suspect_score && self.fresh_fast_answers < MIN_FAST_ANSWERS)
            || self.fresh_score >= MIN_FRESH_SCORE;
        let level = self.level(cx.now, score, may_eject);
        Assessment { level, score, reasons }
    }

    /// Returns the time at which evidence was last reset, or at which the detector was created.
    pub fn evidence_since(&self) -> Instant {
        self.evidence_since
    }

    fn level(&mut self, now: Instant, score: f64, may_eject: bool) -> Level {
        if score < self.config.suspect_score {
            self.suspect_since = None;
            self.fresh_score = 0.0;
            self.fresh_fast_answers = 0;
            return Level::Healthy;
        }
        let since = *self.suspect_since.get_or_insert(now);
        let confirmed = now.saturating_duration_since(since) >= self.confirmation_time();
        let bad = score >= self.config.bad_score && confirmed && may_eject;
        if bad { Level::Bad } else { Level::Suspect }
    }

    /// Returns the time that a suspicion must last before [`Level::Bad`]. The baseline follows a
    /// slowdown of the whole service only after slow answers of more than half of the servers
    /// reached the ingresses, so the confirmation time grows with the current latency.
    fn confirmation_time(&self) -> Duration {
        let recent = self.window.median(RECENT_ANSWERS).map_or(Duration::ZERO, duration_from_log2);
        self.config.confirmation_time
            + recent.min(MAX_CONFIRMATION_LATENCY) * CONFIRMATION_LATENCIES
    }

    fn record_fresh(&mut self, started: Instant, sample: &Sample) {
        let fresh = self.suspect_since.is_some_and(|since| started > since);
        let Some(reference_log2) = self.reference_log2() else { return };
        if !fresh {
            return;
        }
        let score = self.latency_score(sample, reference_log2);
        self.fresh_score = (self.fresh_score + score).max(0.0);
        let fast = sample.outcome == Outcome::Ok && score < 0.0;
        self.fresh_fast_answers += u32::from(fast);
    }

    /// Returns the latency score of finished requests and the age score of requests in flight.
    fn slowness_scores(&self, now: Instant, reasons: &mut Vec<Reason>) -> (f64, f64) {
        let Some(reference_log2) = self.reference_log2() else {
            return (0.0, self.age_score_without_reference(now, reasons));
        };
        let latency = self.window.cusum(|sample| self.latency_score(sample, reference_log2)).score;
        if latency >= MIN_REASON_SCORE {
            reasons.push(Reason::Latency {
                score: latency,
                median: self
                    .window
                    .median(RECENT_ANSWERS)
                    .map_or(Duration::ZERO, duration_from_log2),
                reference: duration_from_log2(reference_log2),
            });
        }
        let mut age_score = 0.0;
        let mut requests = 0;
        let mut oldest = Duration::ZERO;
        for age in self.in_flight.ages(now) {
            let score = self.latency_model.age_score(log2_secs(age) - reference_log2);
            age_score += score;
            requests += usize::from(score > 0.0);
            oldest = oldest.max(age);
        }
        if age_score >= MIN_REASON_SCORE {
            reasons.push(Reason::InFlightAge { score: age_score, requests, oldest });
        }
        (latency, age_score)
    }

    /// Returns the age score while no reference is known: only requests in flight beyond the age
    /// limit count.
    fn age_score_without_reference(&self, now: Instant, reasons: &mut Vec<Reason>) -> f64 {
        let aged =
            self.in_flight.ages(now).filter(|age| *age >= self.config.age_limit_without_reference);
        let (requests, oldest) =
            aged.fold((0, Duration::ZERO), |(n, oldest), age| (n + 1, oldest.max(age)));
        let score = requests as f64 * OVER_AGE_LIMIT_SCORE;
        if requests > 0 {
            reasons.push(Reason::InFlightAge { score, requests, oldest });
        }
        score
    }

    fn failure_score(&self, reasons: &mut Vec<Reason>) -> f64 {
        let expected = self.reference.error_ratio();
        let reference_log2 = self.reference_log2();
        let scores = OutcomeScores::new(expected, reference_log2);
        let sum = self.window.cusum(|sample| scores.of(sample));
        if sum.score >= MIN_REASON_SCORE {
            reasons.push(Reason::Failures {
                score: sum.score,
                failures: sum.positive,
                requests: sum.samples,
                expected,
            });
        }
        sum.score
    }

    fn probe_score(&self, reasons: &mut Vec<Reason>) -> f64 {
        let score = (f64::from(self.probe_failures) * PROBE_FAILED_SCORE).min(MAX_PROBE_SCORE);
        if score > 0.0 {
            reasons.push(Reason::Probes { score, failures: self.probe_failures });
        }
        score
    }

    fn latency_score(&self, sample: &Sample, reference_log2: f64) -> f64 {
        let octaves = sample.log2_latency - reference_log2;
        match sample.outcome {
            Outcome::Ok => self.latency_model.finished_score(octaves),
            // The latency is only a lower bound, like the age of a request in flight.
            Outcome::DeadlineMissed | Outcome::Canceled => self.latency_model.age_score(octaves),
            Outcome::ServerError | Outcome::Cut | Outcome::WrongAnswer | Outcome::ConnectFailed => {
                0.0
            }
        }
    }

    fn reference_log2(&self) -> Option<f64> {
        let allowed = if self.phase == Phase::Cold { COLD_ALLOWANCE_OCTAVES } else { 0.0 };
        self.reference.latency().map(|latency| latency.log2() + allowed)
    }

    /// Learns from a sample that drops out of the window, unless the server is not ready or there
    /// is evidence against it. The delay by the window keeps the first answers of a fault from
    /// being learned as normal.
    fn learn(&mut self, sample: Sample) {
        if self.phase != Phase::Ready || self.last_score > self.config.suspect_score / 4.0 {
            return;
        }
        match sample.outcome {
            Outcome::Ok => {
                if let Some(reference) = self.reference.latency() {
                    self.latency_model.learn(sample.log2_latency - reference.log2());
                }
                self.reference.learn_latency(sample.log2_latency.exp2());
                self.reference.learn_outcome(false);
            }
            Outcome::ServerError => self.reference.learn_outcome(true),
            _ => {}
        }
    }

    fn start_own_reference(&mut self) {
        if self.phase != Phase::Ready {
            return;
        }
        if let Some(median) = self.window.median(WINDOW_SIZE) {
            self.reference.set_own_latency(median.exp2());
        }
    }
}

/// Scores of the outcomes of requests, for one assessment.
struct OutcomeScores {
    ok: f64,
    error: f64,
    /// Binary logarithm of the minimum latency in seconds for a missed deadline to count as a
    /// failure. A deadline is fair if a healthy server can meet it; a request that lasted a shorter
    /// time had an unfair deadline. `None` if every missed deadline counts.
    min_fair_log2_latency: Option<f64>,
}

impl OutcomeScores {
    fn new(expected: f64, reference_log2: Option<f64>) -> OutcomeScores {
        let faulty_error_ratio = expected + (1.0 - expected) * FAULTY_SERVER_FAILURE_SHARE;
        OutcomeScores {
            ok: ((1.0 - faulty_error_ratio) / (1.0 - expected)).ln(),
            error: (faulty_error_ratio / expected).ln().min(MAX_ERROR_SCORE),
            min_fair_log2_latency: reference_log2.map(|log2| log2 + FAIR_DEADLINE_OCTAVES),
        }
    }

    fn of(&self, sample: &Sample) -> f64 {
        match sample.outcome {
            Outcome::Ok => self.ok,
            Outcome::ServerError => self.error,
            Outcome::DeadlineMissed => match self.min_fair_log2_latency {
                Some(min_fair_log2_latency) if sample.log2_latency < min_fair_log2_latency => 0.0,
                _ => self.error,
            },
            Outcome::Cut | Outcome::WrongAnswer => BROKEN_ANSWER_SCORE,
            Outcome::Canceled => 0.0,
            Outcome::ConnectFailed => CONNECT_FAILED_SCORE,
        }
    }
}

/// Returns the binary logarithm of a latency in seconds.
fn log2_secs(latency: Duration) -> f64 {
    latency.as_secs_f64().max(MIN_LATENCY_SECS).log2()
}

/// Inverse of [`log2_secs`].
fn duration_from_log2(log2_secs: f64) -> Duration {
    Duration::from_secs_f64(log2_secs.exp2())
}
