//! Runs seeded histories of operators, daemons and store faults. Guards against outcomes that
//! are false, content that differs from the confirmed plans, chunks that are missing, and
//! daemons that step back, when faults come together.

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
    Change, Entry, Expect, LeaseId, Listed, Renewal, Store, StoreError, Swap, Version, Watched,
};
use fescuemux_wire::config::{ChunkSet, decode_head};
use rand::{Rng as _, SeedableRng as _};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

const STEPS: usize = 120;
const SEEDS: u64 = 300;
const OPERATORS: usize = 3;

/// Store whose head can be swapped without the version that it has, if `compares` is not set.
struct Access {
    memory: Arc<MemoryStore>,
    compares: bool,
}

impl Store for Access {
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.memory.get(key)
    }
    fn compare_and_swap(&self, k: &str, e: Expect, c: Change<'_>) -> Result<Swap, StoreError> {
        match self.memory.compare_and_swap(k, e, c)? {
            Swap::Conflict(Some(version)) if !self.compares && k == HEAD_KEY => {
                self.memory.compare_and_swap(k, Expect::Version(version), c)
            }
            swap => Ok(swap),
        }
    }
    fn list(&self, prefix: &str) -> Result<Vec<Listed>, StoreError> {
        self.memory.list(prefix)
    }
    fn watch(&self, key: &str, after: Version, time: Duration) -> Result<Watched, StoreError> {
        self.memory.watch(key, after, time)
    }
    fn lease_grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.memory.lease_grant(ttl)
    }
    fn lease_renew(&self, lease: LeaseId) -> Result<Renewal, StoreError> {
        self.memory.lease_renew(lease)
    }
    fn lease_revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.memory.lease_revoke(lease)
    }
}

struct History {
    rng: Rng,
    memory: Arc<MemoryStore>,
    operators: Vec<ConfigStore<Access>>,
    daemons: Vec<(CurrentHead, ChunkSet)>,
    plans: HashMap<PlanId, Vec<Difference>>,
    ids: Vec<PlanId>,
    outcomes: HashMap<PlanId, ConfirmOutcome>,
    /// What the head held last, and the content that the confirmed plans lead to.
    head: Option<Head>,
    content: Config,
}

impl History {
    fn new(seed: u64, compares: bool) -> History {
        let memory = Arc::new(MemoryStore::with_virtual_clock());
        let operator = || {
            let access = Access { memory: Arc::clone(&memory), compares };
            ConfigStore::new(access).with_retry_pause(Duration::ZERO)
        };
        History {
            rng: Rng::seed_from_u64(seed),
            operators: (0..OPERATORS).map(|_| operator()).collect(),
            daemons: (0..3).map(|_| (CurrentHead::new(), ChunkSet::new())).collect(),
            memory,
            plans: HashMap::new(),
            ids: Vec::new(),
            outcomes: HashMap::new(),
            head: None,
            content: Config::default(),
        }
    }

    fn step(&mut self) -> Result<(), String> {
        let operator = self.rng.random_range(0..OPERATORS);
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
            self.ids.push(plan.id);
            self.plans.insert(plan.id, plan.changes);
        }
    }

    fn confirm(&mut self, operator: usize) -> Result<(), String> {
        let recent = self.ids.len().saturating_sub(4);
        let Some(plan) = self.ids[recent..].get(self.rng.random_range(0..4)).copied() else {
            return Ok(());
        };
        let confirmed = self.operators[operator].confirm(plan, author(), time());
        let outcome = confirmed.map_err(|error| error.to_string())?.outcome;
        self.check_head()?;
        let found = self.head.as_ref().and_then(|head| head.generation_of(plan));
        let is_true = match outcome {
            ConfirmOutcome::Confirmed(generation) => found == Some(generation),
            ConfirmOutcome::NotConfirmed(_) => found.is_none(),
            ConfirmOutcome::Unknown { .. } => return Ok(()),
        };
        let earlier = self.outcomes.insert(plan, outcome);
        let differs = earlier.is_some_and(|earlier| {
            matches!(earlier, ConfirmOutcome::Confirmed(_))
                != matches!(outcome, ConfirmOutcome::Confirmed(_))
        });
        match is_true && !differs {
            true => Ok(()),
            false => Err(format!("{outcome:?} after {earlier:?}, the head has {found:?}")),
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
            other => Err(format!("a daemon loads {other:?}")),
        }
    }

    fn check_daemon(&self, daemon: usize) -> Result<(), String> {
        let (current, chunks) = &self.daemons[daemon];
        let names = current.head().map(|head| &head.names).ok_or("nothing is in force")?;
        chunks.assemble(names).map(drop).map_err(|error| error.to_string())
    }

    /// Follows the head: each new one continues the one before and names chunks that exist.
    fn check_head(&mut self) -> Result<(), String> {
        let Some(entry) = self.memory.peek(HEAD_KEY) else { return Ok(()) };
        let head = decode_head(&entry.value).map_err(|error| error.to_string())?;
        if self.head.as_ref() == Some(&head) {
            return Ok(());
        }
        let before = self.head.as_ref().map(|head| &head.latest);
        if head.history.first() != before {
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

/// Runs one history and returns the generations that it reached.
fn run(seed: u64, compares: bool) -> Result<u64, String> {
    let mut history = History::new(seed, compares);
    for _ in 0..STEPS {
        history.step()?;
    }
    history.check_end()?;
    Ok(history.head.map_or(0, |head| head.generation()))
}

#[test]
fn seeded_histories_keep_every_promise() {
    let mut generations = 0;
    for seed in 0..SEEDS {
        generations += run(seed, true).unwrap_or_else(|fault| panic!("seed {seed}: {fault}"));
    }
    println!("{generations} generations in {SEEDS} histories");
    assert!(generations > SEEDS, "the faults leave hardly any history to check");
}

#[test]
fn swap_without_comparison_is_caught() {
    let faults: Vec<String> = (0..SEEDS).filter_map(|seed| run(seed, false).err()).collect();
    println!("{} of {SEEDS} seeds, first: {:?}", faults.len(), faults.first());
    assert!(!faults.is_empty());
}
