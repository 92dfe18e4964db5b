//! Identifiers. They are aliases because ids are only passed on and compared.

use smol_str::SmolStr;

/// Name of an instance, from its settings.
pub type InstanceId = SmolStr;
/// Name of a backend server, unique in the fleet.
pub type ServerId = SmolStr;
/// Name of a service.
pub type ServiceId = SmolStr;
/// Name of a caller, from its request header.
pub type CallerId = SmolStr;
/// Name of a route in the configuration.
pub type RouteId = SmolStr;
/// Name of a failure domain.
pub type DomainId = SmolStr;
/// Start time of a process in milliseconds since 1970; grows with each start.
pub type Incarnation = u64;
/// Version of the confirmed configuration; grows by one with each confirmed plan.
pub type Generation = u64;
/// Id of one request, unique in the fleet.
pub type RequestId = u128;
/// Id of a plan (a proposed change of the configuration), unique in the fleet.
pub type PlanId = u128;
