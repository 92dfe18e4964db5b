//! Runs all combinations of traces, pool sizes, methods and seeds.

use super::engine::Engine;
use super::options::{Method, Options};
use super::report::{Report, Row};
use super::result::Tally;
use super::trace::Trace;
use std::collections::BTreeMap;
use std::panic::resume_unwind;

/// Trace, number of backend servers and method that share a tally.
type TallyKey = (Trace, usize, Method);

/// Runs all combinations of the options and returns the report.
pub fn run(options: &Options) -> Report {
    let threads = options.threads.max(1) as u64;
    let tallies_by_thread: Vec<BTreeMap<TallyKey, Tally>> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads)
            .map(|thread| scope.spawn(move || run_thread(options, thread, threads)))
            .collect();
        workers
            .into_iter()
            .map(|worker| worker.join().unwrap_or_else(|panic| resume_unwind(panic)))
            .collect()
    });
    let mut tallies: BTreeMap<TallyKey, Tally> = BTreeMap::new();
    for thread_tallies in tallies_by_thread {
        for (key, tally) in thread_tallies {
            tallies.entry(key).or_default().merge(tally);
        }
    }
    let rows = tallies
        .into_iter()
        .map(|((trace, pool_size, method), tally)| Row::new(trace, pool_size, method, tally))
        .collect();
    Report::new(options, rows)
}

/// Runs one trace, pool size and method with one seed.
pub fn run_one(
    options: &Options,
    trace: Trace,
    pool_size: usize,
    method: Method,
    seed: u64,
) -> Tally {
    let mut tally = Tally::default();
    tally.add(Engine::new(options, trace, pool_size, method, seed).run());
    tally
}

fn run_thread(options: &Options, thread: u64, threads: u64) -> BTreeMap<TallyKey, Tally> {
    let mut tallies: BTreeMap<TallyKey, Tally> = BTreeMap::new();
    let seeds = options.first_seed..options.first_seed + options.seed_count;
    for seed in seeds.filter(|seed| seed % threads == thread) {
        for &trace in &options.traces {
            for &pool_size in &options.pool_sizes {
                for &method in &options.methods {
                    let result = Engine::new(options, trace, pool_size, method, seed).run();
                    tallies.entry((trace, pool_size, method)).or_default().add(result);
                }
            }
        }
    }
    tallies
}
