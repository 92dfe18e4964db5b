//! Puts a fault at each call of a propose and a confirm in turn. Guards against outcomes that
//! are not true, and against a repeated confirm that applies a plan twice or not at all.

mod common;

use common::{author, changes, fleet, limit, service, time};
use fescuemux_core::base::{Cx, PlanId};
use fescuemux_core::config::{
    CapacityReport, ConfirmOutcome, HEAD_KEY, Intent, NotConfirmedReason, PLAN_PREFIX,
    UnknownReason,
};
use fescuemux_standins::store::{MemoryStore, StoreFault};
use fescuemux_store::config_store::{ConfigStore, ConfigStoreError};
use fescuemux_store::{
    Change, Entry, Expect, LeaseId, Listed, Renewal, Store, StoreError, Swap, Version, Watched,
};
use fescuemux_wire::config::{ChunkSet, decode_head};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Sets a fault before one call, given by its number.
struct FaultAt {
    memory: Arc<MemoryStore>,
    calls: AtomicU32,
    at: u32,
    fault: StoreFault,
}

impl FaultAt {
    fn before_call(&self) -> &MemoryStore {
        if self.calls.fetch_add(1, Ordering::Relaxed) == self.at {
            self.memory.set_fault(self.fault);
        }
        &self.memory
    }
}

impl Store for FaultAt {
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.before_call().get(key)
    }
    fn compare_and_swap(&self, k: &str, e: Expect, c: Change<'_>) -> Result<Swap, StoreError> {
        self.before_call().compare_and_swap(k, e, c)
    }
    fn list(&self, prefix: &str) -> Result<Vec<Listed>, StoreError> {
        self.before_call().list(prefix)
    }
    fn watch(&self, key: &str, after: Version, time: Duration) -> Result<Watched, StoreError> {
        self.before_call().watch(key, after, time)
    }
    fn lease_grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.before_call().lease_grant(ttl)
    }
    fn lease_renew(&self, lease: LeaseId) -> Result<Renewal, StoreError> {
        self.before_call().lease_renew(lease)
    }
    fn lease_revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.before_call().lease_revoke(lease)
    }
}

fn config_with_fault(
    memory: &Arc<MemoryStore>,
    at: u32,
    fault: StoreFault,
) -> ConfigStore<FaultAt> {
    let memory = Arc::clone(memory);
    let store = FaultAt { memory, calls: AtomicU32::new(0), at, fault };
    ConfigStore::new(store).with_retry_pause(Duration::ZERO)
}

fn generation_of(memory: &MemoryStore, plan: PlanId) -> Option<u64> {
    decode_head(&memory.peek(HEAD_KEY)?.value).unwrap().generation_of(plan)
}

fn check_outcome(memory: &MemoryStore, plan: PlanId, outcome: ConfirmOutcome) {
    let found = generation_of(memory, plan);
    match outcome {
        ConfirmOutcome::Confirmed(generation) => assert_eq!(found, Some(generation)),
        ConfirmOutcome::NotConfirmed(_) => assert_eq!(found, None),
        ConfirmOutcome::Unknown { swap_sent, .. } => assert!(swap_sent || found.is_none()),
    }
}

const FAULTS: [StoreFault; 7] = [
    StoreFault::Unavailable,
    StoreFault::Slow(Duration::from_secs(60)),
    StoreFault::LoseReplies(1),
    StoreFault::LoseReplies(2),
    StoreFault::LoseWrites(1),
    StoreFault::StaleReads,
    StoreFault::LoseAllReplies,
];

/// More calls than a confirm makes with any of the faults, so that the last ones see no fault.
const CALLS: u32 = 12;

#[test]
fn fault_at_each_call_of_confirm() {
    for fault in FAULTS {
        for at in 0..CALLS {
            let fleet = fleet();
            fleet.confirm_new(changes([service("permits", 8)]));
            let plan = fleet.propose(changes([service("permits", 9), limit("a", 5)]));
            let faulty = config_with_fault(&fleet.memory, at, fault);
            let outcome = faulty.confirm(plan, author(), time()).unwrap().outcome;
            check_outcome(&fleet.memory, plan, outcome);

            fleet.memory.set_fault(StoreFault::None);
            for _ in 0..2 {
                assert_eq!(fleet.confirm(plan), ConfirmOutcome::Confirmed(2), "{fault:?} at {at}");
            }
            assert_eq!(fleet.content().services["permits"].floor_slots, 9);
            assert_eq!(fleet.content().callers["a"].rate_per_s, 5);
        }
    }
}

