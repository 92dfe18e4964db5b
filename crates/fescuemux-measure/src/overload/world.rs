//! Queueing model of callers, ingresses, guards and backend servers on a virtual clock.

use crate::overload::events::{Event, Events, Reply};
use crate::overload::guard::{Guard, Outcome};
use crate::overload::ingress::{Ingress, server_name};
use crate::overload::setup::{Fault, QueuePolicy, RetryPolicy, Setup};
use crate::overload::stats::Stats;
use fescuemux_core::admit::PermitId;
use fescuemux_core::base::{Cx, ServerId, Verdict};
use fescuemux_core::route::ServerLoad;
use rand::Rng;
use std::time::{Duration, Instant};

/// One-way latency between an ingress and a guard.
const HOP_LATENCY: Duration = Duration::from_millis(1);

/// Interval at which an ingress checks whether to probe a path.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug)]
struct Request {
    ingress: usize,
    arrived: Duration,
    /// Number of attempts sent.
    attempts: u32,
    tried_servers: Vec<ServerId>,
    done: bool,
    redirected: bool,
}

#[derive(Debug)]
struct Attempt {
    request: usize,
    server: usize,
    sent: Duration,
    /// True until the ingress gets an answer or stops waiting for it.
    pending: bool,
    /// Whether the guard may redirect the attempt.
    may_redirect: bool,
    permit: PermitId,
    /// Time at which the backend server started the attempt.
    started: Duration,
    /// Load of the server at the time of its reply.
    load: ServerLoad,
}

struct World<'a> {
    setup: &'a Setup,
    cx: Cx,
    start: Instant,
    now: Duration,
    events: Events,
    ingresses: Vec<Ingress>,
    guards: Vec<Guard>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    fault: Fault,
    /// Requests per second in the current phase.
    rate: f64,
    end: Duration,
    stats: Stats,
}

/// Runs a simulation to its end and returns its statistics.
pub fn run(setup: &Setup) -> Stats {
    let mut world = World::new(setup);
    while let Some((at, event)) = world.events.pop() {
        if at >= world.end + setup.request_timeout {
            break;
        }
        world.now = at;
        world.cx.now = world.start + at;
        world.handle(event);
    }
    world.stats
}

