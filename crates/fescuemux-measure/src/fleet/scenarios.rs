//! The measured scenarios.

use super::names::{DOMAINS, domain, name, region};
use super::report::{CONFIG, Row};
use super::sim::Fleet;
use fescuemux_core::member::MemberState;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Step at which views are compared.
const STEP: Duration = Duration::from_millis(250);
/// Time between two restarts: 340 a day.
const RESTART_EVERY: Duration = Duration::from_secs(86_400 / 340);
/// Nodes of the lost rack.
const RACK: usize = 20;

/// One scenario, run on a copy of a settled fleet.
pub type Scenario = fn(&Fleet) -> Vec<Row>;

/// Lets a whole fleet join through its seeds within 30 s and returns it settled.
pub fn join_fleet(nodes: usize, servers_each: usize, seed: u64) -> (Fleet, Vec<Row>) {
    let mut fleet = Fleet::new(nodes, servers_each, seed);
    let gap = Duration::from_secs(30) / nodes as u32;
    for node in 0..nodes {
        fleet.start(node, 0, true);
        fleet.run(gap);
    }
    let everyone: Vec<usize> = (0..nodes).collect();
    let times = converge(&mut fleet, &everyone, MemberState::Alive, Duration::from_secs(120));
    let row = row("all daemons join", &mut fleet, &times);
    while fleet.nodes.iter().any(|n| n.member.pending_updates() > 0) {
        fleet.run(Duration::from_secs(1));
    }
    (fleet, vec![row])
}

/// Steady state with restarts spread over the time. Each restart is a planned stop, 5 s without
/// a process, and a new one whose servers get ready one by one. The times are those until a new
/// process holds the records of all instances.
pub fn steady_state(settled: &Fleet) -> Vec<Row> {
    let mut fleet = settled.clone();
    fleet.reset_meter();
    let everyone: Vec<usize> = (0..fleet.nodes.len()).collect();
    let mut times = Vec::new();
    for life in 1..=5 {
        let next = fleet.cx.now + RESTART_EVERY;
        let node = fleet.nodes.len() / 2 + life as usize;
        fleet.leave(node);
        fleet.run(Duration::from_secs(2));
        fleet.stop(node);
        fleet.run(Duration::from_secs(5));
        fleet.start(node, life * 1000, false);
        let started = fleet.cx.now;
        while !agrees(&fleet, node, &everyone, MemberState::Alive) && fleet.cx.now < next {
            fleet.run(STEP);
        }
        times.push(secs_since(started, fleet.cx.now));
        for ready in 1..=8 {
            fleet.run(Duration::from_secs(5));
            fleet.warm(node, ready, life * 1000);
        }
        fleet.run(next.saturating_duration_since(fleet.cx.now));
    }
    vec![row("steady state, 340 restarts a day", &mut fleet, &times)]
}

/// A rack of 20 nodes lost at once.
pub fn rack_lost(settled: &Fleet) -> Vec<Row> {
    let lost: Vec<usize> = (0..settled.nodes.len()).filter(|n| domain(*n) == 2).collect();
    let rack = lost.len().min(RACK);
    vec![lose("rack lost", settled, &lost[..rack])]
}

/// A failure domain lost at once.
pub fn domain_lost(settled: &Fleet) -> Vec<Row> {
    let lost: Vec<usize> = (0..settled.nodes.len()).filter(|n| domain(*n) == 2).collect();
    vec![lose("failure domain lost", settled, &lost)]
}

fn lose(what: &str, settled: &Fleet, lost: &[usize]) -> Row {
    let mut fleet = settled.clone();
    fleet.reset_meter();
    for node in lost {
        fleet.stop(*node);
    }
    let times = converge(&mut fleet, lost, MemberState::Dead, Duration::from_secs(180));
    row(what, &mut fleet, &times)
}

/// An hour with 1% of messages lost.
pub fn message_loss(settled: &Fleet) -> Vec<Row> {
    let mut fleet = settled.clone();
    fleet.loss = 0.01;
    fleet.reset_meter();
    fleet.run(Duration::from_secs(3600));
    vec![row("an hour with 1% loss", &mut fleet, &[])]
}

/// The processes of a rack paused for 30 s. The others rightly give up on them; the row covers
/// the time after the pause, in which nobody may be held for dead.
pub fn rack_paused(settled: &Fleet) -> Vec<Row> {
    let mut fleet = settled.clone();
    let rack: Vec<usize> = (0..fleet.nodes.len()).filter(|n| domain(*n) == 2).take(RACK).collect();
    for node in &rack {
        fleet.stop(*node);
    }
    fleet.run(Duration::from_secs(30));
    fleet.reset_meter();
    for node in &rack {
        fleet.resume(*node);
    }
    let everyone: Vec<usize> = (0..fleet.nodes.len()).collect();
    let times = converge(&mut fleet, &everyone, MemberState::Alive, Duration::from_secs(180));
    vec![row("rack paused 30 s, after the pause", &mut fleet, &times)]
}

