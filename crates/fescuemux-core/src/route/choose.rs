//! Selection of a backend server. Compares a few sampled candidates, so the cost of a choice
//! does not grow with the number of servers.

use crate::base::Cx;
use crate::route::entry::{Distance, Index, ServerEntry};
use crate::route::service::ServiceTable;
use crate::route::{BreakerState, Choice, RequestKind, RouteQuery, Router, ServerHealth};
use rand::Rng;
use std::time::Duration;

/// Number of candidates sampled from a list, or from the serving servers at one distance.
const SAMPLE_SIZE: usize = 4;

/// Maximum number of draws for one candidate. The last draw is accepted even when slow start would
/// reject it.
const MAX_SLOW_START_DRAWS: usize = 3;

/// Time that this ingress waits after a trial at a steered server, unless a request to the server
/// ends earlier. The guard admits few trials, and each refused trial costs a redirect.
const STEERED_TRIAL_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum probability that a request becomes a trial at a steered server, and likewise at a server
/// in probation while the service has other servers.
const MAX_TRIAL_SHARE: f64 = 0.5;

/// Share of requests that test a half-open path while serving or steered servers are available. A
/// trial on a broken path costs its request one attempt: at 1.2 requests/s per ingress, unlimited
/// trials of 29 broken paths would take every request.
const PATH_TRIAL_SHARE: f64 = 0.05;

#[derive(Clone, Copy)]
struct Candidate {
    index: Index,
    load: f64,
}

impl Router {
    /// Chooses a backend server for an attempt. Returns `None` when no eligible server is known; a
    /// query with exclusions may then be repeated without exclusions.
    pub fn choose(&mut self, cx: &mut Cx, query: &RouteQuery) -> Option<Choice> {
        self.tick(cx.now);
        let service_index = *self.service_indices.get(query.service)?;
        if let Some(index) = self.pick_probation_trial(cx, service_index, query) {
            let until = cx.now + self.cfg.trial_timeout;
            if let Some(entry) = self.entries[index as usize].as_mut() {
                entry.no_trial_before = Some(until);
            }
            return self.choice_for(index, false);
        }
        if let Some(index) = self.pick_steered_trial(cx, service_index, query) {
            let until = cx.now + STEERED_TRIAL_INTERVAL;
            if let Some(entry) = self.entries[index as usize].as_mut() {
                entry.no_trial_before = Some(until);
            }
            let choice = self.choice_for(index, false)?;
            return Some(Choice { kind: RequestKind::Trial, ..choice });
        }
        if let Some(index) = self.pick_path_trial(cx, service_index, query) {
            return self.choice_for(index, true);
        }
        self.choose_by_load(cx, service_index, query)
    }

    /// Chooses a server without a trial. In order of preference: a serving server at the nearest
    /// distance with a load of at most `max_load`, a steered server with such a load, the least
    /// loaded serving server, any steered server, servers behind open paths, servers behind
    /// half-open paths, servers in probation.
    fn choose_by_load(
        &self,
        cx: &mut Cx,
        service_index: usize,
        query: &RouteQuery,
    ) -> Option<Choice> {
        let table = &self.services[service_index];
        let mut best: Option<Candidate> = None;
        for distance in Distance::ALL {
            let count = table.count(distance, self.cfg.subset_size);
            let at = |position| table.at(distance, self.cfg.subset_size, position);
            let Some(found) = self.sample_least_loaded(cx, table, query, count, at) else {
                continue;
            };
            if found.load <= self.cfg.max_load {
                return self.choice_for(found.index, false);
            }
            if best.is_none_or(|b| found.load < b.load) {
                best = Some(found);
            }
        }
        let at = |position: usize| table.steered.get(position).copied();
        if let Some(found) = self.sample_least_loaded(cx, table, query, table.steered.len(), at)
            && best.is_none_or(|_| found.load <= self.cfg.max_load)
        {
            return self.choice_for(found.index, false);
        }
        if let Some(found) = best {
            return self.choice_for(found.index, false);
        }
        // When every path looks broken, the fault is more likely near this ingress: spread the
        // load.
        for list in [&table.blocked, &table.half_open] {
            let at = |position: usize| list.get(position).copied();
            if let Some(found) = self.sample_least_loaded(cx, table, query, list.len(), at) {
                return self.choice_for(found.index, false);
            }
        }
        self.last_resort_in_probation(cx, table, query)
    }

