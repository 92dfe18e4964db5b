//! Dump of the daemon's state.

use super::OperatorContext;
use super::status::state_name;
use crate::guard::ServerSnapshot;
use crate::stop::StopPhase;
use fescuemux_core::base::Phase;
use serde::Serialize;

/// Dump of the daemon's state.
#[derive(Debug, Serialize)]
pub(super) struct Dump {
    instance: String,
    stop_phase: String,
    generation: u64,
    requests_in_flight: i64,
    servers: Vec<ServerDump>,
    services: Vec<ServiceDump>,
    homes: HomesDump,
    members: Vec<MemberDump>,
    membership: MembershipDump,
}

#[derive(Debug, Serialize)]
struct ServerDump {
    server: String,
    service: String,
    address: String,
    incarnation: u64,
    phase: &'static str,
    health: &'static str,
    health_age_ms: u64,
    relapses: u32,
    may_hold_permit: bool,
    score: f64,
    level: String,
    reasons: Vec<String>,
    slots: u32,
    busy: u32,
    queued: u32,
    peak_busy: u32,
}

#[derive(Debug, Serialize)]
struct ServiceDump {
    service: String,
    retry_budget: f64,
    baseline_median_us: Option<u64>,
}

#[derive(Debug, Serialize)]
struct HomesDump {
    roster_epoch: u64,
    settled: bool,
    keys: usize,
    roster: Vec<String>,
}

#[derive(Debug, Serialize)]
struct MemberDump {
    instance: String,
    incarnation: u64,
    version: u64,
    state: &'static str,
    hop: String,
    rpc: String,
    generation: u64,
    servers: Vec<String>,
}

#[derive(Debug, Serialize)]
struct MembershipDump {
    failed_probes: u64,
    deaths: u64,
    refutations: u64,
    pauses: u64,
    syncs: u64,
    head_conflicts: u64,
}

pub(super) fn dump(context: &OperatorContext) -> Dump {
    let (roster_epoch, settled, keys) = context.homes.summary();
    let roster = context.homes.roster().map(|roster| roster.instances).unwrap_or_default();
    let counters = context.members.with(|_, m| m.counters());
    Dump {
        instance: context.instance.to_string(),
        stop_phase: phase_name(context.stop.phase()).to_owned(),
        generation: context.config_state.generation(),
        requests_in_flight: context.metrics.in_flight.get(),
        servers: context.guard.snapshots().iter().map(server).collect(),
        services: services(context),
        homes: HomesDump {
            roster_epoch,
            settled,
            keys,
            roster: roster.iter().map(ToString::to_string).collect(),
        },
        members: members(context),
        membership: MembershipDump {
            failed_probes: counters.failed_probes,
            deaths: counters.deaths,
            refutations: counters.refutations,
            pauses: counters.pauses,
            syncs: counters.syncs,
            head_conflicts: counters.head_conflicts,
        },
    }
}

fn server(snapshot: &ServerSnapshot) -> ServerDump {
    ServerDump {
        server: snapshot.server.to_string(),
        service: snapshot.service.to_string(),
        address: snapshot.address.to_string(),
        incarnation: snapshot.incarnation,
        phase: match snapshot.phase {
            Phase::Cold => "cold",
            Phase::Ready => "ready",
            Phase::Draining => "draining",
        },
        health: snapshot.health_state.as_str(),
        health_age_ms: snapshot.health_state_age.as_millis() as u64,
        relapses: snapshot.relapses,
        may_hold_permit: snapshot.may_hold_permit,
        score: snapshot.assessment.score,
        level: format!("{:?}", snapshot.assessment.level).to_lowercase(),
        reasons: snapshot.assessment.reasons.iter().map(ToString::to_string).collect(),
        slots: snapshot.slots,
        busy: snapshot.busy,
        queued: snapshot.queued,
        peak_busy: snapshot.peak_busy,
    }
}

fn services(context: &OperatorContext) -> Vec<ServiceDump> {
    let mut services: Vec<ServiceDump> = context
        .ingress
        .service_summaries()
        .into_iter()
        .map(|(service, retry_budget, median)| ServiceDump {
            service: service.to_string(),
            retry_budget,
            baseline_median_us: median.map(|median| median.as_micros() as u64),
        })
        .collect();
    services.sort_by(|a, b| a.service.cmp(&b.service));
    services
}

fn members(context: &OperatorContext) -> Vec<MemberDump> {
    let mut records = context.members.records();
    records.sort_by(|a, b| a.instance.cmp(&b.instance));
    records
        .into_iter()
        .map(|record| MemberDump {
            instance: record.instance.to_string(),
            incarnation: record.incarnation,
            version: record.version,
            state: state_name(record.state),
            hop: record.addresses.hop.to_string(),
            rpc: record.addresses.rpc.to_string(),
            generation: record.generation,
            servers: record.servers.iter().map(|server| server.server.to_string()).collect(),
        })
        .collect()
}

fn phase_name(phase: StopPhase) -> &'static str {
    match phase {
        StopPhase::Running => "running",
        StopPhase::Leaving => "leaving",
        StopPhase::Closing => "closing",
        StopPhase::Aborting => "cut",
    }
}
