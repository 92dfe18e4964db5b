//! Prints store calls, bytes and elapsed time of configuration changes at the target scale of 75
//! services, 8,100 routes and 11,000 callers.
//!
//! `cargo run --release -p fescuemux-measure --example config_cost`

use anyhow::ensure;
use fescuemux_core::base::Cx;
use fescuemux_core::config::{
    CallerLimit, CapacityReport, Change, Config, ConfirmOutcome, HEAD_KEY, Head, Intent, Route,
    RouteTable, Service,
};
use fescuemux_standins::store::{MemoryStore, StoreCounters};
use fescuemux_store::config_store::{ConfigStore, Snapshot};
use fescuemux_wire::config::ChunkSet;
use std::sync::Arc;
use std::time::{Duration, Instant, UNIX_EPOCH};

const SERVICES: u32 = 75;
const ROUTES: u32 = 8_100;
const CALLERS: u32 = 11_000;

fn test_service(index: u32) -> Service {
    Service { floor_slots: 100 + index, ..Service::new(format!("service-{index:02}")) }
}

fn test_route(index: u32) -> Route {
    Route {
        id: format!("route-{index:04}").into(),
        method: index.is_multiple_of(3).then(|| "POST".into()),
        host: Some(format!("api{}.example.net", index % 7).into()),
        path_prefix: format!("/v1/team-{}/resource-{index}", index % 90).into(),
        service: format!("service-{:02}", index % SERVICES).into(),
        idempotent: !index.is_multiple_of(3),
        deadline: index.is_multiple_of(5).then_some(Duration::from_millis(1_500)),
    }
}

fn test_caller_limit(index: u32) -> CallerLimit {
    CallerLimit {
        caller: format!("customer-{index:05}").into(),
        rate_per_s: 10 + index % 90,
        burst: 50,
    }
}

fn full_config() -> Config {
    let mut config = Config::default();
    (0..SERVICES).for_each(|index| config.apply_change(&Change::PutService(test_service(index))));
    (0..ROUTES).for_each(|index| config.apply_change(&Change::PutRoute(test_route(index))));
    (0..CALLERS)
        .for_each(|index| config.apply_change(&Change::PutCaller(test_caller_limit(index))));
    config
}

struct ConfigBenchmark {
    store: Arc<MemoryStore>,
    config: ConfigStore<Arc<MemoryStore>>,
    cx: Cx,
    /// Chunks that a daemon holds from its previous load.
    chunks: ChunkSet,
    /// Configuration head of the previous load.
    head: Option<Head>,
}

struct Cost {
    store_calls: StoreCounters,
    time: Duration,
}

impl ConfigBenchmark {
    fn measure<T>(
        &mut self,
        step: impl FnOnce(&mut ConfigBenchmark) -> anyhow::Result<T>,
    ) -> anyhow::Result<(T, Cost)> {
        let before = self.store.counters();
        let start = Instant::now();
        let value = step(self)?;
        let time = start.elapsed();
        let after = self.store.counters();
        let store_calls = StoreCounters {
            reads: after.reads - before.reads,
            writes: after.writes - before.writes,
            bytes_read: after.bytes_read - before.bytes_read,
            bytes_written: after.bytes_written - before.bytes_written,
        };
        Ok((value, Cost { store_calls, time }))
    }

    fn load(&mut self) -> anyhow::Result<Snapshot> {
        let loaded = self.config.load(self.head.as_ref(), &mut self.chunks)?;
        loaded.newer.ok_or_else(|| anyhow::anyhow!("no newer generation"))
    }

    fn change(&mut self, name: &str, intent: Intent) -> anyhow::Result<()> {
        let report = CapacityReport::default();
        let (plan, propose) = self.measure(|bench| {
            Ok(bench.config.propose(&mut bench.cx, &intent, &report, "ops".into())?)
        })?;
        ensure!(plan.refusals.is_empty(), "refused: {:?}", plan.refusals.first());
        let (confirmation, confirm) =
            self.measure(|bench| Ok(bench.config.confirm(plan.id, "ops".into(), UNIX_EPOCH)?))?;
        ensure!(matches!(confirmation.outcome, ConfirmOutcome::Confirmed(_)), "not confirmed");
        let (snapshot, load) = self.measure(ConfigBenchmark::load)?;
        self.head = Some(snapshot.head);
        let head_bytes = self.store.peek(HEAD_KEY).map_or(0, |entry| entry.value.len());
        print_cost(name, "propose", &propose, 0);
        print_cost(name, "confirm", &confirm, head_bytes);
        print_cost(name, "load", &load, head_bytes);
        Ok(())
    }
}

