//! The choice of a backend server. Looks at a few sampled candidates and never at whole lists.

use crate::base::Cx;
use crate::route::entry::{Entry, Index, Tier};
use crate::route::service::ServiceTable;
use crate::route::{BreakerState, Choice, RequestKind, RouteQuery, Router, ServerHealth};
use rand::Rng;
use std::time::Duration;

/// Candidates compared in each tier.
const CHOICES: usize = 4;

/// Draws for one candidate before a server in slow start is taken in spite of its low share.
const SLOW_START_DRAWS: usize = 3;

/// Time between two trials of one ingress at a steered server. The guard takes few and declines the
/// others at the price of a redirect.
const STEERED_TRIAL_GAP: Duration = Duration::from_millis(250);

/// Largest share of requests that trials of one service may take.
const MAX_TRIAL_SHARE: f64 = 0.5;

/// Share of requests that try a half-open path while other servers are left. A trial on a
/// broken path costs its request an attempt, and at 1.2 requests/s for each ingress the trials
/// of 29 broken paths would take every request.
const PATH_TRIAL_SHARE: f64 = 0.05;

#[derive(Clone, Copy)]
struct Candidate {
    index: Index,
    load: f64,
}

impl Router {
    /// Chooses a backend server for an attempt. Returns `None` when no known server may take
    /// it; a query with exclusions may then be repeated without them.
    pub fn choose(&mut self, cx: &mut Cx, query: &RouteQuery) -> Option<Choice> {
        self.tick(cx.now);
        let service = *self.service_index.get(query.service)?;
        if let Some(index) = self.server_trial(cx, service, query) {
            let until = cx.now + self.cfg.trial_timeout;
            if let Some(entry) = self.entries[index as usize].as_mut() {
                entry.trial_until = Some(until);
            }
            return self.choice(index, false);
        }
        if let Some(index) = self.steered_trial(cx, service, query) {
            let until = cx.now + STEERED_TRIAL_GAP;
            if let Some(entry) = self.entries[index as usize].as_mut() {
                entry.trial_until = Some(until);
            }
            let choice = self.choice(index, false)?;
            return Some(Choice { kind: RequestKind::Trial, ..choice });
        }
        if let Some(index) = self.path_trial(cx, service, query) {
            return self.choice(index, true);
        }
        self.normal(cx, service, query)
    }

    fn normal(&self, cx: &mut Cx, service: usize, query: &RouteQuery) -> Option<Choice> {
        let table = &self.services[service];
        let mut best: Option<Candidate> = None;
        for tier in Tier::ALL {
            let count = table.count(tier, self.cfg.subset_size);
            let at = |position| table.at(tier, self.cfg.subset_size, position);
            let Some(found) = self.best_of(cx, table, query, count, at) else {
                continue;
            };
            if found.load <= self.cfg.max_load {
                return self.choice(found.index, false);
            }
            if best.is_none_or(|b| found.load < b.load) {
                best = Some(found);
            }
        }
        let at = |position: usize| table.steered.get(position).copied();
        if let Some(found) = self.best_of(cx, table, query, table.steered.len(), at)
            && best.is_none_or(|_| found.load <= self.cfg.max_load)
        {
            return self.choice(found.index, false);
        }
        if let Some(found) = best {
            return self.choice(found.index, false);
        }
        // Every path looks broken, which is more likely a fault on this side: spread the load.
        for list in [&table.blocked, &table.half_open] {
            let at = |position: usize| list.get(position).copied();
            if let Some(found) = self.best_of(cx, table, query, list.len(), at) {
                return self.choice(found.index, false);
            }
        }
        self.last_resort_in_probation(cx, table, query)
    }

