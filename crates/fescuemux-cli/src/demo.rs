//! The `demo` command: a small fleet on loopback with a stand-in store, stand-in backend servers,
//! and real daemons.

mod callers;
mod fleet;
mod observer;
mod request_log;
mod script;
mod verdicts;

use self::fleet::Fleet;
use self::script::Script;
use std::process::ExitCode;
use std::time::Duration;

/// Arguments of the demo.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct Args {
    /// Keep the fleet running and print its addresses instead of running the script
    #[arg(long)]
    hold: bool,
    /// Print the result as JSON
    #[arg(long)]
    json: bool,
    /// Requests per second, both for reads and for bookings
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u32).range(1..=1_000))]
    rate: u32,
    /// Print the daemons' logs
    #[arg(long)]
    logs: bool,
    /// Service time of the backend servers in milliseconds; up to two thirds are added at random
    #[arg(long, default_value_t = 15, value_parser = clap::value_parser!(u64).range(0..=1_000))]
    service_ms: u64,
    /// Random seed of the stand-in servers
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs the demo and reports which guarantees were violated.
pub(crate) fn run(args: &Args) -> anyhow::Result<ExitCode> {
    if args.logs {
        tracing_subscriber::fmt()
            .with_env_filter("warn,fescuemux_daemon=info")
            .with_writer(std::io::stderr)
            .init();
    }
    eprintln!("starting a store, 3 daemons, and 3 backend servers of each of 2 services");
    let mut fleet = Fleet::start(args.seed, Duration::from_millis(args.service_ms))?;
    fleet.confirm_configuration()?;
    if args.hold {
        return hold(&fleet);
    }
    let outcome = Script { rate: args.rate }.run(&mut fleet)?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&outcome)?);
    } else {
        print!("{outcome}");
    }
    let violated = outcome.violated_guarantees();
    for guarantee in &violated {
        eprintln!("BROKEN: {guarantee}");
    }
    Ok(if violated.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(crate::EXIT_FAILED) })
}

/// Prints one line per kind of address, and waits until the process is killed.
fn hold(fleet: &Fleet) -> anyhow::Result<ExitCode> {
    use std::io::Write;
    let join = |addrs: Vec<std::net::SocketAddr>| {
        addrs.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
    };
    let mut out = std::io::stdout();
    writeln!(out, "callers={}", join(fleet.caller_addrs()))?;
    writeln!(out, "operators={}", join(fleet.operator_addrs()))?;
    writeln!(out, "metrics={}", join(fleet.operator_addrs()))?;
    out.flush()?;
    eprintln!("operator token: {}", fleet::OPERATOR_TOKEN);
    loop {
        std::thread::sleep(Duration::from_secs(3_600));
    }
}
