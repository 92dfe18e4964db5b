//! Distribution of caller limits over the daemons by demand.
//!
//! The home of a caller is the instance that sums the demand of that caller over all daemons. Must
//! not depend on how requests are admitted.

use crate::decisions::SharedState;
use crate::ingress::{Ingress, PeerDirectory};
use crate::peers::{MembershipDriver, PeerClients};
use fescuemux_core::admit::{CallerDemand, CallerDemandAggregator};
use fescuemux_core::base::{CallerId, Clock, HashMap, InstanceId, stable_hash};
use std::sync::Arc;
use std::time::Duration;

/// Interval between demand reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for the delivery of one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of callers that one home keeps reports about, and that one report may contain:
/// all callers of the target deployment.
const MAX_REPORTED_CALLERS: usize = 16_384;

/// Reports demand to the homes of callers, and keeps the reports about callers whose home is this
/// instance.
#[derive(Debug)]
pub(crate) struct DemandReporter {
    local_instance: InstanceId,
    aggregator: SharedState<CallerDemandAggregator>,
    clients: Arc<PeerClients>,
}

impl DemandReporter {
    pub(crate) fn new(
        local_instance: InstanceId,
        clock: Arc<dyn Clock>,
        clients: Arc<PeerClients>,
    ) -> Arc<DemandReporter> {
        let aggregator =
            SharedState::new(clock, 0, CallerDemandAggregator::new(MAX_REPORTED_CALLERS));
        Arc::new(DemandReporter { local_instance, aggregator, clients })
    }

    /// Records a report of the instance `from`. Returns the callers in the report, each with its
    /// demand summed over all daemons; omits callers that this home cannot keep reports about.
    pub(crate) fn on_report(
        &self,
        from: &InstanceId,
        demands: Vec<(String, f64)>,
    ) -> Vec<(String, f64)> {
        self.aggregator.with(|cx, aggregator| {
            demands
                .into_iter()
                .take(MAX_REPORTED_CALLERS)
                .filter(|(_, rate)| rate.is_finite() && *rate >= 0.0)
                .filter_map(|(caller, rate)| {
                    let demand = CallerDemand { caller: CallerId::from(caller.as_str()), rate };
                    aggregator.on_report(cx, from, &demand).map(|fleet_rate| (caller, fleet_rate))
                })
                .collect()
        })
    }

    /// Reports periodically until the runtime shuts down.
    pub(crate) async fn run(
        self: Arc<DemandReporter>,
        ingress: Arc<Ingress>,
        members: Arc<MembershipDriver>,
        directory: Arc<PeerDirectory>,
    ) {
        loop {
            tokio::time::sleep(REPORT_INTERVAL).await;
            self.aggregator.with(|cx, aggregator| aggregator.expire(cx));
            let live = members.live_instances();
            for (home, demands) in group_by_home(&live, ingress.caller_demands(live.len())) {
                let this = Arc::clone(&self);
                let (ingress, directory) = (Arc::clone(&ingress), Arc::clone(&directory));
                tokio::spawn(async move {
                    for (caller, fleet_rate) in this.report(&directory, &home, demands).await {
                        ingress.set_fleet_demand(&caller.as_str().into(), fleet_rate);
                    }
                });
            }
        }
    }

    /// Sends a report to `home` and returns its response, see [`DemandReporter::on_report`], or
    /// nothing if the report failed.
    async fn report(
        &self,
        directory: &PeerDirectory,
        home: &InstanceId,
        demands: Vec<(String, f64)>,
    ) -> Vec<(String, f64)> {
        if *home == self.local_instance {
            return self.on_report(&self.local_instance, demands);
        }
        let Some(peer) = directory.get(home) else { return Vec::new() };
        let Ok(client) = self.clients.get(peer.rpc).await else { return Vec::new() };
        let rpc_context = PeerClients::context(REPORT_TIMEOUT);
        client
            .demand(rpc_context, self.local_instance.to_string(), demands)
            .await
            .unwrap_or_default()
    }
}

/// Groups demands by the homes of their callers, chosen by rendezvous hashing.
fn group_by_home(
    live: &[InstanceId],
    demands: Vec<CallerDemand>,
) -> HashMap<InstanceId, Vec<(String, f64)>> {
    let mut by_home: HashMap<InstanceId, Vec<(String, f64)>> = HashMap::default();
    for CallerDemand { caller, rate } in demands {
        let rank = |id: &&InstanceId| stable_hash(&[caller.as_bytes(), id.as_bytes()]);
        if let Some(home) = live.iter().max_by_key(rank) {
            by_home.entry(home.clone()).or_default().push((caller.to_string(), rate));
        }
    }
    by_home
}
