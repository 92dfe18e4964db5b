use crate::support::{ms, open_gate, work};
use fescuemux_core::base::Cx;
use fescuemux_core::placement::{
    Admission, AdmissionController, Evidence, FaultEstimator, InFlightRequest, RequestOutcome,
};
use rand::Rng;
use std::time::{Duration, Instant};

/// Some failures are a server's own in the ordinary course; two in a row are not.
#[test]
fn evidence_adds_up() {
    use Evidence::{Failure, Success, Unanswered};
    struct Case {
        name: &'static str,
        evidence: &'static [Evidence],
        above: f64,
        below: f64,
    }
    let cases = [
        Case { name: "none", evidence: &[], above: 0.1, below: 0.2 },
        Case { name: "good record", evidence: &[Success; 5], above: 0.0, below: 0.05 },
        Case {
            name: "one failure after a good record",
            evidence: &[Success, Success, Success, Success, Failure],
            above: 0.2,
            below: 0.6,
        },
        Case {
            name: "two failures after a good record",
            evidence: &[Success, Success, Success, Success, Failure, Failure],
            above: 0.85,
            below: 1.0,
        },
        Case { name: "a hang", evidence: &[Unanswered(5.0)], above: 0.7, below: 1.0 },
        Case { name: "left early", evidence: &[Unanswered(0.3)], above: 0.1, below: 0.25 },
    ];
    for case in cases {
        let now = Instant::now();
        let mut suspicion = FaultEstimator::new(now);
        case.evidence.iter().for_each(|evidence| suspicion.add(now, *evidence));
        let doubt = suspicion.probability(now, std::iter::empty());
        assert!(doubt >= case.above && doubt <= case.below, "{}: {doubt}", case.name);
    }
}

/// Old evidence fades, so a fault that is over does not keep work away.
#[test]
fn evidence_fades() {
    let now = Instant::now();
    let mut suspicion = FaultEstimator::new(now);
    suspicion.add(now, Evidence::Failure);
    suspicion.add(now, Evidence::Failure);
    let doubts: Vec<f64> = [0, 3, 6, 12, 60]
        .map(|s| suspicion.probability(now + ms(s * 1_000), std::iter::empty()))
        .into();
    assert!(doubts.is_sorted_by(|a, b| a > b), "{doubts:?}");
    assert!(doubts[4] < 0.2, "{doubts:?}");
}

/// Requests that hang show no failure before their deadline; their time must count as it passes.
#[test]
fn hanging_requests_are_doubted_before_their_deadline() {
    let now = Instant::now();
    let mut gate = open_gate(now);
    for ticket in 1..=4 {
        assert_eq!(gate.request_slot(now, ticket, work(now)), Admission::Granted);
        assert!(gate.start(now, ticket));
    }
    assert!(gate.failure_probability(now + ms(100)) < 0.3);
    assert!(
        gate.failure_probability(now + ms(1_000)) > 0.8,
        "{}",
        gate.failure_probability(now + ms(1_000))
    );
}

fn run(
    gate: &mut AdmissionController,
    now: Instant,
    ticket: u64,
    took_ms: u64,
    outcome: RequestOutcome,
) {
    assert_eq!(gate.request_slot(now, ticket, work(now)), Admission::Granted);
    assert!(gate.start(now, ticket));
    gate.finish(now + ms(took_ms), ticket, outcome);
}

/// A server whose calls fail elsewhere is not at fault.
#[test]
fn a_failed_call_is_no_evidence() {
    struct Case {
        outcome: RequestOutcome,
        doubted: bool,
    }
    let cases = [
        Case { outcome: RequestOutcome::CallFailed, doubted: false },
        Case { outcome: RequestOutcome::Shed, doubted: false },
        Case { outcome: RequestOutcome::Answered, doubted: false },
        Case { outcome: RequestOutcome::Failed, doubted: true },
        Case { outcome: RequestOutcome::Unreachable, doubted: true },
    ];
    for case in cases {
        let now = Instant::now();
        let mut gate = open_gate(now);
        for ticket in 1..=3 {
            run(&mut gate, now, ticket, 300, case.outcome);
        }
        let doubted = gate.failure_probability(now + ms(300)) > 0.5;
        assert_eq!(doubted, case.doubted, "{:?}", case.outcome);
    }
}

/// A full server has many requests that run. Each of them says a little against it, and their sum
/// must not outweigh that it answers all the while: nobody could wait there, and work would go to
/// servers that do fail.
#[test]
fn a_full_server_that_answers_is_not_doubted() {
    /// Doubt above which nobody may wait at a server.
    const NO_QUEUE_ABOVE: f64 = 0.75;
    const EXPECTED: Duration = Duration::from_millis(160);
    /// Share of time for which a sound server may be closed to those who wait.
    const MOST_CLOSED: f64 = 0.01;
    for slots in [2, 4, 8, 16] {
        let start = Instant::now();
        let mut cx = Cx::new(start, slots);
        let mut suspicion = FaultEstimator::new(start);
        let mut length = || EXPECTED.mul_f64(cx.rng.random_range(0.4..1.6));
        let mut running: Vec<(Instant, Instant)> =
            (0..slots).map(|_| (start, start + length())).collect();
        let still = |running: &[(Instant, Instant)], now: Instant| -> Vec<InFlightRequest> {
            let elapsed = running.iter().map(|(began, _)| now.saturating_duration_since(*began));
            elapsed
                .map(|elapsed| InFlightRequest { elapsed, expected_running_time: EXPECTED })
                .collect()
        };
        let mut closed = 0;
        for at in 0..10_000 {
            let now = start + ms(at);
            for (began, ends) in running.iter_mut().filter(|(_, ends)| *ends <= now) {
                suspicion.add(now, Evidence::Success);
                (*began, *ends) = (now, now + length());
            }
            let doubt = suspicion.probability(now, still(&running, now).into_iter());
            closed += u32::from(doubt > NO_QUEUE_ABOVE);
        }
        assert!(f64::from(closed) <= MOST_CLOSED * 10_000.0, "{slots} slots: {closed} ms of 10 s");
        let hangs_at = start + ms(10_000) + EXPECTED * 4;
        let doubt = suspicion.probability(hangs_at, still(&running, hangs_at).into_iter());
        assert!(doubt > NO_QUEUE_ABOVE, "{slots} slots: {doubt} when all of them hang");
    }
}

/// Requests that hang since a fault outweighed any number of later answers, so a server whose
/// fault had ended stayed doubted for as long as they hung.
#[test]
fn answers_end_the_doubt_of_requests_that_hang() {
    struct Case {
        name: &'static str,
        answers: u64,
        doubted: bool,
    }
    let cases = [
        Case { name: "hangs only", answers: 0, doubted: true },
        Case { name: "one answer proves little", answers: 1, doubted: true },
        Case { name: "six answers since", answers: 6, doubted: false },
    ];
    for case in cases {
        let start = Instant::now();
        let mut suspicion = FaultEstimator::new(start);
        let expected_running_time = ms(400);
        let overdue = start + expected_running_time * 4;
        for answer in 1..=case.answers {
            suspicion.add(overdue + ms(100 * answer), Evidence::Success);
        }
        let now = overdue + ms(700);
        let elapsed = now.saturating_duration_since(start);
        let hanging = [InFlightRequest { elapsed, expected_running_time }; 8];
        let doubt = suspicion.probability(now, hanging.into_iter());
        assert_eq!(doubt > 0.75, case.doubted, "{}: {doubt}", case.name);
    }
}
