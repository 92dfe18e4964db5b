//! Operator command of fescuemux.

mod load;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Command line of `fescuemux`.
#[derive(Parser)]
#[command(name = "fescuemux", version, about = "Operates a fescuemux fleet")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Sends load at a fixed rate and reports latency and failed checks
    Load(Box<load::Args>),
}

fn main() -> anyhow::Result<ExitCode> {
    match Cli::parse().command {
        Command::Load(args) => load::run(*args),
    }
}
