//! Records of instances and their precedence.

use crate::base::{
    DomainId, Generation, Incarnation, InstanceId, Phase, ServerHealth, ServerId, ServiceId,
};
use smol_str::SmolStr;
use std::net::SocketAddr;

/// Name of a region.
pub type RegionId = SmolStr;

/// State of an instance. Among records of equal incarnation, version and refutation counter, the
/// state declared later in this enum takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MemberState {
    /// Responds to probes.
    Alive,
    /// Failed a probe or was reported dead by another member, but may still refute the suspicion.
    Suspect,
    /// Announced its planned stop.
    Leaving,
    /// Did not refute the suspicion in time, or stopped after announcing its planned stop.
    Dead,
}

/// Backend server of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// Name of the backend server.
    pub server: ServerId,
    /// Service of the backend server.
    pub service: ServiceId,
    /// Maximum number of concurrent requests.
    pub slots: u16,
    /// Phase that the backend server announced.
    pub phase: Phase,
    /// Health as decided by the guard of the instance.
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
    /// Incarnation of the instance's daemon.
    pub incarnation: Incarnation,
    /// Counter of changes to the content. Only the instance itself raises this counter.
    pub version: u64,
    /// Counter of refuted reports and of the announced stop within one version. Only the instance
    /// itself raises this counter.
    pub refutation: u32,
    /// Addresses of the daemon.
    pub addresses: Addresses,
    /// State of the instance.
    pub state: MemberState,
    /// Backend servers behind the guard of this instance.
    pub servers: Vec<ServerRecord>,
    /// Newest configuration generation reported by the instance. Affects neither precedence nor
    /// version, because spreading one record per instance and generation would exceed the limit on
    /// control traffic.
    pub generation: Generation,
}

/// Precedence of a record among the records of the same instance. The greatest value wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RecordPrecedence {
    /// Incarnation of the instance's daemon.
    pub incarnation: Incarnation,
    /// See [`InstanceRecord::version`].
    pub version: u64,
    /// See [`InstanceRecord::refutation`].
    pub refutation: u32,
    /// State of the instance.
    pub state: MemberState,
}

/// Precedence and state of a record, without its content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordSummary {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Precedence of the record.
    pub precedence: RecordPrecedence,
    /// Seconds for which the instance has been dead, as known to the sender; zero in any other
    /// state.
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

    /// Returns the record that takes precedence, with the higher generation of the two records.
    /// Commutative and associative.
    pub fn merge(mut self, other: InstanceRecord) -> InstanceRecord {
        self.absorb(other);
        self
    }

    /// Replaces this record by `other` if `other` takes precedence, and keeps the higher generation
    /// of the two records.
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