#[test]
fn fault_at_each_call_of_confirm_against_another_operator() {
    for fault in FAULTS {
        for at in 0..CALLS {
            let fleet = fleet();
            fleet.confirm_new(changes([service("permits", 8)]));
            let late = fleet.propose(changes([service("permits", 9)]));
            fleet.confirm_new(changes([service("permits", 10)]));
            let faulty = config_with_fault(&fleet.memory, at, fault);
            let outcome = faulty.confirm(late, author(), time()).unwrap().outcome;
            check_outcome(&fleet.memory, late, outcome);
            fleet.memory.set_fault(StoreFault::None);
            assert_eq!(
                fleet.confirm(late),
                ConfirmOutcome::NotConfirmed(NotConfirmedReason::Stale(2))
            );
            assert_eq!(fleet.content().services["permits"].floor_slots, 10);
        }
    }
}

#[test]
fn fault_at_each_call_of_propose() {
    for fault in FAULTS {
        for at in 0..CALLS {
            let fleet = fleet();
            fleet.confirm_new(changes([service("permits", 8)]));
            let faulty = config_with_fault(&fleet.memory, at, fault);
            let mut cx = Cx::new(Instant::now(), 11);
            let intent = changes([service("permits", 9)]);
            let plan = faulty.propose(&mut cx, &intent, &CapacityReport::default(), author());
            fleet.memory.set_fault(StoreFault::None);
            match plan {
                Ok(plan) => assert_eq!(fleet.confirm(plan.id), ConfirmOutcome::Confirmed(2)),
                Err(error) => assert!(matches!(error, ConfigStoreError::Store(_)), "{error}"),
            }
        }
    }
}

#[test]
fn store_down_and_back() {
    let fleet = fleet();
    let plan = fleet.propose(changes([service("permits", 8)]));
    fleet.memory.set_fault(StoreFault::Unavailable);
    let reason = UnknownReason::StoreAway;
    assert_eq!(fleet.confirm(plan), ConfirmOutcome::Unknown { plan, swap_sent: false, reason });
    assert!(fleet.config.history().is_err());
    fleet.memory.set_fault(StoreFault::None);
    assert_eq!(fleet.confirm(plan), ConfirmOutcome::Confirmed(1));
}

#[test]
fn stale_replica_gives_no_older_content() {
    let fleet = fleet();
    fleet.confirm_new(changes([service("permits", 8)]));
    let plan = fleet.propose(changes([service("permits", 9)]));
    fleet.memory.set_fault(StoreFault::StaleReads);
    assert_eq!(fleet.confirm(plan), ConfirmOutcome::Confirmed(2));
    assert_eq!(fleet.config.history().unwrap().len(), 1, "the replica is one generation behind");

    let from_peer = decode_head(&fleet.memory.peek(HEAD_KEY).unwrap().value).unwrap();
    let loaded = fleet.config.load(Some(&from_peer), &mut ChunkSet::new()).unwrap();
    assert_eq!(loaded.newer, None);
    let reason = UnknownReason::StoreAway;
    let expected = ConfirmOutcome::Unknown { plan, swap_sent: false, reason };
    assert_eq!(fleet.confirm(plan), expected, "an outdated head proves nothing");
    fleet.memory.set_fault(StoreFault::None);
    assert_eq!(fleet.confirm(plan), ConfirmOutcome::Confirmed(2));
}

/// Guards against a generation that daemons would never take, after the store lost its content.
#[test]
fn store_that_lost_its_content_is_refused_and_restored() {
    let fleet = fleet();
    fleet.confirm_new(changes([service("permits", 8)]));
    fleet.confirm_new(changes([service("permits", 9)]));
    let mut chunks = ChunkSet::new();
    let held = fleet.config.load(None, &mut chunks).unwrap().newer.unwrap();

    let emptied = common::fleet();
    emptied.config.note_generation(2);
    let mut cx = Cx::new(Instant::now(), 5);
    let intent = changes([service("permits", 10)]);
    let plan = emptied.config.propose(&mut cx, &intent, &CapacityReport::default(), author());
    assert_eq!(plan, Err(ConfigStoreError::StoreBehind { known: 2, found: 0 }));

    assert_eq!(emptied.config.restore(&held.head, &chunks), Ok(true));
    assert_eq!(emptied.config.restore(&held.head, &chunks), Ok(false), "a head is never replaced");
    assert_eq!(emptied.content(), held.config);
    let plan = emptied.config.propose(&mut cx, &intent, &CapacityReport::default(), author());
    assert_eq!(emptied.confirm(plan.unwrap().id), ConfirmOutcome::Confirmed(3));
}

