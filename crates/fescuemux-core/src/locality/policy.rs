//! Decision whether a request leaves its failure domain.

use crate::base::{Cx, DomainId, HashMap, ServiceId};
use crate::locality::domain_state::DomainState;
use crate::locality::offer_state::FreeShare;
use crate::locality::{LeaveReason, PlacedRequest, RemoteOutcome};
use crate::placement::{LoadReport, PlacementCost, Readiness, rank, should_query_more};
use rand::Rng;
use std::time::{Duration, Instant};

/// Bounds of the random factor of the cost. Instances that observe the same would otherwise change
/// their decision at the same moment and send all their requests to the same free servers.
const COST_JITTER: (f64, f64) = (0.75, 1.25);

/// Size of a load query and its reply in kilobytes, with headers of the network.
const QUERY_KB: f64 = 0.25;

/// Weight of one request in the mean size.
const SIZE_WEIGHT: f64 = 0.02;

/// Weight of one load report in the mean failure probability.
const FAILURE_WEIGHT: f64 = 0.02;

/// Number of instances of other domains in a batch of load queries that asks other domains.
const REMOTE_QUERIES: usize = 3;

/// Number of instances of other domains in a first batch of load queries.
const FIRST_REMOTE_QUERIES: usize = 2;

/// Remaining share of the cost of leaving below which the first batch of queries asks other domains.
const FIRST_BATCH_COST_SHARE: f64 = 0.6;

/// Size of a request relative to the mean up to which its first batch asks other domains.
const MAX_FIRST_BATCH_SIZE: f64 = 4.0;

/// Number of servers in a batch of load queries at home.
const HOME_QUERIES: i32 = 5;

/// Expected reduction of the probability of a miss from which another batch at home pays. Queries
/// cost processor time of the instances asked.
const MIN_SEARCH_GAIN: f64 = 0.005;

/// Load report of an instance with its domain.
#[derive(Clone, Copy, Debug)]
pub struct Offered<'a> {
    /// Failure domain of the instance.
    pub domain: &'a DomainId,
    /// Load report of the instance.
    pub report: LoadReport,
}

/// Identifies a request in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemoteAttempt {
    domain: DomainId,
    id: u64,
}

/// Decides when requests leave the failure domain of an ingress; see [`crate::locality`].
#[derive(Clone, Debug, Default)]
pub struct LocalityPolicy {
    pub(super) domains: HashMap<DomainId, DomainState>,
    pub(super) free_shares: HashMap<ServiceId, HashMap<DomainId, FreeShare>>,
    pub(super) mean_kb: Option<f64>,
    /// Mean failure probability of the servers that offered a free slot.
    mean_failure: f64,
    next_id: u64,
}

impl LocalityPolicy {
    /// Records the reply to a load query.
    pub fn on_reply(
        &mut self,
        now: Instant,
        service: &ServiceId,
        offered: Offered<'_>,
        rtt: Duration,
    ) {
        self.domain_mut(now, offered.domain).on_reply(rtt);
        let report = offered.report;
        let is_free = report.readiness != Readiness::Closed && report.is_better_than_queueing();
        if is_free {
            self.mean_failure += FAILURE_WEIGHT * (report.failure_probability - self.mean_failure);
        }
        let shares = self.free_shares.entry(service.clone()).or_default();
        shares.entry(offered.domain.clone()).or_default().add(now, is_free);
    }

    /// Records that a load query was not answered in time.
    pub fn on_no_reply(&mut self, now: Instant, domain: &DomainId) {
        self.domain_mut(now, domain).on_no_reply();
    }

    /// Records the size of a request and its answer in kilobytes.
    pub fn on_size(&mut self, kilobytes: f64) {
        let mean = self.mean_kb.get_or_insert(kilobytes);
        *mean += SIZE_WEIGHT * (kilobytes - *mean);
    }

    /// Records that a request was sent to a server.
    pub fn on_sent(
        &mut self,
        now: Instant,
        domain: &DomainId,
        running_time: Duration,
    ) -> RemoteAttempt {
        self.next_id += 1;
        let id = self.next_id;
        self.domain_mut(now, domain).on_sent(now, id, running_time);
        RemoteAttempt { domain: domain.clone(), id }
    }

