//! Convergence of membership views under faults.

use crate::net::{Faults, Net, addr, name, record, server};
use fescuemux_core::base::Cx;
use fescuemux_core::member::{
    Body, ConfigVersion, MemberConfig, MemberState, Membership, Message, Output, Update,
};
use std::time::Duration;

struct Case {
    name: &'static str,
    nodes: usize,
    faults: Faults,
    /// Injects the fault and advances the simulation.
    inject: fn(&mut Net),
    /// Members that must be dead in every view at the end; all others must be alive.
    dead: fn(usize) -> bool,
    /// Maximum number of deaths of live members, summed over all views.
    false_deaths: u64,
}

fn none(_: usize) -> bool {
    false
}

fn cut(cut: fn(usize, usize) -> bool) -> Faults {
    Faults { cut: Some(cut), max_delay_ms: 4, ..Faults::default() }
}

fn check(case: &Case, seed: u64) {
    let mut net = Net::settled(seed, case.nodes);
    assert_eq!(net.deaths(), 0, "{}: deaths before the fault", case.name);
    net.faults = Faults { cut: case.faults.cut, ..case.faults };
    (case.inject)(&mut net);
    let dead_count = (0..case.nodes).filter(|i| (case.dead)(*i)).count();
    for at in (0..case.nodes).filter(|at| !(case.dead)(*at)) {
        for of in 0..case.nodes {
            let expected = if (case.dead)(of) { MemberState::Dead } else { MemberState::Alive };
            let got = net.state(at, of);
            assert_eq!(got, Some(expected), "{}, seed {seed}: {of} at {at}", case.name);
        }
    }
    let true_deaths = (dead_count * (case.nodes - dead_count)) as u64;
    let false_deaths = net.deaths().saturating_sub(true_deaths);
    assert!(false_deaths <= case.false_deaths, "{}: {false_deaths} false deaths", case.name);
}

/// Guards against false deaths, undetected crashes and views that do not converge.
#[test]
fn views_converge_after_faults() {
    let cases = [
        Case {
            name: "one-way loss between two members",
            nodes: 12,
            faults: cut(|from, to| from == 0 && to == 1),
            inject: |net| net.run(300),
            dead: none,
            false_deaths: 0,
        },
        Case {
            name: "two-way loss between two members, bridged by helpers",
            nodes: 12,
            faults: cut(|from, to| from + to == 1),
            inject: |net| net.run(300),
            dead: none,
            false_deaths: 0,
        },
        Case {
            name: "loss, duplication, reordering and delay",
            nodes: 20,
            faults: Faults { loss: 0.05, duplicates: 0.2, max_delay_ms: 120, cut: None },
            inject: |net| {
                net.run(600);
                net.faults.loss = 0.0;
                net.run(30);
            },
            dead: none,
            false_deaths: 0,
        },
        Case {
            name: "pause of 10 s",
            nodes: 20,
            faults: cut(|_, _| false),
            inject: |net| pause(net, 10),
            dead: none,
            false_deaths: 19,
        },
        Case {
            name: "pause of 120 s",
            nodes: 20,
            faults: cut(|_, _| false),
            inject: |net| pause(net, 120),
            dead: none,
            // All 19 other members declare it dead, but it must not declare any of them dead.
            false_deaths: 19,
        },
        Case {
            name: "crash",
            nodes: 20,
            faults: cut(|_, _| false),
            inject: |net| {
                net.is_running[3] = false;
                net.run(30);
            },
            dead: |i| i == 3,
            false_deaths: 0,
        },
        Case {
            name: "planned stop",
            nodes: 20,
            faults: cut(|_, _| false),
            inject: |net| {
                let sends = net.nodes[3].leave(&mut net.cx);
                net.send_all(3, sends);
                net.run(5);
                net.is_running[3] = false;
                net.run(10);
            },
            dead: |i| i == 3,
            false_deaths: 0,
        },
        Case {
            name: "restart with a new incarnation",
            nodes: 20,
            faults: cut(|_, _| false),
            inject: |net| {
                net.restart(3, 2);
                net.run(15);
                for node in &net.nodes {
                    assert_eq!(node.record(&name(3)).unwrap().incarnation, 2);
                }
            },
            dead: none,
            false_deaths: 0,
        },
        Case {
            name: "loss of a rack of 20",
            nodes: 60,
            faults: cut(|_, _| false),
            inject: |net| {
                net.is_running[..20].fill(false);
                net.run(60);
            },
            dead: |i| i < 20,
            false_deaths: 0,
        },
    ];
    for case in &cases {
        for seed in 0..3 {
            check(case, seed);
        }
    }
}