/// Guards against a plan that is taken for an earlier one, and never confirmed, because a badly
/// seeded generator repeats its id.
#[test]
fn repeated_plan_id_is_refused() {
    let fleet = fleet();
    let propose = |floor| {
        let mut cx = Cx::new(Instant::now(), 21);
        let intent = changes([service("permits", floor)]);
        fleet.config.propose(&mut cx, &intent, &CapacityReport::default(), author())
    };
    let first = propose(8).unwrap().id;
    assert_eq!(propose(9), Err(ConfigStoreError::PlanIdTaken(first)), "stored");
    assert_eq!(fleet.confirm(first), ConfirmOutcome::Confirmed(1));
    fleet.memory.advance_time(Duration::from_secs(3_601));
    assert_eq!(propose(9), Err(ConfigStoreError::PlanIdTaken(first)), "confirmed");
}

/// Guards against a plan with thousands of items that does not fit one value of the store.
#[test]
fn large_plan_is_split_and_confirmed() {
    let fleet = fleet();
    let limits = (0..9_000).map(|i| limit(&format!("{}-{i}", "customer".repeat(12)), 1));
    let plan = fleet.propose(Intent::Changes(limits.collect()));
    let records = fleet.memory.peek_keys(PLAN_PREFIX).len();
    assert!(records > 2, "{records} records");
    assert_eq!(fleet.confirm(plan), ConfirmOutcome::Confirmed(1));
    assert_eq!(fleet.content().callers.len(), 9_000);
    fleet.memory.advance_time(Duration::from_secs(3_601));
    fleet.config.history().unwrap();
    assert_eq!(fleet.memory.peek_keys(PLAN_PREFIX), Vec::<String>::new(), "plans lapse whole");
}

/// Guards against lost updates when operators race on several daemons.
#[test]
fn racing_operators_lose_no_change() {
    const OPERATORS: u64 = 4;
    const CHANGES: u64 = 5;
    let fleet = fleet();
    std::thread::scope(|scope| {
        for operator in 0..OPERATORS {
            let memory = Arc::clone(&fleet.memory);
            scope.spawn(move || {
                let config = ConfigStore::new(memory).with_retry_pause(Duration::ZERO);
                let mut cx = Cx::new(Instant::now(), operator);
                for change in 0..CHANGES {
                    let intent = changes([limit(&format!("caller-{operator}-{change}"), 1)]);
                    let report = CapacityReport::default();
                    let is_confirmed = || {
                        let plan = config.propose(&mut cx, &intent, &report, author()).unwrap();
                        let outcome = config.confirm(plan.id, author(), time()).unwrap().outcome;
                        matches!(outcome, ConfirmOutcome::Confirmed(_))
                    };
                    let tries = std::iter::repeat_with(is_confirmed).take(1_000);
                    assert!(tries.into_iter().any(|confirmed| confirmed));
                }
            });
        }
    });
    assert_eq!(fleet.content().callers.len() as u64, OPERATORS * CHANGES);
    assert_eq!(fleet.config.history().unwrap()[0].generation, OPERATORS * CHANGES);
}

#[test]
fn lapsed_plan_is_answered_from_the_history() {
    let fleet = fleet();
    let plan = fleet.propose(changes([service("permits", 8)]));
    assert_eq!(fleet.confirm(plan), ConfirmOutcome::Confirmed(1));
    let other = fleet.propose(Intent::Changes(vec![service("permits", 9)]));
    fleet.memory.advance_time(Duration::from_secs(3_601));
    assert_eq!(fleet.confirm(plan), ConfirmOutcome::Confirmed(1));
    let reason = UnknownReason::NoSuchPlan;
    let expected = ConfirmOutcome::Unknown { plan: other, swap_sent: false, reason };
    assert_eq!(fleet.confirm(other), expected);
}

#[test]
fn stale_plan_is_explained() {
    let fleet = fleet();
    fleet.confirm_new(changes([service("permits", 8)]));
    let late = fleet.propose(changes([service("permits", 9)]));
    fleet.confirm_new(changes([service("permits", 10), limit("a", 1)]));
    let stale = fleet.config.confirm(late, author(), time()).unwrap().stale.unwrap();
    assert_eq!((stale.base, stale.current), (1, 2));
    assert_eq!(stale.since.map(|since| since.len()), Some(2));
    assert_eq!(stale.overlap.len(), 1, "only the service is in both");
}
