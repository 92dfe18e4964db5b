//! Runs that showed faults of the guard's glue, which the daemon had too.

use crate::history::{FaultKind, run_with};

fn check(seed: u64, kinds: &[FaultKind]) {
    let run = run_with(seed, kinds, None);
    assert!(run.violations.is_empty(), "seed {seed}: {:?} {:?}", run.faults, run.violations);
}

/// Guards against requests that waited for a slot and begin on a server that drains by then.
#[test]
fn waiting_requests_do_not_begin_on_a_draining_server() {
    check(615, &[FaultKind::ServersSilent, FaultKind::ServerDrains]);
}

/// Guards against requests that a guard finds on its sockets after a pause, before it hears that
/// its server drains.
#[test]
fn a_paused_guard_hears_of_draining_before_it_admits() {
    check(166, &[FaultKind::Pause, FaultKind::ServerDrains]);
}
