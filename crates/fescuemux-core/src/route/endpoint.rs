//! Description of a backend server for the router.

use crate::base::{DomainId, Incarnation, InstanceId, Phase, ServerHealth, ServerId, ServiceId};
use crate::member::{InstanceRecord, ServerRecord};

/// A backend server, as the membership record of its guard describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Name of the backend server.
    pub server: ServerId,
    /// Service that the server belongs to.
    pub service: ServiceId,
    /// Instance of its guard.
    pub instance: InstanceId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Region of the failure domain.
    pub region: DomainId,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Life cycle phase.
    pub phase: Phase,
    /// Incarnation of the guard. The router ignores an endpoint of an earlier incarnation.
    pub incarnation: Incarnation,
    /// Health in the membership record.
    pub health: ServerHealth,
}

impl Endpoint {
    /// Returns the endpoint of a server in the membership record of its guard.
    pub fn from_record(record: &InstanceRecord, server: &ServerRecord) -> Endpoint {
        Endpoint {
            server: server.server.clone(),
            service: server.service.clone(),
            instance: record.instance.clone(),
            domain: record.domain.clone(),
            region: record.region.clone(),
            slots: u32::from(server.slots),
            phase: server.phase,
            incarnation: record.incarnation,
            health: server.health,
        }
    }
}
