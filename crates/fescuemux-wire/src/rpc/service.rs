//! The procedures that daemons call on each other.

use super::claim::{ClaimResponseWire, KeyOutcomeWire, RegistryEntryWire};
use crate::roster::RosterRecord;
use serde::{Deserialize, Serialize};

/// Answer to a roster exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterExchangeResponse {
    /// Instance that answers.
    pub instance: String,
    /// Epoch of the roster that it has.
    pub epoch: u64,
    /// Whether that roster has settled there.
    pub settled: bool,
    /// The roster, when the asking instance has an older one.
    pub roster: Option<RosterRecord>,
    /// Time since its last exchange with the instance asked about, or since its start when there
    /// was none, in milliseconds.
    pub silence_ms: u64,
}

/// Question for configuration content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigQuery {
    /// Generation that the asking daemon has in force.
    pub generation: u64,
    /// Names of chunks that it lacks; empty to ask for the head alone.
    pub chunks: Vec<[u8; 32]>,
}

/// Configuration content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigResponse {
    /// Encoded head, absent when the answering daemon has nothing newer.
    pub head: Option<Vec<u8>>,
    /// Encoded chunks by name. Chunks that do not fit in one answer are left out and asked again.
    pub chunks: Vec<([u8; 32], Vec<u8>)>,
}

/// Procedures of a daemon.
#[tarpc::service]
pub trait Peer {
    /// Delivers an encoded membership message.
    async fn deliver(from: String, message: Vec<u8>);
    /// Returns configuration content newer than the caller's.
    async fn config(query: ConfigQuery) -> ConfigResponse;
    /// Exchanges rosters and asks how long `about` has been silent. The asking instance sends
    /// its roster along when it is young, so that it spreads at once.
    async fn exchange(
        from: String,
        epoch: u64,
        unsettled_roster: Option<RosterRecord>,
        about: Option<String>,
    ) -> RosterExchangeResponse;
    /// Reports the demand of callers in requests per second and returns, for each that the home
    /// keeps, the demand over all daemons.
    async fn demand(from: String, demands: Vec<(String, f64)>) -> Vec<(String, f64)>;
    /// Claims an idempotency key for a request at its home.
    async fn claim(epoch: u64, service: String, key: String, holder: u128) -> ClaimResponseWire;
    /// Hands over keys whose home the called daemon has become.
    async fn hand_over(entries: Vec<RegistryEntryWire>);
    /// Settles a claim; `None` releases it as not run.
    async fn settle(service: String, key: String, holder: u128, outcome: Option<KeyOutcomeWire>);
}
