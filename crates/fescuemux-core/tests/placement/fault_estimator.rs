use crate::support::{controller_with_server, ms, slot_request};
use fescuemux_core::base::Cx;
use fescuemux_core::placement::{
    Admission, AdmissionController, Evidence, FaultEstimator, InFlightRequest, RequestOutcome,
};
use rand::Rng;
use std::time::{Duration, Instant};

/// A single failure is normal for a healthy server; two in a row are not.
#[test]
fn evidence_adds_up() {
    use Evidence::{Failure, Success, Unanswered};
    struct Case {
        name: &'static str,
        evidence: &'static [Evidence],
        at_least: f64,
        at_most: f64,
    }
    let cases = [
        Case { name: "none", evidence: &[], at_least: 0.1, at_most: 0.2 },
        Case { name: "successes only", evidence: &[Success; 5], at_least: 0.0, at_most: 0.05 },
        Case {
            name: "one failure after successes",
            evidence: &[Success, Success, Success, Success, Failure],
            at_least: 0.2,
            at_most: 0.6,
        },
        Case {
            name: "two failures after successes",
            evidence: &[Success, Success, Success, Success, Failure, Failure],
            at_least: 0.85,
            at_most: 1.0,
        },
        Case {
            name: "a hanging request",
            evidence: &[Unanswered(5.0)],
            at_least: 0.7,
            at_most: 1.0,
        },
        Case { name: "canceled early", evidence: &[Unanswered(0.3)], at_least: 0.1, at_most: 0.25 },
    ];
    for case in cases {
        let now = Instant::now();
        let mut estimator = FaultEstimator::new(now);
        case.evidence.iter().for_each(|evidence| estimator.add(now, *evidence));
        let probability = estimator.probability(now, std::iter::empty());
        assert!(
            probability >= case.at_least && probability <= case.at_most,
            "{}: {probability}",
            case.name
        );
    }
}

/// Old evidence decays, so that a server gets requests again after its fault.
#[test]
fn evidence_fades() {
    let now = Instant::now();
    let mut estimator = FaultEstimator::new(now);
    estimator.add(now, Evidence::Failure);
    estimator.add(now, Evidence::Failure);
    let probabilities: Vec<f64> = [0, 3, 6, 12, 60]
        .map(|s| estimator.probability(now + ms(s * 1_000), std::iter::empty()))
        .into();
    assert!(probabilities.is_sorted_by(|a, b| a > b), "{probabilities:?}");
    assert!(probabilities[4] < 0.2, "{probabilities:?}");
}

/// Hanging requests fail only at their deadline, so their elapsed time must count before the
/// deadline.
#[test]
fn hanging_requests_raise_the_estimate_before_their_deadline() {
    let now = Instant::now();
    let mut controller = controller_with_server(now);
    for ticket in 1..=4 {
        assert_eq!(controller.request_slot(now, ticket, slot_request(now)), Admission::Granted);
        assert!(controller.start(now, ticket));
    }
    assert!(controller.failure_probability(now + ms(100)) < 0.3);
    assert!(
        controller.failure_probability(now + ms(1_000)) > 0.8,
        "{}",
        controller.failure_probability(now + ms(1_000))
    );
}

fn run_request(
    controller: &mut AdmissionController,
    now: Instant,
    ticket: u64,
    running_ms: u64,
    outcome: RequestOutcome,
) {
    assert_eq!(controller.request_slot(now, ticket, slot_request(now)), Admission::Granted);
    assert!(controller.start(now, ticket));
    controller.finish(now + ms(running_ms), ticket, outcome);
}

/// A server whose nested requests fail elsewhere is not faulty.
#[test]
fn a_failed_nested_request_is_no_evidence() {
    struct Case {
        outcome: RequestOutcome,
        likely_faulty: bool,
    }
    let cases = [
        Case { outcome: RequestOutcome::CallFailed, likely_faulty: false },
        Case { outcome: RequestOutcome::Shed, likely_faulty: false },
        Case { outcome: RequestOutcome::Answered, likely_faulty: false },
        Case { outcome: RequestOutcome::Failed, likely_faulty: true },
        Case { outcome: RequestOutcome::Unreachable, likely_faulty: true },
    ];
    for case in cases {
        let now = Instant::now();
        let mut controller = controller_with_server(now);
        for ticket in 1..=3 {
            run_request(&mut controller, now, ticket, 300, case.outcome);
        }
        let likely_faulty = controller.failure_probability(now + ms(300)) > 0.5;
        assert_eq!(likely_faulty, case.likely_faulty, "{:?}", case.outcome);
    }
}

