//! Checks simulated histories for a range of seeds: `cargo run --release -p fescuemux-measure
//! --example history -- --seeds A..B [--threads N] [--faults KIND,KIND] [--broken NAME] [--trace]`.
//! Prints the faults and violations of each seed with a violation, and exits with a failure if
//! there is such a seed.

use anyhow::Context;
use fescuemux_measure::history::{Event, FaultKind, InjectedBug, RunResult, run_with};
use std::ops::Range;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

#[derive(Debug)]
struct Options {
    seeds: Range<u64>,
    threads: usize,
    kinds: Vec<FaultKind>,
    bug: Option<InjectedBug>,
    trace: bool,
}

fn main() -> anyhow::Result<ExitCode> {
    let options = parse(std::env::args().skip(1))?;
    let started = Instant::now();
    let next = AtomicU64::new(options.seeds.start);
    let failed = AtomicU64::new(0);
    std::thread::scope(|scope| {
        for _ in 0..options.threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= options.seeds.end {
                        return;
                    }
                    let run = run_with(seed, &options.kinds, options.bug);
                    if !run.violations.is_empty() {
                        failed.fetch_add(1, Ordering::Relaxed);
                        report(&run);
                    }
                    if options.trace {
                        trace(&run);
                    }
                }
            });
        }
    });
    let failed = failed.into_inner();
    let count = options.seeds.end.saturating_sub(options.seeds.start);
    println!("{count} seeds, {failed} failed, {:.1} s", started.elapsed().as_secs_f64());
    Ok(if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn parse(args: impl Iterator<Item = String>) -> anyhow::Result<Options> {
    let mut options = Options { seeds: 0..100, threads: 1, kinds: vec![], bug: None, trace: false };
    let mut args = args;
    while let Some(arg) = args.next() {
        let mut value = || args.next().with_context(|| format!("{arg} needs a value"));
        match arg.as_str() {
            "--seeds" => {
                let text = value()?;
                let (from, to) = text.split_once("..").context("--seeds takes A..B")?;
                options.seeds = from.parse()?..to.parse()?;
            }
            "--threads" => options.threads = value()?.parse()?,
            "--broken" => {
                let name = value()?;
                let known = InjectedBug::ALL.into_iter().find(|b| format!("{b:?}") == name);
                options.bug = Some(known.with_context(|| format!("unknown bug {name}"))?);
            }
            "--faults" => {
                for name in value()?.split(',') {
                    let known = FaultKind::ALL.into_iter().find(|k| format!("{k:?}") == name);
                    options.kinds.push(known.with_context(|| format!("unknown fault {name}"))?);
                }
            }
            "--trace" => options.trace = true,
            _ => anyhow::bail!("unknown argument {arg}"),
        }
    }
    Ok(options)
}

fn report(run: &RunResult) {
    let mut text = format!("seed {}\n", run.seed);
    for fault in &run.faults {
        text += &format!("  fault {fault:?}\n");
    }
    for violation in run.violations.iter().take(5) {
        text += &format!("  {violation}\n");
    }
    print!("{text}");
}

fn trace(run: &RunResult) {
    for entry in &run.history {
        println!("{:10.4} {:?}", entry.at.as_secs_f64(), entry.event);
    }
    let executed = run.history.iter().filter(|e| matches!(e.event, Event::Executed { .. }));
    println!("{} requests were executed", executed.count());
}