    /// Picks a random server in probation when the service has no other server. Unless its guard
    /// holds a ledger permit, a server in probation still counts as healthy capacity, and the guard
    /// admits last-resort requests even while a trial is in flight.
    fn last_resort_in_probation(
        &self,
        cx: &mut Cx,
        table: &ServiceTable,
        query: &RouteQuery,
    ) -> Option<Choice> {
        let lists = [&table.probation, &table.blocked, &table.half_open];
        let list = lists
            .into_iter()
            .find(|list| list.iter().any(|index| self.is_probation_candidate(*index, query)))?;
        let count = list.len();
        let start = cx.rng.random_range(0..count);
        let index = (0..count)
            .map(|step| list[(start + step) % count])
            .find(|index| self.is_probation_candidate(*index, query))?;
        let choice = self.choice_for(index, false)?;
        Some(Choice { kind: RequestKind::LastResort, ..choice })
    }

    fn is_probation_candidate(&self, index: Index, query: &RouteQuery) -> bool {
        self.entries[index as usize].as_ref().is_some_and(|entry| {
            entry.health == ServerHealth::Probation && !is_excluded(query, entry)
        })
    }

    /// Samples up to [`SAMPLE_SIZE`] of `count` servers and returns the least loaded of the sample.
    /// `at` returns the server at a position below `count`.
    fn sample_least_loaded(
        &self,
        cx: &mut Cx,
        table: &ServiceTable,
        query: &RouteQuery,
        count: usize,
        at: impl Fn(usize) -> Option<Index>,
    ) -> Option<Candidate> {
        let mut best: Option<Candidate> = None;
        let mut bits = if count > 1 { cx.rng.random::<u64>() } else { 0 };
        let first = position_from_bits(bits, count);
        for number in 0..SAMPLE_SIZE.min(count) {
            // If no more than SAMPLE_SIZE servers exist, all are examined, from a random start.
            let scan_all = count <= SAMPLE_SIZE;
            let start =
                if scan_all { (first + number) % count } else { position_from_bits(bits, count) };
            bits >>= POSITION_BITS;
            let Some(found) = self.draw_candidate(cx, table, query, count, start, &at) else {
                continue;
            };
            if best.is_none_or(|b| found.load < b.load) {
                best = Some(found);
            }
        }
        best
    }

    /// Draws a candidate. A server in slow start is accepted with the probability that
    /// [`ServerEntry::slow_start_weight`] returns.
    fn draw_candidate(
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
        for _ in 0..MAX_SLOW_START_DRAWS {
            let (index, entry) = self.first_eligible(query, count, start, at)?;
            last = Some(Candidate { index, load: self.projected_load(cx, table, entry) });
            let weight = entry.slow_start_weight(cx.now, self.cfg.slow_start);
            if weight >= 1.0 || cx.rng.random::<f64>() < weight {
                break;
            }
            start = cx.rng.random_range(0..count);
        }
        last
    }

    /// Returns the first server from `start` on, wrapping around, that is neither excluded nor in
    /// probation. Examines at most [`MAX_SCANNED`] servers.
    fn first_eligible(
        &self,
        query: &RouteQuery,
        count: usize,
        start: usize,
        at: &impl Fn(usize) -> Option<Index>,
    ) -> Option<(Index, &ServerEntry)> {
        for step in 0..count.min(MAX_SCANNED) {
            let index = at((start + step) % count)?;
            let entry = self.entries[index as usize].as_ref()?;
            let in_probation = entry.health == ServerHealth::Probation;
            if !in_probation && !is_excluded(query, entry) {
                return Some((index, entry));
            }
        }
        None
    }

    /// Estimates the requests per slot that the server would have with one more request.
    fn projected_load(&self, cx: &Cx, table: &ServiceTable, entry: &ServerEntry) -> f64 {
        let slots = f64::from(entry.endpoint.slots.max(1));
        let other_load = entry.load.at(cx.now, self.cfg.load_half_life, table.mean_load);
        other_load + (f64::from(entry.in_flight) + 1.0) / slots
    }

