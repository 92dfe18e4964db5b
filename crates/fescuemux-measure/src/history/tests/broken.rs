//! Injected bugs that the checkers must detect.

use crate::history::{InjectedBug, Property, run_with};

struct Case {
    bug: InjectedBug,
    property: Property,
    seed: u64,
}

/// Guards against checkers, faults or runs that are too weak to reveal an injected bug.
#[test]
fn each_broken_version_is_caught() {
    let case = |bug, property, seed| Case { bug, property, seed };
    let cases = [
        case(InjectedBug::EjectAlone, Property::F, 20),
        case(InjectedBug::BlindLedger, Property::F, 20),
        case(InjectedBug::AnswersInOrder, Property::A, 0),
        case(InjectedBug::CutAnswer, Property::A, 20),
        case(InjectedBug::LostIsNotRun, Property::N, 5),
        case(InjectedBug::LateIsNotRun, Property::N, 0),
        case(InjectedBug::RepeatAlways, Property::O, 2),
        case(InjectedBug::NoFence, Property::O, 8),
        case(InjectedBug::ForgottenRestart, Property::O, 3),
        case(InjectedBug::NoRequestTable, Property::O, 2),
        case(InjectedBug::IgnoreDraining, Property::D, 413),
        case(InjectedBug::StopAtOnce, Property::G, 28),
        case(InjectedBug::InstallAny, Property::C, 7),
        case(InjectedBug::UnknownIsConfirmed, Property::C, 114),
        case(InjectedBug::NoSpread, Property::C, 0),
    ];
    for bug in InjectedBug::ALL {
        assert!(cases.iter().any(|case| case.bug == bug), "{bug:?} has no case");
    }
    for Case { bug, property, seed } in cases {
        let run = run_with(seed, &[], Some(bug));
        let detected = run.violations.iter().any(|violation| violation.property == property);
        assert!(detected, "{bug:?}, seed {seed} was not detected: {:?}", run.violations);
    }
}
