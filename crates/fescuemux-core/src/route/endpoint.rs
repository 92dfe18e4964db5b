//! A backend server as the router is told of it.

use crate::base::{DomainId, Incarnation, InstanceId, Phase, ServerHealth, ServerId, ServiceId};

/// A backend server behind a guard, from the membership record of the guard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Name of the backend server.
    pub server: ServerId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Instance of its guard.
    pub instance: InstanceId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Region of the failure domain.
    pub region: DomainId,
    /// Number of requests that it runs at a time.
    pub slots: u32,
    /// Life cycle phase.
    pub phase: Phase,
    /// Incarnation of the guard. A record of an earlier incarnation is ignored.
    pub incarnation: Incarnation,
    /// Health as spread by membership.
    pub health: ServerHealth,
}
