//! Runs random histories of operators, daemons and store faults from seeds. When faults are
//! combined, fails if an outcome is false, the content differs from the confirmed plans, a chunk is
//! missing, or a daemon returns to an older generation.

mod common;

use common::{author, changes, limit, service, time};
use fescuemux_core::base::{Cx, PlanId, Rng};
use fescuemux_core::config::{
    CapacityReport, Config, ConfirmOutcome, CurrentHead, Difference, HEAD_KEY, Head,
    HeadComparison, chunk_key,
};
use fescuemux_standins::store::{MemoryStore, StoreFault};
use fescuemux_store::config_store::ConfigStore;
use fescuemux_store::{
    Entry, KeyVersion, LeaseId, Mutation, Precondition, RenewResult, Store, StoreError, SwapResult,
    Version, WatchResult,
};
use fescuemux_wire::config::{ChunkSet, decode_head};
use rand::{Rng as _, SeedableRng as _};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

const STEPS_PER_HISTORY: usize = 120;
const SEED_COUNT: u64 = 300;
const OPERATOR_COUNT: usize = 3;

/// Store that ignores the expected version of the head unless `compares_versions` is set.
struct VersionCheckingStore {
    memory: Arc<MemoryStore>,
    compares_versions: bool,
}

impl Store for VersionCheckingStore {
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.memory.get(key)
    }
    fn compare_and_swap(
        &self,
        key: &str,
        precondition: Precondition,
        mutation: Mutation<'_>,
    ) -> Result<SwapResult, StoreError> {
        match self.memory.compare_and_swap(key, precondition, mutation)? {
            SwapResult::Conflict(Some(version)) if !self.compares_versions && key == HEAD_KEY => {
                self.memory.compare_and_swap(key, Precondition::Version(version), mutation)
            }
            swap => Ok(swap),
        }
    }
    fn list(&self, prefix: &str) -> Result<Vec<KeyVersion>, StoreError> {
        self.memory.list(prefix)
    }
    fn watch(
        &self,
        key: &str,
        after: Version,
        timeout: Duration,
    ) -> Result<WatchResult, StoreError> {
        self.memory.watch(key, after, timeout)
    }
    fn lease_grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.memory.lease_grant(ttl)
    }
    fn lease_renew(&self, lease: LeaseId) -> Result<RenewResult, StoreError> {
        self.memory.lease_renew(lease)
    }
    fn lease_revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.memory.lease_revoke(lease)
    }
}

struct History {
    rng: Rng,
    memory: Arc<MemoryStore>,
    operators: Vec<ConfigStore<VersionCheckingStore>>,
    daemons: Vec<(CurrentHead, ChunkSet)>,
    plans: HashMap<PlanId, Vec<Difference>>,
    plan_ids: Vec<PlanId>,
    outcomes: HashMap<PlanId, ConfirmOutcome>,
    /// Last head that was checked.
    head: Option<Head>,
    /// Content that results from the plans confirmed up to `head`.
    content: Config,
}

impl History {
    fn new(seed: u64, compares_versions: bool) -> History {
        let memory = Arc::new(MemoryStore::with_virtual_clock());
        let operator = || {
            let store = VersionCheckingStore { memory: Arc::clone(&memory), compares_versions };
            ConfigStore::new(store).with_retry_delay(Duration::ZERO)
        };
        History {
            rng: Rng::seed_from_u64(seed),
            operators: (0..OPERATOR_COUNT).map(|_| operator()).collect(),
            daemons: (0..3).map(|_| (CurrentHead::new(), ChunkSet::new())).collect(),
            memory,
            plans: HashMap::new(),
            plan_ids: Vec::new(),
            outcomes: HashMap::new(),
            head: None,
            content: Config::default(),
        }
    }

    fn run_step(&mut self) -> Result<(), String> {
        let operator = self.rng.random_range(0..OPERATOR_COUNT);
        match self.rng.random_range(0..20) {
            0..=2 => self.memory.set_fault(StoreFault::None),
            3..=4 => self.set_fault(),
            5..=10 => self.propose(operator),
            11..=15 => self.confirm(operator)?,
            16 => drop(self.operators[operator].sweep()),
            17 => self.memory.advance_time(Duration::from_secs(self.rng.random_range(1..2_000))),
            _ => self.load(operator)?,
        }
        self.check_head()
    }

    fn set_fault(&mut self) {
        let faults = [
            StoreFault::Unavailable,
            StoreFault::Slow(Duration::from_secs(30)),
            StoreFault::LoseReplies(self.rng.random_range(1..4)),
            StoreFault::LoseWrites(self.rng.random_range(1..4)),
            StoreFault::StaleReads,
            StoreFault::ExpireLeases,
            StoreFault::LoseAllReplies,
        ];
        self.memory.set_fault(faults[self.rng.random_range(0..faults.len())]);
    }

