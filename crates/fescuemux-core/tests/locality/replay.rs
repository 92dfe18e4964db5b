//! Discrete-event replay of a load under a strategy.

use crate::fleet::{
    DomainFault, Fault, Kind, LARGE, Load, SLOTS, SMALL, Server, new_fleet, running_factor,
};
use crate::strategy::{Ingress, Offer, Strategy};
use fescuemux_core::base::Cx;
use fescuemux_core::locality::{RemoteAttempt, RemoteOutcome};
use fescuemux_core::placement::{LoadReport, PeerDirectory};
use rand::Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Ingresses in each domain.
const INGRESSES: usize = 20;

/// Age of the load reports at the reservation: instances decide on the same old report.
const REPORT_AGE: Duration = Duration::from_millis(10);

/// Interval at which a waiting request looks for a free slot.
const REQUERY: Duration = Duration::from_millis(120);

/// Size of a load query and its reply.
const QUERY_KB: f64 = 0.25;

/// Length of a replay, and its first part that is not counted.
pub(crate) const SECONDS: f64 = 60.0;
const WARM_UP: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Refresh,
    End(usize),
    Timeout(usize),
    Requery(usize),
    Arrival(usize),
}

struct Request {
    ingress: usize,
    kind: Kind,
    arrival: Instant,
    server: Option<usize>,
    running: bool,
    done: bool,
    attempt: Option<RemoteAttempt>,
}

/// Result of a replay.
#[derive(Clone, Debug, Default)]
pub(crate) struct Figures {
    pub(crate) requests: f64,
    pub(crate) missed: f64,
    pub(crate) large: f64,
    pub(crate) large_missed: f64,
    pub(crate) remote_small: f64,
    pub(crate) remote_large: f64,
    pub(crate) remote_kb: f64,
    /// Requests from one domain to another, by domains.
    pub(crate) flows: [[f64; 3]; 3],
    /// Requests that left their domain in each second.
    pub(crate) left_by_second: Vec<f64>,
    pub(crate) queries: f64,
}

impl Figures {
    pub(crate) fn missed_share(&self) -> f64 {
        self.missed / self.requests
    }

    pub(crate) fn remote_share(&self) -> f64 {
        (self.remote_small + self.remote_large) / self.requests
    }

    pub(crate) fn kb_per_request(&self) -> f64 {
        self.remote_kb / self.requests
    }

    /// Requests that two domains sent each other, as a share of all.
    pub(crate) fn exchanged_share(&self) -> f64 {
        let pairs = [(0, 1), (0, 2), (1, 2)];
        let exchanged = pairs.map(|(a, b)| self.flows[a][b].min(self.flows[b][a]));
        2.0 * exchanged.iter().sum::<f64>() / self.requests
    }
}

struct Replay<'a> {
    load: &'a Load,
    start: Instant,
    cx: Cx,
    servers: Vec<Server>,
    reports: Vec<Server>,
    directory: PeerDirectory,
    ingresses: Vec<Ingress>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    figures: Figures,
}

/// Replays a load.
pub(crate) fn replay(load: &Load, strategy: Strategy, seed: u64) -> Figures {
    let start = Instant::now();
    let (servers, directory) = new_fleet(start, load);
    let ingresses =
        (0..3 * INGRESSES).map(|index| Ingress::new(start, index / INGRESSES, strategy)).collect();
    let mut replay = Replay {
        load,
        start,
        cx: Cx::new(start, seed),
        reports: servers.clone(),
        servers,
        directory,
        ingresses,
        requests: Vec::new(),
        events: BinaryHeap::new(),
        figures: Figures { left_by_second: vec![0.0; SECONDS as usize], ..Figures::default() },
    };
    replay.add_arrivals();
    replay.push(start, Event::Refresh);
    replay.run();
    replay.figures
}

