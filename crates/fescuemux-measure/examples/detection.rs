//! Runs the detection measurement and prints its table.
//!
//! Arguments: `--seeds N --first-seed N --threads N --deadline-ms N --median-ms N --trace NAME
//! --method NAME --json --plot DIR`. With `--json`, JSON is written to standard output and the
//! table to standard error. With `--plot`, SVG plots are written to the directory DIR.

use anyhow::{Context, Result, bail};
use fescuemux_measure::detection::{Method, Options, Trace, run, write_plots};
use std::path::PathBuf;
use std::time::Duration;

fn main() -> Result<()> {
    let mut options = Options { threads: 3, ..Options::default() };
    let mut json = false;
    let mut plot_dir: Option<PathBuf> = None;
    let mut args = std::env::args().skip(1);
    while let Some(flag) = args.next() {
        let mut value = || args.next().with_context(|| format!("{flag} needs a value"));
        match flag.as_str() {
            "--json" => json = true,
            "--plot" => plot_dir = Some(PathBuf::from(value()?)),
            "--seeds" => options.seed_count = value()?.parse()?,
            "--first-seed" => options.first_seed = value()?.parse()?,
            "--threads" => options.threads = value()?.parse()?,
            "--deadline-ms" => options.deadline = Duration::from_millis(value()?.parse()?),
            "--median-ms" => options.median_latency = Duration::from_millis(value()?.parse()?),
            "--trace" => options.traces = vec![parse_trace(&value()?)?],
            "--method" => options.methods = vec![parse_method(&value()?)?],
            _ => bail!("unknown argument {flag}"),
        }
    }
    let report = run(&options);
    if json {
        eprint!("{report}");
        println!("{}", report.to_json()?);
    } else {
        print!("{report}");
    }
    if let Some(dir) = plot_dir {
        write_plots(&report, &dir)?;
    }
    Ok(())
}

fn parse_trace(name: &str) -> Result<Trace> {
    let found = Trace::ALL.into_iter().find(|trace| trace.as_str() == name);
    found.with_context(|| format!("unknown trace {name}"))
}

fn parse_method(name: &str) -> Result<Method> {
    let all = Method::MEASURED.into_iter().chain([Method::EachAlone]);
    let found = all.into_iter().find(|method| method.as_str() == name);
    found.with_context(|| format!("unknown method {name}"))
}
