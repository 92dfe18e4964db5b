//! The `load` command: an open-loop load generator, which compares targets in one run with
//! interleaved requests.
//!
//! The load generator uses plain HTTP and must not depend on the daemon. It checks the whole body
//! of each successful response of a stand-in server.

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

/// Exit code of a run with a failed check, or with a target that responded to no request.
const EXIT_CHECK_FAILED: u8 = 1;
/// Exit code of invalid combinations of arguments.
const EXIT_USAGE: u8 = 2;

/// Runs the load and writes the reports. The exit code is 0 if all checks passed, 1 if a check
/// failed or a target responded to no request, and 2 for an invalid combination of arguments.
///
/// # Errors
///
/// Fails when the runtime cannot start or a report cannot be written.
pub(crate) fn run(args: Args) -> anyhow::Result<ExitCode> {
    if let Err(message) = args.check() {
        eprintln!("error: {message}");
        return Ok(ExitCode::from(EXIT_USAGE));
    }
    let report = driver::run_load(&args)?;
    write_reports(&args, &report)?;
    let passed = report.passed();
    Ok(if passed { ExitCode::SUCCESS } else { ExitCode::from(EXIT_CHECK_FAILED) })
}

fn write_reports(args: &Args, report: &Report) -> anyhow::Result<()> {
    let json_to_stdout = args.json.as_deref() == Some(Path::new("-"));
    if json_to_stdout {
        println!("{}", serde_json::to_string_pretty(report)?);
    } else {
        print!("{}", table::render(report));
    }
    if let Some(path) = args.json.as_deref().filter(|_| !json_to_stdout) {
        let text = serde_json::to_string_pretty(report)? + "\n";
        fs::write(path, text).with_context(|| format!("cannot write {}", path.display()))?;
    }
    if let Some(path) = &args.svg {
        let text = plot::render(report)?;
        fs::write(path, text).with_context(|| format!("cannot write {}", path.display()))?;
    }
    Ok(())
}
