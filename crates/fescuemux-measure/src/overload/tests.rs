//! Overload goals of the design document, checked on the components of `fescuemux-core` and on
//! naive variants.

use crate::overload::{Fault, Policy, report, storm};

// Bounds from section 9 of the design document.
const MAX_AMPLIFICATION: f64 = 1.1;
const MAX_RECOVERY_S: usize = 5;

const SEED: u64 = 1;

fn outage_meets_goal(policy: Policy) -> bool {
    let sizes = storm::SIZES.iter();
    let mut rows = sizes.map(|size| storm::measure_outage(*size, policy, SEED));
    rows.all(|row| row.amplification <= MAX_AMPLIFICATION)
}

fn recovery_meets_goal(policy: Policy) -> bool {
    [Fault::HalfDown, Fault::HalfSpeed].into_iter().all(|fault| {
        let row = storm::measure_half_capacity(storm::SIZES[0], fault, policy, SEED);
        row.recovery_s.is_some_and(|s| s <= MAX_RECOVERY_S)
    })
}

#[test]
fn a_total_outage_is_not_amplified() {
    assert!(outage_meets_goal(Policy::CORE));
}

#[test]
fn goodput_returns_with_the_capacity() {
    assert!(recovery_meets_goal(Policy::CORE));
}

/// Guards against paths whose circuit breaker stays open after the instances return: each of 540
/// ingresses must learn that 30 broken paths work again, with only 2.5 requests/s.
#[test]
fn goodput_returns_at_the_target_size() {
    let row = storm::measure_half_capacity(storm::SIZES[1], Fault::HalfDown, Policy::CORE, SEED);
    assert!(row.recovery_s.is_some_and(|s| s <= MAX_RECOVERY_S), "{row:?}");
}

#[test]
fn checks_detect_naive_retries_and_fifo_queues() {
    let [_, naive_retries, fifo_queue, both, _] = storm::POLICIES;
    for policy in [naive_retries, both] {
        assert!(!outage_meets_goal(policy), "{}", policy.name);
    }
    for policy in [fifo_queue, both] {
        assert!(!recovery_meets_goal(policy), "{}", policy.name);
    }
}

/// Guards against misaligned table columns.
#[test]
fn tables_are_aligned() {
    let rows =
        [serde_json::json!({"a": "long text", "b": 1}), serde_json::json!({"a": "", "b": 2})];
    let table = report::table("title", &rows).expect("rows are objects");
    let columns: Vec<_> = table.lines().skip(2).map(|line| line.trim_end().len()).collect();
    assert_eq!(columns, [12, 12]);
}
