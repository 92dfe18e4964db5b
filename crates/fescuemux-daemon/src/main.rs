//! Executable of the proxy daemon, which runs on each instance beside its backend servers.

use anyhow::Context;
use clap::Parser;
use fescuemux_daemon::{Daemon, logging};
use fescuemux_settings::Settings;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code when the stop aborted requests.
const EXIT_REQUESTS_ABORTED: u8 = 3;

/// Proxy daemon of the fescuemux fleet.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Settings file, JSON with comments.
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

fn main() -> ExitCode {
    match run(&Args::parse()) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("fescuemuxd: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let settings = Settings::load(&args.config)?;
    let set_log_level = logging::init(&settings.log)?;
    let signal_count = count_signals()?;
    let daemon = Daemon::start(&settings, set_log_level)?;
    while signal_count.load(Ordering::Relaxed) == 0 {
        std::thread::sleep(Duration::from_millis(50));
    }
    let report = daemon.stop(|| signal_count.load(Ordering::Relaxed) > 1);
    if report.aborted_requests > 0 {
        eprintln!("fescuemuxd: {} requests were cut", report.aborted_requests);
        return Ok(ExitCode::from(EXIT_REQUESTS_ABORTED));
    }
    Ok(ExitCode::SUCCESS)
}

/// Counts received stop signals: the first signal starts a graceful stop, the second signal ends
/// its waits.
fn count_signals() -> anyhow::Result<Arc<AtomicU32>> {
    let count = Arc::new(AtomicU32::new(0));
    let signal_count = Arc::clone(&count);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    // The handlers are installed before the daemon serves requests, because a signal without a
    // handler would end the process at once.
    let (term, int) = {
        let _runtime_guard = runtime.enter();
        (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?)
    };
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || runtime.block_on(receive_signals(term, int, &signal_count)))
        .context("cannot start the thread for signals")?;
    Ok(count)
}

async fn receive_signals(mut term: Signal, mut int: Signal, count: &AtomicU32) {
    loop {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        count.fetch_add(1, Ordering::Relaxed);
    }
}
