//! Sequential likelihood test over the requests of one backend server.

use super::assessment::{Assessment, Level, Reason};
use super::baseline::Baseline;
use super::config::DetectorConfig;
use super::in_flight::InFlight;
use super::observation::{Observation, Outcome, ProbeResult, TrialOutcome};
use super::reference::Reference;
use super::tail::Tail;
use super::window::{Sample, WINDOW, Window};
use crate::base::{Cx, Phase, RequestId};
use std::time::{Duration, Instant};

/// Error ratio added by the sickness that the outcome test looks for.
const SICK_ERRORS: f64 = 0.3;
/// Score of a refused loopback connection. No network lies between, so two in a row suffice.
const CONNECT_FAILED: f64 = 9.0;
/// Score of an answer that is cut or wrong; an overloaded healthy server does neither.
const BROKEN_ANSWER: f64 = 4.5;
/// Largest score of one error or missed deadline.
const ERROR_CAP: f64 = 3.5;
/// A missed deadline counts as a failure when the request lasted this many octaves longer than
/// the reference: eight times. Callers may set deadlines that no healthy server can meet.
const FAIR_DEADLINE_OCTAVES: f64 = 3.0;
/// Slowness allowed in the phase [`Phase::Cold`], in octaves: four times the reference.
const COLD_OCTAVES: f64 = 2.0;
/// Score of one failed probe and the bound of their sum. Health endpoints lag and mislead.
const PROBE_FAILED: f64 = 0.5;
const PROBE_CAP: f64 = 2.0;
/// Score of a request that is older than the absolute age while no reference is known.
const ABSOLUTE_AGE: f64 = 4.0;
/// Finished requests before the own past becomes a reference.
const OWN_PAST_SAMPLES: usize = 32;
/// A trial answer this many octaves slower than the reference is bad: four times.
const TRIAL_OCTAVES: f64 = 2.0;
/// Score that requests started after the suspicion must reach before slowness alone may eject.
/// A pause of the whole server delays all its requests at once; they are one event, not four.
/// Two merely slow answers do not suffice: the long-tail trace shows them to a healthy server
/// once in 21 server-hours.
const FRESH_NEEDED: f64 = 6.0;
/// Fast answers to fresh requests after which old requests in flight are stragglers of a healthy
/// server, not a black hole.
const STRAGGLERS: u32 = 2;
/// Newest answers that show the current latency.
const RECENT: usize = 5;
/// Current latencies added to the confirmation time, and the longest latency that counts.
const CONFIRM_ANSWERS: u32 = 4;
const LONGEST_ANSWER: Duration = Duration::from_secs(2);
/// Smallest score that is stated as a reason. Healthy servers often reach less by chance.
const LEAST_REASON: f64 = 3.0;
/// Shortest latency told apart from zero.
const SHORTEST: f64 = 1e-6;

/// Evidence about one backend server. Memory is bounded, and each call does constant work.
#[derive(Clone, Debug)]
pub struct Detector {
    config: DetectorConfig,
    phase: Phase,
    reference: Reference,
    tail: Tail,
    window: Window,
    in_flight: InFlight,
    probe_failures: u32,
    suspect_since: Option<Instant>,
    /// Cumulative latency score of requests that started after the suspicion.
    fresh: f64,
    /// Of these requests, the ones answered as fast as by a healthy server.
    fresh_good: u32,
    evidence_since: Instant,
    score: f64,
}

impl Detector {
    /// Returns a detector without evidence and without a past.
    pub fn new(config: DetectorConfig, now: Instant) -> Detector {
        Detector {
            config,
            phase: Phase::Ready,
            reference: Reference::default(),
            tail: Tail::new(),
            window: Window::default(),
            in_flight: InFlight::default(),
            probe_failures: 0,
            suspect_since: None,
            fresh: 0.0,
            fresh_good: 0,
            evidence_since: now,
            score: 0.0,
        }
    }

    /// Replaces the thresholds and keeps the evidence.
    pub fn set_config(&mut self, config: DetectorConfig) {
        self.config = config;
    }

    /// Notes the announced phase. A cold server may be slow, and nothing is learned from it.
    pub fn on_phase(&mut self, _cx: &mut Cx, phase: Phase) {
        self.phase = phase;
    }

    /// Notes that a request was sent to the backend server.
    pub fn on_start(&mut self, cx: &mut Cx, id: RequestId) {
        self.in_flight.start(id, cx.now);
    }

    /// Notes that a request ended.
    pub fn on_finish(&mut self, _cx: &mut Cx, observation: Observation) {
        let Some(started) = self.in_flight.finish(observation.id) else { return };
        let sample = Sample { outcome: observation.outcome, octave: octave(observation.latency) };
        self.count_fresh(started, &sample);
        if let Some(oldest) = self.window.push(sample) {
            self.learn(oldest);
        }
        if !self.reference.knows_own() && self.window.len() >= OWN_PAST_SAMPLES {
            self.begin_own_past();
        }
    }

