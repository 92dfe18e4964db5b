//! Records of instances and their order.

use crate::base::{
    DomainId, Generation, Incarnation, InstanceId, Phase, ServerHealth, ServerId, ServiceId,
};
use smol_str::SmolStr;
use std::net::SocketAddr;

/// Name of a region.
pub type RegionId = SmolStr;

/// State of an instance as the fleet sees it. The order decides between two records of the same
/// version: the later state wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Missed a probe and may still refute the suspicion.
    Suspect,
    /// Announced its planned stop.
    Leaving,
    /// Did not refute its suspicion in time, or stopped after it announced that.
    Dead,
}

/// One backend server of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// Name of the backend server.
    pub server: ServerId,
    /// Service it belongs to.
    pub service: ServiceId,
    /// Requests it takes at the same time.
    pub slots: u16,
    /// Phase it announced.
    pub phase: Phase,
    /// Health its guard decided.
    pub health: ServerHealth,
    /// Incarnation of the backend server's process.
    pub incarnation: Incarnation,
}

/// Addresses of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Addresses {
    /// Address for control calls between daemons.
    pub rpc: SocketAddr,
    /// Address for requests from an ingress to the guard.
    pub hop: SocketAddr,
}

/// What the fleet knows about one instance.
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
    /// Newest generation heard from the instance. It takes no part in the order and raises no
    /// version: a record for each instance and generation would exceed the control bytes.
    pub generation: Generation,
}

/// Position of a record in the order of all records of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RecordPrecedence {
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
    /// Counter of changes to the content.
    pub version: u64,
    /// Counter of refuted suspicions.
    pub refutation: u32,
    /// State claimed.
    pub state: MemberState,
}

/// The part of a record that says where it stands in the order, without its content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordSummary {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Position of the record.
    pub precedence: RecordPrecedence,
    /// Seconds since the sender took the instance for dead; zero in any other state.
    pub dead_for_secs: u32,
}

impl RecordPrecedence {
    /// Returns incarnation and version, which together name the content of a record.
    pub fn content_version(&self) -> (Incarnation, u64) {
        (self.incarnation, self.version)
    }
}

impl InstanceRecord {
    /// Returns the position of this record.
    pub fn precedence(&self) -> RecordPrecedence {
        RecordPrecedence {
            incarnation: self.incarnation,
            version: self.version,
            refutation: self.refutation,
            state: self.state,
        }
    }

    /// Returns whether the instance counts as present: alive, or suspect and not yet dead.
    pub fn is_live(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Returns the later of two records of the same instance. The result does not depend on the
    /// order in which records are merged.
    pub fn merge(mut self, other: InstanceRecord) -> InstanceRecord {
        self.absorb(other);
        self
    }

    /// Replaces this record by `other` if that is later, and keeps the higher generation.
    pub(super) fn absorb(&mut self, other: InstanceRecord) {
        let generation = self.generation.max(other.generation);
        if other.precedence() > self.precedence() {
            *self = other;
        }
        self.generation = generation;
    }

    /// Estimates the bytes of this record on the wire.
    pub(super) fn estimated_bytes(&self) -> usize {
        let names = self.instance.len() + self.domain.len() + self.region.len();
        let servers = self.servers.iter().map(|s| s.server.len() + s.service.len() + 12);
        names + 40 + servers.sum::<usize>()
    }
}
