//! Scenarios that are measured: joins, restarts, losses, pauses, partitions and configuration
//! changes.

use super::names::{DOMAINS, domain, instance_id, region};
use super::report::{CONFIG_SCENARIO, Row};
use super::sim::Fleet;
use fescuemux_core::member::MemberState;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Time between two checks of whether the nodes have converged.
const COMPARE_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two restarts in the fleet, which gives 340 restarts per day.
const RESTART_INTERVAL: Duration = Duration::from_secs(86_400 / 340);
/// Number of nodes in a rack.
const RACK_NODES: usize = 20;

/// Scenario that runs on a copy of a settled fleet, in which no membership update is pending.
pub type Scenario = fn(&Fleet) -> Vec<Row>;

/// Starts all nodes over 30 s and lets them join through the seed addresses. Returns the fleet once
/// no membership update is pending, and the row of the joins.
pub fn join_fleet(nodes: usize, servers_each: usize, seed: u64) -> (Fleet, Vec<Row>) {
    let mut fleet = Fleet::new(nodes, servers_each, seed);
    let gap = Duration::from_secs(30) / nodes as u32;
    for node in 0..nodes {
        fleet.start_node(node, 0, true);
        fleet.run(gap);
    }
    let all_nodes: Vec<usize> = (0..nodes).collect();
    let convergence_times =
        run_until_converged(&mut fleet, &all_nodes, MemberState::Alive, Duration::from_secs(120));
    let row = row("all daemons join", &mut fleet, &convergence_times);
    while fleet.nodes.iter().any(|n| n.membership.pending_updates() > 0) {
        fleet.run(Duration::from_secs(1));
    }
    (fleet, vec![row])
}

/// Steady state with evenly spread restarts. In each restart, a node announces that it leaves and
/// stops 2 s later. After another 5 s a new process starts, whose servers become ready one by one.
/// The convergence times end when the new process has the records of all instances.
pub fn steady_state(settled: &Fleet) -> Vec<Row> {
    let mut fleet = settled.clone();
    fleet.reset_meter();
    let all_nodes: Vec<usize> = (0..fleet.nodes.len()).collect();
    let mut convergence_times = Vec::new();
    for restart in 1..=5 {
        let next_restart = fleet.cx.now + RESTART_INTERVAL;
        let node = fleet.nodes.len() / 2 + restart as usize;
        fleet.leave_node(node);
        fleet.run(Duration::from_secs(2));
        fleet.stop_node(node);
        fleet.run(Duration::from_secs(5));
        fleet.start_node(node, restart * 1000, false);
        let started = fleet.cx.now;
        while !has_converged(&fleet, node, &all_nodes, MemberState::Alive)
            && fleet.cx.now < next_restart
        {
            fleet.run(COMPARE_INTERVAL);
        }
        convergence_times.push(secs_since(started, fleet.cx.now));
        for ready in 1..=8 {
            fleet.run(Duration::from_secs(5));
            fleet.set_ready_servers(node, ready, restart * 1000);
        }
        fleet.run(next_restart.saturating_duration_since(fleet.cx.now));
    }
    vec![row("steady state, 340 restarts a day", &mut fleet, &convergence_times)]
}

/// Simultaneous loss of the 20 nodes of a rack, or of a whole failure domain if it has fewer nodes.
pub fn rack_lost(settled: &Fleet) -> Vec<Row> {
    let of_domain: Vec<usize> = (0..settled.nodes.len()).filter(|n| domain(*n) == 2).collect();
    let rack_size = of_domain.len().min(RACK_NODES);
    vec![run_node_loss("rack lost", settled, &of_domain[..rack_size])]
}

/// Simultaneous loss of all nodes of a failure domain.
pub fn domain_lost(settled: &Fleet) -> Vec<Row> {
    let lost: Vec<usize> = (0..settled.nodes.len()).filter(|n| domain(*n) == 2).collect();
    vec![run_node_loss("failure domain lost", settled, &lost)]
}

fn run_node_loss(scenario: &str, settled: &Fleet, lost: &[usize]) -> Row {
    let mut fleet = settled.clone();
    fleet.reset_meter();
    for node in lost {
        fleet.stop_node(*node);
    }
    let convergence_times =
        run_until_converged(&mut fleet, lost, MemberState::Dead, Duration::from_secs(180));
    row(scenario, &mut fleet, &convergence_times)
}

/// One hour with 1% message loss.
pub fn message_loss(settled: &Fleet) -> Vec<Row> {
    let mut fleet = settled.clone();
    fleet.message_loss = 0.01;
    fleet.reset_meter();
    fleet.run(Duration::from_secs(3600));
    vec![row("an hour with 1% loss", &mut fleet, &[])]
}

/// Pause of all processes of a rack for 30 s. The other nodes correctly declare the paused
/// instances dead. The row covers the time after the pause, in which no running instance may be
/// declared dead.
pub fn rack_paused(settled: &Fleet) -> Vec<Row> {
    let mut fleet = settled.clone();
    let rack: Vec<usize> =
        (0..fleet.nodes.len()).filter(|n| domain(*n) == 2).take(RACK_NODES).collect();
    for node in &rack {
        fleet.stop_node(*node);
    }
    fleet.run(Duration::from_secs(30));
    fleet.reset_meter();
    for node in &rack {
        fleet.resume_node(*node);
    }
    let all_nodes: Vec<usize> = (0..fleet.nodes.len()).collect();
    let convergence_times =
        run_until_converged(&mut fleet, &all_nodes, MemberState::Alive, Duration::from_secs(180));
    vec![row("rack paused 30 s, after the pause", &mut fleet, &convergence_times)]
}

