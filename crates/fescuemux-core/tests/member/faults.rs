//! Convergence of membership views under faults.

use crate::net::{Faults, Net, addr, name, record, server};
use fescuemux_core::base::Cx;
use fescuemux_core::member::{
    Body, ConfigVersion, MemberConfig, MemberState, Membership, Message, Output, Update,
};
use std::time::Duration;

struct Case {
    name: &'static str,
    member_count: usize,
    faults: Faults,
    /// Injects the fault and advances the simulation.
    inject: fn(&mut Net),
    /// Members that must be dead in every view at the end; all others must be alive.
    is_dead: fn(usize) -> bool,
    /// Maximum number of deaths of live members, summed over all views.
    max_false_deaths: u64,
}

fn no_member(_: usize) -> bool {
    false
}

fn cut(cut: fn(usize, usize) -> bool) -> Faults {
    Faults { cut: Some(cut), max_delay_ms: 4, ..Faults::default() }
}

fn check(case: &Case, seed: u64) {
    let mut net = Net::settled(seed, case.member_count);
    assert_eq!(net.deaths(), 0, "{}: deaths before the fault", case.name);
    net.faults = Faults { cut: case.faults.cut, ..case.faults };
    (case.inject)(&mut net);
    let dead_count = (0..case.member_count).filter(|i| (case.is_dead)(*i)).count();
    for at in (0..case.member_count).filter(|at| !(case.is_dead)(*at)) {
        for of in 0..case.member_count {
            let expected = if (case.is_dead)(of) { MemberState::Dead } else { MemberState::Alive };
            let got = net.state(at, of);
            assert_eq!(got, Some(expected), "{}, seed {seed}: {of} at {at}", case.name);
        }
    }
    let true_deaths = (dead_count * (case.member_count - dead_count)) as u64;
    let false_deaths = net.deaths().saturating_sub(true_deaths);
    assert!(false_deaths <= case.max_false_deaths, "{}: {false_deaths} false deaths", case.name);
}

