//! Measures CPU time, memory and store calls of daemons in separate processes, idle and under
//! load: `cargo run --release -p fescuemux-daemon --example daemon_cost -- [daemons ...]`.
//! Requires `target/release/fescuemuxd` and `target/release/fescuemux` of the same build.

use anyhow::{Context, ensure};
use fescuemux_standins::server::{ServerOptions, StandInServer};
use fescuemux_standins::store::StandInStore;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const TOKEN: &str = "cost-operator-token";
const CLUSTER_KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
/// Duration of each measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(10);
/// Requests per second to each daemon, as in the target deployment.
const REQUESTS_PER_S: usize = 90;
/// Unit of CPU times in `/proc`: hundredths of a second.
const TICKS_PER_SECOND: f64 = 100.0;

struct Daemon {
    child: Child,
    callers: SocketAddr,
    operators: SocketAddr,
    rpc: SocketAddr,
    local: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn main() -> anyhow::Result<()> {
    let mut sizes: Vec<usize> =
        std::env::args().skip(1).map(|arg| arg.parse()).collect::<Result<_, _>>()?;
    if sizes.is_empty() {
        sizes = vec![3, 6, 12];
    }
    println!(
        "daemons  rest ms/s  rest RSS MB  store reads/s  store writes/s  load ms/s  load RSS MB"
    );
    for size in sizes {
        measure(size)?;
    }
    Ok(())
}

fn measure(size: usize) -> anyhow::Result<()> {
    let store = StandInStore::start("127.0.0.1:0")?;
    let mut daemons: Vec<Daemon> = Vec::new();
    let mut servers = Vec::new();
    for number in 0..size {
        let daemon = start(number, store.addr(), daemons.first().map(|first| first.rpc))?;
        servers.push(StandInServer::start(ServerOptions {
            server: format!("s-{number}"),
            service: "s".to_owned(),
            service_time: Duration::from_millis(2),
            announce_to: Some(daemon.local),
            ..ServerOptions::default()
        })?);
        daemons.push(daemon);
    }
    confirm(&daemons)?;
    // Gives the daemons time to join and to establish the first roster and the baselines.
    std::thread::sleep(MEASUREMENT_TIME);
    let before = store.counters();
    let idle_cpu_ms = cpu_ms_per_second(&daemons, || std::thread::sleep(MEASUREMENT_TIME))?;
    let after = store.counters();
    let idle_rss_mb = memory_mb(&daemons)?;
    let load_cpu_ms = cpu_ms_per_second(&daemons, || {
        if let Err(e) = send_load(&daemons) {
            eprintln!("load failed: {e:#}");
        }
    })?;
    let per_second = |count: u64| count as f64 / MEASUREMENT_TIME.as_secs_f64();
    println!(
        "{size:>7}  {idle_cpu_ms:>9.2}  {idle_rss_mb:>11.1}  {:>13.2}  {:>14.2}  {load_cpu_ms:>9.2}  {:>11.1}",
        per_second(after.reads - before.reads),
        per_second(after.writes - before.writes),
        memory_mb(&daemons)?,
    );
    Ok(())
}

/// Returns the path of an executable of the same build.
fn binary(name: &str) -> anyhow::Result<PathBuf> {
    let example = std::env::current_exe()?;
    let release = example.parent().and_then(Path::parent).context("no folder of the build")?;
    Ok(release.join(name))
}

fn start(number: usize, store: SocketAddr, seed: Option<SocketAddr>) -> anyhow::Result<Daemon> {
    let any = "127.0.0.1:0";
    let settings = json!({
        "instance": format!("i-{number}"), "domain": format!("d-{}", number % 7), "region": "r",
        "listen": { "callers": any, "hop": any, "rpc": any, "local": any, "operators": any },
        "store": { "addresses": [store.to_string()] },
        "cluster_keys": [CLUSTER_KEY],
        "operators": [{ "name": "cost", "token": TOKEN }],
        "seeds": seed.iter().map(ToString::to_string).collect::<Vec<_>>(),
    });
    let file = std::env::temp_dir().join(format!("cost-{}-{number}.json", std::process::id()));
    std::fs::write(&file, settings.to_string())?;
    let mut child = Command::new(binary("fescuemuxd")?)
        .arg("--config")
        .arg(&file)
        .stderr(Stdio::piped())
        .spawn()
        .context("cannot start fescuemuxd; build it first")?;
    let mut log = BufReader::new(child.stderr.take().context("no log")?);
    let mut line = String::new();
    while !line.contains("daemon started") {
        line.clear();
        ensure!(log.read_line(&mut line)? > 0, "fescuemuxd ended at once");
    }
    std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
    std::fs::remove_file(&file)?;
    let address = |name: &str| -> anyhow::Result<SocketAddr> {
        let rest = line.split_once(&format!("{name}: ")).context("no address")?.1;
        let end = rest.find([',', ' ', '}']).unwrap_or(rest.len());
        Ok(rest[..end].parse()?)
    };
    Ok(Daemon {
        callers: address("callers")?,
        operators: address("operators")?,
        rpc: address("rpc")?,
        local: address("local")?,
        child,
    })
}

fn confirm(daemons: &[Daemon]) -> anyhow::Result<()> {
    let intent = json!({ "content": {
        "services": [{ "id": "s", "floor_slots": 4 }],
        "routes": [{ "id": "r", "path_prefix": "/", "service": "s", "idempotent": true }],
        "callers": [],
    }});
    let addr = daemons[0].operators;
    let post = |path: &str, body: String| -> anyhow::Result<Value> {
        let answer = attohttpc::post(format!("http://{addr}{path}"))
            .header("Authorization", format!("Bearer {TOKEN}"))
            .text(body)
            .send()?;
        Ok(serde_json::from_slice(&answer.bytes()?)?)
    };
    let plan = post("/v1/plans", intent.to_string())?;
    let id = plan["id"].as_str().context("no plan")?.to_owned();
    post(&format!("/v1/plans/{id}/confirm"), String::new())?;
    let started = Instant::now();
    while daemons.iter().any(|daemon| !is_ready(daemon)) {
        ensure!(started.elapsed() < Duration::from_secs(30), "no configuration in force");
        std::thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

fn is_ready(daemon: &Daemon) -> bool {
    let answer = attohttpc::get(format!("http://{}/ready", daemon.operators)).send();
    answer.is_ok_and(|answer| answer.is_success())
}

fn send_load(daemons: &[Daemon]) -> anyhow::Result<()> {
    let addrs: Vec<String> = daemons.iter().map(|daemon| daemon.callers.to_string()).collect();
    let status = Command::new(binary("fescuemux")?)
        .args(["load", "--target", &format!("fleet={}", addrs.join(","))])
        .args(["--rate", &(REQUESTS_PER_S * daemons.len()).to_string()])
        .args(["--duration", &format!("{}s", MEASUREMENT_TIME.as_secs()), "--warm-up", "0s"])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .status()?;
    ensure!(status.success(), "fescuemux load: {status}");
    Ok(())
}

/// Returns the mean CPU time per daemon in milliseconds per second while `work` runs.
fn cpu_ms_per_second(daemons: &[Daemon], work: impl FnOnce()) -> anyhow::Result<f64> {
    let total_ticks =
        || daemons.iter().map(|daemon| cpu_ticks(&daemon.child)).sum::<anyhow::Result<f64>>();
    let (before, started) = (total_ticks()?, Instant::now());
    work();
    let seconds = started.elapsed().as_secs_f64();
    let used_seconds = (total_ticks()? - before) / TICKS_PER_SECOND;
    Ok(used_seconds / seconds / daemons.len() as f64 * 1_000.0)
}

/// Returns the CPU time of a process so far, in units of 1/[`TICKS_PER_SECOND`] s.
fn cpu_ticks(child: &Child) -> anyhow::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", child.id()))?;
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let field = |index: usize| -> anyhow::Result<f64> {
        Ok(fields.get(index).context("a short stat line")?.parse()?)
    };
    // User and system time are the 14th and 15th fields of the line, and the 12th and 13th after
    // the process name.
    Ok(field(11)? + field(12)?)
}

/// Returns the mean resident memory per daemon in MiB.
fn memory_mb(daemons: &[Daemon]) -> anyhow::Result<f64> {
    let mut total = 0.0;
    for daemon in daemons {
        let status = std::fs::read_to_string(format!("/proc/{}/status", daemon.child.id()))?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).context("no VmRSS")?;
        let kib: f64 = line.split_whitespace().nth(1).context("no value")?.parse()?;
        total += kib / 1_024.0;
    }
    Ok(total / daemons.len() as f64)
}