    /// Records the end of a request.
    pub fn on_ended(&mut self, now: Instant, attempt: &RemoteAttempt, outcome: RemoteOutcome) {
        if let Some(domain) = self.domains.get_mut(&attempt.domain) {
            domain.on_ended(now, attempt.id, outcome);
        }
    }

    /// Returns how many instances of other domains are queried in the next batch. `offers` are the
    /// offers of the home domain so far, with the remaining wait of a request that is queued there.
    /// Other domains are queried only if an offer that they are expected to make would be accepted
    /// and outweighs the bytes of the queries.
    pub fn remote_query_count(
        &self,
        now: Instant,
        request: &PlacedRequest,
        offers: &[LoadReport],
    ) -> usize {
        if request.refused_at_home {
            return REMOTE_QUERIES;
        }
        let home_miss = offers
            .iter()
            .filter(|report| report.readiness != Readiness::Closed)
            .map(|report| self.home_miss(now, request, report))
            .min_by(f64::total_cmp);
        let Some(home_miss) = home_miss else { return REMOTE_QUERIES };
        let query_cost = self.cost_of_kilobytes(request, QUERY_KB * REMOTE_QUERIES as f64);
        let pays = |domain: &DomainId, state: &DomainState| {
            let free_share = self.free_share(now, &request.service, domain) * state.reply_share();
            let found = 1.0 - (1.0 - free_share).powi(REMOTE_QUERIES as i32);
            let report = self.free_report(request);
            let remote_miss = self.miss(now, request, &Offered { domain, report });
            let gain = home_miss - remote_miss - self.leave_cost(now, domain, request);
            state.has_room(now) && gain * found > query_cost
        };
        let mut others =
            self.domains.iter().filter(|(domain, _)| **domain != request.home).peekable();
        // Nothing is known of other domains before the first query.
        if others.peek().is_none() || others.any(|(domain, state)| pays(domain, state)) {
            REMOTE_QUERIES
        } else {
            0
        }
    }

    /// Returns how many instances of other domains are queried in the first batch, before any offer
    /// is known: none, unless the home domain has had hardly any free slots for seconds and another
    /// domain has. A batch at home would then only be followed by one that asks the other domains.
    pub fn first_remote_query_count(&self, now: Instant, request: &PlacedRequest) -> usize {
        let is_short = |domain: &DomainId, state: &DomainState| {
            let remaining = self.remaining_cost_share(now, domain, request);
            state.has_room(now) && remaining < FIRST_BATCH_COST_SHARE
        };
        let mut others = self.domains.iter().filter(|(domain, _)| **domain != request.home);
        let is_small = request.kilobytes <= self.mean_kb.unwrap_or(0.0) * MAX_FIRST_BATCH_SIZE;
        if request.refused_at_home || (is_small && others.any(|(d, state)| is_short(d, state))) {
            FIRST_REMOTE_QUERIES
        } else {
            0
        }
    }

