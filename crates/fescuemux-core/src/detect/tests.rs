//! Guards against faults that are found too late, and against evidence that is none.

use super::{
    Baseline, BaselineEstimator, Detector, DetectorConfig, Level, Observation, Outcome,
    ProbeResult, Reason, TrialOutcome,
};
use crate::base::{Cx, DetectionPreference, Phase, RequestId, ServerId};
use std::time::{Duration, Instant};

const MEDIAN: Duration = Duration::from_millis(50);
const BASELINE: Baseline = Baseline { median: MEDIAN, error_ratio: 0.002 };

struct Bench {
    cx: Cx,
    detector: Detector,
    next_id: RequestId,
}

impl Bench {
    fn new(favor: DetectionPreference) -> Bench {
        let now = Instant::now();
        let detector = Detector::new(DetectorConfig::new(favor), now);
        Bench { cx: Cx::new(now, 1), detector, next_id: 0 }
    }

    /// Returns a detector that knows the baseline and 200 healthy answers.
    fn warm(favor: DetectionPreference) -> Bench {
        let mut bench = Bench::new(favor);
        bench.baseline(MEDIAN, 0.002);
        for index in 0..200 {
            bench.request(Outcome::Ok, MEDIAN * (8 + index % 5) / 10);
        }
        bench
    }

    fn baseline(&mut self, median: Duration, error_ratio: f64) {
        for _ in 0..5 {
            self.detector.on_baseline(&mut self.cx, Baseline { median, error_ratio });
        }
    }

    fn start(&mut self) -> RequestId {
        self.next_id += 1;
        self.detector.on_start(&mut self.cx, self.next_id);
        self.next_id
    }

    fn finish(&mut self, id: RequestId, outcome: Outcome, latency: Duration) {
        self.detector.on_finish(&mut self.cx, Observation { id, outcome, latency });
    }

    fn request(&mut self, outcome: Outcome, latency: Duration) {
        let id = self.start();
        self.pass(latency);
        self.finish(id, outcome, latency);
    }

    fn pass(&mut self, time: Duration) {
        self.cx.now += time;
    }

    fn level(&mut self) -> Level {
        self.detector.assess(&mut self.cx).level
    }
}

#[test]
fn outcomes_count_by_their_weight() {
    struct Case {
        name: &'static str,
        outcome: Outcome,
        latency: Duration,
        requests: usize,
        level: Level,
    }
    let long = Duration::from_secs(1);
    let cases = [
        Case {
            name: "one error",
            outcome: Outcome::ServerError,
            latency: MEDIAN,
            requests: 1,
            level: Level::Healthy,
        },
        Case {
            name: "errors",
            outcome: Outcome::ServerError,
            latency: MEDIAN,
            requests: 6,
            level: Level::Suspect,
        },
        Case {
            name: "one refused connection",
            outcome: Outcome::ConnectFailed,
            latency: MEDIAN,
            requests: 1,
            level: Level::Healthy,
        },
        Case {
            name: "two refused connections",
            outcome: Outcome::ConnectFailed,
            latency: MEDIAN,
            requests: 2,
            level: Level::Suspect,
        },
        Case {
            name: "wrong answers",
            outcome: Outcome::WrongAnswer,
            latency: MEDIAN,
            requests: 4,
            level: Level::Suspect,
        },
        Case {
            name: "cut answers",
            outcome: Outcome::Cut,
            latency: MEDIAN,
            requests: 4,
            level: Level::Suspect,
        },
        Case {
            name: "impatient callers",
            outcome: Outcome::Canceled,
            latency: MEDIAN,
            requests: 300,
            level: Level::Healthy,
        },
        Case {
            name: "deadlines that nobody meets",
            outcome: Outcome::DeadlineMissed,
            latency: MEDIAN / 5,
            requests: 300,
            level: Level::Healthy,
        },
        Case {
            name: "missed deadlines",
            outcome: Outcome::DeadlineMissed,
            latency: long,
            requests: 4,
            level: Level::Suspect,
        },
        Case {
            name: "slow answers",
            outcome: Outcome::Ok,
            latency: MEDIAN * 5,
            requests: 6,
            level: Level::Suspect,
        },
        Case {
            name: "one very slow answer",
            outcome: Outcome::Ok,
            latency: long * 60,
            requests: 1,
            level: Level::Healthy,
        },
    ];
    for favor in [DetectionPreference::FastDetection, DetectionPreference::FewFalseEjections] {
        for case in &cases {
            let mut bench = Bench::warm(favor);
            for _ in 0..case.requests {
                bench.request(case.outcome, case.latency);
            }
            assert_eq!(bench.level(), case.level, "{} with {favor:?}", case.name);
        }
    }
}

