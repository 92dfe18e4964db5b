//! Fleet-wide demand of callers, aggregated at one daemon for each caller.
//!
//! Each caller is assigned to the live daemon with the highest rendezvous rank for the caller's
//! name, so no separate service coordinates limits. Every daemon reports the demand that it sees to
//! the assigned daemon and receives the sum.

use crate::base::{CallerId, Cx, HashMap, InstanceId};
use std::time::{Duration, Instant};

/// Demand of one caller at one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerDemand {
    /// Caller that sends the requests.
    pub caller: CallerId,
    /// Requests per second that the caller sends to the daemon, admitted or not.
    pub rate: f64,
}

/// Latest demand reports about one caller.
#[derive(Debug)]
struct Reports {
    /// Requests per second and time of the latest report of each daemon.
    by_daemon: HashMap<InstanceId, (f64, Instant)>,
}

/// Latest demand reports about the callers that are assigned to this daemon.
#[derive(Debug)]
pub struct CallerDemandAggregator {
    max_callers: usize,
    callers: HashMap<CallerId, Reports>,
}

/// Age at which a report expires. Reports come about once a second, so a few may be lost in a row.
const REPORT_TTL: Duration = Duration::from_secs(5);

impl CallerDemandAggregator {
    /// Returns an aggregator for at most `max_callers` callers.
    pub fn new(max_callers: usize) -> CallerDemandAggregator {
        CallerDemandAggregator { max_callers, callers: HashMap::default() }
    }

    /// Records a report of the daemon `from` and returns the caller's demand over all daemons, or
    /// `None` if the table is full.
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

    /// Removes expired reports.
    pub fn expire(&mut self, cx: &mut Cx) {
        self.callers.retain(|_, reports| {
            reports.expire(cx.now);
            !reports.by_daemon.is_empty()
        });
    }

    /// Returns the number of callers with at least one report.
    pub fn len(&self) -> usize {
        self.callers.len()
    }

    /// Returns whether there are no reports.
    pub fn is_empty(&self) -> bool {
        self.callers.is_empty()
    }
}

impl Reports {
    fn expire(&mut self, now: Instant) {
        self.by_daemon
            .retain(|_, (_, reported_at)| now.saturating_duration_since(*reported_at) < REPORT_TTL);
    }
}
