//! Helpers for tests of the configuration in a store.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub(crate) mod turns;

use fescuemux_core::base::{Cx, PlanId};
use fescuemux_core::config::{
    CallerLimit, CapacityReport, Change, Config, ConfirmOutcome, Intent, Plan, Route, Service,
};
use fescuemux_standins::store::MemoryStore;
use fescuemux_store::config_store::ConfigStore;
use fescuemux_wire::config::ChunkSet;
use rand::Rng as _;
use smol_str::SmolStr;
use std::cell::RefCell;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Configuration driver on an in-memory store, with the random generator of its plan ids.
pub(crate) struct Fleet {
    pub(crate) memory: Arc<MemoryStore>,
    pub(crate) config: ConfigStore<Arc<MemoryStore>>,
    cx: RefCell<Cx>,
}

pub(crate) fn fleet() -> Fleet {
    let memory = Arc::new(MemoryStore::with_virtual_clock());
    let config = ConfigStore::new(Arc::clone(&memory)).with_retry_delay(Duration::ZERO);
    Fleet { memory, config, cx: RefCell::new(Cx::new(Instant::now(), 7)) }
}

impl Fleet {
    /// Proposes a plan, which may have refusals.
    pub(crate) fn plan(&self, intent: Intent) -> Plan {
        let cx = &mut *self.cx.borrow_mut();
        self.config.propose(cx, &intent, &CapacityReport::default(), author()).unwrap()
    }

    /// Draws and discards plan ids, so that the next ids differ from those of another fleet, which
    /// has the same seed.
    pub(crate) fn skip_plan_ids(&self, count: usize) {
        for _ in 0..count {
            let _: PlanId = self.cx.borrow_mut().rng.random();
        }
    }

    /// Proposes a plan that has no refusals, and returns its id.
    pub(crate) fn propose(&self, intent: Intent) -> PlanId {
        let plan = self.plan(intent);
        assert_eq!(plan.refusals, []);
        plan.id
    }

    pub(crate) fn confirm(&self, plan: PlanId) -> ConfirmOutcome {
        self.config.confirm(plan, author(), time()).unwrap().outcome
    }

    pub(crate) fn confirm_new(&self, intent: Intent) -> ConfirmOutcome {
        let plan = self.propose(intent);
        self.confirm(plan)
    }

    /// Returns the content in force, empty without a generation.
    pub(crate) fn content(&self) -> Config {
        let loaded = self.config.load(None, &mut ChunkSet::new()).unwrap();
        loaded.newer.map(|snapshot| snapshot.config).unwrap_or_default()
    }
}

pub(crate) fn changes<const N: usize>(changes: [Change; N]) -> Intent {
    Intent::Changes(changes.into())
}

pub(crate) fn service(id: &str, floor_slots: u32) -> Change {
    Change::PutService(Service { floor_slots, ..Service::new(id) })
}

pub(crate) fn limit(caller: &str, rate_per_s: u32) -> Change {
    Change::PutCaller(CallerLimit { caller: caller.into(), rate_per_s, burst: 1 })
}

pub(crate) fn route(id: &str, path_prefix: &str, service: &str) -> Change {
    Change::PutRoute(Route {
        id: id.into(),
        method: None,
        host: None,
        path_prefix: path_prefix.into(),
        service: service.into(),
        idempotent: false,
        deadline: None,
    })
}

pub(crate) fn author() -> SmolStr {
    "ops".into()
}

pub(crate) fn time() -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_700_000_000)
}