impl Replay<'_> {
    fn push(&mut self, at: Instant, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn add_arrivals(&mut self) {
        for domain in 0..3 {
            let mut at = 0.0;
            while at < SECONDS {
                let rate = self.load.rates[domain] * (self.load.rate_factor)(domain, at);
                let u: f64 = self.cx.rng.random_range(1e-9..1.0);
                at += -u.ln() / rate.max(0.01);
                let is_large = self.cx.rng.random_bool(self.load.large_share);
                let arrival = self.start + Duration::from_secs_f64(at);
                let ingress = domain * INGRESSES + self.cx.rng.random_range(0..INGRESSES);
                let kind = if is_large { LARGE } else { SMALL };
                self.requests.push(Request {
                    ingress,
                    kind,
                    arrival,
                    server: None,
                    running: false,
                    done: false,
                    attempt: None,
                });
                self.push(arrival, Event::Arrival(self.requests.len() - 1));
            }
        }
    }

    fn run(&mut self) {
        let end = self.start + Duration::from_secs_f64(SECONDS + 10.0);
        while let Some(Reverse((now, event))) = self.events.pop() {
            self.cx.now = now;
            match event {
                Event::Refresh if now >= end => return,
                Event::Refresh => {
                    self.reports = self.servers.clone();
                    self.push(now + REPORT_AGE, Event::Refresh);
                }
                Event::Arrival(id) => {
                    self.push(now + self.requests[id].kind.timeout, Event::Timeout(id));
                    self.place(id);
                }
                Event::Requery(id) if self.is_waiting(id) => self.place(id),
                Event::Requery(_) => {}
                Event::End(id) if !self.requests[id].done => self.end(id, RemoteOutcome::Answered),
                Event::Timeout(id) if !self.requests[id].done => {
                    self.end(id, RemoteOutcome::Canceled);
                }
                Event::End(_) | Event::Timeout(_) => {}
            }
        }
    }

    fn is_waiting(&self, id: usize) -> bool {
        let request = &self.requests[id];
        !request.done && !request.running
    }

    fn fault(&self, server: usize) -> Option<Fault> {
        let server = &self.servers[server];
        let at = self.cx.now.saturating_duration_since(self.start).as_secs_f64();
        let applies = |fault: &&DomainFault| {
            fault.domain == server.domain
                && server.index < fault.server_count
                && (fault.from_s..fault.to_s).contains(&at)
        };
        self.load.faults.iter().find(applies).map(|fault| fault.fault)
    }

    fn is_counted(&self, id: usize) -> bool {
        self.requests[id].arrival >= self.start + WARM_UP
    }

    fn place(&mut self, id: usize) {
        let now = self.cx.now;
        let Request { ingress, kind, arrival, server: waiting_at, .. } = self.requests[id];
        let elapsed = now.saturating_duration_since(arrival);
        let mut placed = self.ingresses[ingress].placed(kind, elapsed);
        let waiting_at = waiting_at.filter(|server| self.fault(*server) != Some(Fault::Gone));
        placed.refused_at_home = waiting_at.is_none() && elapsed > Duration::ZERO;
        let waiting = waiting_at.map(|server| self.waiting_report(server, id, kind));
        let mut offers: Vec<Offer> = Vec::new();
        for batch in 0..3 {
            let peers = self.ingresses[ingress].sample(
                &mut self.cx,
                &self.directory,
                &placed,
                batch,
                &offers,
                waiting,
            );
            if peers.is_empty() {
                break;
            }
            for peer in peers {
                let server: usize = peer.id.parse().expect("an index");
                if let Some(report) = self.query(ingress, server, id) {
                    offers.push(Offer { peer, report });
                }
            }
            if waiting.is_some()
                || !self.ingresses[ingress].should_query_more(now, &placed, batch + 1, &offers)
            {
                break;
            }
        }
        self.ingresses[ingress].order(&mut self.cx, &placed, &mut offers, waiting);
        for offer in offers {
            let server: usize = offer.peer.id.parse().expect("an index");
            if waiting.is_some() && !offer.report.is_better_than_queueing() {
                continue;
            }
            let is_full = self.servers[server].used_slots >= SLOTS;
            if self.fault(server) == Some(Fault::Gone) || (waiting.is_some() && is_full) {
                continue;
            }
            if let Some(from) = waiting_at {
                self.servers[from].queue.retain(|other| *other != id);
            }
            self.requests[id].server = Some(server);
            if is_full {
                self.servers[server].queue.push_back(id);
                break;
            }
            self.start_request(id, server);
            return;
        }
        self.push(now + REQUERY, Event::Requery(id));
    }

    /// Returns the report of a server for a request that waits there.
    fn waiting_report(&self, server: usize, id: usize, kind: Kind) -> LoadReport {
        let state = &self.servers[server];
        let position = state.queue.iter().position(|other| *other == id).unwrap_or(0) as f64 + 1.0;
        let wait = position * state.running_mean / f64::from(SLOTS);
        LoadReport {
            expected_wait: Duration::from_secs_f64(wait),
            used_slots: SLOTS,
            queued: 1,
            ..state.report(kind.running)
        }
    }

    fn query(&mut self, ingress: usize, server: usize, id: usize) -> Option<LoadReport> {
        let now = self.cx.now;
        let is_remote = self.servers[server].domain != self.ingresses[ingress].domain;
        let counted = self.is_counted(id);
        self.figures.queries += f64::from(u8::from(counted));
        self.figures.remote_kb += if is_remote && counted { QUERY_KB } else { 0.0 };
        let is_lost = is_remote && self.cx.rng.random_bool(self.load.loss);
        let peer = self.directory.get(&server.to_string()).expect("a known peer").clone();
        let is_gone = self.fault(server) == Some(Fault::Gone);
        let reply = (!is_lost && !is_gone).then(|| {
            let rtt = if is_remote { self.load.path * 2 } else { Duration::from_millis(1) };
            (self.reports[server].report(self.requests[id].kind.running), rtt)
        });
        self.ingresses[ingress].on_reply(now, &peer, reply);
        match reply {
            Some(_) => self.directory.on_response(now, &peer.id),
            None => self.directory.on_timeout(now, &peer.id),
        }
        reply.map(|(report, _)| report)
    }

    fn start_request(&mut self, id: usize, server: usize) {
        let now = self.cx.now;
        let Request { ingress, kind, .. } = self.requests[id];
        self.servers[server].used_slots += 1;
        let domain = self.servers[server].domain;
        let home = self.ingresses[ingress].domain;
        let fault = self.fault(server);
        let mut time = kind.running.mul_f64(running_factor(&mut self.cx).min(10.0));
        if let Some(Fault::Slow(factor)) = fault {
            time = time.mul_f64(factor);
        }
        if domain != home {
            time += self.load.path * 4;
            if self.is_counted(id) {
                let left = if kind.is_large {
                    &mut self.figures.remote_large
                } else {
                    &mut self.figures.remote_small
                };
                *left += 1.0;
                self.figures.remote_kb += kind.kilobytes;
                self.figures.flows[home][domain] += 1.0;
                let second = now.saturating_duration_since(self.start).as_secs() as usize;
                if let Some(count) = self.figures.left_by_second.get_mut(second) {
                    *count += 1.0;
                }
            }
        }
        let policy = &mut self.ingresses[ingress].policy;
        policy.on_size(kind.kilobytes);
        let attempt = policy.on_sent(now, &crate::fleet::domain_id(domain), kind.running);
        let request = &mut self.requests[id];
        request.attempt = Some(attempt);
        request.running = true;
        if fault != Some(Fault::Hangs) {
            self.push(now + time, Event::End(id));
        }
    }

    fn end(&mut self, id: usize, outcome: RemoteOutcome) {
        let now = self.cx.now;
        let request = &mut self.requests[id];
        request.done = true;
        let elapsed = now.saturating_duration_since(request.arrival);
        let is_missed = outcome != RemoteOutcome::Answered || elapsed > request.kind.objective;
        let (ingress, is_large, server) = (request.ingress, request.kind.is_large, request.server);
        if let Some(attempt) = request.attempt.take() {
            self.ingresses[ingress].policy.on_ended(now, &attempt, outcome);
        }
        if self.is_counted(id) {
            let missed = f64::from(u8::from(is_missed));
            self.figures.requests += 1.0;
            self.figures.missed += missed;
            if is_large {
                self.figures.large += 1.0;
                self.figures.large_missed += missed;
            }
        }
        let Some(server) = server else { return };
        if !self.requests[id].running {
            self.servers[server].queue.retain(|other| *other != id);
            return;
        }
        self.servers[server].used_slots -= 1;
        while let Some(next) = self.servers[server].queue.pop_front() {
            if !self.requests[next].done {
                self.start_request(next, server);
                break;
            }
        }
    }
}