/// A black hole fills the slots and then produces no completion to count.
#[test]
fn age_of_requests_in_flight_is_enough() {
    let cases = [
        (DetectionPreference::FastDetection, Duration::from_millis(500)),
        (DetectionPreference::FewFalseEjections, Duration::from_millis(900)),
    ];
    for (favor, age) in cases {
        let mut bench = Bench::warm(favor);
        for _ in 0..4 {
            bench.start();
        }
        bench.pass(MEDIAN);
        assert_eq!(bench.level(), Level::Healthy, "{favor:?}");
        bench.pass(age - MEDIAN);
        assert_eq!(bench.level(), Level::Suspect, "{favor:?}");
        bench.pass(Duration::from_secs(4));
        assert_eq!(bench.level(), Level::Bad, "{favor:?}");
    }
}

#[test]
fn two_stuck_requests_are_not_a_sick_server() {
    let mut bench = Bench::warm(DetectionPreference::FastDetection);
    bench.start();
    bench.start();
    bench.pass(Duration::from_secs(600));
    assert_eq!(bench.level(), Level::Healthy);
}

/// Four requests delayed by one stall are one event; nothing fresh confirms them.
#[test]
fn a_stall_steers_but_never_ejects() {
    let mut bench = Bench::warm(DetectionPreference::FastDetection);
    let ids: Vec<RequestId> = (0..4).map(|_| bench.start()).collect();
    bench.pass(MEDIAN * 10);
    assert_eq!(bench.level(), Level::Suspect);
    for id in ids {
        bench.finish(id, Outcome::Ok, MEDIAN * 10);
    }
    bench.pass(Duration::from_secs(60));
    assert_ne!(bench.level(), Level::Bad);
    for _ in 0..6 {
        bench.request(Outcome::Ok, MEDIAN);
    }
    assert_eq!(bench.level(), Level::Healthy);
}

/// Three requests of a long tail may be in flight together while new ones are answered fast.
#[test]
fn stragglers_steer_but_never_eject() {
    let mut bench = Bench::warm(DetectionPreference::FastDetection);
    for _ in 0..3 {
        bench.start();
    }
    bench.pass(MEDIAN * 50);
    assert_eq!(bench.level(), Level::Suspect);
    for _ in 0..4 {
        bench.request(Outcome::Ok, MEDIAN);
    }
    bench.pass(Duration::from_secs(5));
    assert_eq!(bench.level(), Level::Suspect);
}

/// A paused observer sees old requests that may long have been answered.
#[test]
fn a_pause_of_the_observer_is_no_evidence() {
    let mut bench = Bench::warm(DetectionPreference::FastDetection);
    let ids: Vec<RequestId> = (0..4).map(|_| bench.start()).collect();
    bench.pass(Duration::from_secs(10));
    bench.detector.on_pause(&mut bench.cx, Duration::from_secs(10));
    assert_eq!(bench.level(), Level::Healthy);
    for id in ids {
        bench.finish(id, Outcome::DeadlineMissed, Duration::from_secs(10));
    }
    assert_eq!(bench.level(), Level::Healthy);
}

/// The time to confirm a suspicion does not pass while the observer is paused.
#[test]
fn a_pause_does_not_confirm_a_suspicion() {
    let mut bench = Bench::warm(DetectionPreference::FastDetection);
    for _ in 0..10 {
        bench.request(Outcome::ServerError, MEDIAN);
    }
    assert_eq!(bench.level(), Level::Suspect);
    bench.pass(Duration::from_secs(10));
    bench.detector.on_pause(&mut bench.cx, Duration::from_secs(10));
    assert_eq!(bench.level(), Level::Suspect);
    bench.pass(Duration::from_secs(2));
    assert_eq!(bench.level(), Level::Bad);
}

#[test]
fn probes_alone_decide_nothing() {
    let mut bench = Bench::warm(DetectionPreference::FastDetection);
    for _ in 0..1_000 {
        bench.detector.on_probe(&mut bench.cx, ProbeResult::TimedOut);
    }
    let assessment = bench.detector.assess(&mut bench.cx);
    assert_eq!(assessment.level, Level::Healthy);
    assert!(assessment.reasons.iter().any(|reason| matches!(reason, Reason::Probes { .. })));
}

/// The evidence in the window is weighed again when the whole service turns out to be slow.
#[test]
fn a_rising_baseline_withdraws_the_evidence() {
    let mut bench = Bench::warm(DetectionPreference::FastDetection);
    for _ in 0..10 {
        bench.request(Outcome::Ok, MEDIAN * 5);
    }
    assert_eq!(bench.level(), Level::Suspect);
    bench.baseline(MEDIAN * 5, 0.002);
    assert_eq!(bench.level(), Level::Healthy);
}

