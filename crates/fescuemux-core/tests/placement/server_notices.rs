//! Replays limits and departures that servers name in their responses, on virtual time, with many
//! instances that know different parts of the fleet, restart and freeze. Messages, servers and callers are modeled; admission, ranking
//! and what ingresses repeat to guards are the library's.

use super::support::{LIMITS, ms, report, slot_request};
use fescuemux_core::base::{Cx, HashMap, InstanceId};
use fescuemux_core::placement::{
    Admission, AdmissionController, NamedLimit, Precedence, Readiness, RelayedNotices,
    RequestOutcome, ServerNotice, ServerReport, Ticket,
};
use rand::Rng;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(10);
const STEPS: u32 = 3_000;
/// Slots of each server. All of them may be granted by a guard that has restarted, before the first
/// response.
const SLOTS: usize = 12;
/// Mean running time of a request, in steps.
const RUNNING_STEPS: f64 = 100.0;
/// Longest time between the start of a process and the server's next report, in steps.
const REPORT_STEPS: u32 = 150;
/// Steps from the first limit of a server, in which the users do not count.
const CONTACT_STEPS: u32 = 300;
/// Steps from an answer that a machine has passed on until its requests count.
const PASSED_ON_STEPS: u32 = 50;
/// Steps from an answer that a machine has passed on until its requests must not reach a server that
/// leaves.
const DRAIN_STEPS: u32 = 200;
/// Window in which requests are counted, in steps.
const WINDOW_STEPS: u32 = 400;

/// Deliberate fault, which the check must catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    Nothing,
    /// Guards do not read limits.
    GuardsAreBlind,
    /// A guard that has restarted is not told what its server said.
    NobodyTells,
    /// Nested requests and retries go around the limit.
    OnlyFirstAttempts,
}

/// A request on its way to a server, or at it.
struct Job {
    ingress: usize,
    ingress_life: u32,
    guard: usize,
    guard_life: u32,
    server_life: u64,
    ticket: Ticket,
    placed_at: u32,
}

struct Machine {
    id: InstanceId,
    /// Machines that the ingress knows.
    known: Vec<usize>,
    life: u32,
    frozen_until: u32,
    reports_at: Option<u32>,
    guard: AdmissionController,
    notices: RelayedNotices,
    /// Incarnation of the server.
    server_life: u64,
    leaving: bool,
    /// Limit that the server names now.
    limit: Option<f64>,
    limited_since: u32,
    /// Steps of the arrivals at the server that count.
    arrivals: Vec<u32>,
    /// Highest limit since the server first named one.
    highest_limit: f64,
    /// Steps at which this machine, in this life, first passed on a limit of each server.
    passed_on: HashMap<usize, u32>,
    /// The same for departures.
    passed_on_leaving: HashMap<usize, u32>,
}

/// Request that a server must not get.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Breach {
    Limit { server: usize, requests: usize, allowed: f64 },
    Departure { server: usize, ingress: usize },
}

fn server_report(index: usize, server_life: u64) -> ServerReport {
    ServerReport { slots: SLOTS, ..report(&format!("server-{index}"), server_life, 1) }
}

struct Fleet {
    cx: Cx,
    start: Instant,
    machines: Vec<Machine>,
    /// Requests that wait at a guard.
    waiting: HashMap<(usize, Ticket), Job>,
    /// Requests by the step at which their server responds.
    running: BTreeMap<u32, Vec<Job>>,
    next_ticket: Ticket,
    broken: Broken,
    served: u32,
    departure_breach: Option<Breach>,
}

impl Fleet {
    fn new(size: usize, known_share: f64, broken: Broken, seed: u64) -> Fleet {
        let start = Instant::now();
        let mut cx = Cx::new(start, seed);
        let machines = (0..size)
            .map(|index| {
                let knows = |cx: &mut Cx, other| other == index || cx.rng.random_bool(known_share);
                let known = (0..size).filter(|other| knows(&mut cx, *other)).collect();
                let mut guard = AdmissionController::new(start, LIMITS);
                guard.on_report(start, server_report(index, 1));
                Machine {
                    id: format!("node-{index}").into(),
                    known,
                    life: 0,
                    frozen_until: 0,
                    reports_at: None,
                    guard,
                    notices: RelayedNotices::default(),
                    server_life: 1,
                    leaving: false,
                    limit: None,
                    limited_since: 0,
                    arrivals: Vec::new(),
                    highest_limit: 0.0,
                    passed_on: HashMap::default(),
                    passed_on_leaving: HashMap::default(),
                }
            })
            .collect();
        Fleet {
            cx,
            start,
            machines,
            waiting: HashMap::default(),
            running: BTreeMap::new(),
            next_ticket: 0,
            broken,
            served: 0,
            departure_breach: None,
        }
    }

