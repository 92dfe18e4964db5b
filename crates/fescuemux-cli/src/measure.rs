//! The `measure` commands, which simulate failure detection and overload control on seeded traces
//! and a virtual clock.

use clap::{Args, Subcommand};
use fescuemux_measure::detection::{Options, run, write_plots};
use fescuemux_measure::overload::{Fault, report, storm};
use std::path::PathBuf;
use std::process::ExitCode;

/// Kind of measurement.
#[derive(Debug, Subcommand)]
pub(crate) enum Measure {
    /// Detection time and false ejections, compared with three baselines
    Detection(DetectionArgs),
    /// Retries in a total outage and recovery from an overload
    RetryStorm {
        /// Number of seeds for each case
        #[arg(long, default_value_t = 1)]
        seeds: u64,
    },
}

/// Arguments of the `detection` measurement.
#[derive(Debug, Args)]
pub(crate) struct DetectionArgs {
    /// Number of seeds for each trace, pool and method
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// Number of threads
    #[arg(long, default_value_t = 2)]
    threads: usize,
    /// Print JSON; the table goes to standard error
    #[arg(long)]
    json: bool,
    /// Folder for plots
    #[arg(long, value_name = "DIR")]
    plot: Option<PathBuf>,
}

pub(crate) fn measure(measurement: &Measure) -> anyhow::Result<ExitCode> {
    match measurement {
        Measure::Detection(args) => detection(args)?,
        Measure::RetryStorm { seeds } => retry_storm(*seeds)?,
    }
    Ok(ExitCode::SUCCESS)
}

fn detection(args: &DetectionArgs) -> anyhow::Result<()> {
    let options = Options { threads: args.threads, seed_count: args.seeds, ..Options::default() };
    eprintln!("measuring {} seeds of each trace; 20 seeds take about a minute", args.seeds);
    let report = run(&options);
    if args.json {
        eprint!("{report}");
        println!("{}", report.to_json()?);
    } else {
        print!("{report}");
    }
    if let Some(dir) = &args.plot {
        write_plots(&report, dir)?;
    }
    Ok(())
}

fn retry_storm(seeds: u64) -> anyhow::Result<()> {
    eprintln!("measuring {seeds} seeds of each case");
    let mut total_outage_runs = Vec::new();
    let mut half_capacity_runs = Vec::new();
    for size in storm::SIZES {
        for policy in storm::POLICIES {
            total_outage_runs
                .extend((1..=seeds).map(|seed| storm::measure_outage(size, policy, seed)));
            for fault in [Fault::HalfDown, Fault::HalfSpeed] {
                half_capacity_runs.extend(
                    (1..=seeds).map(|seed| storm::measure_half_capacity(size, fault, policy, seed)),
                );
            }
        }
    }
    report::print("total outage, 60 s", &total_outage_runs)?;
    report::print("half capacity at twice the load, 30 s, then whole capacity", &half_capacity_runs)
}