    fn propose(&mut self, operator: usize) {
        let mut cx = Cx::new(Instant::now(), self.rng.random());
        let floor = self.rng.random_range(0..50);
        let caller = format!("c{}", self.rng.random_range(0..9));
        let intent = changes([service("permits", floor), limit(&caller, floor)]);
        let report = CapacityReport::default();
        let plan = self.operators[operator].propose(&mut cx, &intent, &report, author());
        if let Ok(plan) = plan
            && plan.refusals.is_empty()
        {
            self.plan_ids.push(plan.id);
            self.plans.insert(plan.id, plan.changes);
        }
    }

    fn confirm(&mut self, operator: usize) -> Result<(), String> {
        let recent_start = self.plan_ids.len().saturating_sub(4);
        let Some(plan) = self.plan_ids[recent_start..].get(self.rng.random_range(0..4)).copied()
        else {
            return Ok(());
        };
        let confirmed = self.operators[operator].confirm(plan, author(), time());
        let outcome = confirmed.map_err(|error| error.to_string())?.outcome;
        self.check_head()?;
        let stored_generation = self.head.as_ref().and_then(|head| head.generation_of(plan));
        let is_correct = match outcome {
            ConfirmOutcome::Confirmed(generation) => stored_generation == Some(generation),
            ConfirmOutcome::NotConfirmed(_) => stored_generation.is_none(),
            ConfirmOutcome::Unknown { .. } => return Ok(()),
        };
        let earlier = self.outcomes.insert(plan, outcome);
        let differs = earlier.is_some_and(|earlier| {
            matches!(earlier, ConfirmOutcome::Confirmed(_))
                != matches!(outcome, ConfirmOutcome::Confirmed(_))
        });
        match is_correct && !differs {
            true => Ok(()),
            false => {
                Err(format!("{outcome:?} after {earlier:?}, the head has {stored_generation:?}"))
            }
        }
    }

    fn load(&mut self, operator: usize) -> Result<(), String> {
        let daemon = self.rng.random_range(0..self.daemons.len());
        let (current, chunks) = &mut self.daemons[daemon];
        let Ok(loaded) = self.operators[operator].load(current.head(), chunks) else {
            return Ok(());
        };
        let Some(snapshot) = loaded.newer else { return Ok(()) };
        match current.install(snapshot.head) {
            HeadComparison::Newer => self.check_daemon(daemon),
            other => Err(format!("a daemon loads a head that is {other:?}")),
        }
    }

    fn check_daemon(&self, daemon: usize) -> Result<(), String> {
        let (current, chunks) = &self.daemons[daemon];
        let names = current.head().map(|head| &head.names).ok_or("nothing is in force")?;
        chunks.assemble(names).map(drop).map_err(|error| error.to_string())
    }

    /// Checks that a new head succeeds the previous one and refers to existing chunks only.
    fn check_head(&mut self) -> Result<(), String> {
        let Some(entry) = self.memory.peek(HEAD_KEY) else { return Ok(()) };
        let head = decode_head(&entry.value).map_err(|error| error.to_string())?;
        if self.head.as_ref() == Some(&head) {
            return Ok(());
        }
        let previous = self.head.as_ref().map(|head| &head.latest);
        if head.history.first() != previous {
            return Err(format!("generation {} does not follow", head.generation()));
        }
        if let Some(ConfirmOutcome::NotConfirmed(_)) = self.outcomes.get(&head.plan()) {
            return Err("a plan is in force after it was reported as not confirmed".to_owned());
        }
        let plan = self.plans.get(&head.plan()).ok_or("an unknown plan is in force")?;
        self.content.apply_differences(plan).map_err(|error| error.to_string())?;
        let is_missing = |name| self.memory.peek(&chunk_key(name)).is_none();
        if head.chunks().iter().any(is_missing) {
            return Err("a chunk of the history is missing".to_owned());
        }
        self.head = Some(head);
        Ok(())
    }

    fn check_end(&mut self) -> Result<(), String> {
        self.memory.set_fault(StoreFault::None);
        let loaded = self.operators[0].load(None, &mut ChunkSet::new());
        let snapshot = loaded.map_err(|error| error.to_string())?.newer;
        match snapshot.map(|s| s.config).unwrap_or_default() == self.content {
            true => Ok(()),
            false => Err("the content differs from the confirmed plans".to_owned()),
        }
    }
}

/// Runs one history and returns its last generation.
fn run_history(seed: u64, compares_versions: bool) -> Result<u64, String> {
    let mut history = History::new(seed, compares_versions);
    for _ in 0..STEPS_PER_HISTORY {
        history.run_step()?;
    }
    history.check_end()?;
    Ok(history.head.map_or(0, |head| head.generation()))
}

#[test]
fn seeded_histories_keep_every_promise() {
    let mut generations = 0;
    for seed in 0..SEED_COUNT {
        generations +=
            run_history(seed, true).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
    println!("{generations} generations in {SEED_COUNT} histories");
    assert!(generations > SEED_COUNT, "too few generations are confirmed for a meaningful check");
}

#[test]
fn swap_without_comparison_is_detected() {
    let errors: Vec<String> =
        (0..SEED_COUNT).filter_map(|seed| run_history(seed, false).err()).collect();
    println!("{} of {SEED_COUNT} seeds, first: {:?}", errors.len(), errors.first());
    assert!(!errors.is_empty());
}
