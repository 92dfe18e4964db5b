//! Injects a fault at each call of a propose and a confirm in turn. Fails if an outcome is false,
//! or if a repeated confirm applies a plan twice or not at all.

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
    Entry, KeyVersion, LeaseId, Mutation, Precondition, RenewResult, Store, StoreError, SwapResult,
    Version, WatchResult,
};
use fescuemux_wire::config::{ChunkSet, decode_head};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Store that sets `fault` before the call with the number `faulty_call`, counted from zero.
struct FaultingStore {
    memory: Arc<MemoryStore>,
    calls: AtomicU32,
    faulty_call: u32,
    fault: StoreFault,
}

impl FaultingStore {
    fn count_call(&self) -> &MemoryStore {
        if self.calls.fetch_add(1, Ordering::Relaxed) == self.faulty_call {
            self.memory.set_fault(self.fault);
        }
        &self.memory
    }
}

impl Store for FaultingStore {
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.count_call().get(key)
    }
    fn compare_and_swap(
        &self,
        key: &str,
        precondition: Precondition,
        mutation: Mutation<'_>,
    ) -> Result<SwapResult, StoreError> {
        self.count_call().compare_and_swap(key, precondition, mutation)
    }
    fn list(&self, prefix: &str) -> Result<Vec<KeyVersion>, StoreError> {
        self.count_call().list(prefix)
    }
    fn watch(
        &self,
        key: &str,
        after: Version,
        timeout: Duration,
    ) -> Result<WatchResult, StoreError> {
        self.count_call().watch(key, after, timeout)
    }
    fn lease_grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.count_call().lease_grant(ttl)
    }
    fn lease_renew(&self, lease: LeaseId) -> Result<RenewResult, StoreError> {
        self.count_call().lease_renew(lease)
    }
    fn lease_revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.count_call().lease_revoke(lease)
    }
}

fn config_with_faulty_call(
    memory: &Arc<MemoryStore>,
    faulty_call: u32,
    fault: StoreFault,
) -> ConfigStore<FaultingStore> {
    let memory = Arc::clone(memory);
    let store = FaultingStore { memory, calls: AtomicU32::new(0), faulty_call, fault };
    ConfigStore::new(store).with_retry_delay(Duration::ZERO)
}

fn generation_of(memory: &MemoryStore, plan: PlanId) -> Option<u64> {
    decode_head(&memory.peek(HEAD_KEY)?.value).unwrap().generation_of(plan)
}

