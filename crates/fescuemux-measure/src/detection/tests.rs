//! Tests that the detector meets the goals of design section 9, and that the checks detect
//! violations. They use fixed seeds and no wall-clock time.

use super::{Method, Options, Report, Row, Trace, run, run_one};

const FLEET_METHODS: [Method; 2] = [Method::FastDetection, Method::FewFalseEjections];

fn options(traces: &[Trace], methods: &[Method], seeds: u64) -> Options {
    Options {
        seed_count: seeds,
        traces: traces.to_vec(),
        methods: methods.to_vec(),
        threads: 2,
        ..Options::default()
    }
}

/// Returns the lowest 99th percentile of the detection time of the baselines in the setup of `row`.
fn best_baseline(report: &Report, row: &Row) -> f64 {
    let same_setup = |other: &&Row| other.trace == row.trace && other.pool == row.pool;
    let baselines =
        report.rows.iter().filter(same_setup).filter(|row| row.method.preference().is_none());
    baselines.filter_map(|row| row.detection_p99).fold(f64::INFINITY, f64::min)
}

#[test]
fn gray_failures_are_detected_in_time() {
    let traces = [Trace::BlackHole, Trace::FailSlow];
    let report = run(&options(&traces, &Method::MEASURED, 40));
    for row in report.rows.iter().filter(|row| row.method.preference().is_some()) {
        let bound: f64 = if row.method == Method::FastDetection { 1.0 } else { 2.5 };
        let bound = bound.min(best_baseline(&report, row) / 3.0);
        let p99 = row.detection_p99.expect("a fault in each run");
        assert!(p99 <= bound, "{} of {}, {:?}: {p99}", row.trace.as_str(), row.pool, row.method);
    }
}

#[test]
fn healthy_servers_are_not_ejected() {
    let traces = [
        Trace::LongTail,
        Trace::AllSlow,
        Trace::OneWayLoss,
        Trace::ColdStart,
        Trace::ObserverPaused,
    ];
    let report = run(&options(&traces, &FLEET_METHODS, 20));
    for row in &report.rows {
        let name = row.trace.as_str();
        assert_eq!(row.tally.false_ejections, 0, "{name} of {}, {:?}", row.pool, row.method);
    }
}

#[test]
fn the_fleet_keeps_the_floor_and_private_ledgers_violate_it() {
    let methods = [Method::FastDetection, Method::FewFalseEjections, Method::EachAlone];
    let report = run(&options(&[Trace::HalfSick], &methods, 20));
    for row in &report.rows {
        let violations = row.tally.floor_violations;
        if row.method == Method::EachAlone {
            assert!(violations > 0, "pool {}: violations of the floor are not detected", row.pool);
        } else {
            assert_eq!(violations, 0, "pool {}, {:?}", row.pool, row.method);
        }
    }
}

#[test]
fn flapping_servers_receive_few_requests() {
    let traces = [Trace::Flap02Hz, Trace::Flap1Hz, Trace::Flap5Hz];
    let report = run(&options(&traces, &FLEET_METHODS, 20));
    for row in &report.rows {
        if let Some(share) = row.flap_let_through {
            assert!(share <= 0.02, "{} {:?}: {share}", row.trace.as_str(), row.method);
        }
    }
    assert!(report.rows.iter().any(|row| row.flap_let_through.is_some()));
}

/// Guards against a run that never ends: if the end of the pause is rounded to an earlier time, a
/// response that is deferred to this end is still within the pause and is deferred forever.
#[test]
fn a_run_with_a_paused_observer_ends() {
    for seed in 1..40 {
        let options = Options::default();
        for method in [Method::FastDetection, Method::ConsecutiveErrors] {
            let tally = run_one(&options, Trace::ObserverPaused, 6, method, seed);
            assert_eq!(tally.runs, 1);
        }
    }
}

#[test]
fn results_do_not_depend_on_the_number_of_threads() {
    let mut options = options(&[Trace::HalfSick], &FLEET_METHODS, 6);
    let single_threaded = run(&options).to_json().expect("serializes");
    options.threads = 3;
    assert_eq!(run(&options).to_json().expect("serializes"), single_threaded);
}