fn print_cost(name: &str, step: &str, cost: &Cost, head_bytes: usize) {
    let StoreCounters { reads, writes, bytes_read, bytes_written } = cost.store_calls;
    let ms = cost.time.as_secs_f64() * 1e3;
    println!(
        "{name:<22} {step:<8} {reads:>5} {writes:>6} {bytes_read:>10} {bytes_written:>10} \
         {ms:>9.2} {head_bytes:>9}"
    );
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    const PAGE_BYTES: usize = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Prints the memory that the configuration takes in one daemon: the chunks that the daemon serves
/// to its peers, the content and the route table. Averages over many daemons, because the first
/// daemons reuse memory that the setup has freed.
fn print_memory(config: &ConfigStore<Arc<MemoryStore>>) -> anyhow::Result<()> {
    const DAEMONS: usize = 50;
    let mut kept_state = Vec::new();
    let before = resident_bytes();
    for _ in 0..DAEMONS {
        let mut chunks = ChunkSet::new();
        let loaded = config.load(None, &mut chunks)?;
        let snapshot = loaded.newer.ok_or_else(|| anyhow::anyhow!("no generation"))?;
        let table = RouteTable::new(&snapshot.config);
        kept_state.push((chunks, snapshot, table));
    }
    let mean = (resident_bytes() - before) as f64 / kept_state.len() as f64;
    println!("one daemon holds {:.1} MB of configuration", mean / 1e6);
    Ok(())
}

fn main() -> anyhow::Result<()> {
    let store = Arc::new(MemoryStore::with_virtual_clock());
    let config = ConfigStore::new(Arc::clone(&store));
    let cx = Cx::new(Instant::now(), 1);
    let mut bench = ConfigBenchmark { store, config, cx, chunks: ChunkSet::new(), head: None };
    println!(
        "{:<22} {:<8} {:>5} {:>6} {:>10} {:>10} {:>9} {:>9}",
        "change", "step", "reads", "writes", "B read", "B written", "ms", "head B"
    );
    bench.change("whole content", Intent::Content(Box::new(full_config())))?;
    print_memory(&bench.config)?;
    let changed_route = Route { deadline: Some(Duration::from_millis(900)), ..test_route(17) };
    bench.change("one route", Intent::Changes(vec![Change::PutRoute(changed_route)]))?;
    let changed_limit = CallerLimit { rate_per_s: 999, ..test_caller_limit(4_711) };
    bench.change("one caller", Intent::Changes(vec![Change::PutCaller(changed_limit)]))?;
    let changed_service = Service { floor_slots: 300, ..test_service(3) };
    bench.change("one service", Intent::Changes(vec![Change::PutService(changed_service)]))?;
    let changed_limits = (0..100)
        .map(|index| Change::PutCaller(CallerLimit { burst: 60, ..test_caller_limit(index * 97) }));
    bench.change("100 callers", Intent::Changes(changed_limits.collect()))?;
    bench.change("return to content", Intent::ReturnTo(1))?;
    for index in 0..40 {
        let caller = CallerLimit { burst: 70, ..test_caller_limit(index) };
        let intent = Intent::Changes(vec![Change::PutCaller(caller)]);
        let plan = bench.config.propose(
            &mut bench.cx,
            &intent,
            &CapacityReport::default(),
            "ops".into(),
        )?;
        bench.config.confirm(plan.id, "ops".into(), UNIX_EPOCH)?;
    }
    let changed_limit = CallerLimit { burst: 80, ..test_caller_limit(1) };
    bench.change("one, full history", Intent::Changes(vec![Change::PutCaller(changed_limit)]))?;
    Ok(())
}