    /// Returns whether another batch of instances is queried, after `batch_count` batches:
    /// as [`should_query_more`](crate::placement::should_query_more), and only as long as the wait
    /// at the best offer could be reduced noticeably, so that a short queue ends the search.
    pub fn should_query_more(
        &self,
        now: Instant,
        request: &PlacedRequest,
        batch_count: usize,
        offers: &[Offered<'_>],
    ) -> bool {
        if !should_query_more(batch_count, offers.iter().map(|offered| offered.report)) {
            return false;
        }
        let reports: Vec<_> = offers
            .iter()
            .filter(|offered| *offered.domain == request.home)
            .map(|offered| offered.report)
            .collect();
        let misses = offers.iter().map(|offered| self.miss(now, request, offered));
        let best = misses.min_by(f64::total_cmp).unwrap_or(1.0);
        self.home_search_pays(now, request, best)
            || self.remote_query_count(now, request, &reports) > 0
    }

    /// Returns whether instances are queried again for a request that waits at a server with the load
    /// report `waiting`.
    pub fn should_requery(
        &self,
        now: Instant,
        request: &PlacedRequest,
        waiting: &LoadReport,
    ) -> bool {
        let miss = self.home_miss(now, request, waiting);
        self.home_search_pays(now, request, miss)
            || self.remote_query_count(now, request, &[*waiting]) > 0
    }

    /// Returns whether a free slot at home would reduce the probability of a miss from `best_miss` by
    /// enough, given how probably a batch of queries finds one.
    fn home_search_pays(&self, now: Instant, request: &PlacedRequest, best_miss: f64) -> bool {
        let report = self.free_report(request);
        let gain = best_miss - request.miss_probability(&report, Duration::ZERO, 0.0);
        let free_share = self.free_share(now, &request.service, &request.home);
        let found = 1.0 - (1.0 - free_share).powi(HOME_QUERIES);
        gain * found > MIN_SEARCH_GAIN
    }

    /// Sorts offers from best to worst as [`rank`] does within the home domain and within the other
    /// domains. The best offer of another domain goes before that of the home domain if it reduces
    /// the probability of a miss by more than the cost of leaving times `jitter`, which
    /// [`LocalityPolicy::jitter`] draws.
    ///
    /// `waiting` is the load report of a server of the home domain at which the request already
    /// waits; offers of other domains that are no reason to leave that queue are removed.
    pub fn order<T>(
        &self,
        now: Instant,
        jitter: f64,
        request: &PlacedRequest,
        offers: &mut Vec<T>,
        waiting: Option<LoadReport>,
        inspect: impl Fn(&T) -> Offered<'_>,
    ) {
        let cost = PlacementCost {
            cross_domain: Duration::ZERO,
            cross_domain_per_kb: Duration::ZERO,
            ..PlacementCost::default()
        };
        let (mut local, mut remote): (Vec<_>, Vec<_>) = std::mem::take(offers)
            .into_iter()
            .partition(|offer| *inspect(offer).domain == request.home);
        for group in [&mut local, &mut remote] {
            rank(group, &cost, 0.0, request.idempotent, |offer| {
                (true, self.adjusted(now, request, &inspect(offer)))
            });
        }
        let leaves = |remote: &T, home_offer: Offered<'_>| {
            let remote = inspect(remote);
            let has_room = self.domains.get(remote.domain).is_none_or(|state| state.has_room(now));
            let cost = self.leave_cost(now, remote.domain, request) * jitter;
            let gain = self.miss(now, request, &home_offer) - self.miss(now, request, &remote);
            has_room && gain > cost
        };
        if let Some(report) = waiting {
            remote.retain(|offer| leaves(offer, Offered { domain: &request.home, report }));
        }
        let mut remote = remote.into_iter().peekable();
        for offer in local {
            while let Some(better) = remote.next_if(|remote| leaves(remote, inspect(&offer))) {
                offers.push(better);
            }
            offers.push(offer);
        }
        offers.extend(remote);
    }

    /// Draws the random factor of the cost of leaving for one request.
    pub fn jitter(cx: &mut Cx) -> f64 {
        cx.rng.random_range(COST_JITTER.0..COST_JITTER.1)
    }

    /// Returns why a request that is sent to another domain left home, given the offers of the home
    /// domain.
    pub fn leave_reason(request: &PlacedRequest, home_offers: &[LoadReport]) -> LeaveReason {
        let open = || home_offers.iter().filter(|offer| offer.readiness != Readiness::Closed);
        match () {
            () if request.refused_at_home => LeaveReason::Refused,
            () if open().next().is_none() => LeaveReason::NoHomeOffer,
            () if open().any(LoadReport::has_free_slot) => LeaveReason::Failure,
            () => LeaveReason::Wait,
        }
    }

    /// Returns the load report that a server with a free slot is expected to send.
    fn free_report(&self, request: &PlacedRequest) -> LoadReport {
        LoadReport {
            readiness: Readiness::Open,
            slots: 1,
            used_slots: 0,
            queued: 0,
            expected_wait: Duration::ZERO,
            expected_running_time: request.running_time,
            failure_probability: self.mean_failure,
            shed_probability: 0.0,
        }
    }

    fn domain_mut(&mut self, now: Instant, domain: &DomainId) -> &mut DomainState {
        self.domains.entry(domain.clone()).or_insert_with(|| DomainState::new(now))
    }
}
