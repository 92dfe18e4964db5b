//! The bound and the refusals in each of the load patterns and faults.

use super::checker::{excess, wrongly_refused};
use super::load::{Customer, Spread};
use super::world::{Action, World};
use fescuemux_core::allowances::{Allowance, AllowanceBounds};
use std::time::Duration;

/// Length of each run.
const DURATION: Duration = secs(20);

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Returns a customer at `factor` times its allowance beside 74 at their usual rate.
pub(crate) fn one_beside_74(factor: f64, spread: Spread) -> Vec<Customer> {
    let usual = |index: usize| {
        let rate = if index.is_multiple_of(12) { 40.0 } else { 1.0 + index as f64 / 20.0 };
        let spread = [Spread::Even, Spread::Uneven, Spread::Shifting][index % 3];
        Customer::new(rate, rate, 1.0 / 1.6, spread)
    };
    std::iter::once(Customer::new(20.0, 10.0, factor, spread)).chain((0..74).map(usual)).collect()
}

/// Returns a customer at `before` times its allowance, and `after` times from six seconds on.
fn step(rate: f64, burst: f64, before: f64, after: f64) -> Vec<Customer> {
    let mut customer = Customer::new(rate, burst, before, Spread::Even);
    customer.rates.push((secs(6), rate * after));
    vec![customer]
}

struct Case {
    name: &'static str,
    instances: &'static [usize],
    customers: fn() -> Vec<Customer>,
    actions: Vec<(Duration, Action)>,
    /// Highest share of requests within the allowance that may be refused, of customers other than
    /// the first, or of the first where it is alone.
    most_refused: f64,
    loss: f64,
}

impl Case {
    fn new(name: &'static str, instances: &'static [usize]) -> Case {
        Case {
            name,
            instances,
            customers: || one_beside_74(1.0 / 1.6, Spread::Even),
            actions: Vec::new(),
            most_refused: 1.0,
            loss: 0.0,
        }
    }

    /// Runs the case and returns what it violated.
    fn run(&self, instances: usize, seed: u64) -> Vec<String> {
        let mut failures = Vec::new();
        let customers = (self.customers)();
        let mut world = World::new(instances, customers.clone(), self.loss, seed);
        world.run(DURATION, &self.actions, seed);
        let bounds = AllowanceBounds::default();
        let label = format!("{}, {instances} instances, seed {seed}", self.name);
        let (mut refused, mut total) = (0, 0);
        let judged_from = usize::from(customers.len() > 1);
        for (index, (customer, record)) in customers.iter().zip(&world.records).enumerate() {
            let mut allowance = customer.allowance;
            let mut from = Duration::ZERO;
            for (at, action) in &self.actions {
                if let (0, Action::ChangeAllowance { allowance: changed, .. }) = (index, action) {
                    // A higher allowance is in force at once, also in windows that began before.
                    let is_lower = changed.rate < allowance.rate;
                    from = if is_lower { *at } else { Duration::ZERO };
                    let before = excess(
                        &record.sent[..record.sent.partition_point(|sent| sent < at)],
                        &bounds,
                        &allowance,
                        Duration::ZERO,
                    );
                    if before > 0.0 {
                        failures.push(format!("{label}: {before} too many before the change"));
                    }
                    allowance = *changed;
                }
            }
            let excess = excess(&record.sent, &bounds, &allowance, from);
            if excess > 0.0 {
                failures.push(format!("{label}: {excess} too many of customer {index}"));
            }
            if index >= judged_from {
                let wrong = wrongly_refused(record, &bounds, &allowance);
                refused += wrong;
                total += record.sent.len() + record.refused.len();
            }
        }
        let share = refused as f64 / total.max(1) as f64;
        println!(
            "{label}: {refused} of {total} refused within the allowance, first customer {} sent {} \
             refused, longest wait {:?}, {} waits, {:?}",
            world.records[0].sent.len(),
            world.records[0].refused.len(),
            world.longest_wait,
            world.waits,
            world.cost
        );
        let first = &world.records[0];
        let offered = (first.sent.len() + first.refused.len()) as f64;
        let due = (customers[0].allowance.rate * DURATION.as_secs_f64()).min(offered) * 0.9;
        if self.most_refused == 0.0 && (first.sent.len() as f64) < due {
            failures.push(format!("{label}: {} of {due} sent", first.sent.len()));
        }
        if share > self.most_refused {
            failures.push(format!("{label}: {share} refused within the allowance"));
        }
        failures
    }
}

