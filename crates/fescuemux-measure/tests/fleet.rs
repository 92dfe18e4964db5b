//! Tests of the fleet measurement that do not depend on processor time.

use fescuemux_measure::fleet::{
    Bounds, Row, Scenario, config_propagation, domain_lost, fit_line, join_fleet, rack_lost,
    rack_paused, region_partition,
};

const SERVERS_PER_NODE: usize = 8;

/// Guards against membership traffic, false deaths or configuration propagation that exceed their
/// bounds in a small fleet.
#[test]
fn a_small_fleet_stays_within_bounds() {
    let (settled, _) = join_fleet(60, SERVERS_PER_NODE, 3);
    let scenarios: [Scenario; 5] =
        [rack_lost, domain_lost, rack_paused, config_propagation, region_partition];
    for scenario in scenarios {
        for mut row in scenario(&settled) {
            // Processor time depends on the machine, so it is not checked here.
            row.cpu_us = 0.0;
            let exceeded = Bounds::TARGET.exceeded_by(&row);
            assert!(exceeded.is_empty(), "{}: {exceeded:?}", row.scenario);
        }
    }
}

/// Guards against a bounds check that misses an exceeded bound.
#[test]
fn rows_that_exceed_a_bound_are_reported() {
    let within_bounds = Row {
        scenario: "configuration, 1% loss".to_owned(),
        nodes: 540,
        bytes_mean: 15_000.0,
        bytes_max: 15_000.0,
        bytes_peak: 15_000.0,
        messages: 2.0,
        converged_p50: 2.0,
        converged_max: 6.0,
        false_deaths: 0,
        cpu_us: 13_000.0,
    };
    assert!(Bounds::TARGET.exceeded_by(&within_bounds).is_empty());
    let exceeding = [
        Row { bytes_mean: 15_361.0, ..within_bounds.clone() },
        Row { bytes_peak: 15_361.0, ..within_bounds.clone() },
        Row { converged_p50: 2.1, ..within_bounds.clone() },
        Row { converged_max: 6.1, ..within_bounds.clone() },
        Row { converged_max: -1.0, ..within_bounds.clone() },
        Row { false_deaths: 1, ..within_bounds.clone() },
        Row { cpu_us: 13_001.0, ..within_bounds.clone() },
    ];
    for row in exceeding {
        assert_eq!(Bounds::TARGET.exceeded_by(&row).len(), 1, "{row:?}");
    }
}

/// Guards against a linear fit that deviates from points that lie on a line.
#[test]
fn slopes_fit_a_line() {
    let line = fit_line(&[(60.0, 160.0), (180.0, 400.0), (540.0, 1120.0)]);
    assert!((line.base - 40.0).abs() < 1e-9 && (line.slope - 2.0).abs() < 1e-9, "{line:?}");
    assert!((line.at(1080.0) - 2200.0).abs() < 1e-9);
}
