//! Order of the guards that offered to take a request.

use crate::placement::{LoadReport, Readiness};
use std::cmp::Ordering;
use std::time::Duration;

/// What placement weighs besides waiting and running time.
#[derive(Clone, Debug)]
pub struct PlacementCost {
    /// Cost of another failure domain, as time.
    pub cross_domain: Duration,
    /// Cost of each kilobyte that crosses failure domains, as time. At the users' price a
    /// kilobyte costs half a percent of a request; 12 ms is the same share of the time between a
    /// usual answer and the deadline of the shortest route.
    pub cross_domain_per_kb: Duration,
    /// Share of the running time that a fully used server adds; servers slow down as they fill.
    pub utilization: f64,
    /// Cost of a failure of a request that must not run twice. It is lost, so any wait within
    /// a usual objective is better.
    pub lost_request: Duration,
    /// Cost of a failure of a request that runs again elsewhere: the time until it is doubled,
    /// another wait, and at times the work of the request that waits for it.
    pub retry: Duration,
}

impl Default for PlacementCost {
    fn default() -> PlacementCost {
        PlacementCost {
            cross_domain: Duration::from_millis(15),
            cross_domain_per_kb: Duration::from_millis(12),
            utilization: 0.5,
            lost_request: Duration::from_secs(4),
            retry: Duration::from_secs(2),
        }
    }
}

/// Sorts offers, best first, and leaves out those that take nothing. `read` tells whether an
/// offer is from the own failure domain, and its quote; `kilobytes` are expected to travel with
/// the request and its answer. A server that has been idle goes first for a request that may be
/// repeated: that is how a server shows that its fault is over.
pub fn rank<T>(
    offers: &mut Vec<T>,
    cost: &PlacementCost,
    kilobytes: f64,
    idempotent: bool,
    read: impl Fn(&T) -> (bool, LoadReport),
) {
    offers.retain(|offer| read(offer).1.readiness != Readiness::Closed);
    let key = |offer: &T| {
        let (same_domain, quote) = read(offer);
        let trial = idempotent && quote.readiness == Readiness::Idle;
        (!trial, time(cost, kilobytes, idempotent, same_domain, &quote))
    };
    offers.sort_by(|a, b| {
        let (a, b) = (key(a), key(b));
        a.0.cmp(&b.0).then(a.1.partial_cmp(&b.1).unwrap_or(Ordering::Equal))
    });
}

/// Expected time until the answer, with the other costs as time.
fn time(
    cost: &PlacementCost,
    kilobytes: f64,
    idempotent: bool,
    same_domain: bool,
    quote: &LoadReport,
) -> f64 {
    let running = quote.expected_running_time.as_secs_f64();
    let used = f64::from(quote.busy + 1) / f64::from(quote.slots.max(1));
    let distance = match same_domain {
        true => 0.0,
        false => {
            cost.cross_domain.as_secs_f64() + kilobytes * cost.cross_domain_per_kb.as_secs_f64()
        }
    };
    let failure = if idempotent { cost.retry } else { cost.lost_request };
    let doubt = quote.failure_probability * failure.as_secs_f64();
    quote.expected_wait.as_secs_f64() + running * (1.0 + cost.utilization * used) + distance + doubt
}
