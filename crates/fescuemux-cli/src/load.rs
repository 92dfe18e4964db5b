//! Open-loop load generator. It compares targets in one run, interleaved in time.
//!
//! It speaks HTTP only and must not know the daemon. Answers of stand-in servers are checked
//! in full.

mod args;
mod check;
mod collector;
mod driver;
mod exchange;
mod expected;
mod outcome;
mod parse;
mod plan;
mod plot;
mod pool;
mod quantiles;
mod report;
mod schedule;
mod table;
mod target;
mod totals;

#[cfg(test)]
mod tests;

pub(crate) use args::Args;

use anyhow::Context;
use report::Report;
use std::fs;
use std::path::Path;
use std::process::ExitCode;

/// Exit code of a run with a failed check, or without any answer from a target.
const EXIT_CHECK: u8 = 1;
/// Exit code of arguments that do not fit together.
const EXIT_USAGE: u8 = 2;

/// Runs the load and writes the reports. The exit code is 0 when all checks passed, 1 when a
/// check failed or a target answered nothing, and 2 for arguments that do not fit together.
///
/// # Errors
///
/// Fails when the runtime cannot start or a report cannot be written.
pub(crate) fn run(args: Args) -> anyhow::Result<ExitCode> {
    if let Err(message) = args.check() {
        eprintln!("error: {message}");
        return Ok(ExitCode::from(EXIT_USAGE));
    }
    let report = driver::drive(&args)?;
    write(&args, &report)?;
    let passed = report.passed();
    Ok(if passed { ExitCode::SUCCESS } else { ExitCode::from(EXIT_CHECK) })
}

fn write(args: &Args, report: &Report) -> anyhow::Result<()> {
    let json_to_stdout = args.json.as_deref() == Some(Path::new("-"));
    if json_to_stdout {
        println!("{}", serde_json::to_string_pretty(report)?);
    } else {
        print!("{}", table::render(report));
    }
    if let Some(path) = args.json.as_deref().filter(|_| !json_to_stdout) {
        let text = serde_json::to_string_pretty(report)? + "\n";
        fs::write(path, text).with_context(|| format!("write {}", path.display()))?;
    }
    if let Some(path) = &args.svg {
        let text = plot::render(report)?;
        fs::write(path, text).with_context(|| format!("write {}", path.display()))?;
    }
    Ok(())
}