    fn now(&self, step: u32) -> Instant {
        self.start + STEP * step
    }

    fn is_awake(&self, index: usize, step: u32) -> bool {
        self.machines[index].frozen_until <= step
    }

    /// Returns a server that has got too much by the users' rule.
    fn limit_breach(&self, step: u32) -> Option<Breach> {
        self.machines.iter().enumerate().find_map(|(server, machine)| {
            let from = step.saturating_sub(WINDOW_STEPS).max(machine.limited_since + CONTACT_STEPS);
            let requests = machine.arrivals.iter().filter(|at| **at > from).count();
            let allowed = 1.5 * machine.highest_limit * 4.0 + 5.0;
            (machine.limit.is_some() && requests as f64 > allowed).then_some(Breach::Limit {
                server,
                requests,
                allowed,
            })
        })
    }

    /// Lets servers begin, change and end their limits, and processes restart and freeze.
    fn disturb(&mut self, step: u32, fault_rate: f64) {
        let now = self.now(step);
        for index in 0..self.machines.len() {
            let rng = &mut self.cx.rng;
            let machine = &mut self.machines[index];
            let chance = fault_rate * STEP.as_secs_f64();
            if rng.random_bool(0.1 * STEP.as_secs_f64()) {
                let limit = match rng.random_range(0..5) {
                    0 => 0.0,
                    _ => rng.random_range(0.5..6.0),
                };
                if machine.limit.is_none() {
                    machine.limited_since = step;
                    machine.highest_limit = limit;
                }
                machine.highest_limit = machine.highest_limit.max(limit);
                machine.limit = Some(limit);
            }
            if machine.limit.is_some() && rng.random_bool(0.05 * STEP.as_secs_f64()) {
                self.end_limit(index);
            }
            self.move_server_on(index);
            let rng = &mut self.cx.rng;
            let machine = &mut self.machines[index];
            if rng.random_bool(chance) {
                machine.life += 1;
                machine.guard = AdmissionController::new(now, LIMITS);
                machine.notices = RelayedNotices::default();
                machine.passed_on.clear();
                machine.passed_on_leaving.clear();
                machine.reports_at = Some(step + rng.random_range(20..REPORT_STEPS));
            }
            if rng.random_bool(chance) {
                machine.frozen_until = step + rng.random_range(20..400);
                machine.passed_on.clear();
                machine.passed_on_leaving.clear();
            }
            if machine.reports_at.is_some_and(|at| at <= step) && machine.frozen_until <= step {
                machine.reports_at = None;
                machine.guard.on_report(now, server_report(index, machine.server_life));
            }
        }
    }

    fn end_limit(&mut self, index: usize) {
        self.machines[index].limit = None;
        self.machines[index].arrivals.clear();
        for other in &mut self.machines {
            other.passed_on.remove(&index);
        }
    }

    /// Lets a server begin to leave, or the next one start in the place of one that leaves.
    fn move_server_on(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        let rate = if machine.leaving { 0.15 } else { 0.05 };
        if !self.cx.rng.random_bool(rate * STEP.as_secs_f64()) {
            return;
        }
        machine.leaving = !machine.leaving;
        if machine.leaving {
            return;
        }
        machine.server_life += 1;
        // Reported with the next step in which the process runs.
        machine.reports_at.get_or_insert(0);
        self.end_limit(index);
        for other in &mut self.machines {
            other.passed_on_leaving.remove(&index);
        }
    }

