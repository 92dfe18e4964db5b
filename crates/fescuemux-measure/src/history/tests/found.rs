//! Runs that revealed bugs which both the simulated guard and the daemon had.

use crate::history::{FaultKind, run_with};

fn assert_no_violations(seed: u64, kinds: &[FaultKind]) {
    let run = run_with(seed, kinds, None);
    assert!(run.violations.is_empty(), "seed {seed}: {:?} {:?}", run.faults, run.violations);
}

/// Guards against queued requests that get a slot and start after their server began to drain.
#[test]
fn waiting_requests_do_not_begin_on_a_draining_server() {
    assert_no_violations(615, &[FaultKind::ServersSilent, FaultKind::ServerDrains]);
}

/// Guards against admitting requests that arrived during a pause of the guard's process, before the
/// guard learns that its server is draining.
#[test]
fn a_paused_guard_hears_of_draining_before_it_admits() {
    assert_no_violations(166, &[FaultKind::Pause, FaultKind::ServerDrains]);
}