    /// Takes a service-wide baseline that came with a request.
    pub fn on_baseline(&mut self, _cx: &mut Cx, baseline: Baseline) {
        self.reference.add(baseline);
    }

    /// Takes the result of a probe of the health endpoint.
    pub fn on_probe(&mut self, _cx: &mut Cx, result: ProbeResult) {
        match result {
            ProbeResult::Healthy => self.probe_failures = 0,
            ProbeResult::Unhealthy | ProbeResult::TimedOut => {
                self.probe_failures = self.probe_failures.saturating_add(1);
            }
        }
    }

    /// Discards the evidence of a time in which this process itself did not run. The ages and
    /// latencies of requests that were in flight say nothing about the backend server.
    pub fn on_pause(&mut self, cx: &mut Cx, length: Duration) {
        self.in_flight.restart(cx.now);
        self.suspect_since = self.suspect_since.map(|since| (since + length).min(cx.now));
        self.probe_failures = 0;
    }

    /// Discards all evidence and keeps the learned past. Called when probation begins, so that
    /// the trial requests alone decide.
    pub fn reset_evidence(&mut self, cx: &mut Cx) {
        self.window.clear();
        self.in_flight.restart(cx.now);
        self.probe_failures = 0;
        self.suspect_since = None;
        self.fresh = 0.0;
        self.fresh_good = 0;
        self.evidence_since = cx.now;
        self.score = 0.0;
    }

    /// Returns how a trial request went.
    pub fn classify_trial(&self, observation: &Observation) -> TrialOutcome {
        let slow = self
            .reference_octave()
            .map(|reference| octave(observation.latency) - reference > TRIAL_OCTAVES);
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
        let (latency, age) = self.slowness(cx.now, &mut reasons);
        let failures = self.failures(&mut reasons);
        let probes = self.probes(&mut reasons);
        let score = failures.max(latency + age) + probes;
        self.score = score;
        let independent = failures + probes >= self.config.bad_score
            || (age >= self.config.suspect_score && self.fresh_good < STRAGGLERS)
            || self.fresh >= FRESH_NEEDED;
        let level = self.level(cx.now, score, independent);
        Assessment { level, score, reasons }
    }

    /// Returns the time since which evidence counts.
    pub fn evidence_since(&self) -> Instant {
        self.evidence_since
    }

    fn level(&mut self, now: Instant, score: f64, independent: bool) -> Level {
        if score < self.config.suspect_score {
            self.suspect_since = None;
            self.fresh = 0.0;
            self.fresh_good = 0;
            return Level::Healthy;
        }
        let since = *self.suspect_since.get_or_insert(now);
        let confirmed = now.saturating_duration_since(since) >= self.confirmation_time();
        let bad = score >= self.config.bad_score && confirmed && independent;
        if bad { Level::Bad } else { Level::Suspect }
    }

    /// The baseline follows a slowdown of the whole service only after slow answers of half the
    /// servers reached the ingresses, so the time to wait grows with the latency itself.
    fn confirmation_time(&self) -> Duration {
        let recent = self.window.median(RECENT).map_or(Duration::ZERO, from_octave);
        self.config.confirmation_time + recent.min(LONGEST_ANSWER) * CONFIRM_ANSWERS
    }

    fn count_fresh(&mut self, started: Instant, sample: &Sample) {
        let fresh = self.suspect_since.is_some_and(|since| started > since);
        let Some(reference) = self.reference_octave() else { return };
        if !fresh {
            return;
        }
        let score = self.latency_score(sample, reference);
        self.fresh = (self.fresh + score).max(0.0);
        let good = sample.outcome == Outcome::Ok && score < 0.0;
        self.fresh_good += u32::from(good);
    }

    /// Returns the scores of finished requests and of requests in flight.
    fn slowness(&self, now: Instant, reasons: &mut Vec<Reason>) -> (f64, f64) {
        let Some(reference) = self.reference_octave() else {
            return (0.0, self.absolute_ages(now, reasons));
        };
        let latency = self.window.cusum(|sample| self.latency_score(sample, reference)).score;
        if latency >= LEAST_REASON {
            reasons.push(Reason::Latency {
                score: latency,
                median: self.window.median(RECENT).map_or(Duration::ZERO, from_octave),
                reference: from_octave(reference),
            });
        }
        let mut age = 0.0;
        let mut requests = 0;
        let mut oldest = Duration::ZERO;
        for each in self.in_flight.ages(now) {
            let score = self.tail.age_score(octave(each) - reference);
            age += score;
            requests += usize::from(score > 0.0);
            oldest = oldest.max(each);
        }
        if age >= LEAST_REASON {
            reasons.push(Reason::InFlightAge { score: age, requests, oldest });
        }
        (latency, age)
    }

