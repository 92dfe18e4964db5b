//! Announced capacity of services, for plans.

use crate::base::{HashMap, ServiceId};

/// Slots announced by the backend servers of each service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CapacityReport {
    /// Slots by service. A service without announced backend servers has no entry.
    pub slots: HashMap<ServiceId, u32>,
}

impl CapacityReport {
    /// Returns the slots announced for `service`.
    pub fn slots_of(&self, service: &str) -> u32 {
        self.slots.get(service).copied().unwrap_or(0)
    }
}

/// Floor of a service before and after a plan, with its announced capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FloorEffect {
    /// Name of the service.
    pub service: ServiceId,
    /// Slots announced when the plan was made.
    pub slots_announced: u32,
    /// Floor in force, in slots; `None` if the service is new.
    pub floor_before: Option<u32>,
    /// Floor of the plan, in slots; `None` if the service is removed.
    pub floor_after: Option<u32>,
}