    /// Picks any server in probation when the service has no other. Without a permit such a server
    /// still counts as capacity, and its guard takes requests of last resort, also while a trial
    /// is under way.
    fn last_resort_in_probation(
        &self,
        cx: &mut Cx,
        table: &ServiceTable,
        query: &RouteQuery,
    ) -> Option<Choice> {
        let lists = [&table.probation, &table.blocked, &table.half_open];
        let list = lists
            .into_iter()
            .find(|list| list.iter().any(|index| self.is_in_probation(*index, query)))?;
        let count = list.len();
        let start = cx.rng.random_range(0..count);
        let index = (0..count)
            .map(|step| list[(start + step) % count])
            .find(|index| self.is_in_probation(*index, query))?;
        let choice = self.choice(index, false)?;
        Some(Choice { kind: RequestKind::LastResort, ..choice })
    }

    fn is_in_probation(&self, index: Index, query: &RouteQuery) -> bool {
        self.entries[index as usize]
            .as_ref()
            .is_some_and(|entry| entry.health == ServerHealth::Probation && !excluded(query, entry))
    }

    /// Samples [`CHOICES`] of `count` servers and returns the one with the lowest load.
    fn best_of(
        &self,
        cx: &mut Cx,
        table: &ServiceTable,
        query: &RouteQuery,
        count: usize,
        at: impl Fn(usize) -> Option<Index>,
    ) -> Option<Candidate> {
        let mut best: Option<Candidate> = None;
        let mut bits = if count > 1 { cx.rng.random::<u64>() } else { 0 };
        let first = position(bits, count);
        for number in 0..CHOICES.min(count) {
            // Few servers are all looked at, from a random one on, so that none is missed.
            let few = count <= CHOICES;
            let start = if few { (first + number) % count } else { position(bits, count) };
            bits >>= POSITION_BITS;
            let Some(found) = self.sample(cx, table, query, count, start, &at) else {
                continue;
            };
            if best.is_none_or(|b| found.load < b.load) {
                best = Some(found);
            }
        }
        best
    }

    fn sample(
        &self,
        cx: &mut Cx,
        table: &ServiceTable,
        query: &RouteQuery,
        count: usize,
        start: usize,
        at: &impl Fn(usize) -> Option<Index>,
    ) -> Option<Candidate> {
        let mut last = None;
        let mut start = start;
        for _ in 0..SLOW_START_DRAWS {
            let (index, entry) = self.from(query, count, start, at)?;
            last = Some(Candidate { index, load: self.load(cx, table, entry) });
            let weight = entry.weight(cx.now, self.cfg.slow_start);
            if weight >= 1.0 || cx.rng.random::<f64>() < weight {
                break;
            }
            start = cx.rng.random_range(0..count);
        }
        last
    }

    /// Returns the first server from `start` on that is neither excluded nor in probation.
    fn from(
        &self,
        query: &RouteQuery,
        count: usize,
        start: usize,
        at: &impl Fn(usize) -> Option<Index>,
    ) -> Option<(Index, &Entry)> {
        for step in 0..count.min(MAX_STEPS) {
            let index = at((start + step) % count)?;
            let entry = self.entries[index as usize].as_ref()?;
            let probation = entry.health == ServerHealth::Probation;
            if !probation && !excluded(query, entry) {
                return Some((index, entry));
            }
        }
        None
    }

    /// Returns the load per slot that the server would have with this request.
    fn load(&self, cx: &Cx, table: &ServiceTable, entry: &Entry) -> f64 {
        let slots = f64::from(entry.endpoint.slots.max(1));
        let others = entry.load.at(cx.now, self.cfg.load_half_life, table.mean_load);
        others + (f64::from(entry.in_flight) + 1.0) / slots
    }

