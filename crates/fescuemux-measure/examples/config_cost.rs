//! Prints store calls, bytes and processor time of configuration changes at the target scale of
//! 75 services, 8,100 routes and 11,000 callers.
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

fn service(i: u32) -> Service {
    Service { floor_slots: 100 + i, ..Service::new(format!("service-{i:02}")) }
}

fn route(i: u32) -> Route {
    Route {
        id: format!("route-{i:04}").into(),
        method: i.is_multiple_of(3).then(|| "POST".into()),
        host: Some(format!("api{}.example.net", i % 7).into()),
        path_prefix: format!("/v1/team-{}/resource-{i}", i % 90).into(),
        service: format!("service-{:02}", i % SERVICES).into(),
        idempotent: !i.is_multiple_of(3),
        deadline: i.is_multiple_of(5).then_some(Duration::from_millis(1_500)),
    }
}

fn limit(i: u32) -> CallerLimit {
    CallerLimit { caller: format!("customer-{i:05}").into(), rate_per_s: 10 + i % 90, burst: 50 }
}

fn content() -> Config {
    let mut config = Config::default();
    (0..SERVICES).for_each(|i| config.apply_change(&Change::PutService(service(i))));
    (0..ROUTES).for_each(|i| config.apply_change(&Change::PutRoute(route(i))));
    (0..CALLERS).for_each(|i| config.apply_change(&Change::PutCaller(limit(i))));
    config
}

struct Bench {
    memory: Arc<MemoryStore>,
    config: ConfigStore<Arc<MemoryStore>>,
    cx: Cx,
    /// What a watcher of the configuration holds.
    chunks: ChunkSet,
    head: Option<Head>,
}

struct Cost {
    calls: StoreCounters,
    time: Duration,
}

impl Bench {
    fn measure<T>(
        &mut self,
        run: impl FnOnce(&mut Bench) -> anyhow::Result<T>,
    ) -> anyhow::Result<(T, Cost)> {
        let before = self.memory.counters();
        let start = Instant::now();
        let value = run(self)?;
        let time = start.elapsed();
        let after = self.memory.counters();
        let calls = StoreCounters {
            reads: after.reads - before.reads,
            writes: after.writes - before.writes,
            bytes_read: after.bytes_read - before.bytes_read,
            bytes_written: after.bytes_written - before.bytes_written,
        };
        Ok((value, Cost { calls, time }))
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
        let (snapshot, load) = self.measure(Bench::load)?;
        self.head = Some(snapshot.head);
        let head = self.memory.peek(HEAD_KEY).map_or(0, |entry| entry.value.len());
        print(name, "propose", &propose, 0);
        print(name, "confirm", &confirm, head);
        print(name, "load", &load, head);
        Ok(())
    }
}

fn print(name: &str, step: &str, cost: &Cost, head: usize) {
    let StoreCounters { reads, writes, bytes_read, bytes_written } = cost.calls;
    let ms = cost.time.as_secs_f64() * 1e3;
    println!(
        "{name:<22} {step:<8} {reads:>5} {writes:>6} {bytes_read:>10} {bytes_written:>10} \
         {ms:>9.2} {head:>9}"
    );
}

/// Resident memory of this process, in bytes.
fn resident() -> usize {
    const PAGE_BYTES: usize = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Prints what one daemon holds in memory: chunks for its peers, content and route table. Takes
/// the mean of many, because the first ones fit into memory that the setup has freed.
fn print_memory(config: &ConfigStore<Arc<MemoryStore>>) -> anyhow::Result<()> {
    const DAEMONS: usize = 50;
    let mut held = Vec::new();
    let before = resident();
    for _ in 0..DAEMONS {
        let mut chunks = ChunkSet::new();
        let loaded = config.load(None, &mut chunks)?;
        let snapshot = loaded.newer.ok_or_else(|| anyhow::anyhow!("no generation"))?;
        let table = RouteTable::new(&snapshot.config);
        held.push((chunks, snapshot, table));
    }
    let mean = (resident() - before) as f64 / held.len() as f64;
    println!("one daemon holds {:.1} MB of configuration", mean / 1e6);
    Ok(())
}

fn main() -> anyhow::Result<()> {
    let memory = Arc::new(MemoryStore::with_virtual_clock());
    let config = ConfigStore::new(Arc::clone(&memory));
    let cx = Cx::new(Instant::now(), 1);
    let mut bench = Bench { memory, config, cx, chunks: ChunkSet::new(), head: None };
    println!(
        "{:<22} {:<8} {:>5} {:>6} {:>10} {:>10} {:>9} {:>9}",
        "change", "step", "reads", "writes", "B read", "B written", "ms", "head B"
    );
    bench.change("whole content", Intent::Content(Box::new(content())))?;
    print_memory(&bench.config)?;
    let faster = Route { deadline: Some(Duration::from_millis(900)), ..route(17) };
    bench.change("one route", Intent::Changes(vec![Change::PutRoute(faster)]))?;
    let wider = CallerLimit { rate_per_s: 999, ..limit(4_711) };
    bench.change("one caller", Intent::Changes(vec![Change::PutCaller(wider)]))?;
    let higher = Service { floor_slots: 300, ..service(3) };
    bench.change("one service", Intent::Changes(vec![Change::PutService(higher)]))?;
    let many = (0..100).map(|i| Change::PutCaller(CallerLimit { burst: 60, ..limit(i * 97) }));
    bench.change("100 callers", Intent::Changes(many.collect()))?;
    bench.change("return to content", Intent::ReturnTo(1))?;
    for i in 0..40 {
        let caller = CallerLimit { burst: 70, ..limit(i) };
        let intent = Intent::Changes(vec![Change::PutCaller(caller)]);
        let plan = bench.config.propose(
            &mut bench.cx,
            &intent,
            &CapacityReport::default(),
            "ops".into(),
        )?;
        bench.config.confirm(plan.id, "ops".into(), UNIX_EPOCH)?;
    }
    let last = CallerLimit { burst: 80, ..limit(1) };
    bench.change("one, full history", Intent::Changes(vec![Change::PutCaller(last)]))?;
    Ok(())
}
