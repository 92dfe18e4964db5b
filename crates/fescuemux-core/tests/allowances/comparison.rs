//! Comparison of the designs on the same loads.

use super::baselines::{self, Baseline};
use super::cases::one_beside_74;
use super::checker::{Record, excess, wrongly_refused};
use super::load::{Customer, Spread, arrivals};
use super::world::World;
use fescuemux_core::allowances::AllowanceBounds;
use std::time::Duration;

const DURATION: Duration = Duration::from_secs(20);

/// Figures of one design on one load.
struct Figures {
    /// Share of the requests of customers 1 and up that were refused within the allowance.
    refused: f64,
    /// Worst excess over the maximum, of any customer.
    excess: f64,
    messages: u64,
}

fn figures(customers: &[Customer], records: &[Record], messages: u64) -> Figures {
    let bounds = AllowanceBounds::default();
    let (mut refused, mut total, mut worst) = (0, 0, f64::MIN);
    for (index, (customer, record)) in customers.iter().zip(records).enumerate() {
        worst = worst.max(excess(&record.sent, &bounds, &customer.allowance, Duration::ZERO));
        if index > 0 {
            refused += wrongly_refused(record, &bounds, &customer.allowance);
            total += record.sent.len() + record.refused.len();
        }
    }
    Figures { refused: refused as f64 / total as f64, excess: worst, messages }
}

/// The chosen design must refuse no more requests within the allowance than each of the others, and
/// must not exceed the maximum. Prints the figures of the design note.
#[test]
fn counting_instance_refuses_least() {
    println!("| load | instances | design | refused within | excess | messages/s of one |");
    for (name, factor, spread) in [
        ("calm", 1.0 / 1.6, Spread::Even),
        ("ten times", 10.0, Spread::Even),
        ("ten times, shifting", 10.0, Spread::Shifting),
    ] {
        for instances in [3, 77, 540] {
            let customers = one_beside_74(factor, spread);
            let load = arrivals(&customers, instances, DURATION, 1);
            let mut world = World::new(instances, customers.clone(), 0.0, 1);
            world.run(DURATION, &[], 1);
            let messages = world.cost.messages + world.cost.probes;
            let chosen = figures(&customers, &world.records, messages);
            let baseline = |baseline| {
                let run = baselines::run(baseline, &customers, instances, &load);
                let records = run.sent.into_iter().zip(run.refused);
                let records: Vec<_> =
                    records.map(|(sent, refused)| Record { sent, refused }).collect();
                figures(&customers, &records, run.messages)
            };
            let interval = Duration::from_millis(250);
            let designs = [
                ("counting instance", chosen),
                ("fixed share", baseline(Baseline::FixedShare { least: 0.0 })),
                ("fixed share, at least 1", baseline(Baseline::FixedShare { least: 1.0 })),
                ("exchange", baseline(Baseline::Exchange { interval, least: 0.0 })),
                ("exchange, at least 1", baseline(Baseline::Exchange { interval, least: 1.0 })),
            ];
            for (design, figures) in &designs {
                let rate = figures.messages as f64 / DURATION.as_secs_f64() / instances as f64;
                println!(
                    "| {name} | {instances} | {design} | {:.4} | {:.0} | {rate:.1} |",
                    figures.refused, figures.excess
                );
            }
            let least = designs.iter().map(|(_, figures)| figures.refused).fold(1.0, f64::min);
            assert!(designs[0].1.refused <= least, "{name}, {instances} instances");
            assert!(designs[0].1.excess <= 0.0, "{name}, {instances} instances");
        }
    }
}