    /// Picks a steered server for an idempotent request with the probability of its fair share. Its
    /// guard takes a few, to learn whether the evidence was a passing stall.
    fn steered_trial(&self, cx: &mut Cx, service: usize, query: &RouteQuery) -> Option<Index> {
        let table = &self.services[service];
        let waiting = table.steered.len();
        let ready = self.ready_count(service);
        // With nothing else left its requests of last resort are evidence enough.
        if waiting == 0 || ready == 0 || !query.idempotent {
            return None;
        }
        let share = waiting as f64 / (waiting + ready) as f64;
        if cx.rng.random::<f64>() >= share.min(MAX_TRIAL_SHARE) {
            return None;
        }
        let index = table.steered[cx.rng.random_range(0..waiting)];
        let entry = self.entries[index as usize].as_ref()?;
        let waits = entry.trial_until.is_some_and(|until| cx.now < until);
        (!waits && !excluded(query, entry)).then_some(index)
    }

    /// Picks a server in probation with the probability of its fair share of requests, so the
    /// rate of trials does not grow with the number of ingresses.
    fn server_trial(&self, cx: &mut Cx, service: usize, query: &RouteQuery) -> Option<Index> {
        let table = &self.services[service];
        let waiting = table.probation.len();
        if waiting == 0 {
            return None;
        }
        let ready = self.ready_count(service);
        let others = ready + table.steered.len() + table.blocked.len();
        let share = waiting as f64 / (waiting + ready) as f64;
        if others > 0 && cx.rng.random::<f64>() >= share.min(MAX_TRIAL_SHARE) {
            return None;
        }
        let index = table.probation[cx.rng.random_range(0..waiting)];
        let entry = self.entries[index as usize].as_ref()?;
        if entry.trial_until.is_some_and(|until| cx.now < until) || excluded(query, entry) {
            return None;
        }
        let waited = cx.now.saturating_duration_since(entry.last_trial);
        (query.idempotent || waited >= self.cfg.non_idempotent_trial_delay).then_some(index)
    }

    fn ready_count(&self, service: usize) -> usize {
        let table = &self.services[service];
        Tier::ALL.iter().map(|tier| table.count(*tier, self.cfg.subset_size)).sum()
    }

    fn path_trial(&mut self, cx: &mut Cx, service: usize, query: &RouteQuery) -> Option<Index> {
        let index = *self.services[service].half_open.first()?;
        let entry = self.entries[index as usize].as_ref()?;
        let path = entry.path;
        let BreakerState::HalfOpen(since) = self.paths[path].breaker.state() else {
            return None;
        };
        let waited = cx.now.saturating_duration_since(since);
        if !query.idempotent && waited < self.cfg.non_idempotent_trial_delay {
            return None;
        }
        if excluded(query, entry) {
            return None;
        }
        let others = self.ready_count(service) + self.services[service].steered.len();
        if others > 0 && cx.rng.random::<f64>() >= PATH_TRIAL_SHARE {
            return None;
        }
        self.start_path_trial(cx.now, path);
        Some(index)
    }

    fn choice(&self, index: Index, path_trial: bool) -> Option<Choice> {
        let entry = self.entries[index as usize].as_ref()?;
        let kind = match entry.health {
            ServerHealth::Steered => RequestKind::LastResort,
            ServerHealth::Probation => RequestKind::Trial,
            ServerHealth::Serving | ServerHealth::Ejected => RequestKind::Normal,
        };
        let server = entry.endpoint.server.clone();
        Some(Choice { server, instance: entry.endpoint.instance.clone(), kind, path_trial })
    }
}

/// Random bits that select one candidate, so that one random number serves all [`CHOICES`].
const POSITION_BITS: u32 = 16;

/// Returns a position below `count` from the low bits of a random number.
fn position(bits: u64, count: usize) -> usize {
    let low = bits as usize & ((1 << POSITION_BITS) - 1);
    (low * count) >> POSITION_BITS
}

/// Steps past excluded servers before a draw gives up.
const MAX_STEPS: usize = 8;

fn excluded(query: &RouteQuery, entry: &Entry) -> bool {
    query.excluded_servers.contains(&entry.endpoint.server)
        || query.excluded_instances.contains(&entry.endpoint.instance)
}
