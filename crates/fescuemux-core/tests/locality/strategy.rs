//! The locality policy and its alternatives, as an ingress of a replay uses them.

use crate::fleet::{Kind, SERVICE, domain_id};
use fescuemux_core::base::Cx;
use fescuemux_core::locality::{LocalityPolicy, Offered, PlacedRequest};
use fescuemux_core::placement::{
    LoadReport, Peer, PeerDirectory, PlacementCost, rank, should_query_more,
};
use rand::Rng;
use std::time::{Duration, Instant};

/// How an ingress decides when to leave its domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Strategy {
    /// Fixed costs of [`PlacementCost`] and two thirds of the queries at home, as before.
    FixedCost,
    /// As [`Strategy::FixedCost`], with costs that fall to zero with the free slots seen at home.
    CostByLoad,
    /// Each ingress sends a share of its requests away, and moves the share by a step each second
    /// toward equal shares of free servers.
    TargetShare,
    /// Leaves if and only if no slot is free among the queried servers at home.
    SpillOver,
    /// [`LocalityPolicy`].
    Policy,
}

pub(crate) const STRATEGIES: [Strategy; 5] = [
    Strategy::FixedCost,
    Strategy::CostByLoad,
    Strategy::TargetShare,
    Strategy::SpillOver,
    Strategy::Policy,
];

/// Step of [`Strategy::TargetShare`].
const SHARE_STEP: f64 = 0.05;

/// Offer of an instance in a replay.
#[derive(Clone, Debug)]
pub(crate) struct Offer {
    pub(crate) peer: Peer,
    pub(crate) report: LoadReport,
}

impl Offer {
    fn offered(&self) -> Offered<'_> {
        Offered { domain: &self.peer.domain, report: self.report }
    }
}

/// State of one ingress.
pub(crate) struct Ingress {
    pub(crate) domain: usize,
    pub(crate) strategy: Strategy,
    pub(crate) policy: LocalityPolicy,
    /// Smoothed shares of free servers at home and elsewhere.
    home_free: f64,
    remote_free: f64,
    target: f64,
    target_at: Instant,
}

impl Ingress {
    pub(crate) fn new(now: Instant, domain: usize, strategy: Strategy) -> Ingress {
        Ingress {
            domain,
            strategy,
            policy: LocalityPolicy::default(),
            home_free: 0.5,
            remote_free: 0.5,
            target: 0.0,
            target_at: now,
        }
    }

    pub(crate) fn placed(&self, kind: Kind, elapsed: Duration) -> PlacedRequest {
        PlacedRequest {
            home: domain_id(self.domain),
            service: SERVICE.into(),
            idempotent: true,
            nested: false,
            kilobytes: kind.kilobytes,
            running_time: kind.running,
            time_to_objective: kind.objective.saturating_sub(elapsed),
            time_left: kind.timeout.saturating_sub(elapsed),
            refused_at_home: false,
        }
    }

    /// Records a reply or its loss.
    pub(crate) fn on_reply(
        &mut self,
        now: Instant,
        peer: &Peer,
        reply: Option<(LoadReport, Duration)>,
    ) {
        let Some((report, rtt)) = reply else {
            self.policy.on_no_reply(now, &peer.domain);
            return;
        };
        let offered = Offered { domain: &peer.domain, report };
        self.policy.on_reply(now, &SERVICE.into(), offered, rtt);
        let is_home = peer.domain == domain_id(self.domain);
        let share = if is_home { &mut self.home_free } else { &mut self.remote_free };
        *share += 0.05 * (f64::from(u8::from(report.has_free_slot())) - *share);
    }

    /// Returns the next instances to query, or none if the search ends. `waiting` is the report of
    /// the server at which the request already waits.
    pub(crate) fn sample(
        &mut self,
        cx: &mut Cx,
        directory: &PeerDirectory,
        request: &PlacedRequest,
        batch: usize,
        offers: &[Offer],
        waiting: Option<LoadReport>,
    ) -> Vec<Peer> {
        let excluded: Vec<_> = offers.iter().map(|offer| offer.peer.id.clone()).collect();
        let home = domain_id(self.domain);
        let reports: Vec<_> = offers.iter().map(|offer| offer.report).chain(waiting).collect();
        if let (Strategy::Policy, Some(waiting)) = (self.strategy, &waiting)
            && !self.policy.should_requery(cx.now, request, waiting)
        {
            return Vec::new();
        }
        let remote_limit = match self.strategy {
            Strategy::FixedCost | Strategy::CostByLoad => {
                return directory.sample(cx, SERVICE, &home, 5, &excluded);
            }
            Strategy::TargetShare if cx.rng.random_bool(self.target) => 5,
            Strategy::TargetShare => {
                if cx.now >= self.target_at + Duration::from_secs(1) {
                    self.target_at = cx.now;
                    let step = if self.remote_free > self.home_free { 1.0 } else { -1.0 };
                    self.target = (self.target + step * SHARE_STEP).clamp(0.0, 0.9);
                }
                1
            }
            Strategy::SpillOver => {
                if batch == 0 && waiting.is_none() {
                    0
                } else {
                    5
                }
            }
            Strategy::Policy if batch == 0 && waiting.is_none() => {
                self.policy.first_remote_query_count(cx.now, request)
            }
            Strategy::Policy => self.policy.remote_query_count(cx.now, request, &reports),
        };
        directory.sample_domains(cx, SERVICE, &home, 5, remote_limit, &excluded)
    }

    /// Returns whether another batch is queried.
    pub(crate) fn should_query_more(
        &self,
        now: Instant,
        request: &PlacedRequest,
        batch_count: usize,
        offers: &[Offer],
    ) -> bool {
        if self.strategy != Strategy::Policy {
            return should_query_more(batch_count, offers.iter().map(|offer| offer.report));
        }
        let offered: Vec<_> = offers.iter().map(Offer::offered).collect();
        self.policy.should_query_more(now, request, batch_count, &offered)
    }

    /// Sorts the offers, best first.
    pub(crate) fn order(
        &mut self,
        cx: &mut Cx,
        request: &PlacedRequest,
        offers: &mut Vec<Offer>,
        waiting: Option<LoadReport>,
    ) {
        let home = &request.home;
        let default = PlacementCost::default();
        let factor = match self.strategy {
            Strategy::FixedCost => 1.0,
            Strategy::CostByLoad => (2.0 * self.home_free).min(2.0),
            Strategy::TargetShare | Strategy::SpillOver => 0.0,
            Strategy::Policy => {
                let jitter = LocalityPolicy::jitter(cx);
                self.policy.order(cx.now, jitter, request, offers, waiting, Offer::offered);
                return;
            }
        };
        let cost = PlacementCost {
            cross_domain: default.cross_domain.mul_f64(factor),
            cross_domain_per_kb: default.cross_domain_per_kb.mul_f64(factor),
            ..default
        };
        rank(offers, &cost, request.kilobytes, request.idempotent, |offer| {
            (offer.peer.domain == *home, offer.report)
        });
        if self.strategy == Strategy::SpillOver {
            offers.sort_by_key(|offer| (!offer.report.has_free_slot(), offer.peer.domain != *home));
        }
    }
}