/// Regions cut from each other for an hour and joined again. The first row ends when both
/// sides agree about the cut, the second covers the rest of the hour, the third the rejoin.
pub fn region_partition(settled: &Fleet) -> Vec<Row> {
    let mut fleet = settled.clone();
    fleet.reset_meter();
    fleet.cut = true;
    let everyone: Vec<usize> = (0..fleet.nodes.len()).collect();
    let times = converge(&mut fleet, &everyone, MemberState::Dead, Duration::from_secs(900));
    let mut rows = vec![row("region cut", &mut fleet, &times)];
    fleet.reset_meter();
    fleet.run(Duration::from_secs(3600 - rows[0].converged_max.max(0.0) as u64));
    rows.push(row("region cut, rest of the hour", &mut fleet, &[]));
    fleet.reset_meter();
    fleet.cut = false;
    let times = converge(&mut fleet, &everyone, MemberState::Alive, Duration::from_secs(600));
    rows.push(row("regions rejoined", &mut fleet, &times));
    rows
}

/// Ten configuration changes with 1% loss and a quarter of the watchers gone. Times are those
/// of all daemons in all changes.
pub fn config_propagation(settled: &Fleet) -> Vec<Row> {
    let mut fleet = settled.clone();
    let mut watchers = Vec::new();
    for i in 0..DOMAINS {
        let of_domain: HashSet<_> =
            fleet.nodes[0].member.watchers(&format!("domain-{i}").into()).into_iter().collect();
        watchers.extend((0..fleet.nodes.len()).filter(|n| of_domain.contains(&name(*n))));
    }
    let gone = watchers.split_off(watchers.len() - watchers.len().div_ceil(4));
    fleet.loss = 0.01;
    fleet.reset_meter();
    for node in gone {
        fleet.stop(node);
    }
    let mut times = Vec::new();
    for generation in 1..=10 {
        let from = fleet.cx.now;
        for (i, watcher) in watchers.iter().enumerate() {
            // The store answers its waiting watches one after another.
            fleet.install(*watcher, generation, Duration::from_millis(20 * (i as u64 + 1)));
        }
        fleet.run(Duration::from_secs(12));
        for node in fleet.nodes.iter().filter(|n| n.up) {
            let behind = node.member.config_version().generation < generation;
            let secs = node.installed_at.saturating_duration_since(from).as_secs_f64();
            times.push(if behind { f64::INFINITY } else { secs });
        }
    }
    vec![row(CONFIG, &mut fleet, &times)]
}

/// Returns bytes of memory of a node at each size. The fleets are kept until the end, because
/// freed memory would count as growth of none of them.
pub fn measure_memory(sizes: &[usize], servers_each: usize, seed: u64) -> Vec<(f64, f64)> {
    let mut kept = Vec::new();
    let mut points = Vec::new();
    for nodes in sizes {
        let before = resident_bytes();
        kept.push(join_fleet(*nodes, servers_each, seed).0);
        points.push((*nodes as f64, (resident_bytes() - before) / *nodes as f64));
    }
    points
}

/// Lets time pass until every running node holds all of `members` that it should for `state`,
/// and returns the seconds that each took, infinite past `limit`. Nodes of a cut region are
/// compared about the other one only.
fn converge(fleet: &mut Fleet, members: &[usize], state: MemberState, limit: Duration) -> Vec<f64> {
    let from = fleet.cx.now;
    let mut waiting: Vec<usize> = (0..fleet.nodes.len()).filter(|n| fleet.nodes[*n].up).collect();
    let mut times = Vec::new();
    while !waiting.is_empty() && fleet.cx.now - from < limit {
        fleet.run(STEP);
        let secs = secs_since(from, fleet.cx.now);
        let before = waiting.len();
        waiting.retain(|node| !agrees(fleet, *node, members, state));
        times.resize(times.len() + before - waiting.len(), secs);
    }
    times.resize(times.len() + waiting.len(), f64::INFINITY);
    times
}

fn agrees(fleet: &Fleet, node: usize, members: &[usize], state: MemberState) -> bool {
    let view = &fleet.nodes[node].member;
    members.iter().all(|of| {
        let skipped = *of == node || fleet.cut && region(*of) == region(node);
        skipped || view.record(&name(*of)).is_some_and(|r| r.state == state)
    })
}

fn secs_since(from: Instant, now: Instant) -> f64 {
    (now - from).as_secs_f64()
}

fn row(what: &str, fleet: &mut Fleet, times: &[f64]) -> Row {
    let traffic = fleet.traffic();
    Row::new(what, fleet.nodes.len(), traffic, times, fleet.false_deaths)
}

/// Returns the resident bytes of this process.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or_default();
    let kib: f64 = line.split_whitespace().nth(1).and_then(|k| k.parse().ok()).unwrap_or(0.0);
    kib * 1024.0
}