fn pause(net: &mut Net, secs: u64) {
    net.is_paused[3] = true;
    net.run(secs);
    net.resume(3);
    net.run(40);
}

/// Guards against regions that do not reconnect after a partition, and against regions that then
/// accept claims that their own live members are dead.
#[test]
fn regions_rejoin_without_false_deaths() {
    for seed in 0..3 {
        let mut net = Net::settled(seed, 40);
        net.faults.cut = Some(|from, to| from % 2 != to % 2);
        net.run(3600);
        for at in 0..40 {
            for of in 0..40 {
                let same = at % 2 == of % 2;
                let expected = if same { MemberState::Alive } else { MemberState::Dead };
                assert_eq!(net.state(at, of), Some(expected), "cut: {of} at {at}, seed {seed}");
            }
        }
        let before = net.deaths();
        net.faults.cut = None;
        net.run(120);
        for at in 0..40 {
            for of in 0..40 {
                assert_eq!(net.state(at, of), Some(MemberState::Alive), "{of} at {at}");
            }
        }
        // An improved local health score shortens running suspicions. The resulting overdue
        // timers were once mistaken for a pause.
        assert!(net.nodes.iter().all(|n| n.counters().pauses == 0), "seed {seed}");
        assert_eq!(net.deaths(), before, "false deaths after the partition, seed {seed}");
    }
}

/// Guards against regions that stay disconnected after each other's records have expired.
#[test]
fn regions_reconnect_through_seeds_after_records_expire() {
    let mut net = Net::settled(4, 8);
    net.faults.cut = Some(|from, to| from % 2 != to % 2);
    net.run(7 * 3600);
    assert_eq!(net.state(0, 1), None);
    net.faults.cut = None;
    net.run(120);
    for at in 0..8 {
        for of in 0..8 {
            assert_eq!(net.state(at, of), Some(MemberState::Alive), "{of} at {at}");
        }
    }
}

/// Guards against accepting replayed records: of an older version, an older incarnation, or from
/// before the instance died.
#[test]
fn replayed_records_are_refused() {
    struct Replay {
        name: &'static str,
        prepare: fn(&mut Net),
    }
    let cases = [
        Replay {
            name: "older version",
            prepare: |net| {
                let sends = net.nodes[3].set_servers(&mut net.cx, vec![server(9)]);
                net.send_all(3, sends);
                net.run(10);
            },
        },
        Replay {
            name: "older incarnation",
            prepare: |net| {
                net.restart(3, 2);
                net.run(15);
            },
        },
        Replay {
            name: "dead",
            prepare: |net| {
                net.is_running[3] = false;
                net.run(40);
            },
        },
    ];
    for case in &cases {
        let mut net = Net::settled(5, 12);
        (case.prepare)(&mut net);
        let before = net.nodes[0].record(&name(3)).cloned();
        let updates = vec![Update::Full { record: record(3, 1, 1), dead_for_secs: 0 }];
        let config = ConfigVersion::default();
        net.deliver(1, 0, Message { config, digest: 0, updates, body: Body::Notify });
        assert_eq!(net.nodes[0].record(&name(3)).cloned(), before, "{}", case.name);
    }
}

/// Guards against dead records that never expire or are restored by other members after expiry.
#[test]
fn dead_records_expire() {
    let mut net = Net::settled(6, 6);
    net.is_running[3] = false;
    net.run(7 * 3600);
    for at in [0, 1, 2, 4, 5] {
        assert_eq!(net.state(at, 3), None, "record at {at}");
    }
}

