//! Guards against faults that are detected late or never, and against healthy servers that are
//! suspected.

use super::{
    Baseline, BaselineEstimator, Detector, DetectorConfig, Level, Observation, Outcome,
    ProbeResult, Reason, TrialOutcome,
};
use crate::base::{Cx, DetectionPreference, Phase, RequestId, ServerId};
use std::time::{Duration, Instant};

const MEDIAN: Duration = Duration::from_millis(50);
const BASELINE: Baseline = Baseline { median: MEDIAN, error_ratio: 0.002 };

struct Fixture {
    cx: Cx,
    detector: Detector,
    next_id: RequestId,
}

impl Fixture {
    fn new(favor: DetectionPreference) -> Fixture {
        let now = Instant::now();
        let detector = Detector::new(DetectorConfig::new(favor), now);
        Fixture { cx: Cx::new(now, 1), detector, next_id: 0 }
    }

    /// Returns a detector that has seen the baseline and 200 healthy answers.
    fn warm(favor: DetectionPreference) -> Fixture {
        let mut fixture = Fixture::new(favor);
        fixture.set_baseline(MEDIAN, 0.002);
        for index in 0..200 {
            fixture.run_request(Outcome::Ok, MEDIAN * (8 + index % 5) / 10);
        }
        fixture
    }