/// Each request in flight on a full server is weak evidence of a fault. All requests in flight
/// together must not outweigh the answers that the server keeps giving. Otherwise no request may
/// wait for this server, and requests go to faulty servers instead.
#[test]
fn a_full_server_that_answers_is_not_doubted() {
    /// Failure probability above which no request may wait for a server.
    const NO_QUEUE_PROBABILITY: f64 = 0.75;
    const EXPECTED_RUNNING_TIME: Duration = Duration::from_millis(160);
    /// Maximum share of time in which a healthy server may look so faulty that no request may wait
    /// for this server.
    const MAX_NO_QUEUE_SHARE: f64 = 0.01;
    for slots in [2, 4, 8, 16] {
        let start = Instant::now();
        let mut cx = Cx::new(start, slots);
        let mut estimator = FaultEstimator::new(start);
        let mut random_running_time =
            || EXPECTED_RUNNING_TIME.mul_f64(cx.rng.random_range(0.4..1.6));
        let mut running: Vec<(Instant, Instant)> =
            (0..slots).map(|_| (start, start + random_running_time())).collect();
        let to_in_flight = |running: &[(Instant, Instant)], now: Instant| -> Vec<InFlightRequest> {
            let elapsed = running.iter().map(|(began, _)| now.saturating_duration_since(*began));
            elapsed
                .map(|elapsed| InFlightRequest {
                    elapsed,
                    expected_running_time: EXPECTED_RUNNING_TIME,
                })
                .collect()
        };
        let mut no_queue_ms = 0;
        for elapsed_ms in 0..10_000 {
            let now = start + ms(elapsed_ms);
            for (began, ends) in running.iter_mut().filter(|(_, ends)| *ends <= now) {
                estimator.add(now, Evidence::Success);
                (*began, *ends) = (now, now + random_running_time());
            }
            let probability = estimator.probability(now, to_in_flight(&running, now).into_iter());
            no_queue_ms += u32::from(probability > NO_QUEUE_PROBABILITY);
        }
        assert!(
            f64::from(no_queue_ms) <= MAX_NO_QUEUE_SHARE * 10_000.0,
            "{slots} slots: {no_queue_ms} ms of 10 s"
        );
        let all_hang_at = start + ms(10_000) + EXPECTED_RUNNING_TIME * 4;
        let probability =
            estimator.probability(all_hang_at, to_in_flight(&running, all_hang_at).into_iter());
        assert!(
            probability > NO_QUEUE_PROBABILITY,
            "{slots} slots: {probability} when all of them hang"
        );
    }
}

/// Several answers must outweigh requests that a fault left hanging. Otherwise a server whose fault
/// has ended looks faulty for as long as those requests hang.
#[test]
fn answers_end_the_doubt_of_requests_that_hang() {
    struct Case {
        name: &'static str,
        answers: u64,
        likely_faulty: bool,
    }
    let cases = [
        Case { name: "hanging requests only", answers: 0, likely_faulty: true },
        Case { name: "one answer is not enough", answers: 1, likely_faulty: true },
        Case { name: "six answers since", answers: 6, likely_faulty: false },
    ];
    for case in cases {
        let start = Instant::now();
        let mut estimator = FaultEstimator::new(start);
        let expected_running_time = ms(400);
        let overdue_at = start + expected_running_time * 4;
        for answer in 1..=case.answers {
            estimator.add(overdue_at + ms(100 * answer), Evidence::Success);
        }
        let now = overdue_at + ms(700);
        let elapsed = now.saturating_duration_since(start);
        let hanging = [InFlightRequest { elapsed, expected_running_time }; 8];
        let probability = estimator.probability(now, hanging.into_iter());
        assert_eq!(probability > 0.75, case.likely_faulty, "{}: {probability}", case.name);
    }
}