/// Guards against false deaths, undetected crashes and views that do not converge.
#[test]
fn views_converge_after_faults() {
    let cases = [
        Case {
            name: "one-way loss between two members",
            member_count: 12,
            faults: cut(|from, to| from == 0 && to == 1),
            inject: |net| net.run(300),
            is_dead: no_member,
            max_false_deaths: 0,
        },
        Case {
            name: "two-way loss between two members, bridged by helpers",
            member_count: 12,
            faults: cut(|from, to| from + to == 1),
            inject: |net| net.run(300),
            is_dead: no_member,
            max_false_deaths: 0,
        },
        Case {
            name: "loss, duplication, reordering and delay",
            member_count: 20,
            faults: Faults { loss: 0.05, duplicates: 0.2, max_delay_ms: 120, cut: None },
            inject: |net| {
                net.run(600);
                net.faults.loss = 0.0;
                net.run(30);
            },
            is_dead: no_member,
            max_false_deaths: 0,
        },
        Case {
            name: "pause of 10 s",
            member_count: 20,
            faults: cut(|_, _| false),
            inject: |net| pause(net, 10),
            is_dead: no_member,
            max_false_deaths: 19,
        },
        Case {
            name: "pause of 120 s",
            member_count: 20,
            faults: cut(|_, _| false),
            inject: |net| pause(net, 120),
            is_dead: no_member,
            // Each of the 19 other members declares the paused member dead, but the paused member
            // must not declare any other member dead.
            max_false_deaths: 19,
        },
        Case {
            name: "crash",
            member_count: 20,
            faults: cut(|_, _| false),
            inject: |net| {
                net.is_running[3] = false;
                net.run(30);
            },
            is_dead: |i| i == 3,
            max_false_deaths: 0,
        },
        Case {
            name: "planned stop",
            member_count: 20,
            faults: cut(|_, _| false),
            inject: |net| {
                let sends = net.members[3].leave(&mut net.cx);
                net.send_all(3, sends);
                net.run(5);
                net.is_running[3] = false;
                net.run(10);
            },
            is_dead: |i| i == 3,
            max_false_deaths: 0,
        },
        Case {
            name: "restart with a new incarnation",
            member_count: 20,
            faults: cut(|_, _| false),
            inject: |net| {
                net.restart(3, 2);
                net.run(15);
                for member in &net.members {
                    assert_eq!(member.record(&name(3)).unwrap().incarnation, 2);
                }
            },
            is_dead: no_member,
            max_false_deaths: 0,
        },
        Case {
            name: "loss of a rack of 20",
            member_count: 60,
            faults: cut(|_, _| false),
            inject: |net| {
                net.is_running[..20].fill(false);
                net.run(60);
            },
            is_dead: |i| i < 20,
            max_false_deaths: 0,
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

/// Guards against regions that do not reconnect after a partition, and against regions that accept
/// reports, sent by the other region after the partition, that their own live members are dead.
#[test]
fn regions_rejoin_without_false_deaths() {
    for seed in 0..3 {
        let mut net = Net::settled(seed, 40);
        net.faults.cut = Some(|from, to| from % 2 != to % 2);
        net.run(3600);
        for at in 0..40 {
            for of in 0..40 {
                let same_region = at % 2 == of % 2;
                let expected = if same_region { MemberState::Alive } else { MemberState::Dead };
                assert_eq!(net.state(at, of), Some(expected), "cut: {of} at {at}, seed {seed}");
            }
        }
        let deaths_before = net.deaths();
        net.faults.cut = None;
        net.run(120);
        for at in 0..40 {
            for of in 0..40 {
                assert_eq!(net.state(at, of), Some(MemberState::Alive), "{of} at {at}");
            }
        }
        // An improved local health score shortens running suspicions. The timers that are then
        // overdue were once mistaken for a pause.
        assert!(net.members.iter().all(|n| n.counters().pauses == 0), "seed {seed}");
        assert_eq!(net.deaths(), deaths_before, "false deaths after the partition, seed {seed}");
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
        /// Makes the record of member 3 in version 1 and incarnation 1 outdated.
        prepare: fn(&mut Net),
    }
    let cases = [
        Replay {
            name: "older version",
            prepare: |net| {
                let sends = net.members[3].set_servers(&mut net.cx, vec![server(9)]);
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
        let record_before = net.members[0].record(&name(3)).cloned();
        let updates = vec![Update::Full { record: record(3, 1, 1), dead_for_secs: 0 }];
        let config = ConfigVersion::default();
        net.deliver(1, 0, Message { config, digest: 0, updates, body: Body::Notify });
        assert_eq!(net.members[0].record(&name(3)).cloned(), record_before, "{}", case.name);
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

/// Guards against a table that grows beyond its maximum number of records.
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
    let sends = net.members[0].set_generation(&mut net.cx, 5, [5; 16]);
    assert_eq!(sends.len(), 3);
    let send = &sends[0];
    let to = (1..6).find(|i| addr(*i) == send.addr).unwrap();
    let outputs = net.members[to].on_message(&mut net.cx, name(0), send.message.clone());
    let newer = Output::NewerGeneration { from: name(0), generation: 5 };
    assert!(outputs.contains(&newer), "{outputs:?}");
    for (head_digest, conflicts) in [([0; 16], 0), ([5; 16], 0), ([6; 16], 1)] {
        let config = ConfigVersion { generation: 5, head_digest };
        let message = Message { config, digest: 0, updates: Vec::new(), body: Body::Notify };
        net.deliver(1, 0, message);
        assert_eq!(net.members[0].counters().head_conflicts, conflicts, "{head_digest:?}");
    }
    assert!(net.members[0].set_generation(&mut net.cx, 4, [4; 16]).is_empty());
    assert_eq!(net.members[0].config_version().generation, 5);
}

/// Guards against a process that does not notice a later process with the same name.
#[test]
fn later_incarnation_supersedes_process() {
    let mut net = Net::settled(8, 4);
    let updates = vec![Update::Full { record: record(0, 2, 1), dead_for_secs: 0 }];
    let config = ConfigVersion::default();
    net.deliver(1, 0, Message { config, digest: 0, updates, body: Body::Notify });
    assert_eq!(net.members[0].superseded_by(), Some(2));
    assert_eq!(net.members[0].local_record().incarnation, 1);
}

/// Guards against normal timeouts right after a pause, and against waiting for the ack timeout
/// after a failed delivery.
#[test]
fn local_faults_change_timeouts() {
    let mut net = Net::settled(9, 6);
    assert_eq!(net.members[0].timeout_factor(), 1);
    net.cx.now += Duration::from_secs(10);
    net.members[0].tick(&mut net.cx);
    assert!(net.members[0].timeout_factor() > 1);

    let mut net = Net::settled(9, 6);
    let target = loop {
        net.cx.now = net.members[0].next_wake();
        let outputs = net.members[0].tick(&mut net.cx);
        let ping = outputs.into_iter().find_map(|o| match o {
            Output::Send(s) if matches!(s.message.body, Body::Ping { .. }) => Some(s.to),
            _ => None,
        });
        if let Some(target) = ping {
            break target;
        }
    };
    let helper_requests = net.members[0].on_delivery_failure(&mut net.cx, &target);
    assert_eq!(helper_requests.len(), 3, "helpers are asked immediately");
}

/// Guards against a number of watchers other than two, and against views that disagree on the
/// watchers.
#[test]
fn each_domain_has_two_watchers() {
    let mut net = Net::settled(10, 10);
    for domain in ["d0", "d1"] {
        let watchers = net.members[0].watchers(&domain.into());
        assert_eq!(watchers.len(), 2);
        for member in &net.members {
            assert_eq!(member.watchers(&domain.into()), watchers);
        }
    }
    let stopped = net.members[0].watchers(&"d0".into())[0].clone();
    let stopped_index = (0..10).find(|i| name(*i) == stopped).unwrap();
    net.is_running[stopped_index] = false;
    net.run(30);
    let watchers = net.members[1].watchers(&"d0".into());
    assert_eq!(watchers.len(), 2);
    assert!(!watchers.contains(&stopped));
}