    /// Places a request of a caller, as the ingress does: asks a few guards and reserves a slot.
    fn place(&mut self, step: u32, ingress: usize) {
        let now = self.now(step);
        let route = self.cx.rng.random_range(0..3);
        let mut request = slot_request(now);
        request.nested = route == 0;
        request.idempotent = route == 1;
        request.tie_breaker = self.cx.rng.random();
        let precedence = Precedence::new(request.nested, 1, request.tie_breaker);
        let known = &self.machines[ingress].known;
        let asked: Vec<usize> =
            (0..5).map(|_| known[self.cx.rng.random_range(0..known.len())]).collect();
        let mut offers = Vec::new();
        for guard in asked {
            if !self.is_awake(guard, step) {
                continue;
            }
            let report = self.machines[guard].guard.load_report(now, precedence, 7, ms(300));
            if report.readiness != Readiness::Closed {
                offers.push((!report.has_free_slot(), report.expected_wait, guard));
            }
        }
        offers.sort();
        for (_, _, guard) in offers {
            self.next_ticket += 1;
            let ticket = self.next_ticket;
            let notice = match self.broken {
                Broken::NobodyTells => None,
                _ => self.machines[ingress].notices.get(&self.machines[guard].id).cloned(),
            };
            let machine = &mut self.machines[guard];
            if let Some(notice) = notice {
                machine.guard.on_relayed_notice(now, &notice);
            }
            let job = Job {
                ingress,
                ingress_life: self.machines[ingress].life,
                guard,
                guard_life: self.machines[guard].life,
                server_life: self.machines[guard].server_life,
                ticket,
                placed_at: step,
            };
            let machine = &mut self.machines[guard];
            let goes_around = self.broken == Broken::OnlyFirstAttempts && request.nested;
            match machine.guard.request_slot(now, ticket, request.clone()) {
                Admission::Granted => return self.start(step, job),
                Admission::Refused(_) | Admission::Queued(_) if goes_around => {
                    return self.arrive(step, job);
                }
                Admission::Queued(_) => {
                    self.waiting.insert((guard, ticket), job);
                    return;
                }
                Admission::Refused(_) => {}
            }
        }
    }

    fn start(&mut self, step: u32, job: Job) {
        let now = self.now(step);
        if self.machines[job.guard].guard.start(now, job.ticket) {
            self.arrive(step, job);
        }
    }

    /// The server gets a request, and responds later.
    fn arrive(&mut self, step: u32, job: Job) {
        let ingress = &self.machines[job.ingress];
        let passed_on_leaving = ingress.passed_on_leaving.get(&job.guard);
        if passed_on_leaving.is_some_and(|at| at + DRAIN_STEPS < job.placed_at) {
            let breach = Breach::Departure { server: job.guard, ingress: job.ingress };
            self.departure_breach.get_or_insert(breach);
        }
        let passed_on = ingress.passed_on.get(&job.guard);
        if passed_on.is_some_and(|at| at + PASSED_ON_STEPS <= step) {
            self.machines[job.guard].arrivals.push(step);
        }
        let running = -RUNNING_STEPS * (1.0 - self.cx.rng.random::<f64>()).ln();
        self.running.entry(step + 1 + running as u32).or_default().push(job);
    }

    /// A server responds: its guard reads the notice, and the ingress passes the response on.
    fn respond(&mut self, step: u32, job: Job) {
        let now = self.now(step);
        let guard = &mut self.machines[job.guard];
        if guard.life != job.guard_life {
            return;
        }
        if guard.frozen_until > step {
            let thawed_at = guard.frozen_until;
            return self.running.entry(thawed_at).or_default().push(job);
        }
        if guard.server_life != job.server_life {
            return guard.guard.finish(now, job.ticket, RequestOutcome::Failed);
        }
        let limit = guard.limit.map_or(NamedLimit::None, NamedLimit::PerSecond);
        let id = format!("server-{}", job.guard);
        if self.broken != Broken::GuardsAreBlind {
            let notice = ServerNotice { limit, leaving: guard.leaving };
            guard.guard.on_notice(now, &id, job.server_life, notice);
        }
        guard.guard.finish(now, job.ticket, RequestOutcome::Answered);
        self.served += 1;
        let notice = guard.guard.server().and_then(|server| server.relayed_notice());
        let (names_limit, leaving, id) = (guard.limit.is_some(), guard.leaving, guard.id.clone());
        let ingress = &mut self.machines[job.ingress];
        if ingress.life != job.ingress_life || ingress.frozen_until > step {
            return;
        }
        ingress.notices.on_response(&id, notice);
        if names_limit {
            ingress.passed_on.entry(job.guard).or_insert(step);
        }
        if leaving {
            ingress.passed_on_leaving.entry(job.guard).or_insert(step);
        }
    }

