//! All orders of the steps by which requests pass a guard, within small bounds.

use crate::support::{LIMITS, ms, report, work};
use fescuemux_core::placement::{
    Admission, AdmissionController, RequestOutcome, ServerPhase, ServerReport, Ticket,
};
use std::time::{Duration, Instant};

/// Steps of each explored order.
const DEPTH: usize = 8;

/// Requests that ask for the server's one slot.
const REQUESTS: usize = 3;

/// Bound of the gate on the time between a grant and the request.
const GRANT_TTL: Duration = Duration::from_millis(250);

/// Steps of a wait: one after which a grant holds, and two after which it has run out.
const WAIT: Duration = Duration::from_millis(150);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// An ingress asks for the slot.
    Ask(usize),
    /// The request arrives at the guard after its grant.
    Commit(usize),
    /// The server answers.
    End(usize),
    /// The caller leaves, or the ingress dies.
    Withdraw(usize),
    /// Time passes, as when the guard is paused.
    Wait,
    /// The guard decides about what waits.
    Advance,
    /// The server reports that it drains, and the guard acknowledges.
    Drain,
    /// The server says that it leaves, and the guard acknowledges.
    Leave,
    /// The guard's process is told to stop.
    Stop,
}

/// What an ingress knows of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Known {
    New,
    Waits,
    Granted(Instant),
    Runs,
    Over,
}

#[derive(Clone)]
struct World {
    now: Instant,
    gate: AdmissionController,
    known: [Known; REQUESTS],
    leaving: bool,
    stopping: bool,
}

impl World {
    fn new(now: Instant) -> World {
        let mut gate = AdmissionController::new(now, LIMITS);
        gate.on_report(now, ServerReport { slots: 1, ..report("server-1", 1, 1) });
        let known = [Known::New; REQUESTS];
        World { now, gate, known, leaving: false, stopping: false }
    }

    /// Returns the steps that can come next.
    fn steps(&self) -> Vec<Step> {
        let mut steps = vec![Step::Wait, Step::Advance];
        for (at, known) in self.known.iter().enumerate() {
            match known {
                Known::New => steps.push(Step::Ask(at)),
                Known::Waits => steps.push(Step::Withdraw(at)),
                Known::Granted(_) => steps.extend([Step::Commit(at), Step::Withdraw(at)]),
                Known::Runs => steps.extend([Step::End(at), Step::Withdraw(at)]),
                Known::Over => {}
            }
        }
        if !self.leaving {
            steps.extend([Step::Drain, Step::Leave]);
        }
        if !self.stopping {
            steps.push(Step::Stop);
        }
        steps
    }

    /// Takes a step and returns what it breaks.
    fn take(&mut self, step: Step) -> Result<(), &'static str> {
        match step {
            Step::Ask(at) => {
                let admission = self.gate.request_slot(self.now, at as Ticket, work(self.now));
                self.on_admission(at, admission)?;
            }
            Step::Commit(at) => {
                let Known::Granted(since) = self.known[at] else { return Ok(()) };
                let begins = self.gate.start(self.now, at as Ticket);
                if begins && self.leaving {
                    return Err("a request begins at a server whose leaving was acknowledged");
                }
                if begins && self.now.saturating_duration_since(since) > GRANT_TTL {
                    return Err("a request begins long after its grant");
                }
                self.known[at] = if begins { Known::Runs } else { Known::Over };
            }
            Step::End(at) => {
                self.gate.finish(self.now, at as Ticket, RequestOutcome::Answered);
                self.known[at] = Known::Over;
            }
            Step::Withdraw(at) => {
                self.gate.cancel(at as Ticket);
                self.known[at] = Known::Over;
            }
            Step::Wait => self.now += WAIT,
            Step::Advance => {
                for (ticket, admission) in self.gate.advance(self.now) {
                    let at = ticket as usize;
                    if self.known[at] != Known::Waits {
                        return Err("a request is decided that does not wait");
                    }
                    self.on_admission(at, admission)?;
                }
                if self.gate.busy() == 0 && self.gate.queued() > 0 {
                    return Err("a request waits beside a free slot");
                }
            }
            Step::Drain => {
                let phase = ServerPhase::Draining;
                let draining = ServerReport { slots: 1, phase, ..report("server-1", 1, 2) };
                self.gate.on_report(self.now, draining);
                self.leaving = true;
            }
            Step::Leave => {
                self.gate.on_server_left(5, "server-1");
                self.leaving = true;
            }
            Step::Stop => {
                self.gate.stop();
                self.stopping = true;
            }
        }
        let running = self.known.iter().filter(|known| **known == Known::Runs).count();
        if running > 1 {
            return Err("more requests run than the server has slots");
        }
        Ok(())
    }

    fn on_admission(&mut self, at: usize, admission: Admission) -> Result<(), &'static str> {
        let closed = self.leaving || self.stopping;
        self.known[at] = match admission {
            Admission::Granted | Admission::Queued(_) if closed => {
                return Err("a request is admitted at a guard that takes no more");
            }
            Admission::Granted => Known::Granted(self.now),
            Admission::Queued(_) => Known::Waits,
            Admission::Refused(_) => Known::Over,
        };
        Ok(())
    }
}

fn explore(world: &World, path: &mut Vec<Step>, explored: &mut u64) {
    if path.len() == DEPTH {
        *explored += 1;
        return;
    }
    for step in world.steps() {
        let mut next = world.clone();
        path.push(step);
        if let Err(broken) = next.take(step) {
            panic!("{broken}: {path:?}");
        }
        explore(&next, path, explored);
        path.pop();
    }
}

/// An order of grant, commit, pause, withdrawal and drain that nobody thought of must not run
/// more than the slots, run anything late or after an acknowledged leaving, or forget a request.
#[test]
fn no_order_of_steps_breaks_a_promise() {
    let mut explored = 0;
    explore(&World::new(Instant::now() + ms(1)), &mut Vec::new(), &mut explored);
    assert!(explored > 100_000, "{explored} orders");
}