impl<'a> World<'a> {
    fn new(setup: &'a Setup) -> World<'a> {
        let start = Instant::now();
        let mut cx = Cx::new(start, setup.seed);
        let ingresses = (0..setup.ingresses).map(|n| Ingress::new(&mut cx, setup, n)).collect();
        let new_guard = |_| Guard::new(setup.slots, setup.policy.queue, setup.service_time);
        let mut events = Events::default();
        let mut at = Duration::ZERO;
        for (number, phase) in setup.phases.iter().enumerate() {
            events.push(at, Event::Phase(number));
            at += phase.length;
        }
        events.push(Duration::ZERO, Event::Arrive);
        (0..setup.ingresses).for_each(|ingress| events.push(Duration::ZERO, Event::Probe(ingress)));
        World {
            setup,
            cx,
            start,
            now: Duration::ZERO,
            events,
            ingresses,
            guards: (0..setup.servers).map(new_guard).collect(),
            requests: vec![],
            attempts: vec![],
            fault: Fault::None,
            rate: 1.0,
            end: at,
            stats: Stats::default(),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.on_request(),
            Event::Phase(number) => self.start_phase(number),
            Event::ArriveAtGuard(attempt) => self.on_arrival_at_guard(attempt),
            Event::WorkDone(attempt) => self.on_work_done(attempt),
            Event::Answer(attempt, reply) => self.on_answer(attempt, reply),
            Event::Retry(request) => self.send_attempt(request),
            Event::Timeout(attempt) => self.on_attempt_timeout(attempt),
            Event::Hedge(attempt) => self.on_hedge_due(attempt),
            Event::Probe(ingress) => self.start_probe(ingress),
            Event::ProbeDone(ingress, server) => self.on_probe_done(ingress, server),
            Event::Deadline(request) => self.on_deadline(request),
        }
    }

    fn start_phase(&mut self, phase_index: usize) {
        let phase = self.setup.phases[phase_index];
        self.rate = phase.rate;
        self.fault = phase.fault;
        for (server, guard) in self.guards.iter_mut().enumerate() {
            guard.server_down = phase.fault == Fault::AllDown;
            guard.instance_dead = phase.fault == Fault::HalfDown && server % 2 == 0;
        }
    }

    fn on_request(&mut self) {
        if self.now >= self.end {
            return;
        }
        let interval = self.exponential(1.0 / self.rate);
        self.events.push(self.now + interval, Event::Arrive);
        let ingress = self.cx.rng.random_range(0..self.ingresses.len());
        let request = self.requests.len();
        let arrived = self.now;
        let new_request = Request {
            ingress,
            arrived,
            attempts: 0,
            tried_servers: vec![],
            done: false,
            redirected: false,
        };
        self.requests.push(new_request);
        self.stats.second(arrived).requests += 1;
        self.ingresses[ingress].on_request(&mut self.cx);
        self.events.push(self.now + self.setup.request_timeout, Event::Deadline(request));
        self.send_attempt(request);
    }

    fn send_attempt(&mut self, request_index: usize) {
        let request = &mut self.requests[request_index];
        if request.done {
            return;
        }
        let Some(server) =
            self.ingresses[request.ingress].choose_server(&mut self.cx, &request.tried_servers)
        else {
            request.done = true;
            return;
        };
        request.attempts += 1;
        request.tried_servers.push(server_name(server));
        let arrived = request.arrived;
        self.stats.second(arrived).sends += 1;
        let may_redirect = self.setup.policy.redirect
            && !self.requests[request_index].redirected
            && self.ingresses[self.requests[request_index].ingress].has_capacity();
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            may_redirect,
            request: request_index,
            server,
            sent: self.now,
            pending: true,
            permit: 0,
            started: Duration::ZERO,
            load: ServerLoad { busy: 0, slots: self.setup.slots, queued: 0 },
        });
        self.events.push(self.now + HOP_LATENCY, Event::ArriveAtGuard(attempt));
        if let Some(percent) = self.setup.policy.hedge_percent
            && self.requests[request_index].attempts == 1
            && let Some(after) =
                self.ingresses[self.requests[request_index].ingress].hedge_after(percent)
        {
            self.events.push(self.now + after, Event::Hedge(attempt));
        }
        if self.setup.policy.retry == RetryPolicy::Naive {
            self.events.push(self.now + self.setup.request_timeout / 4, Event::Timeout(attempt));
        }
    }

    fn on_arrival_at_guard(&mut self, attempt_index: usize) {
        let attempt = &self.attempts[attempt_index];
        let request = &self.requests[attempt.request];
        let guard = &mut self.guards[attempt.server];
        if guard.instance_dead {
            self.events
                .push(self.now + HOP_LATENCY, Event::Answer(attempt_index, Reply::NoConnection));
            return;
        }
        if attempt.may_redirect && guard.is_busy() {
            self.reply(attempt_index, Reply::Redirect);
            return;
        }
        let server = attempt.server;
        // Leaves time for the answer to travel back.
        let deadline = self.start + request.arrived + self.setup.request_timeout - HOP_LATENCY;
        let outcome = guard.on_attempt(&mut self.cx, attempt_index, request.ingress, deadline);
        self.apply_outcome(server, outcome);
    }

    fn on_work_done(&mut self, attempt_index: usize) {
        let attempt = &self.attempts[attempt_index];
        let (server, permit) = (attempt.server, attempt.permit);
        let time = self.now - attempt.started;
        let outcome = self.guards[server].finish(&mut self.cx, permit, time);
        self.reply(attempt_index, Reply::Ran);
        self.apply_outcome(server, outcome);
    }

    fn apply_outcome(&mut self, server: usize, outcome: Outcome) {
        for attempt in outcome.refused {
            self.stats.refused += 1;
            self.reply(attempt, Reply::NotRun);
        }
        for (attempt_index, permit) in outcome.started {
            self.start_work(server, attempt_index, permit);
        }
    }

    fn start_work(&mut self, server: usize, attempt_index: usize, permit: PermitId) {
        let slowdown = match self.fault {
            Fault::HalfSpeed => 2.0,
            Fault::OneSlow if server == 0 => 5.0,
            Fault::None | Fault::AllDown | Fault::HalfDown | Fault::OneSlow => 1.0,
        };
        let mean = self.setup.service_time.as_secs_f64() * slowdown;
        let mut time = self.exponential(mean);
        let attempt = &mut self.attempts[attempt_index];
        let arrived = self.requests[attempt.request].arrived;
        let deadline = arrived + self.setup.request_timeout;
        attempt.permit = permit;
        attempt.started = self.now;
        debug_assert_eq!(attempt.server, server);
        let network_latency = HOP_LATENCY * self.requests[attempt.request].attempts;
        let wait = (self.now - arrived).saturating_sub(network_latency);
        self.stats.wait.saturating_record(wait.as_micros() as u64);
        if self.now >= deadline {
            self.stats.wasted += 1;
        }
        // Backend servers stop work at the deadline, but the FIFO queue does not forward deadlines.
        if self.setup.policy.queue != QueuePolicy::Fifo {
            time = time.min(deadline.saturating_sub(self.now));
        }
        self.events.push(self.now + time, Event::WorkDone(attempt_index));
    }

    fn reply(&mut self, attempt_index: usize, reply: Reply) {
        let attempt = &mut self.attempts[attempt_index];
        attempt.load = self.guards[attempt.server].load();
        self.events.push(self.now + HOP_LATENCY, Event::Answer(attempt_index, reply));
    }

    fn on_answer(&mut self, attempt_index: usize, reply: Reply) {
        let attempt = &mut self.attempts[attempt_index];
        if !attempt.pending {
            return;
        }
        attempt.pending = false;
        let (request, server, load) = (attempt.request, attempt.server, attempt.load);
        let latency = self.now - attempt.sent;
        let ingress = &mut self.ingresses[self.requests[request].ingress];
        let cx = &mut self.cx;
        match reply {
            Reply::Ran => ingress.on_answer(cx, server, Verdict::Ran, latency, load),
            Reply::NotRun | Reply::Redirect => {
                ingress.on_answer(cx, server, Verdict::NotRun, latency, load);
            }
            Reply::NoConnection => ingress.on_no_connection(cx, server),
        }
        match reply {
            Reply::Ran => self.finish(request),
            Reply::NotRun | Reply::NoConnection => self.retry(request),
            Reply::Redirect => {
                self.requests[request].redirected = true;
                self.send_attempt(request);
            }
        }
    }

    fn finish(&mut self, request_index: usize) {
        let request = &mut self.requests[request_index];
        if request.done {
            return;
        }
        request.done = true;
        let arrived = request.arrived;
        if self.now < arrived + self.setup.request_timeout {
            self.stats.second(arrived).good += 1;
            let latency = (self.now - arrived).as_micros() as u64;
            self.stats.latency.saturating_record(latency);
        }
    }

    fn retry(&mut self, request_index: usize) {
        let request = &mut self.requests[request_index];
        if request.done {
            return;
        }
        let deadline = self.start + request.arrived + self.setup.request_timeout;
        let ingress = &mut self.ingresses[request.ingress];
        match ingress.retry_delay(&mut self.cx, request.attempts, deadline) {
            Some(after) => self.events.push(self.now + after, Event::Retry(request_index)),
            None => request.done = true,
        }
    }

    /// Retries the request of an attempt that a naive ingress no longer waits for. The attempt
    /// itself stays queued or running at its server.
    fn on_attempt_timeout(&mut self, attempt_index: usize) {
        let attempt = &mut self.attempts[attempt_index];
        if !attempt.pending {
            return;
        }
        attempt.pending = false;
        let (request, server) = (attempt.request, attempt.server);
        let ingress = self.requests[request].ingress;
        self.ingresses[ingress].on_canceled(&mut self.cx, server);
        self.retry(request);
    }

    fn on_deadline(&mut self, request_index: usize) {
        self.requests[request_index].done = true;
    }

    /// Sends a second attempt while the first is still pending. When either attempt is answered,
    /// the other is not canceled, so that the cost of hedging is not understated.
    fn on_hedge_due(&mut self, attempt_index: usize) {
        let attempt = &self.attempts[attempt_index];
        let request = &self.requests[attempt.request];
        if !attempt.pending || request.done {
            return;
        }
        let deadline = self.start + request.arrived + self.setup.request_timeout;
        if self.ingresses[request.ingress].try_hedge(&mut self.cx, deadline) {
            self.send_attempt(self.attempts[attempt_index].request);
        }
    }

    fn start_probe(&mut self, ingress: usize) {
        if let Some(server) = self.ingresses[ingress].next_probe(&mut self.cx) {
            self.events.push(self.now + 2 * HOP_LATENCY, Event::ProbeDone(ingress, server));
        }
        self.events.push(self.now + PROBE_INTERVAL, Event::Probe(ingress));
    }

    fn on_probe_done(&mut self, ingress: usize, server: usize) {
        let ok = !self.guards[server].instance_dead;
        self.ingresses[ingress].on_probe(&mut self.cx, server, ok);
    }

    /// Returns an exponentially distributed time with a mean in seconds.
    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.cx.rng.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean)
    }
}