#[test]
fn errors_of_the_whole_service_do_not_single_out_a_server() {
    let mut bench = Bench::warm(DetectionPreference::FastDetection);
    bench.baseline(MEDIAN, 0.8);
    for index in 0..60 {
        let outcome = if index % 5 == 0 { Outcome::Ok } else { Outcome::ServerError };
        bench.request(outcome, MEDIAN);
    }
    assert_eq!(bench.level(), Level::Healthy);
}

#[test]
fn without_a_baseline_the_own_past_counts() {
    let mut bench = Bench::new(DetectionPreference::FastDetection);
    for _ in 0..100 {
        bench.request(Outcome::Ok, MEDIAN);
    }
    for _ in 0..6 {
        bench.request(Outcome::Ok, MEDIAN * 5);
    }
    assert_eq!(bench.level(), Level::Suspect);
}

#[test]
fn without_any_past_only_absolute_evidence_counts() {
    let mut bench = Bench::new(DetectionPreference::FastDetection);
    for index in 0..20 {
        bench.request(Outcome::Ok, MEDIAN * (1 + index % 20));
    }
    assert_eq!(bench.level(), Level::Healthy);
    for _ in 0..4 {
        bench.start();
    }
    bench.pass(Duration::from_secs(1));
    assert_eq!(bench.level(), Level::Healthy);
    bench.pass(Duration::from_secs(5));
    assert_eq!(bench.level(), Level::Suspect);
}

#[test]
fn a_cold_server_may_be_slow() {
    let mut bench = Bench::warm(DetectionPreference::FastDetection);
    bench.detector.on_phase(&mut bench.cx, Phase::Cold);
    for _ in 0..20 {
        bench.request(Outcome::Ok, MEDIAN * 4);
    }
    assert_eq!(bench.level(), Level::Healthy);
}

#[test]
fn trials_are_judged_by_the_reference() {
    let bench = Bench::warm(DetectionPreference::FastDetection);
    let cases = [
        (Outcome::Ok, MEDIAN, TrialOutcome::Good),
        (Outcome::Ok, MEDIAN * 6, TrialOutcome::Bad),
        (Outcome::ServerError, MEDIAN, TrialOutcome::Bad),
        (Outcome::Canceled, MEDIAN * 6, TrialOutcome::Unknown),
        (Outcome::DeadlineMissed, MEDIAN, TrialOutcome::Unknown),
        (Outcome::DeadlineMissed, MEDIAN * 60, TrialOutcome::Bad),
    ];
    for (outcome, latency, expect) in cases {
        let observation = Observation { id: 1, outcome, latency };
        assert_eq!(
            bench.detector.classify_trial(&observation),
            expect,
            "{outcome:?} after {latency:?}"
        );
    }
}

fn answer(cx: &mut Cx, estimator: &mut BaselineEstimator, server: usize, factor: u32, ok: bool) {
    let id = ServerId::from(format!("server-{server}"));
    estimator.on_answer(cx, &id, MEDIAN * factor, ok);
}

/// A minority of sick servers must not become the standard for all.
#[test]
fn baseline_ignores_a_sick_minority() {
    for pool in [3, 6, 8, 10, 400] {
        let mut cx = Cx::new(Instant::now(), 1);
        let mut estimator = BaselineEstimator::new();
        for _ in 0..50 {
            for server in 0..pool {
                let sick = server < (pool - 1) / 2;
                answer(&mut cx, &mut estimator, server, if sick { 100 } else { 1 }, true);
                if sick {
                    answer(&mut cx, &mut estimator, server, 1, false);
                }
            }
        }
        let baseline = estimator.baseline().expect("enough servers");
        assert!(baseline.median <= BASELINE.median * 101 / 100, "{pool}: {baseline:?}");
        assert!(baseline.error_ratio < 0.01, "{pool}: {baseline:?}");
    }
}

/// The baseline must move before the guards confirm their suspicion.
#[test]
fn baseline_follows_a_slow_service_within_one_answer_each() {
    let mut cx = Cx::new(Instant::now(), 1);
    let mut estimator = BaselineEstimator::new();
    for _ in 0..50 {
        for server in 0..8 {
            answer(&mut cx, &mut estimator, server, 1, true);
        }
    }
    for server in 0..8 {
        answer(&mut cx, &mut estimator, server, 5, true);
    }
    let baseline = estimator.baseline().expect("enough servers");
    assert!(baseline.median >= MEDIAN * 49 / 10, "{baseline:?}");
}

#[test]
fn two_servers_are_no_majority() {
    let mut cx = Cx::new(Instant::now(), 1);
    let mut estimator = BaselineEstimator::new();
    for server in [0, 1, 0, 1] {
        answer(&mut cx, &mut estimator, server, 1, true);
    }
    assert_eq!(estimator.baseline(), None);
}