    /// Replaces all baselines that the detector keeps.
    fn set_baseline(&mut self, median: Duration, error_ratio: f64) {
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

    fn run_request(&mut self, outcome: Outcome, latency: Duration) {
        let id = self.start();
        self.advance(latency);
        self.finish(id, outcome, latency);
    }

    fn advance(&mut self, time: Duration) {
        self.cx.now += time;
    }

    fn level(&mut self) -> Level {
        self.detector.assess(&mut self.cx).level
    }
}

#[test]
fn outcomes_are_weighted() {
    struct Case {
        name: &'static str,
        outcome: Outcome,
        latency: Duration,
        requests: usize,
        expected: Level,
    }
    let one_second = Duration::from_secs(1);
    let cases = [
        Case {
            name: "one error",
            outcome: Outcome::ServerError,
            latency: MEDIAN,
            requests: 1,
            expected: Level::Healthy,
        },
        Case {
            name: "errors",
            outcome: Outcome::ServerError,
            latency: MEDIAN,
            requests: 6,
            expected: Level::Suspect,
        },
        Case {
            name: "one refused connection",
            outcome: Outcome::ConnectFailed,
            latency: MEDIAN,
            requests: 1,
            expected: Level::Healthy,
        },
        Case {
            name: "two refused connections",
            outcome: Outcome::ConnectFailed,
            latency: MEDIAN,
            requests: 2,
            expected: Level::Suspect,
        },
        Case {
            name: "wrong answers",
            outcome: Outcome::WrongAnswer,
            latency: MEDIAN,
            requests: 4,
            expected: Level::Suspect,
        },
        Case {
            name: "cut answers",
            outcome: Outcome::Cut,
            latency: MEDIAN,
            requests: 4,
            expected: Level::Suspect,
        },
        Case {
            name: "canceled requests",
            outcome: Outcome::Canceled,
            latency: MEDIAN,
            requests: 300,
            expected: Level::Healthy,
        },
        Case {
            name: "deadlines shorter than the median latency",
            outcome: Outcome::DeadlineMissed,
            latency: MEDIAN / 5,
            requests: 300,
            expected: Level::Healthy,
        },
        Case {
            name: "missed deadlines",
            outcome: Outcome::DeadlineMissed,
            latency: one_second,
            requests: 4,
            expected: Level::Suspect,
        },
        Case {
            name: "slow answers",
            outcome: Outcome::Ok,
            latency: MEDIAN * 5,
            requests: 6,
            expected: Level::Suspect,
        },
        Case {
            name: "one very slow answer",
            outcome: Outcome::Ok,
            latency: one_second * 60,
            requests: 1,
            expected: Level::Healthy,
        },
    ];
    for favor in [DetectionPreference::FastDetection, DetectionPreference::FewFalseEjections] {
        for case in &cases {
            let mut fixture = Fixture::warm(favor);
            for _ in 0..case.requests {
                fixture.run_request(case.outcome, case.latency);
            }
            assert_eq!(fixture.level(), case.expected, "{} with {favor:?}", case.name);
        }
    }
}

/// Guards against a server that stops answering and is not detected. Requests fill its slots and
/// then produce no outcomes to score, so the age of requests in flight must suffice.
#[test]
fn old_requests_in_flight_suffice() {
    let cases = [
        (DetectionPreference::FastDetection, Duration::from_millis(500)),
        (DetectionPreference::FewFalseEjections, Duration::from_millis(900)),
    ];
    for (favor, age) in cases {
        let mut fixture = Fixture::warm(favor);
        for _ in 0..4 {
            fixture.start();
        }
        fixture.advance(MEDIAN);
        assert_eq!(fixture.level(), Level::Healthy, "{favor:?}");
        fixture.advance(age - MEDIAN);
        assert_eq!(fixture.level(), Level::Suspect, "{favor:?}");
        fixture.advance(Duration::from_secs(4));
        assert_eq!(fixture.level(), Level::Bad, "{favor:?}");
    }
}

#[test]
fn two_stuck_requests_are_not_a_faulty_server() {
    let mut fixture = Fixture::warm(DetectionPreference::FastDetection);
    fixture.start();
    fixture.start();
    fixture.advance(Duration::from_secs(600));
    assert_eq!(fixture.level(), Level::Healthy);
}

/// Guards against an ejection because of one stall: the stall delays all four requests in flight,
/// and requests started later are fast.
#[test]
fn a_stall_steers_but_never_ejects() {
    let mut fixture = Fixture::warm(DetectionPreference::FastDetection);
    let ids: Vec<RequestId> = (0..4).map(|_| fixture.start()).collect();
    fixture.advance(MEDIAN * 10);
    assert_eq!(fixture.level(), Level::Suspect);
    for id in ids {
        fixture.finish(id, Outcome::Ok, MEDIAN * 10);
    }
    fixture.advance(Duration::from_secs(60));
    assert_ne!(fixture.level(), Level::Bad);
    for _ in 0..6 {
        fixture.run_request(Outcome::Ok, MEDIAN);
    }
    assert_eq!(fixture.level(), Level::Healthy);
}

/// Guards against the ejection of a healthy server with a long-tailed latency distribution: three
/// slow requests may be in flight together while new requests are answered fast.
#[test]
fn stragglers_steer_but_never_eject() {
    let mut fixture = Fixture::warm(DetectionPreference::FastDetection);
    for _ in 0..3 {
        fixture.start();
    }
    fixture.advance(MEDIAN * 50);
    assert_eq!(fixture.level(), Level::Suspect);
    for _ in 0..4 {
        fixture.run_request(Outcome::Ok, MEDIAN);
    }
    fixture.advance(Duration::from_secs(5));
    assert_eq!(fixture.level(), Level::Suspect);
}

/// Guards against evidence from a pause of the guard itself: requests in flight look old after the
/// pause, although they may have been answered long ago.
#[test]
fn a_pause_of_the_observer_is_no_evidence() {
    let mut fixture = Fixture::warm(DetectionPreference::FastDetection);
    let ids: Vec<RequestId> = (0..4).map(|_| fixture.start()).collect();
    fixture.advance(Duration::from_secs(10));
    fixture.detector.on_pause(&mut fixture.cx, Duration::from_secs(10));
    assert_eq!(fixture.level(), Level::Healthy);
    for id in ids {
        fixture.finish(id, Outcome::DeadlineMissed, Duration::from_secs(10));
    }
    assert_eq!(fixture.level(), Level::Healthy);
}

/// Guards against a pause of the guard that counts as confirmation time.
#[test]
fn a_pause_does_not_confirm_a_suspicion() {
    let mut fixture = Fixture::warm(DetectionPreference::FastDetection);
    for _ in 0..10 {
        fixture.run_request(Outcome::ServerError, MEDIAN);
    }
    assert_eq!(fixture.level(), Level::Suspect);
    fixture.advance(Duration::from_secs(10));
    fixture.detector.on_pause(&mut fixture.cx, Duration::from_secs(10));
    assert_eq!(fixture.level(), Level::Suspect);
    fixture.advance(Duration::from_secs(2));
    assert_eq!(fixture.level(), Level::Bad);
}

#[test]
fn probes_alone_decide_nothing() {
    let mut fixture = Fixture::warm(DetectionPreference::FastDetection);
    for _ in 0..1_000 {
        fixture.detector.on_probe(&mut fixture.cx, ProbeResult::TimedOut);
    }
    let assessment = fixture.detector.assess(&mut fixture.cx);
    assert_eq!(assessment.level, Level::Healthy);
    assert!(assessment.reasons.iter().any(|reason| matches!(reason, Reason::Probes { .. })));
}

/// Guards against samples that keep their score from an outdated baseline after a new baseline
/// shows that the whole service is slow.
#[test]
fn a_rising_baseline_withdraws_the_evidence() {
    let mut fixture = Fixture::warm(DetectionPreference::FastDetection);
    for _ in 0..10 {
        fixture.run_request(Outcome::Ok, MEDIAN * 5);
    }
    assert_eq!(fixture.level(), Level::Suspect);
    fixture.set_baseline(MEDIAN * 5, 0.002);
    assert_eq!(fixture.level(), Level::Healthy);
}

#[test]
fn errors_of_the_whole_service_do_not_single_out_a_server() {
    let mut fixture = Fixture::warm(DetectionPreference::FastDetection);
    fixture.set_baseline(MEDIAN, 0.8);
    for index in 0..60 {
        let outcome = if index % 5 == 0 { Outcome::Ok } else { Outcome::ServerError };
        fixture.run_request(outcome, MEDIAN);
    }
    assert_eq!(fixture.level(), Level::Healthy);
}

#[test]
fn without_a_baseline_the_own_history_is_the_reference() {
    let mut fixture = Fixture::new(DetectionPreference::FastDetection);
    for _ in 0..100 {
        fixture.run_request(Outcome::Ok, MEDIAN);
    }
    for _ in 0..6 {
        fixture.run_request(Outcome::Ok, MEDIAN * 5);
    }
    assert_eq!(fixture.level(), Level::Suspect);
}

#[test]
fn without_a_reference_only_requests_beyond_the_age_limit_count() {
    let mut fixture = Fixture::new(DetectionPreference::FastDetection);
    for index in 0..20 {
        fixture.run_request(Outcome::Ok, MEDIAN * (1 + index % 20));
    }
    assert_eq!(fixture.level(), Level::Healthy);
    for _ in 0..4 {
        fixture.start();
    }
    fixture.advance(Duration::from_secs(1));
    assert_eq!(fixture.level(), Level::Healthy);
    fixture.advance(Duration::from_secs(5));
    assert_eq!(fixture.level(), Level::Suspect);
}

#[test]
fn a_cold_server_may_be_slow() {
    let mut fixture = Fixture::warm(DetectionPreference::FastDetection);
    fixture.detector.on_phase(&mut fixture.cx, Phase::Cold);
    for _ in 0..20 {
        fixture.run_request(Outcome::Ok, MEDIAN * 4);
    }
    assert_eq!(fixture.level(), Level::Healthy);
}

#[test]
fn trials_are_compared_with_the_reference() {
    let fixture = Fixture::warm(DetectionPreference::FastDetection);
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
            fixture.detector.classify_trial(&observation),
            expect,
            "{outcome:?} after {latency:?}"
        );
    }
}

