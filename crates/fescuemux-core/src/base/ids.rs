//! Identifiers. Aliases, because ids only travel through the parts and are never computed with.

use smol_str::SmolStr;

/// Name of an instance, as its settings give it.
pub type InstanceId = SmolStr;
/// Name of a backend server, unique in the fleet.
pub type ServerId = SmolStr;
/// Name of a service.
pub type ServiceId = SmolStr;
/// Name of a caller, as the caller's request header gives it.
pub type CallerId = SmolStr;
/// Name of a route in the configuration.
pub type RouteId = SmolStr;
/// Name of a failure domain.
pub type DomainId = SmolStr;
/// Counter that grows each time a process starts; the start time in milliseconds since 1970.
pub type Incarnation = u64;
/// Version of the confirmed configuration; grows by one with each confirmed plan.
pub type Generation = u64;
/// Unique id of one request as the fleet sees it.
pub type RequestId = u128;
/// Unique id of a plan.
pub type PlanId = u128;