/// Guards against unbounded growth of the table.
#[test]
fn table_size_is_bounded() {
    let config = MemberConfig { max_members: 8, ..MemberConfig::default() };
    let now = std::time::Instant::now();
    let mut cx = Cx::new(now, 1);
    let mut member = Membership::new(config, record(0, 1, 1), now);
    for i in 1..20 {
        let updates = vec![Update::Full { record: record(i, 1, 1), dead_for_secs: 0 }];
        let config = ConfigVersion::default();
        let message = Message { config, digest: 0, updates, body: Body::Notify };
        member.on_message(&mut cx, name(1), message);
    }
    assert_eq!(member.record_count(), 8);
    assert_eq!(member.counters().refused_records, 12);
}

/// Guards against missing reports of a newer generation, uncounted head conflicts, and a
/// generation that decreases.
#[test]
fn generations_only_rise() {
    let mut net = Net::settled(7, 6);
    let sends = net.nodes[0].set_generation(&mut net.cx, 5, [5; 16]);
    assert_eq!(sends.len(), 3);
    let send = &sends[0];
    let to = (1..6).find(|i| addr(*i) == send.addr).unwrap();
    let outputs = net.nodes[to].on_message(&mut net.cx, name(0), send.message.clone());
    let newer = Output::NewerGeneration { from: name(0), generation: 5 };
    assert!(outputs.contains(&newer), "{outputs:?}");
    for (head_digest, conflicts) in [([0; 16], 0), ([5; 16], 0), ([6; 16], 1)] {
        let config = ConfigVersion { generation: 5, head_digest };
        let message = Message { config, digest: 0, updates: Vec::new(), body: Body::Notify };
        net.deliver(1, 0, message);
        assert_eq!(net.nodes[0].counters().head_conflicts, conflicts, "{head_digest:?}");
    }
    assert!(net.nodes[0].set_generation(&mut net.cx, 4, [4; 16]).is_empty());
    assert_eq!(net.nodes[0].config_version().generation, 5);
}

/// Guards against a process that does not notice a later process with the same name.
#[test]
fn later_incarnation_supersedes_process() {
    let mut net = Net::settled(8, 4);
    let updates = vec![Update::Full { record: record(0, 2, 1), dead_for_secs: 0 }];
    let config = ConfigVersion::default();
    net.deliver(1, 0, Message { config, digest: 0, updates, body: Body::Notify });
    assert_eq!(net.nodes[0].superseded_by(), Some(2));
    assert_eq!(net.nodes[0].local_record().incarnation, 1);
}

/// Guards against normal timeouts right after a pause, and against waiting for the ack timeout
/// after a failed delivery.
#[test]
fn local_faults_change_timeouts() {
    let mut net = Net::settled(9, 6);
    assert_eq!(net.nodes[0].timeout_factor(), 1);
    net.cx.now += Duration::from_secs(10);
    net.nodes[0].tick(&mut net.cx);
    assert!(net.nodes[0].timeout_factor() > 1);

    let mut net = Net::settled(9, 6);
    let target = loop {
        net.cx.now = net.nodes[0].next_wake();
        let outputs = net.nodes[0].tick(&mut net.cx);
        let ping = outputs.into_iter().find_map(|o| match o {
            Output::Send(s) if matches!(s.message.body, Body::Ping { .. }) => Some(s.to),
            _ => None,
        });
        if let Some(target) = ping {
            break target;
        }
    };
    let asked = net.nodes[0].on_delivery_failure(&mut net.cx, &target);
    assert_eq!(asked.len(), 3, "helpers are asked immediately");
}

/// Guards against a number of watchers other than two, and against views that disagree on them.
#[test]
fn each_domain_has_two_watchers() {
    let mut net = Net::settled(10, 10);
    for domain in ["d0", "d1"] {
        let watchers = net.nodes[0].watchers(&domain.into());
        assert_eq!(watchers.len(), 2);
        for node in &net.nodes {
            assert_eq!(node.watchers(&domain.into()), watchers);
        }
    }
    let stopped = net.nodes[0].watchers(&"d0".into())[0].clone();
    let at = (0..10).find(|i| name(*i) == stopped).unwrap();
    net.is_running[at] = false;
    net.run(30);
    let watchers = net.nodes[1].watchers(&"d0".into());
    assert_eq!(watchers.len(), 2);
    assert!(!watchers.contains(&stopped));
}
