//! Loads of the requirements, and the comparison of all strategies on them.

use crate::fleet::{DomainFault, Fault, Load};
use crate::replay::{Figures, replay};
use crate::strategy::{STRATEGIES, Strategy};
use std::time::Duration;

const SEEDS: [u64; 2] = [1, 2];

fn steady(_: usize, _: f64) -> f64 {
    1.0
}

fn burst_in_a(domain: usize, at: f64) -> f64 {
    if domain == 0 && (at % 20.0) > 14.0 { 3.0 } else { 1.0 }
}

fn burst_everywhere(_: usize, at: f64) -> f64 {
    if (at % 20.0) > 14.0 { 2.5 } else { 1.0 }
}

/// Returns 14 servers of 8 slots in each domain, which handle about 270 requests/s, under a moderate
/// load.
fn base(name: &'static str) -> Load {
    Load {
        name,
        servers: [14; 3],
        rates: [110.0; 3],
        rate_factor: steady,
        faults: Vec::new(),
        large_share: 0.0,
        path: Duration::from_millis(1),
        loss: 0.0,
    }
}

fn fault(server_count: usize, fault: Fault) -> DomainFault {
    DomainFault { domain: 0, server_count, fault, from_s: 15.0, to_s: 45.0 }
}

pub(crate) fn loads() -> Vec<Load> {
    vec![
        Load { ..base("moderate") },
        Load {
            servers: [14, 14, 14],
            rates: [310.0, 160.0, 160.0],
            ..base("a third of the servers, half of the clients")
        },
        Load {
            rates: [200.0, 160.0, 160.0],
            faults: vec![fault(7, Fault::Gone)],
            ..base("half of a domain lost")
        },
        Load { rate_factor: burst_in_a, ..base("burst in one domain") },
        Load { rates: [130.0; 3], rate_factor: burst_everywhere, ..base("burst in all domains") },
        Load {
            rates: [280.0, 120.0, 120.0],
            large_share: 0.1,
            ..base("large bodies beside small requests")
        },
        Load {
            rates: [310.0, 160.0, 160.0],
            path: Duration::from_millis(60),
            loss: 0.3,
            ..base("slow and lossy path")
        },
        Load { rates: [262.0; 3], ..base("all domains nearly full") },
        Load {
            servers: [14, 14, 2],
            rates: [300.0, 300.0, 5.0],
            ..base("two short domains see a small free one")
        },
        Load {
            // Nearly idle, so that the other two domains can handle all requests.
            rates: [40.0, 310.0, 150.0],
            faults: vec![fault(14, Fault::Hangs)],
            ..base("hanging domain that appears idle")
        },
        Load {
            rates: [40.0, 310.0, 150.0],
            faults: vec![fault(14, Fault::Slow(3.0))],
            ..base("cold domain that appears idle")
        },
    ]
}

fn run(load: &Load, strategy: Strategy) -> Figures {
    let mut sum = Figures::default();
    for seed in SEEDS {
        let figures = replay(load, strategy, seed);
        sum.requests += figures.requests;
        sum.missed += figures.missed;
        sum.large += figures.large;
        sum.large_missed += figures.large_missed;
        sum.remote_small += figures.remote_small;
        sum.remote_large += figures.remote_large;
        sum.remote_kb += figures.remote_kb;
        sum.queries += figures.queries;
        for (row, other) in sum.flows.iter_mut().zip(figures.flows) {
            row.iter_mut().zip(other).for_each(|(flow, other)| *flow += other);
        }
        sum.left_by_second.extend(figures.left_by_second);
    }
    sum
}

/// Allowed additional share of missed objectives against fixed costs: bytes are saved only where no
/// objective is missed. It is above the deviation between seeds.
const MAX_ADDITIONAL_MISSES: f64 = 0.003;

/// Compares the policy with its alternatives on each load and prints the figures of the design note.
/// Guards against bytes saved by missed objectives, against more messages than fixed costs need, and
/// against domains that exchange equal traffic.
#[test]
fn the_policy_saves_bytes_without_missed_objectives() {
    for load in loads() {
        println!("{}", load.name);
        let figures = STRATEGIES.map(|strategy| {
            let figures = run(&load, strategy);
            println!(
                "  {:12} missed {:5.2}%  left {:5.2}%  exchanged {:5.2}%  kB/request {:5.2}  \
                 queries/request {:5.2}  large left {:4.1}%",
                format!("{strategy:?}"),
                100.0 * figures.missed_share(),
                100.0 * figures.remote_share(),
                100.0 * figures.exchanged_share(),
                figures.kb_per_request(),
                figures.queries / figures.requests,
                100.0 * figures.remote_large / figures.large.max(1.0),
            );
            figures
        });
        let [fixed, _, _, _, policy] = &figures;
        let name = load.name;
        assert!(policy.missed_share() < fixed.missed_share() + MAX_ADDITIONAL_MISSES, "{name}");
        assert!(policy.kb_per_request() < 0.75 * fixed.kb_per_request(), "{name}");
        assert!(policy.queries < 1.1 * fixed.queries, "{name}");
        // Requests leave a faulty domain for a reason, but must not be attracted by it.
        let to_faulty = |figures: &Figures| figures.flows[1][0] + figures.flows[2][0];
        match load.faults.is_empty() {
            true => {
                assert!(policy.exchanged_share() < fixed.exchanged_share() + 0.005, "{name}");
            }
            false => {
                let (policy, fixed) = (to_faulty(policy), to_faulty(fixed));
                assert!(policy <= fixed, "{name}: {policy} and {fixed}");
            }
        }
        if load.large_share > 0.0 {
            let large_left = policy.remote_large / policy.large;
            let small_left = policy.remote_small / (policy.requests - policy.large);
            assert!(large_left < 0.2 * small_left, "{name}: {large_left}");
        }
    }
}

/// Under a steady shortage the number of requests that leave must settle and not oscillate between
/// none and all. Independent decisions would vary by the square root of their number.
#[test]
fn decisions_converge_under_a_steady_shortage() {
    let load = Load { rates: [310.0, 160.0, 160.0], ..base("steady shortage") };
    let figures = replay(&load, Strategy::Policy, 3);
    let settled = &figures.left_by_second[20..];
    let mean = settled.iter().sum::<f64>() / settled.len() as f64;
    let deviations = settled.iter().map(|count| (count - mean).powi(2));
    let deviation = (deviations.sum::<f64>() / settled.len() as f64).sqrt();
    // The load itself varies by its own square root (18/s), most of which has to leave.
    let bound = 2.0 * (mean + load.rates[0]).sqrt();
    assert!(mean > 10.0 && deviation < bound, "mean {mean}, deviation {deviation}");
    let halves = settled.split_at(settled.len() / 2);
    let half_mean = |half: &[f64]| half.iter().sum::<f64>() / half.len() as f64;
    let (first, second) = (half_mean(halves.0), half_mean(halves.1));
    assert!((first - second).abs() < bound, "{first} and {second} leave a second");
}