    fn advance(&mut self, step: u32, index: usize) {
        let now = self.now(step);
        let decisions = self.machines[index].guard.advance(now);
        for (ticket, admission) in decisions {
            let Some(job) = self.waiting.remove(&(index, ticket)) else { continue };
            let ingress = &self.machines[job.ingress];
            let is_there = ingress.life == job.ingress_life && ingress.frozen_until <= step;
            match admission {
                Admission::Granted if is_there => self.start(step, job),
                Admission::Granted => self.machines[index].guard.cancel(now, ticket),
                Admission::Refused(_) | Admission::Queued(_) => {}
            }
        }
    }

    /// Runs the fleet and returns the first breach of a rule.
    fn run(&mut self, fault_rate: f64) -> Option<Breach> {
        // One and a half times what the servers could do without limits.
        let demand = 1.5 * SLOTS as f64 / RUNNING_STEPS;
        for step in 0..STEPS {
            self.disturb(step, fault_rate);
            while let Some(entry) = self.running.first_entry().filter(|e| *e.key() <= step) {
                entry.remove().into_iter().for_each(|job| self.respond(step, job));
            }
            for index in 0..self.machines.len() {
                if !self.is_awake(index, step) {
                    continue;
                }
                if step % 10 == index as u32 % 10 {
                    self.advance(step, index);
                }
                if self.cx.rng.random_bool(demand) {
                    self.place(step, index);
                }
            }
            let breach = self.limit_breach(step).or(self.departure_breach);
            if breach.is_some() {
                return breach;
            }
        }
        None
    }
}

#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    size: usize,
    known_share: f64,
    /// Restarts, and freezes, of each machine per second.
    fault_rate: f64,
}

const CALM: Case = Case { name: "24", size: 24, known_share: 1.0, fault_rate: 0.0 };

/// A server in need that names a limit must not get more than the users allow, and one that leaves
/// nothing, from the machines that know of it, on any number of instances, whatever restarts and
/// freezes.
#[test]
fn servers_get_only_what_they_say_they_take() {
    let cases = [
        CALM,
        Case { name: "three machines", size: 3, fault_rate: 0.05, ..CALM },
        Case { name: "restarts and freezes", fault_rate: 0.1, ..CALM },
        Case { name: "views differ", known_share: 0.4, fault_rate: 0.1, ..CALM },
        Case { name: "353", size: 353, known_share: 0.6, fault_rate: 0.05 },
    ];
    for case in cases {
        for seed in 1..=if case.size > 100 { 1 } else { 6 } {
            let mut fleet = Fleet::new(case.size, case.known_share, Broken::Nothing, seed);
            let breach = fleet.run(case.fault_rate);
            assert_eq!(breach, None, "{}, seed {seed}", case.name);
            assert!(fleet.served as usize > case.size * 10, "{}: {}", case.name, fleet.served);
        }
    }
}

/// The checks must see each way around what a server says.
#[test]
fn ways_around_a_notice_are_caught() {
    #[derive(Debug)]
    struct BrokenCase {
        broken: Broken,
        is_caught: fn(&Breach) -> bool,
    }
    let is_limit = |breach: &Breach| matches!(breach, Breach::Limit { .. });
    let is_departure = |breach: &Breach| matches!(breach, Breach::Departure { .. });
    let cases = [
        BrokenCase { broken: Broken::GuardsAreBlind, is_caught: is_limit },
        BrokenCase { broken: Broken::GuardsAreBlind, is_caught: is_departure },
        BrokenCase { broken: Broken::NobodyTells, is_caught: is_limit },
        BrokenCase { broken: Broken::NobodyTells, is_caught: is_departure },
        BrokenCase { broken: Broken::OnlyFirstAttempts, is_caught: is_limit },
    ];
    for case in cases {
        let mut fleets = (1..=60).map(|seed| Fleet::new(24, 1.0, case.broken, seed));
        let caught = fleets.any(|mut fleet| fleet.run(0.1).as_ref().is_some_and(case.is_caught));
        assert!(caught, "{case:?}");
    }
}