    /// Picks a random steered server for an idempotent request as its trial. The probability is the
    /// share of steered servers among serving and steered servers, at most [`MAX_TRIAL_SHARE`]. The
    /// guard uses a few such trials to tell a short stall from a fault.
    fn pick_steered_trial(
        &self,
        cx: &mut Cx,
        service_index: usize,
        query: &RouteQuery,
    ) -> Option<Index> {
        let table = &self.services[service_index];
        let steered = table.steered.len();
        let serving = self.serving_count(service_index);
        // Without serving servers, last-resort requests already give the guard evidence.
        if steered == 0 || serving == 0 || !query.idempotent {
            return None;
        }
        let share = steered as f64 / (steered + serving) as f64;
        if cx.rng.random::<f64>() >= share.min(MAX_TRIAL_SHARE) {
            return None;
        }
        let index = table.steered[cx.rng.random_range(0..steered)];
        let entry = self.entries[index as usize].as_ref()?;
        let trial_too_early = entry.no_trial_before.is_some_and(|until| cx.now < until);
        (!trial_too_early && !is_excluded(query, entry)).then_some(index)
    }

    /// Picks a random server in probation for a trial. While the service has other servers, the
    /// probability is the share of servers in probation among these and serving servers, at most
    /// [`MAX_TRIAL_SHARE`], so that the rate of trials does not grow with the number of ingresses.
    fn pick_probation_trial(
        &self,
        cx: &mut Cx,
        service_index: usize,
        query: &RouteQuery,
    ) -> Option<Index> {
        let table = &self.services[service_index];
        let in_probation = table.probation.len();
        if in_probation == 0 {
            return None;
        }
        let serving = self.serving_count(service_index);
        let others = serving + table.steered.len() + table.blocked.len();
        let share = in_probation as f64 / (in_probation + serving) as f64;
        if others > 0 && cx.rng.random::<f64>() >= share.min(MAX_TRIAL_SHARE) {
            return None;
        }
        let index = table.probation[cx.rng.random_range(0..in_probation)];
        let entry = self.entries[index as usize].as_ref()?;
        if entry.no_trial_before.is_some_and(|until| cx.now < until) || is_excluded(query, entry) {
            return None;
        }
        let waited = cx.now.saturating_duration_since(entry.last_trial_at);
        (query.idempotent || waited >= self.cfg.non_idempotent_trial_delay).then_some(index)
    }

    /// Returns the number of serving servers that the ingress may use.
    fn serving_count(&self, service_index: usize) -> usize {
        let table = &self.services[service_index];
        Distance::ALL.iter().map(|distance| table.count(*distance, self.cfg.subset_size)).sum()
    }

    /// Picks the first server listed behind a half-open path and starts the trial of the path.
    fn pick_path_trial(
        &mut self,
        cx: &mut Cx,
        service_index: usize,
        query: &RouteQuery,
    ) -> Option<Index> {
        let index = *self.services[service_index].half_open.first()?;
        let entry = self.entries[index as usize].as_ref()?;
        let path_index = entry.path_index;
        let BreakerState::HalfOpen(since) = self.paths[path_index].breaker.state() else {
            return None;
        };
        let waited = cx.now.saturating_duration_since(since);
        if !query.idempotent && waited < self.cfg.non_idempotent_trial_delay {
            return None;
        }
        if is_excluded(query, entry) {
            return None;
        }
        let others = self.serving_count(service_index) + self.services[service_index].steered.len();
        if others > 0 && cx.rng.random::<f64>() >= PATH_TRIAL_SHARE {
            return None;
        }
        self.start_path_trial(cx.now, path_index);
        Some(index)
    }

    fn choice_for(&self, index: Index, path_trial: bool) -> Option<Choice> {
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

/// Number of random bits that select one candidate. One 64-bit random number is enough for
/// [`SAMPLE_SIZE`] candidates.
const POSITION_BITS: u32 = 16;

/// Maps the low [`POSITION_BITS`] bits of a random number to a position below `count`.
fn position_from_bits(bits: u64, count: usize) -> usize {
    let low = bits as usize & ((1 << POSITION_BITS) - 1);
    (low * count) >> POSITION_BITS
}

/// Maximum number of servers that one draw examines for an eligible server.
const MAX_SCANNED: usize = 8;

fn is_excluded(query: &RouteQuery, entry: &ServerEntry) -> bool {
    query.excluded_servers.contains(&entry.endpoint.server)
        || query.excluded_instances.contains(&entry.endpoint.instance)
}
