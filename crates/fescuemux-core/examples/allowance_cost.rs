//! Prints the processor time of the decisions about allowances for fleets of several sizes, from
//! which `docs/CAPACITY.md` is calculated.

use fescuemux_core::allowances::{
    Allowance, AllowanceDecision, AllowanceExchange, AllowanceMessage, LimitedCaller, Outbox,
};
use fescuemux_core::base::{Cx, InstanceId};
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Leases of each measurement.
const ROUNDS: u32 = 20_000;

/// Customers that one instance counts: 11,000 over 540 instances.
const CUSTOMERS: u64 = 21;

fn main() {
    println!("| instances | lease, both sides, µs | lease held, µs | tick, µs |");
    for instances in [60, 180, 540] {
        let started = Instant::now();
        let mut cx = Cx::new(started, 1);
        let names: Vec<InstanceId> =
            (0..instances).map(|index| format!("instance-{index}").into()).collect();
        let mut exchanges: Vec<AllowanceExchange> = names
            .iter()
            .map(|name| {
                let mut exchange =
                    AllowanceExchange::new(&mut cx, Default::default(), name.clone(), true);
                exchange.set_members(&cx, names.iter().cloned());
                exchange
            })
            .collect();
        let index_of = |id: &str| id.trim_start_matches("instance-").parse::<usize>();
        let allowance = Allowance { rate: 1e6, burst: 1e6 };
        let mut outbox = Outbox::new();
        let timer = Instant::now();
        for round in 0..ROUNDS {
            cx.now += Duration::from_millis(30);
            let caller =
                LimitedCaller { hash: u64::from(round) % CUSTOMERS, allowance, version: 1 };
            let decision = exchanges[0].decide(&mut cx, &caller, None, &mut outbox);
            while let Some((to, message)) = outbox.pop() {
                let to_index = index_of(&to).expect("an index");
                let mut replies = Outbox::new();
                exchanges[to_index].on_message(&mut cx, &names[0], message, &mut replies);
                for (_, reply) in replies {
                    if let AllowanceMessage::LeaseReply { .. } = reply {
                        let mut none = Outbox::new();
                        exchanges[0].on_message(&mut cx, &to, reply, &mut none);
                    }
                }
            }
            if matches!(decision, AllowanceDecision::Wait(_)) {
                let waiting_since = Some(cx.now);
                black_box(exchanges[0].decide(&mut cx, &caller, waiting_since, &mut outbox));
            }
        }
        let lease = timer.elapsed() / ROUNDS;
        // A busy customer holds a lease for most of its requests.
        let caller = LimitedCaller { hash: 1, allowance, version: 1 };
        let timer = Instant::now();
        for _ in 0..ROUNDS {
            cx.now += Duration::from_micros(1);
            black_box(exchanges[0].decide(&mut cx, &caller, None, &mut outbox));
            outbox.clear();
        }
        let held = timer.elapsed() / ROUNDS;
        let timer = Instant::now();
        for _ in 0..ROUNDS {
            cx.now += Duration::from_micros(250);
            exchanges[0].tick(&mut cx, &mut outbox);
            outbox.clear();
        }
        let tick = timer.elapsed() / ROUNDS;
        let micros = |time: Duration| time.as_secs_f64() * 1e6;
        println!(
            "| {instances} | {:.2} | {:.2} | {:.2} |",
            micros(lease),
            micros(held),
            micros(tick)
        );
    }
}
