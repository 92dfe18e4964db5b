//! Definition of the `tarpc` service between daemons.

use super::claim::{ClaimResponseWire, KeyOutcomeWire, RegistryEntryWire};
use crate::roster::RosterRecord;
use serde::{Deserialize, Serialize};

/// Response to [`Peer::exchange`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterExchangeResponse {
    /// Name of the responding instance.
    pub instance: String,
    /// Epoch of the responding instance's roster.
    pub epoch: u64,
    /// Whether the roster has settled at the responding instance.
    pub settled: bool,
    /// Roster of the responding instance, if newer than the requesting instance's roster.
    pub roster: Option<RosterRecord>,
    /// Milliseconds since the last contact of the responding instance with the instance `about`, or
    /// since the start of the responding instance if there was no contact.
    pub silence_ms: u64,
}

/// Query for configuration content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigQuery {
    /// Generation in force at the requesting daemon.
    pub generation: u64,
    /// Names of missing chunks; empty to request only the head.
    pub chunks: Vec<[u8; 32]>,
}

/// Response to a [`ConfigQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigResponse {
    /// Encoded head, absent if the responding daemon has no newer generation.
    pub head: Option<Vec<u8>>,
    /// Encoded chunks by name. Chunks that the responding daemon lacks, or that would exceed the
    /// maximum size of a response, are omitted; the requesting daemon queries them again.
    pub chunks: Vec<([u8; 32], Vec<u8>)>,
}

/// Calls between daemons.
#[tarpc::service]
pub trait Peer {
    /// Delivers an encoded membership message.
    async fn deliver(from: String, message: Vec<u8>);
    /// Returns configuration content that is newer than that of the requesting daemon.
    async fn config(query: ConfigQuery) -> ConfigResponse;
    /// Exchanges roster epochs and queries how long `about` has been silent. The requesting
    /// instance includes its roster until that roster has settled, so that new rosters spread
    /// quickly.
    async fn exchange(
        from: String,
        epoch: u64,
        unsettled_roster: Option<RosterRecord>,
        about: Option<String>,
    ) -> RosterExchangeResponse;
    /// Reports the demand of callers at the daemon `from`, in requests per second. Returns the
    /// total demand over all daemons for each caller that the called daemon is the home of.
    async fn demand(from: String, demands: Vec<(String, f64)>) -> Vec<(String, f64)>;
    /// Claims an idempotency key for the request `holder`. `epoch` is the epoch of the requesting
    /// daemon's roster; the claim is refused if the called daemon's roster has another epoch.
    async fn claim(epoch: u64, service: String, key: String, holder: u128) -> ClaimResponseWire;
    /// Transfers registry entries to the new home of their keys.
    async fn hand_over(entries: Vec<RegistryEntryWire>);
    /// Settles a claim with an outcome. Without an outcome, releases the claim as not run.
    async fn settle(service: String, key: String, holder: u128, outcome: Option<KeyOutcomeWire>);
}
