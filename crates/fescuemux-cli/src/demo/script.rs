//! The course of the demo.

use super::callers::Callers;
use super::fleet::{Fleet, READ_SERVICE};
use super::observer::Observer;
use super::request_log::RequestLog;
use super::verdicts::Outcome;
use fescuemux_standins::server::ServerFault;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Load before the fault, so that the detectors know their servers.
const WARM_UP: Duration = Duration::from_secs(5);
/// Length of the fault.
const FAULT: Duration = Duration::from_secs(6);
/// Longest wait for the server to serve again.
const RETURN_LIMIT: Duration = Duration::from_secs(25);
/// Load after a change, so that its effects show.
const SETTLE: Duration = Duration::from_secs(2);
/// Daemon that is stopped.
const STOPPED: usize = 2;

/// What the demo does.
pub(super) struct Script {
    /// Requests per second of each kind.
    pub(super) rate: u32,
}

impl Script {
    pub(super) fn run(&self, fleet: &mut Fleet) -> anyhow::Result<Outcome> {
        let log = Arc::new(RequestLog::default());
        let sick = format!("{READ_SERVICE}-2");
        let callers = Callers::start(&fleet.caller_addrs(), self.rate, &log);
        let observer = Observer::start(fleet.operator_addrs());
        eprintln!("{} reads/s and {} bookings/s for {WARM_UP:?}", self.rate, self.rate);
        std::thread::sleep(WARM_UP);

        eprintln!("{sick} answers nothing for {FAULT:?}; its health endpoint stays cheerful");
        let fault_at = Instant::now();
        fleet.server(&sick)?.set_fault(ServerFault::BlackHole);
        std::thread::sleep(FAULT);
        fleet.server(&sick)?.set_fault(ServerFault::None);
        let repaired_at = Instant::now();
        eprintln!("{sick} works again");
        let health = |observer: &Observer| observer.seen().health(&sick).map(str::to_owned);
        while health(&observer).as_deref() != Some("serving")
            && repaired_at.elapsed() < RETURN_LIMIT
        {
            std::thread::sleep(Duration::from_millis(100));
        }
        let returned_at = (health(&observer).as_deref() == Some("serving")).then(Instant::now);
        std::thread::sleep(SETTLE);
        let seen = observer.stop();

        eprintln!("daemon {} stops gracefully under load", STOPPED + 1);
        let report = fleet.stop_daemon(STOPPED);
        std::thread::sleep(SETTLE);
        callers.stop();
        Ok(Outcome::new(
            &log.take(),
            &fleet.executions(),
            &seen,
            super::verdicts::Times { sick, fault_at, repaired_at, returned_at },
            report.map_or(0, |report| report.aborted_requests),
        ))
    }
}