    /// Scores ages without a reference: only a request that outlived any plausible one counts.
    fn absolute_ages(&self, now: Instant, reasons: &mut Vec<Reason>) -> f64 {
        let aged =
            self.in_flight.ages(now).filter(|age| *age >= self.config.age_limit_without_reference);
        let (requests, oldest) =
            aged.fold((0, Duration::ZERO), |(n, oldest), age| (n + 1, oldest.max(age)));
        let score = requests as f64 * ABSOLUTE_AGE;
        if requests > 0 {
            reasons.push(Reason::InFlightAge { score, requests, oldest });
        }
        score
    }

    fn failures(&self, reasons: &mut Vec<Reason>) -> f64 {
        let expected = self.reference.error_ratio();
        let reference = self.reference_octave();
        let scores = OutcomeScores::new(expected, reference);
        let sum = self.window.cusum(|sample| scores.of(sample));
        if sum.score >= LEAST_REASON {
            reasons.push(Reason::Failures {
                score: sum.score,
                failures: sum.against,
                requests: sum.samples,
                expected,
            });
        }
        sum.score
    }

    fn probes(&self, reasons: &mut Vec<Reason>) -> f64 {
        let score = (f64::from(self.probe_failures) * PROBE_FAILED).min(PROBE_CAP);
        if score > 0.0 {
            reasons.push(Reason::Probes { score, failures: self.probe_failures });
        }
        score
    }

    fn latency_score(&self, sample: &Sample, reference: f64) -> f64 {
        let octaves = sample.octave - reference;
        match sample.outcome {
            Outcome::Ok => self.tail.finished_score(octaves),
            // Censored: the request would have lasted at least this long.
            Outcome::DeadlineMissed | Outcome::Canceled => self.tail.age_score(octaves),
            Outcome::ServerError | Outcome::Cut | Outcome::WrongAnswer | Outcome::ConnectFailed => {
                0.0
            }
        }
    }

    fn reference_octave(&self) -> Option<f64> {
        let allowed = if self.phase == Phase::Cold { COLD_OCTAVES } else { 0.0 };
        self.reference.latency().map(|latency| latency.log2() + allowed)
    }

    /// Learns from a sample that leaves the window while nothing speaks against the server. The
    /// delay keeps the first answers of a fault from being learned as normal.
    fn learn(&mut self, sample: Sample) {
        if self.phase != Phase::Ready || self.score > self.config.suspect_score / 4.0 {
            return;
        }
        match sample.outcome {
            Outcome::Ok => {
                if let Some(reference) = self.reference.latency() {
                    self.tail.learn(sample.octave - reference.log2());
                }
                self.reference.learn_latency(sample.octave.exp2());
                self.reference.learn_error(false);
            }
            Outcome::ServerError => self.reference.learn_error(true),
            _ => {}
        }
    }

    fn begin_own_past(&mut self) {
        if self.phase != Phase::Ready {
            return;
        }
        if let Some(median) = self.window.median(WINDOW) {
            self.reference.set_own(median.exp2());
        }
    }
}

/// Scores of the outcome test, computed once for an assessment.
struct OutcomeScores {
    ok: f64,
    error: f64,
    fair_deadline: Option<f64>,
}

impl OutcomeScores {
    fn new(expected: f64, reference: Option<f64>) -> OutcomeScores {
        let sick = expected + (1.0 - expected) * SICK_ERRORS;
        OutcomeScores {
            ok: ((1.0 - sick) / (1.0 - expected)).ln(),
            error: (sick / expected).ln().min(ERROR_CAP),
            fair_deadline: reference.map(|reference| reference + FAIR_DEADLINE_OCTAVES),
        }
    }

    fn of(&self, sample: &Sample) -> f64 {
        match sample.outcome {
            Outcome::Ok => self.ok,
            Outcome::ServerError => self.error,
            Outcome::DeadlineMissed => match self.fair_deadline {
                Some(fair) if sample.octave < fair => 0.0,
                _ => self.error,
            },
            Outcome::Cut | Outcome::WrongAnswer => BROKEN_ANSWER,
            Outcome::Canceled => 0.0,
            Outcome::ConnectFailed => CONNECT_FAILED,
        }
    }
}

fn octave(latency: Duration) -> f64 {
    latency.as_secs_f64().max(SHORTEST).log2()
}

fn from_octave(octave: f64) -> Duration {
    Duration::from_secs_f64(octave.exp2())
}
