//! Status of the fleet: which daemons have activated the newest configuration.

use super::OperatorContext;
use fescuemux_core::member::MemberState;
use serde::Serialize;

/// Status of the fleet as this daemon sees it.
#[derive(Debug, Serialize)]
pub(super) struct Status {
    /// Instance that responds.
    instance: String,
    /// Active generation of this daemon.
    generation: u64,
    /// Newest generation known in the store or at any member.
    newest: u64,
    /// Whether this daemon's active generation is older than `newest`.
    behind: bool,
    /// Generation in the store, or `None` if the store does not respond.
    store_generation: Option<u64>,
    members: Vec<MemberStatus>,
}

#[derive(Debug, Serialize)]
struct MemberStatus {
    instance: String,
    domain: String,
    region: String,
    state: &'static str,
    generation: u64,
    /// Whether the member has the newest known generation.
    current: bool,
    servers: usize,
}

pub(super) fn status(context: &OperatorContext) -> Status {
    let mut records = context.members.with(|_, m| m.members().cloned().collect::<Vec<_>>());
    records.sort_by(|a, b| a.instance.cmp(&b.instance));
    let generation = context.config_state.generation();
    let history = context.store.history().ok();
    let store_generation = history.map(|h| h.first().map_or(0, |record| record.generation));
    let members_newest = records.iter().map(|record| record.generation).max().unwrap_or(0);
    let newest = members_newest.max(generation).max(store_generation.unwrap_or(0));
    let members = records
        .into_iter()
        .map(|record| MemberStatus {
            current: record.generation >= newest,
            instance: record.instance.to_string(),
            domain: record.domain.to_string(),
            region: record.region.to_string(),
            state: state_name(record.state),
            generation: record.generation,
            servers: record.servers.len(),
        })
        .collect();
    let behind = generation < newest;
    let instance = context.instance.to_string();
    Status { instance, generation, newest, behind, store_generation, members }
}

pub(super) fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Dead => "dead",
    }
}
