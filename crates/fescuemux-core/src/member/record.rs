//! Records of instances and their precedence.

use crate::base::{
    DomainId, Generation, Incarnation, InstanceId, Phase, ServerHealth, ServerId, ServiceId,
};
use smol_str::SmolStr;
use std::net::SocketAddr;

/// Name of a region.
pub type RegionId = SmolStr;

/// State of an instance. Between records of the same version and refutation, the state declared
/// later in this enum takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MemberState {
    /// Responds to probes.
    Alive,
    /// Did not respond to a probe, but may still refute the suspicion.
    Suspect,
    /// Announced its planned stop.
    Leaving,
    /// Did not refute the suspicion in time, or stopped after announcing it.
    Dead,
}

/// Backend server of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// Name of the backend server.
    pub server: ServerId,
    /// Service it belongs to.
    pub service: ServiceId,
    /// Maximum number of concurrent requests.
    pub slots: u16,
    /// Announced phase.
    pub phase: Phase,
    /// Health as decided by its guard.
    pub health: ServerHealth,
    /// Incarnation of the backend server's process.
    pub incarnation: Incarnation,
}

/// Addresses of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Addresses {
    /// Address for control calls between daemons.
    pub rpc: SocketAddr,
    /// Address for requests from ingresses to the guard.
    pub hop: SocketAddr,
}

/// Membership record of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceRecord {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Region of the instance.
    pub region: RegionId,
    /// Incarnation of its daemon.
    pub incarnation: Incarnation,
    /// Counter of changes to the content. Only the owner raises it.
    pub version: u64,
    /// Counter of refuted suspicions within one version. Only the owner raises it.
    pub refutation: u32,
    /// Addresses of the daemon.
    pub addresses: Addresses,
    /// State of the instance.
    pub state: MemberState,
    /// Backend servers behind the guard of this instance.
    pub servers: Vec<ServerRecord>,
    /// Newest configuration generation reported by the instance. It affects neither precedence nor
    /// version, because spreading one record per instance and generation would exceed the limit on
    /// control traffic.
    pub generation: Generation,
}

/// Precedence among records of the same instance; the greater one wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RecordPrecedence {
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
    /// Counter of changes to the content.
    pub version: u64,
    /// Counter of refuted suspicions.
    pub refutation: u32,
    /// Claimed state.
    pub state: MemberState,
}

/// Precedence and state of a record, without its content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordSummary {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Precedence of the record.
    pub precedence: RecordPrecedence,
    /// Seconds since the sender declared the instance dead; zero in any other state.
    pub dead_for_secs: u32,
}

impl RecordPrecedence {
    /// Returns the incarnation and version, which together identify the content of a record.
    pub fn content_version(&self) -> (Incarnation, u64) {
        (self.incarnation, self.version)
    }
}

impl InstanceRecord {
    /// Returns the precedence of this record.
    pub fn precedence(&self) -> RecordPrecedence {
        RecordPrecedence {
            incarnation: self.incarnation,
            version: self.version,
            refutation: self.refutation,
            state: self.state,
        }
    }

    /// Returns whether the instance is alive or suspect.
    pub fn is_live(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Returns the record that takes precedence, with the higher generation of both. The merge is
    /// commutative and associative.
    pub fn merge(mut self, other: InstanceRecord) -> InstanceRecord {
        self.absorb(other);
        self
    }

    /// Replaces this record by `other` if it takes precedence, and keeps the higher generation.
    pub(super) fn absorb(&mut self, other: InstanceRecord) {
        let generation = self.generation.max(other.generation);
        if other.precedence() > self.precedence() {
            *self = other;
        }
        self.generation = generation;
    }

    /// Returns the estimated encoded size of this record in bytes.
    pub(super) fn estimated_bytes(&self) -> usize {
        let names = self.instance.len() + self.domain.len() + self.region.len();
        let servers = self.servers.iter().map(|s| s.server.len() + s.service.len() + 12);
        names + 40 + servers.sum::<usize>()
    }
}
