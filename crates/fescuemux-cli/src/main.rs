//! Command-line tool for operators.

mod api;
mod check;
mod demo;
mod explain;
mod load;
mod measure;
mod operate;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code of a failed command or check.
const EXIT_FAILED: u8 = 1;

/// Operates a fescuemux fleet.
#[derive(Debug, Parser)]
#[command(name = "fescuemux", version)]
#[command(after_help = "Exit codes: 0 done; 1 failed, or a check failed; 2 usage; \
                        3 the result of a confirm is not known yet; 4 a plan was refused")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Shows what an intent would change, without changing anything
    Plan {
        #[command(flatten)]
        api: api::ApiArgs,
        /// File with the intent as JSON; `-` for standard input
        intent: PathBuf,
    },
    /// Confirms a plan, which puts it in force
    Confirm {
        #[command(flatten)]
        api: api::ApiArgs,
        /// Plan id, as printed by `plan`
        plan: String,
    },
    /// Shows which daemons have the newest configuration in force
    Status {
        #[command(flatten)]
        api: api::ApiArgs,
    },
    /// Shows the history of confirmed generations
    History {
        #[command(flatten)]
        api: api::ApiArgs,
    },
    /// Writes the configuration in force at a daemon to a store that lost its content
    Restore {
        #[command(flatten)]
        api: api::ApiArgs,
    },
    /// Prints the state of one daemon as JSON
    Dump {
        #[command(flatten)]
        api: api::ApiArgs,
    },
    /// Changes the log level of one daemon until it stops
    LogLevel {
        #[command(flatten)]
        api: api::ApiArgs,
        /// error, warn, info, debug or trace
        level: String,
    },
    /// Checks a settings file
    Check {
        /// Settings file
        file: PathBuf,
    },
    /// Explains where an instance would send a request, without sending it
    Explain(explain::Args),
    /// Runs a small fleet on loopback and checks its guarantees
    Demo(demo::Args),
    /// Sends load at a fixed rate and reports latency and failed checks
    Load(Box<load::Args>),
    /// Measures failure detection and overload control on seeded traces
    #[command(subcommand)]
    Measure(measure::Measure),
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("fescuemux: {e:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run(command: Command) -> anyhow::Result<ExitCode> {
    match command {
        Command::Plan { api, intent } => operate::plan(&api, &intent),
        Command::Confirm { api, plan } => operate::confirm(&api, &plan),
        Command::Status { api } => operate::status(&api),
        Command::History { api } => operate::history(&api),
        Command::Restore { api } => operate::restore(&api),
        Command::Dump { api } => operate::dump(&api),
        Command::LogLevel { api, level } => operate::log_level(&api, &level),
        Command::Check { file } => Ok(check::check(&file)),
        Command::Explain(args) => explain::explain(&args),
        Command::Demo(args) => demo::run(&args),
        Command::Load(args) => load::run(*args),
        Command::Measure(measurement) => measure::measure(&measurement),
    }
}