fn answer(
    cx: &mut Cx,
    estimator: &mut BaselineEstimator,
    server: usize,
    latency_factor: u32,
    ok: bool,
) {
    let id = ServerId::from(format!("server-{server}"));
    estimator.on_answer(cx, &id, MEDIAN * latency_factor, ok);
}

/// Guards against a minority of faulty servers that moves the baseline of the service.
#[test]
fn baseline_ignores_a_faulty_minority() {
    for server_count in [3, 6, 8, 10, 400] {
        let mut cx = Cx::new(Instant::now(), 1);
        let mut estimator = BaselineEstimator::new();
        for _ in 0..50 {
            for server in 0..server_count {
                let faulty = server < (server_count - 1) / 2;
                answer(&mut cx, &mut estimator, server, if faulty { 100 } else { 1 }, true);
                if faulty {
                    answer(&mut cx, &mut estimator, server, 1, false);
                }
            }
        }
        let baseline = estimator.baseline().expect("enough servers");
        assert!(baseline.median <= BASELINE.median * 101 / 100, "{server_count}: {baseline:?}");
        assert!(baseline.error_ratio < 0.01, "{server_count}: {baseline:?}");
    }
}

/// Guards against a baseline that lags behind a slowdown of the whole service, so that guards
/// confirm suspicions of healthy servers.
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
