//! Ranking of the load reports of several instances.

use crate::placement::{LoadReport, Readiness};
use std::time::Duration;

/// Costs of a placement besides the wait and the running time, all expressed as time.
#[derive(Clone, Debug)]
pub struct PlacementCost {
    /// Cost of a server in another failure domain.
    pub cross_domain: Duration,
    /// Cost of each kilobyte that crosses failure domains. The users pay for these bytes, and a wait
    /// that leaves time to meet the objective costs a caller little.
    pub cross_domain_per_kb: Duration,
    /// Share of the running time that full utilization adds; servers slow down as they fill.
    pub utilization: f64,
    /// Cost of a failure of a request that must not run twice. The request is lost, so any wait
    /// within a usual objective is better.
    pub lost_request: Duration,
    /// Cost of a failure of an idempotent request: the time until the request is hedged, a second
    /// wait, and sometimes the lost work of its parent.
    pub retry: Duration,
    /// Cost of a request that the server refuses without running it: another placement, and a part
    /// of the retry budget that the fleet shares.
    pub shed: Duration,
}

impl Default for PlacementCost {
    fn default() -> PlacementCost {
        PlacementCost {
            cross_domain: Duration::from_millis(15),
            cross_domain_per_kb: Duration::from_millis(30),
            utilization: 0.5,
            lost_request: Duration::from_secs(4),
            retry: Duration::from_secs(2),
            shed: Duration::from_secs(1),
        }
    }
}

/// Sorts offers from best to worst and removes the offers of instances that accept no requests.
///
/// `inspect` returns whether an offer is from the local failure domain, and its load report;
/// `kilobytes` is the expected size of the request and its answer. An idempotent request goes to an
/// idle server first, because only requests can show that the server's fault is over.
pub fn rank<T>(
    offers: &mut Vec<T>,
    cost: &PlacementCost,
    kilobytes: f64,
    idempotent: bool,
    inspect: impl Fn(&T) -> (bool, LoadReport),
) {
    offers.retain(|offer| inspect(offer).1.readiness != Readiness::Closed);
    let key = |offer: &T| {
        let (same_domain, report) = inspect(offer);
        let is_trial = idempotent && report.readiness == Readiness::Idle;
        (!is_trial, expected_cost(cost, kilobytes, idempotent, same_domain, &report))
    };
    offers.sort_by(|a, b| {
        let (a, b) = (key(a), key(b));
        // A report from a faulty instance may contain a value that is not a number; it goes last.
        a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
    });
}

/// Maximum number of batches of instances that are queried before a request is placed.
const MAX_QUERY_BATCHES: usize = 3;

/// Returns whether another batch of instances is queried before the request is placed, after
/// `batch_count` batches: only if no offer has a free slot at a probably healthy server. Under high
/// load few servers have one, and a faulty server has free slots because others avoid it. So the
/// best of one small random batch is often a full queue or a faulty server.
pub fn should_query_more(batch_count: usize, offers: impl IntoIterator<Item = LoadReport>) -> bool {
    batch_count < MAX_QUERY_BATCHES
        && !offers
            .into_iter()
            .any(|offer| offer.readiness != Readiness::Closed && offer.is_better_than_queueing())
}

/// Returns the expected time until the answer plus all other costs, in seconds.
fn expected_cost(
    cost: &PlacementCost,
    kilobytes: f64,
    idempotent: bool,
    same_domain: bool,
    report: &LoadReport,
) -> f64 {
    let running = report.expected_running_time.as_secs_f64();
    let utilization = f64::from(report.used_slots + 1) / f64::from(report.slots.max(1));
    let cross_domain_cost = match same_domain {
        true => 0.0,
        false => {
            cost.cross_domain.as_secs_f64() + kilobytes * cost.cross_domain_per_kb.as_secs_f64()
        }
    };
    let failure_cost = if idempotent { cost.retry } else { cost.lost_request };
    let expected_failure_cost = report.failure_probability * failure_cost.as_secs_f64();
    let expected_shed_cost = report.shed_probability * cost.shed.as_secs_f64();
    report.expected_wait.as_secs_f64()
        + running * (1.0 + cost.utilization * utilization)
        + cross_domain_cost
        + expected_failure_cost
        + expected_shed_cost
}
