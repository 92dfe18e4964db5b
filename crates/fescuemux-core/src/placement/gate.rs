//! Admission at a guard: slots of the one backend server, and the requests that wait for them.

use crate::base::HashMap;
use crate::placement::{
    Admission, Evidence, LocalServer, Quote, Readiness, Refusal, RefusalReason, RunningTimes,
    ServerReport, Suspicion, Work, WorkOutcome,
};
use std::time::{Duration, Instant};

/// Number of a request at a gate.
pub type Ticket = u64;

/// Time for which a granted slot is held for the request to arrive. Ten times the longest round
/// trip between instances, doubled for a slow process.
const GRANT_TTL: Duration = Duration::from_millis(250);

/// Most requests that wait, for each slot.
const QUEUE_PER_SLOT: usize = 8;

/// Multiple of a route's mean running time from which a request is overdue.
const OVERDUE_FACTOR: f64 = 4.0;

/// Least running time of an overdue request.
const OVERDUE_MIN: Duration = Duration::from_millis(600);

/// Pause between trials of a suspect server that only requests which may be repeated fill.
const TRIAL_PAUSE: Duration = Duration::from_millis(300);

/// Time without a trial after which any request serves as one. Sound servers that are wrongly
/// suspect get work within any two seconds so.
const ANY_TRIAL_AFTER: Duration = Duration::from_millis(1200);

#[derive(Clone, Debug)]
struct Holder {
    work: Work,
    granted: Instant,
    started: Option<Instant>,
    overdue: bool,
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: Ticket,
    work: Work,
}

/// Admission state of one guard.
#[derive(Debug)]
pub struct Gate {
    server: Option<LocalServer>,
    holders: HashMap<Ticket, Holder>,
    queue: Vec<Waiting>,
    times: RunningTimes,
    suspicion: Suspicion,
    last_trial: Instant,
    stopping: bool,
}

impl Gate {
    /// Returns a gate without a server.
    pub fn new(now: Instant) -> Gate {
        Gate {
            server: None,
            holders: HashMap::default(),
            queue: Vec::new(),
            times: RunningTimes::default(),
            suspicion: Suspicion::new(now),
            last_trial: now,
            stopping: false,
        }
    }

    /// Returns the server, if one announced itself.
    pub fn server(&self) -> Option<&LocalServer> {
        self.server.as_ref()
    }

    /// Takes a server's report and returns whether it changed what is believed. A server that
    /// started anew begins without a record.
    pub fn on_report(&mut self, now: Instant, report: ServerReport) -> bool {
        let Some(server) = &mut self.server else {
            self.server = Some(LocalServer::new(now, report));
            return true;
        };
        let born = server.report.born;
        let changed = server.update(now, report);
        if server.report.born != born {
            self.suspicion = Suspicion::new(now);
            self.times = RunningTimes::default();
        }
        changed
    }

    /// Marks the server with `id` as gone and returns whether it is the current one.
    pub fn on_leave(&mut self, id: &str) -> bool {
        let Some(server) = self.server.as_mut().filter(|server| server.report.id == id) else {
            return false;
        };
        server.gone = true;
        true
    }

    /// Refuses new work from now on.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns the number of requests that hold a slot.
    pub fn busy(&self) -> usize {
        self.holders.len()
    }

    /// Returns the number of requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the score of the suspicion and whether the server is suspect.
    pub fn suspicion(&mut self, now: Instant) -> (f64, bool) {
        let suspect = self.suspicion.is_suspect(now);
        (self.suspicion.score(), suspect)
    }

