//! Demand of callers over the whole fleet, summed at the home of each caller.
//!
//! A caller's home is the live daemon of highest rendezvous rank for its name, so no further
//! service coordinates limits. Each daemon reports its own demand there and gets the sum back.

use crate::base::{CallerId, Cx, HashMap, InstanceId};
use std::time::{Duration, Instant};

/// Demand of one caller at one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerDemand {
    /// Caller.
    pub caller: CallerId,
    /// Requests per second that it sends to the daemon, admitted or not.
    pub rate: f64,
}

#[derive(Debug)]
struct Reports {
    by_daemon: HashMap<InstanceId, (f64, Instant)>,
}

/// Reports about the callers whose home this daemon is.
#[derive(Debug)]
pub struct CallerDemandAggregator {
    max_callers: usize,
    callers: HashMap<CallerId, Reports>,
}

/// Age from which a report no longer counts; several reports may be lost in between.
const REPORT_AGE: Duration = Duration::from_secs(5);

impl CallerDemandAggregator {
    /// Returns a home that keeps reports about at most `max_callers` callers.
    pub fn new(max_callers: usize) -> CallerDemandAggregator {
        CallerDemandAggregator { max_callers, callers: HashMap::default() }
    }

    /// Records a report of the daemon `from` and returns the demand over all daemons. Returns
    /// `None` when there is no room for another caller.
    pub fn on_report(
        &mut self,
        cx: &mut Cx,
        from: &InstanceId,
        demand: &CallerDemand,
    ) -> Option<f64> {
        if self.callers.len() >= self.max_callers && !self.callers.contains_key(&demand.caller) {
            self.expire(cx);
        }
        if self.callers.len() >= self.max_callers && !self.callers.contains_key(&demand.caller) {
            return None;
        }
        let reports = self
            .callers
            .entry(demand.caller.clone())
            .or_insert_with(|| Reports { by_daemon: HashMap::default() });
        reports.by_daemon.insert(from.clone(), (demand.rate, cx.now));
        reports.expire(cx.now);
        Some(reports.by_daemon.values().map(|(rate, _)| rate).sum())
    }

    /// Forgets reports that are too old to count.
    pub fn expire(&mut self, cx: &mut Cx) {
        self.callers.retain(|_, reports| {
            reports.expire(cx.now);
            !reports.by_daemon.is_empty()
        });
    }

    /// Returns the number of callers with reports.
    pub fn len(&self) -> usize {
        self.callers.len()
    }

    /// Returns true when there are no reports.
    pub fn is_empty(&self) -> bool {
        self.callers.is_empty()
    }
}

impl Reports {
    fn expire(&mut self, now: Instant) {
        self.by_daemon.retain(|_, (_, time)| now.saturating_duration_since(*time) < REPORT_AGE);
    }
}