/// Whatever the load and the fault, no window may exceed the maximum. Without a fault, customers
/// within their allowance must not be refused, and one above it must get nine tenths of it.
#[test]
fn windows_stay_within_the_maximum() {
    const SIZES: &[usize] = &[3, 9, 77];
    const FAULTS: &[usize] = &[3, 77, 540];
    let overload = || one_beside_74(10.0, Spread::Even);
    let cases = [
        Case { most_refused: 0.0, ..Case::new("all within their allowance", &[3, 9, 77, 540]) },
        Case {
            customers: overload,
            most_refused: 0.0,
            ..Case::new("one at ten times its allowance", &[3, 77, 540])
        },
        Case {
            customers: || one_beside_74(10.0, Spread::Uneven),
            most_refused: 0.0,
            ..Case::new("one at ten times its allowance, uneven", SIZES)
        },
        Case {
            customers: || one_beside_74(10.0, Spread::Shifting),
            most_refused: 0.0,
            ..Case::new("one at ten times its allowance, shifting", SIZES)
        },
        Case {
            customers: || step(100.0, 0.0, 0.9, 10.0),
            ..Case::new("a step to ten times a full allowance", FAULTS)
        },
        Case {
            customers: || step(1.0, 2.0, 0.5, 100.0),
            ..Case::new("a step to a hundred times a small allowance", FAULTS)
        },
        Case { customers: overload, loss: 0.05, ..Case::new("loss", FAULTS) },
        Case {
            customers: overload,
            actions: vec![(secs(6), Action::KillCounter)],
            ..Case::new("counting instance killed", FAULTS)
        },
        Case {
            customers: overload,
            actions: vec![(secs(6), Action::PauseCounter(secs(3)))],
            ..Case::new("counting instance paused", FAULTS)
        },
        Case {
            customers: overload,
            actions: vec![(secs(6), Action::CutCounter { outgoing: true, duration: secs(5) })],
            ..Case::new("counting instance not heard", FAULTS)
        },
        Case {
            customers: overload,
            actions: vec![(secs(6), Action::CutCounter { outgoing: false, duration: secs(5) })],
            ..Case::new("counting instance does not hear", FAULTS)
        },
        Case {
            customers: overload,
            actions: vec![(secs(6), Action::ReplaceCounter)],
            ..Case::new("counting instance replaced", FAULTS)
        },
        Case {
            customers: overload,
            actions: vec![(secs(6), Action::Partition { percent: 50, duration: secs(8) })],
            ..Case::new("halves", &[4, 76, 540])
        },
        Case {
            customers: overload,
            actions: vec![(secs(6), Action::Partition { percent: 20, duration: secs(8) })],
            ..Case::new("a fifth cut off", &[10, 76, 540])
        },
        Case {
            customers: overload,
            actions: vec![(secs(6), Action::RestartAll)],
            ..Case::new("all restarted", FAULTS)
        },
        Case {
            customers: || step(60.0, 10.0, 3.0, 3.0),
            actions: vec![(
                secs(8),
                Action::ChangeAllowance {
                    allowance: Allowance { rate: 20.0, burst: 10.0 },
                    step: 2,
                },
            )],
            ..Case::new("a lower allowance known to half", FAULTS)
        },
        Case {
            customers: || step(20.0, 10.0, 10.0, 10.0),
            actions: vec![(
                secs(8),
                Action::ChangeAllowance {
                    allowance: Allowance { rate: 60.0, burst: 10.0 },
                    step: 2,
                },
            )],
            ..Case::new("a higher allowance known to half", FAULTS)
        },
    ];
    let seeds = std::env::var("ALLOWANCE_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let mut failures = Vec::new();
    for case in cases {
        for instances in case.instances {
            for seed in 1..=seeds.unwrap_or(if *instances > 100 { 1 } else { 2 }) {
                failures.extend(case.run(*instances, seed));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