/// Partition between the regions for one hour, and the time after its end. The first row ends when
/// all nodes have declared all instances of the other region dead, the second row covers the rest
/// of the hour, and the third row covers the time until the regions have rejoined.
pub fn region_partition(settled: &Fleet) -> Vec<Row> {
    let mut fleet = settled.clone();
    fleet.reset_meter();
    fleet.regions_partitioned = true;
    let all_nodes: Vec<usize> = (0..fleet.nodes.len()).collect();
    let convergence_times =
        run_until_converged(&mut fleet, &all_nodes, MemberState::Dead, Duration::from_secs(900));
    let mut rows = vec![row("region cut", &mut fleet, &convergence_times)];
    fleet.reset_meter();
    fleet.run(Duration::from_secs(3600 - rows[0].converged_max.max(0.0) as u64));
    rows.push(row("region cut, rest of the hour", &mut fleet, &[]));
    fleet.reset_meter();
    fleet.regions_partitioned = false;
    let convergence_times =
        run_until_converged(&mut fleet, &all_nodes, MemberState::Alive, Duration::from_secs(600));
    rows.push(row("regions rejoined", &mut fleet, &convergence_times));
    rows
}

/// Ten configuration changes with 1% message loss, while a quarter of the watchers, the nodes that
/// read the configuration from the store, are stopped. There is one convergence time for each
/// change and running node.
pub fn config_propagation(settled: &Fleet) -> Vec<Row> {
    let mut fleet = settled.clone();
    let mut watchers = Vec::new();
    for i in 0..DOMAINS {
        let of_domain: HashSet<_> =
            fleet.nodes[0].membership.watchers(&format!("domain-{i}").into()).into_iter().collect();
        watchers.extend((0..fleet.nodes.len()).filter(|n| of_domain.contains(&instance_id(*n))));
    }
    let stopped_watchers = watchers.split_off(watchers.len() - watchers.len().div_ceil(4));
    fleet.message_loss = 0.01;
    fleet.reset_meter();
    for node in stopped_watchers {
        fleet.stop_node(node);
    }
    let mut convergence_times = Vec::new();
    for generation in 1..=10 {
        let from = fleet.cx.now;
        for (i, watcher) in watchers.iter().enumerate() {
            // The store responds to pending watches one after another.
            fleet.install(*watcher, generation, Duration::from_millis(20 * (i as u64 + 1)));
        }
        fleet.run(Duration::from_secs(12));
        for node in fleet.nodes.iter().filter(|n| n.running) {
            let is_behind = node.membership.config_version().generation < generation;
            let secs = node.installed_at.saturating_duration_since(from).as_secs_f64();
            convergence_times.push(if is_behind { f64::INFINITY } else { secs });
        }
    }
    vec![row(CONFIG_SCENARIO, &mut fleet, &convergence_times)]
}

/// Returns pairs of fleet size and mean memory of a node in bytes. Keeps all fleets until the end,
/// because a later fleet would reuse the freed memory of an earlier one without an increase of the
/// resident size.
pub fn measure_memory(sizes: &[usize], servers_each: usize, seed: u64) -> Vec<(f64, f64)> {
    let mut kept_fleets = Vec::new();
    let mut points = Vec::new();
    for nodes in sizes {
        let before = resident_bytes();
        kept_fleets.push(join_fleet(*nodes, servers_each, seed).0);
        points.push((*nodes as f64, (resident_bytes() - before) / *nodes as f64));
    }
    points
}

/// Runs until every running node has the records of all `members` in `state`, or until `limit`.
/// Returns the seconds that each node took, infinite for the nodes that did not converge. While the
/// regions are partitioned, only members of the other region are compared.
fn run_until_converged(
    fleet: &mut Fleet,
    members: &[usize],
    state: MemberState,
    limit: Duration,
) -> Vec<f64> {
    let from = fleet.cx.now;
    let mut pending: Vec<usize> =
        (0..fleet.nodes.len()).filter(|n| fleet.nodes[*n].running).collect();
    let mut convergence_times = Vec::new();
    while !pending.is_empty() && fleet.cx.now - from < limit {
        fleet.run(COMPARE_INTERVAL);
        let secs = secs_since(from, fleet.cx.now);
        let before = pending.len();
        pending.retain(|node| !has_converged(fleet, *node, members, state));
        convergence_times.resize(convergence_times.len() + before - pending.len(), secs);
    }
    convergence_times.resize(convergence_times.len() + pending.len(), f64::INFINITY);
    convergence_times
}

fn has_converged(fleet: &Fleet, node: usize, members: &[usize], state: MemberState) -> bool {
    let membership = &fleet.nodes[node].membership;
    members.iter().all(|member| {
        let skipped =
            *member == node || fleet.regions_partitioned && region(*member) == region(node);
        skipped || membership.record(&instance_id(*member)).is_some_and(|r| r.state == state)
    })
}

fn secs_since(from: Instant, now: Instant) -> f64 {
    (now - from).as_secs_f64()
}

fn row(scenario: &str, fleet: &mut Fleet, convergence_times: &[f64]) -> Row {
    let traffic = fleet.measure_traffic();
    Row::new(scenario, fleet.nodes.len(), traffic, convergence_times, fleet.false_deaths)
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or_default();
    let kib: f64 = line.split_whitespace().nth(1).and_then(|k| k.parse().ok()).unwrap_or(0.0);
    kib * 1024.0
}