    /// Decides about a request that asks for a slot.
    pub fn ask(&mut self, now: Instant, ticket: Ticket, work: Work) -> Admission {
        if let Some(reason) = self.closed() {
            return Admission::Refused(Refusal { reason, retry_in: self.times.mean() });
        }
        if self.suspicion.is_suspect(now) && !work.last_resort {
            return self.ask_trial(now, ticket, work);
        }
        if self.queue.is_empty() && self.holders.len() < self.slots() {
            self.hold(now, ticket, work);
            return Admission::Granted;
        }
        let wait = self.wait(work.priority);
        let running = self.times.mean_of(work.route);
        let refuse = |reason| Admission::Refused(Refusal { reason, retry_in: wait });
        if !work.may_wait || self.queue.len() >= self.slots() * QUEUE_PER_SLOT {
            return refuse(RefusalReason::Full);
        }
        if now + wait + running > work.deadline {
            return refuse(RefusalReason::TooLate);
        }
        self.queue.push(Waiting { ticket, work });
        Admission::Queued(wait)
    }

    /// Starts a granted request. Returns false when the grant has run out or the server leaves;
    /// the request does not run then.
    pub fn begin(&mut self, now: Instant, ticket: Ticket) -> bool {
        let open = self.server.as_ref().is_some_and(LocalServer::takes_work);
        let Some(holder) = self.holders.get_mut(&ticket) else { return false };
        if !open || now.saturating_duration_since(holder.granted) > GRANT_TTL {
            self.holders.remove(&ticket);
            return false;
        }
        holder.started = Some(now);
        true
    }

    /// Gives up a request that waits or holds a grant.
    pub fn withdraw(&mut self, ticket: Ticket) {
        self.queue.retain(|waiting| waiting.ticket != ticket);
        self.holders.remove(&ticket);
    }

    /// Frees the slot of a request and returns whether the server became suspect or trusted.
    pub fn finish(&mut self, now: Instant, ticket: Ticket, outcome: WorkOutcome) -> bool {
        let Some(holder) = self.holders.remove(&ticket) else { return false };
        let Some(started) = holder.started else { return false };
        let took = now.saturating_duration_since(started);
        match outcome {
            WorkOutcome::Answered => {
                self.times.record(holder.work.route, took);
                self.suspicion.add(now, Evidence::Success)
            }
            WorkOutcome::Failed | WorkOutcome::Unreachable => {
                self.suspicion.add(now, Evidence::Failure)
            }
            WorkOutcome::Abandoned if !holder.overdue && self.is_overdue(&holder, took) => {
                self.suspicion.add(now, Evidence::Overdue)
            }
            WorkOutcome::Abandoned | WorkOutcome::Shed => false,
        }
    }

    /// Notes requests that have become overdue and returns whether the server became suspect.
    pub fn check_overdue(&mut self, now: Instant) -> bool {
        let overdue: Vec<Ticket> = self
            .holders
            .iter()
            .filter(|(_, holder)| {
                let took = holder.started.map(|at| now.saturating_duration_since(at));
                !holder.overdue && took.is_some_and(|took| self.is_overdue(holder, took))
            })
            .map(|(ticket, _)| *ticket)
            .collect();
        let mut changed = false;
        for ticket in overdue {
            if let Some(holder) = self.holders.get_mut(&ticket) {
                holder.overdue = true;
            }
            changed |= self.suspicion.add(now, Evidence::Overdue);
        }
        changed
    }

    /// Drops grants that were not used in time and returns the waiting requests that get a slot
    /// now, or that no longer can.
    pub fn advance(&mut self, now: Instant) -> Vec<(Ticket, Admission)> {
        self.holders.retain(|_, holder| {
            holder.started.is_some() || now.saturating_duration_since(holder.granted) <= GRANT_TTL
        });
        let mut decided = self.refuse_waiting(now);
        let suspect = self.suspicion.is_suspect(now);
        while self.holders.len() < self.slots() {
            let usable = |waiting: &Waiting| !suspect || waiting.work.last_resort;
            let queue = self.queue.iter().enumerate().filter(|(_, waiting)| usable(waiting));
            let next = queue.min_by_key(|(_, w)| (w.work.priority, w.work.deadline));
            let Some((at, _)) = next else { break };
            let Waiting { ticket, work } = self.queue.remove(at);
            self.hold(now, ticket, work);
            decided.push((ticket, Admission::Granted));
        }
        decided
    }

