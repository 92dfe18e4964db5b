//! Runs without injected bugs.

use crate::history::{Event, run};
use std::sync::atomic::{AtomicU64, Ordering};

/// Number of fixed seeds. Unoptimized runs are about ten times slower.
const SEEDS: u64 = if cfg!(debug_assertions) { 24 } else { 300 };
const THREADS: usize = 3;

/// Guards against violations of any [`Property`](crate::history::Property) in runs with fixed
/// seeds.
#[test]
fn fixed_seeds_hold_all_properties() {
    let next = AtomicU64::new(0);
    let run_seeds = || {
        let mut failed = vec![];
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= SEEDS {
                return failed;
            }
            let run = run(seed);
            if !run.violations.is_empty() {
                failed.push((run.seed, run.faults, run.violations));
            }
        }
    };
    let failed: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(run_seeds)).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("a run panicked")).collect()
    });
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against runs that depend on anything but their seed and thus cannot be reproduced.
#[test]
fn a_seed_repeats_its_history() {
    assert_eq!(run(7).history, run(7).history);
}

/// Guards against runs in which the fleet handles so few requests that no property can fail.
#[test]
fn runs_do_work() {
    let run = run(1);
    let count = |pick: fn(&Event) -> bool| run.history.iter().filter(|e| pick(&e.event)).count();
    assert!(count(|e| matches!(e, Event::Executed { .. })) > 3_000);
    assert!(count(|e| matches!(e, Event::InForce { .. })) > 100);
    assert!(count(|e| matches!(e, Event::Told { .. })) > 20);
}
