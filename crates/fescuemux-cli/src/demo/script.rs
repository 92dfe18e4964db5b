//! Script of the demo.

use super::callers::Callers;
use super::fleet::{Fleet, READ_SERVICE};
use super::observer::Observer;
use super::request_log::RequestLog;
use super::verdicts::Outcome;
use fescuemux_standins::server::ServerFault;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Duration of the load before the fault, in which the failure detectors gather data on the backend
/// servers.
const WARM_UP: Duration = Duration::from_secs(5);
/// Duration of the fault.
const FAULT_TIME: Duration = Duration::from_secs(6);
/// Maximum wait until the repaired server serves again.
const RETURN_TIMEOUT: Duration = Duration::from_secs(25);
/// Duration of the load after a change, in which the effects of the change appear.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Index of the daemon that is stopped.
const STOPPED_DAEMON: usize = 2;

/// Parameters of the script.
pub(super) struct Script {
    /// Requests per second of each kind.
    pub(super) rate: u32,
}

impl Script {
    /// Injects a fault into a backend server, repairs it, and stops a daemon, all under load.
    pub(super) fn run(&self, fleet: &mut Fleet) -> anyhow::Result<Outcome> {
        let log = Arc::new(RequestLog::default());
        let faulty_server = format!("{READ_SERVICE}-2");
        let callers = Callers::start(&fleet.caller_addrs(), self.rate, &log);
        let observer = Observer::start(fleet.operator_addrs());
        eprintln!("{} reads/s and {} bookings/s for {WARM_UP:?}", self.rate, self.rate);
        std::thread::sleep(WARM_UP);

        eprintln!(
            "{faulty_server} answers nothing for {FAULT_TIME:?}; its health endpoint stays cheerful"
        );
        let fault_at = Instant::now();
        fleet.server(&faulty_server)?.set_fault(ServerFault::BlackHole);
        std::thread::sleep(FAULT_TIME);
        fleet.server(&faulty_server)?.set_fault(ServerFault::None);
        let repaired_at = Instant::now();
        eprintln!("{faulty_server} works again");
        let health =
            |observer: &Observer| observer.observations().health(&faulty_server).map(str::to_owned);
        while health(&observer).as_deref() != Some("serving")
            && repaired_at.elapsed() < RETURN_TIMEOUT
        {
            std::thread::sleep(Duration::from_millis(100));
        }
        let returned_at = (health(&observer).as_deref() == Some("serving")).then(Instant::now);
        std::thread::sleep(SETTLE_TIME);
        let observations = observer.stop();

        eprintln!("daemon {} stops gracefully under load", STOPPED_DAEMON + 1);
        let report = fleet.stop_daemon(STOPPED_DAEMON);
        std::thread::sleep(SETTLE_TIME);
        callers.stop();
        Ok(Outcome::new(
            &log.take_all(),
            &fleet.executions(),
            &observations,
            super::verdicts::ScriptTimes { faulty_server, fault_at, repaired_at, returned_at },
            report.map_or(0, |report| report.aborted_requests),
        ))
    }
}