    /// Returns the offer to a request of the given priority and route.
    pub fn quote(&mut self, now: Instant, priority: u8, route: u64) -> Quote {
        let suspect = self.suspicion.is_suspect(now);
        let readiness = match (self.closed(), suspect) {
            (Some(_), _) => Readiness::Closed,
            (None, false) => Readiness::Sound,
            (None, true) if self.trial_is_due(now, true) => Readiness::Trial,
            (None, true) => Readiness::Suspect,
        };
        let cold = self.server.as_ref().is_some_and(|server| server.cold_until > now);
        let running = self.times.mean_of(route) * if cold { 2 } else { 1 };
        Quote {
            readiness,
            slots: self.slots() as u32,
            busy: self.holders.len() as u32,
            queued: self.queue.len() as u32,
            wait: self.wait(priority),
            running,
        }
    }

    fn closed(&self) -> Option<RefusalReason> {
        if self.stopping {
            return Some(RefusalReason::Stopping);
        }
        match &self.server {
            None => Some(RefusalReason::NoServer),
            Some(server) if server.gone => Some(RefusalReason::NoServer),
            Some(server) if !server.takes_work() => Some(RefusalReason::Draining),
            Some(_) => None,
        }
    }

    fn slots(&self) -> usize {
        self.server.as_ref().map_or(0, |server| server.report.slots)
    }

    fn ask_trial(&mut self, now: Instant, ticket: Ticket, work: Work) -> Admission {
        if self.trial_is_due(now, work.idempotent) && self.holders.len() < self.slots() {
            self.last_trial = now;
            self.hold(now, ticket, work);
            return Admission::Granted;
        }
        let retry_in = self.times.mean();
        Admission::Refused(Refusal { reason: RefusalReason::Suspect, retry_in })
    }

    fn trial_is_due(&self, now: Instant, idempotent: bool) -> bool {
        let pause = if idempotent { TRIAL_PAUSE } else { ANY_TRIAL_AFTER };
        now.saturating_duration_since(self.last_trial) >= pause
    }

    fn hold(&mut self, now: Instant, ticket: Ticket, work: Work) {
        let holder = Holder { work, granted: now, started: None, overdue: false };
        self.holders.insert(ticket, holder);
    }

    /// Expected wait of a new request: those ahead of it leave at the rate at which the slots
    /// become free.
    fn wait(&self, priority: u8) -> Duration {
        if self.queue.is_empty() && self.holders.len() < self.slots() {
            return Duration::ZERO;
        }
        let ahead = self.queue.iter().filter(|waiting| waiting.work.priority <= priority).count();
        let slots = self.slots().max(1) as f64;
        self.times.mean().mul_f64((ahead as f64 + 1.0) / slots)
    }

    /// Refuses waiting requests that cannot end in time, or all when no new work may begin.
    fn refuse_waiting(&mut self, now: Instant) -> Vec<(Ticket, Admission)> {
        let closed = self.closed();
        let suspect = self.suspicion.is_suspect(now);
        let retry_in = self.times.mean();
        let mut refused = Vec::new();
        let times = &self.times;
        self.queue.retain(|waiting| {
            let too_late = now + times.mean_of(waiting.work.route) / 2 > waiting.work.deadline;
            let reason = closed
                .or(too_late.then_some(RefusalReason::TooLate))
                .or((suspect && !waiting.work.last_resort).then_some(RefusalReason::Suspect));
            if let Some(reason) = reason {
                let refusal = Refusal { reason, retry_in };
                refused.push((waiting.ticket, Admission::Refused(refusal)));
            }
            reason.is_none()
        });
        refused
    }

    fn is_overdue(&self, holder: &Holder, took: Duration) -> bool {
        let mean = self.times.mean_of(holder.work.route);
        took > mean.mul_f64(OVERDUE_FACTOR).max(OVERDUE_MIN)
    }
}
