//! Probability of a miss at an offer, and the cost of leaving the failure domain.

use crate::base::{DomainId, ServiceId};
use crate::locality::domain_state::DomainState;
use crate::locality::{LocalityPolicy, Offered, PlacedRequest};
use crate::placement::LoadReport;
use std::time::{Duration, Instant};

/// Share of the probability of a miss without any wait that a request of mean size accepts in
/// addition before it leaves. In the replays, the whole of it gave up to 0.4 points more misses than
/// fixed costs.
const TOLERATED_SHARE: f64 = 0.5;

/// Bounds of the additional probability of a miss that a request of mean size accepts. Differences
/// below the lower bound are below the precision of the estimates; above the upper bound the
/// estimated objective is too short for the route to say what a wait costs.
const TOLERANCE: (f64, f64) = (0.01, 0.05);

/// Size of a request relative to the mean size below which the cost no longer falls; headers and
/// the reservation cross the domains too.
const MIN_RELATIVE_SIZE: f64 = 0.5;

/// Size of a request relative to the mean size from which the cost no longer grows.
const MAX_RELATIVE_SIZE: f64 = 50.0;

/// Maximum cost of leaving, as a probability: a request that probably misses its objective at home
/// and not elsewhere leaves at any size.
const MAX_LEAVE_COST: f64 = 0.5;

/// Share of the cost that remains when the home domain has had no free slots for seconds and another
/// has. Waiting then saves no bytes, as the same number of requests has to leave, but delays all
/// requests of the home domain.
const SHORTAGE_COST_SHARE: f64 = 0.05;

/// Share of servers with a free slot below which the home domain is short of servers.
const SHORTAGE_SHARE: f64 = 0.35;

/// Difference of the shares of servers with a free slot from which another domain clearly has more
/// room.
const CLEAR_ADVANTAGE: f64 = 0.3;

/// Smoothing of the quotient of two shares.
const MIN_SHARE: f64 = 0.05;

/// Share of failed requests that is assumed at most of a domain without outcomes. If most requests
/// fail at home, an unknown domain is probably better.
const MAX_ASSUMED_FAILURES: f64 = 0.05;

/// Difference of the shares of failed requests of two domains that the reports of their guards may
/// explain.
const FAILURE_MARGIN: f64 = 0.1;

/// Round trips between the load report of a server and the first byte of its answer: one for the
/// reservation and one for the request.
const ROUND_TRIPS: u32 = 2;

impl LocalityPolicy {
    /// Returns the probability of a miss at a server.
    pub fn miss(&self, now: Instant, request: &PlacedRequest, offered: &Offered<'_>) -> f64 {
        let excess = self.failure_excess(now, &request.home, offered.domain);
        let path_delay = self.path_delay(&request.home, offered.domain);
        request.miss_probability(&offered.report, path_delay, excess)
    }

    pub(super) fn home_miss(
        &self,
        now: Instant,
        request: &PlacedRequest,
        report: &LoadReport,
    ) -> f64 {
        self.miss(now, request, &Offered { domain: &request.home, report: *report })
    }

    /// Returns the reduction of the probability of a miss that justifies sending a request to
    /// `domain`.
    pub fn leave_cost(&self, now: Instant, domain: &DomainId, request: &PlacedRequest) -> f64 {
        let home_share = self.free_share(now, &request.service, &request.home);
        let share = self.free_share(now, &request.service, domain);
        // Domains with equal shares of free servers would only exchange their requests.
        let exchange = 1.0 + ((home_share + MIN_SHARE) / (share + MIN_SHARE)).min(2.0);
        let remaining = self.remaining_cost_share(now, domain, request);
        let least_kb = self.mean_kb.unwrap_or(0.0) * MIN_RELATIVE_SIZE;
        let bytes_cost = self.cost_of_kilobytes(request, request.kilobytes.max(least_kb));
        (bytes_cost * exchange * remaining).min(MAX_LEAVE_COST)
    }

    /// Returns the share of the cost of leaving that remains in a shortage at home.
    pub(super) fn remaining_cost_share(
        &self,
        now: Instant,
        domain: &DomainId,
        request: &PlacedRequest,
    ) -> f64 {
        let home_share = self.free_share(now, &request.service, &request.home);
        let share = self.free_share(now, &request.service, domain);
        let advantage = ((share - home_share) / CLEAR_ADVANTAGE).clamp(0.0, 1.0);
        let shortage = 1.0 - (home_share / SHORTAGE_SHARE).min(1.0);
        1.0 - (1.0 - SHORTAGE_COST_SHARE) * advantage * shortage
    }

    /// Returns the mean round-trip time to `domain`, or `None` before the first reply from there.
    pub fn rtt(&self, domain: &DomainId) -> Option<Duration> {
        self.domains.get(domain).and_then(DomainState::rtt)
    }

    /// Returns the share of servers of `service` in `domain` that offer a free slot.
    pub fn free_share(&self, now: Instant, service: &ServiceId, domain: &DomainId) -> f64 {
        let shares = self.free_shares.get(service).and_then(|shares| shares.get(domain));
        shares.copied().unwrap_or_default().get(now)
    }

    pub(super) fn cost_of_kilobytes(&self, request: &PlacedRequest, kilobytes: f64) -> f64 {
        let tolerance = (request.late_probability(Duration::ZERO) * TOLERATED_SHARE)
            .clamp(TOLERANCE.0, TOLERANCE.1);
        let mean_kb = self.mean_kb.unwrap_or(kilobytes).max(f64::MIN_POSITIVE);
        tolerance * (kilobytes / mean_kb).min(MAX_RELATIVE_SIZE)
    }

    /// Returns the load report of a server with the path and the failures of its domain added.
    pub(super) fn adjusted(
        &self,
        now: Instant,
        request: &PlacedRequest,
        offered: &Offered<'_>,
    ) -> LoadReport {
        let home = &request.home;
        let excess = self.failure_excess(now, home, offered.domain);
        let report = offered.report;
        LoadReport {
            expected_wait: report.expected_wait + self.path_delay(home, offered.domain),
            failure_probability: 1.0 - (1.0 - report.failure_probability) * (1.0 - excess),
            ..report
        }
    }

    pub(super) fn path_delay(&self, home: &DomainId, domain: &DomainId) -> Duration {
        match self.rtt(domain) {
            Some(rtt) if domain != home => rtt * ROUND_TRIPS,
            _ => Duration::ZERO,
        }
    }

    /// Returns by how much more requests fail in `domain` than at home, or at home than in the best
    /// other domain. Guards report the faults of single servers, so only clear differences count.
    pub(super) fn failure_excess(&self, now: Instant, home: &DomainId, domain: &DomainId) -> f64 {
        let home_share = self.domains.get(home).map_or(0.0, |state| state.failure_share(now, 0.0));
        let assumed = home_share.min(MAX_ASSUMED_FAILURES);
        let share = |state: &DomainState| state.failure_share(now, assumed);
        let (share, reference) = match domain == home {
            true => {
                let others = self.domains.iter().filter(|(other, _)| *other != home);
                let best = others.map(|(_, state)| share(state)).min_by(f64::total_cmp);
                (home_share, best.unwrap_or(assumed))
            }
            false => (self.domains.get(domain).map_or(assumed, share), home_share),
        };
        (share - reference - FAILURE_MARGIN).max(0.0)
    }
}