fn check_outcome(memory: &MemoryStore, plan: PlanId, outcome: ConfirmOutcome) {
    let stored = generation_of(memory, plan);
    match outcome {
        ConfirmOutcome::Confirmed(generation) => assert_eq!(stored, Some(generation)),
        ConfirmOutcome::NotConfirmed(_) => assert_eq!(stored, None),
        ConfirmOutcome::Unknown { swap_sent, .. } => assert!(swap_sent || stored.is_none()),
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

/// More calls than a confirm makes with any of the faults, so that the last runs set no fault.
const CALL_COUNT: u32 = 12;

#[test]
fn fault_at_each_call_of_confirm() {
    for fault in FAULTS {
        for faulty_call in 0..CALL_COUNT {
            let fleet = fleet();
            fleet.confirm_new(changes([service("permits", 8)]));
            let plan = fleet.propose(changes([service("permits", 9), limit("a", 5)]));
            let faulty = config_with_faulty_call(&fleet.memory, faulty_call, fault);
            let outcome = faulty.confirm(plan, author(), time()).unwrap().outcome;
            check_outcome(&fleet.memory, plan, outcome);

            fleet.memory.set_fault(StoreFault::None);
            for _ in 0..2 {
                assert_eq!(
                    fleet.confirm(plan),
                    ConfirmOutcome::Confirmed(2),
                    "{fault:?} at {faulty_call}"
                );
            }
            assert_eq!(fleet.content().services["permits"].floor_slots, 9);
            assert_eq!(fleet.content().callers["a"].rate_per_s, 5);
        }
    }
}

#[test]
fn fault_at_each_call_of_confirm_against_another_operator() {
    for fault in FAULTS {
        for faulty_call in 0..CALL_COUNT {
            let fleet = fleet();
            fleet.confirm_new(changes([service("permits", 8)]));
            let stale_plan = fleet.propose(changes([service("permits", 9)]));
            fleet.confirm_new(changes([service("permits", 10)]));
            let faulty = config_with_faulty_call(&fleet.memory, faulty_call, fault);
            let outcome = faulty.confirm(stale_plan, author(), time()).unwrap().outcome;
            check_outcome(&fleet.memory, stale_plan, outcome);
            fleet.memory.set_fault(StoreFault::None);
            assert_eq!(
                fleet.confirm(stale_plan),
                ConfirmOutcome::NotConfirmed(NotConfirmedReason::Stale(2))
            );
            assert_eq!(fleet.content().services["permits"].floor_slots, 10);
        }
    }
}

#[test]
fn fault_at_each_call_of_propose() {
    for fault in FAULTS {
        for faulty_call in 0..CALL_COUNT {
            let fleet = fleet();
            fleet.confirm_new(changes([service("permits", 8)]));
            let faulty = config_with_faulty_call(&fleet.memory, faulty_call, fault);
            let mut cx = Cx::new(Instant::now(), 11);
            let intent = changes([service("permits", 9)]);
            let proposed = faulty.propose(&mut cx, &intent, &CapacityReport::default(), author());
            fleet.memory.set_fault(StoreFault::None);
            match proposed {
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
fn stale_replica_returns_no_older_content() {
    let fleet = fleet();
    fleet.confirm_new(changes([service("permits", 8)]));
    let plan = fleet.propose(changes([service("permits", 9)]));
    fleet.memory.set_fault(StoreFault::StaleReads);
    assert_eq!(fleet.confirm(plan), ConfirmOutcome::Confirmed(2));
    assert_eq!(fleet.config.history().unwrap().len(), 1, "the replica lags one generation behind");

    let from_peer = decode_head(&fleet.memory.peek(HEAD_KEY).unwrap().value).unwrap();
    let loaded = fleet.config.load(Some(&from_peer), &mut ChunkSet::new()).unwrap();
    assert_eq!(loaded.newer, None);
    let reason = UnknownReason::StoreAway;
    let expected = ConfirmOutcome::Unknown { plan, swap_sent: false, reason };
    assert_eq!(
        fleet.confirm(plan),
        expected,
        "a stale head does not prove that the plan is not confirmed"
    );
    fleet.memory.set_fault(StoreFault::None);
    assert_eq!(fleet.confirm(plan), ConfirmOutcome::Confirmed(2));
}

/// Fails if a generation that daemons would never install can be proposed after the store lost its
/// content.
#[test]
fn store_that_lost_its_content_is_rejected_and_restored() {
    let fleet = fleet();
    fleet.confirm_new(changes([service("permits", 8)]));
    fleet.confirm_new(changes([service("permits", 9)]));
    let mut chunks = ChunkSet::new();
    let daemon_snapshot = fleet.config.load(None, &mut chunks).unwrap().newer.unwrap();

    let emptied = common::fleet();
    emptied.config.observe_generation(2);
    let mut cx = Cx::new(Instant::now(), 5);
    let intent = changes([service("permits", 10)]);
    let plan = emptied.config.propose(&mut cx, &intent, &CapacityReport::default(), author());
    assert_eq!(plan, Err(ConfigStoreError::StaleGeneration { known: 2, found: 0 }));

    assert_eq!(emptied.config.restore(&daemon_snapshot.head, &chunks), Ok(true));
    assert_eq!(
        emptied.config.restore(&daemon_snapshot.head, &chunks),
        Ok(false),
        "a head is never replaced"
    );
    assert_eq!(emptied.content(), daemon_snapshot.config);
    let plan = emptied.config.propose(&mut cx, &intent, &CapacityReport::default(), author());
    assert_eq!(emptied.confirm(plan.unwrap().id), ConfirmOutcome::Confirmed(3));
}

/// Fails if a plan can take the id of an earlier plan when a badly seeded random generator repeats
/// the id. The later plan would be mistaken for the earlier one and never be confirmed.
#[test]
fn repeated_plan_id_is_rejected() {
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

/// Fails if a plan with thousands of items, which does not fit one value of the store, is not
/// split.
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
    assert_eq!(
        fleet.memory.peek_keys(PLAN_PREFIX),
        Vec::<String>::new(),
        "all records of a plan expire"
    );
}

/// Fails if an update is lost when operators confirm plans concurrently.
#[test]
fn racing_operators_lose_no_change() {
    const OPERATOR_COUNT: u64 = 4;
    const CHANGES_PER_OPERATOR: u64 = 5;
    let fleet = fleet();
    std::thread::scope(|scope| {
        for operator in 0..OPERATOR_COUNT {
            let memory = Arc::clone(&fleet.memory);
            scope.spawn(move || {
                let config = ConfigStore::new(memory).with_retry_delay(Duration::ZERO);
                let mut cx = Cx::new(Instant::now(), operator);
                for change in 0..CHANGES_PER_OPERATOR {
                    let intent = changes([limit(&format!("caller-{operator}-{change}"), 1)]);
                    let report = CapacityReport::default();
                    let propose_and_confirm = || {
                        let plan = config.propose(&mut cx, &intent, &report, author()).unwrap();
                        let outcome = config.confirm(plan.id, author(), time()).unwrap().outcome;
                        matches!(outcome, ConfirmOutcome::Confirmed(_))
                    };
                    let attempts = std::iter::repeat_with(propose_and_confirm).take(1_000);
                    assert!(attempts.into_iter().any(|confirmed| confirmed));
                }
            });
        }
    });
    assert_eq!(fleet.content().callers.len() as u64, OPERATOR_COUNT * CHANGES_PER_OPERATOR);
    assert_eq!(
        fleet.config.history().unwrap()[0].generation,
        OPERATOR_COUNT * CHANGES_PER_OPERATOR
    );
}

#[test]
fn expired_plan_is_looked_up_in_the_history() {
    let fleet = fleet();
    let plan = fleet.propose(changes([service("permits", 8)]));
    assert_eq!(fleet.confirm(plan), ConfirmOutcome::Confirmed(1));
    let unconfirmed = fleet.propose(Intent::Changes(vec![service("permits", 9)]));
    fleet.memory.advance_time(Duration::from_secs(3_601));
    assert_eq!(fleet.confirm(plan), ConfirmOutcome::Confirmed(1));
    let reason = UnknownReason::NoSuchPlan;
    let expected = ConfirmOutcome::Unknown { plan: unconfirmed, swap_sent: false, reason };
    assert_eq!(fleet.confirm(unconfirmed), expected);
}

#[test]
fn stale_plan_is_explained() {
    let fleet = fleet();
    fleet.confirm_new(changes([service("permits", 8)]));
    let stale_plan = fleet.propose(changes([service("permits", 9)]));
    fleet.confirm_new(changes([service("permits", 10), limit("a", 1)]));
    let stale = fleet.config.confirm(stale_plan, author(), time()).unwrap().stale.unwrap();
    assert_eq!((stale.base, stale.current), (1, 2));
    assert_eq!(stale.differences_since_base.map(|since| since.len()), Some(2));
    assert_eq!(stale.overlap.len(), 1, "only the service is in both");
}
