//! JSON encoding of services, routes and caller limits.

use super::ConfigError;
use fescuemux_core::base::DetectionPreference;
use fescuemux_core::config::{CallerLimit, Route, Service};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use smol_str::SmolStr;
use std::time::Duration;

/// Service as written by operators and as stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceBody {
    /// Name of the service.
    pub id: SmolStr,
    /// Capacity floor in slots.
    pub floor_slots: u32,
    /// Whether fault detection avoids false ejections at the cost of late detection, or the
    /// reverse.
    #[serde(default)]
    pub favor: FavorBody,
    /// Priority during overload; the largest value goes first.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Deadline of requests for which neither the caller nor the route sets a deadline, in
    /// milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub default_deadline_ms: u64,
    /// Maximum number of requests waiting for each backend server.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: u32,
    /// Maximum number of retries per 1,000 requests.
    #[serde(default = "default_retry_permille")]
    pub retry_permille: u32,
    /// Fields that this version does not know.
    #[serde(flatten)]
    pub extra: Map<String, Value>,
}

/// Whether fault detection avoids false ejections at the cost of late detection, or the reverse.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FavorBody {
    /// See [`DetectionPreference::FewFalseEjections`].
    #[default]
    FewFalseEjections,
    /// See [`DetectionPreference::FastDetection`].
    FastDetection,
}

/// Route of requests to a service, as written by operators and as stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteBody {
    /// Name of the route.
    pub id: SmolStr,
    /// HTTP method to match; any method if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub method: Option<SmolStr>,
    /// Host to match; any host if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<SmolStr>,
    /// Path prefix to match.
    pub path_prefix: SmolStr,
    /// Service that receives matching requests.
    pub service: SmolStr,
    /// Whether requests may run more than once. Has no default, because a wrong value would violate
    /// at-most-once execution.
    pub idempotent: bool,
    /// Deadline in milliseconds; the default deadline of the service if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Fields that this version does not know.
    #[serde(flatten)]
    pub extra: Map<String, Value>,
}

/// Rate limit of a caller, as written by operators and as stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerBody {
    /// Id of the caller.
    pub caller: SmolStr,
    /// Maximum rate in requests per second.
    pub rate_per_s: u32,
    /// Maximum burst in requests.
    pub burst: u32,
    /// Fields that this version does not know.
    #[serde(flatten)]
    pub extra: Map<String, Value>,
}

fn default_priority() -> u8 {
    Service::new("").priority
}

fn default_deadline_ms() -> u64 {
    millis(Service::new("").default_deadline)
}

fn default_queue_limit() -> u32 {
    Service::new("").queue_limit
}

fn default_retry_permille() -> u32 {
    Service::new("").retry_permille
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Item that collects unknown fields and can refuse them.
pub(super) trait RejectUnknownFields {
    /// Returns the fields that this version does not know.
    fn extra(&self) -> &Map<String, Value>;

    /// Returns an error if there are unknown fields.
    fn reject_unknown_fields(&self) -> Result<(), ConfigError> {
        match self.extra().keys().next() {
            Some(field) => Err(ConfigError::shape(field.as_str(), "unknown field")),
            None => Ok(()),
        }
    }
}

macro_rules! impl_reject_unknown_fields {
    ($($body:ty),*) => {
        $(impl RejectUnknownFields for $body {
            fn extra(&self) -> &Map<String, Value> {
                &self.extra
            }
        })*
    };
}

impl_reject_unknown_fields!(ServiceBody, RouteBody, CallerBody);

impl From<DetectionPreference> for FavorBody {
    fn from(favor: DetectionPreference) -> FavorBody {
        match favor {
            DetectionPreference::FewFalseEjections => FavorBody::FewFalseEjections,
            DetectionPreference::FastDetection => FavorBody::FastDetection,
        }
    }
}

impl From<FavorBody> for DetectionPreference {
    fn from(body: FavorBody) -> DetectionPreference {
        match body {
            FavorBody::FewFalseEjections => DetectionPreference::FewFalseEjections,
            FavorBody::FastDetection => DetectionPreference::FastDetection,
        }
    }
}

impl From<&Service> for ServiceBody {
    fn from(service: &Service) -> ServiceBody {
        ServiceBody {
            id: service.id.clone(),
            floor_slots: service.floor_slots,
            favor: service.favor.into(),
            priority: service.priority,
            default_deadline_ms: millis(service.default_deadline),
            queue_limit: service.queue_limit,
            retry_permille: service.retry_permille,
            extra: Map::new(),
        }
    }
}

impl TryFrom<ServiceBody> for Service {
    type Error = ConfigError;

    fn try_from(body: ServiceBody) -> Result<Service, ConfigError> {
        let service = Service {
            id: body.id,
            floor_slots: body.floor_slots,
            favor: body.favor.into(),
            priority: body.priority,
            default_deadline: Duration::from_millis(body.default_deadline_ms),
            queue_limit: body.queue_limit,
            retry_permille: body.retry_permille,
        };
        service.check()?;
        Ok(service)
    }
}

impl From<&Route> for RouteBody {
    fn from(route: &Route) -> RouteBody {
        RouteBody {
            id: route.id.clone(),
            method: route.method.clone(),
            host: route.host.clone(),
            path_prefix: route.path_prefix.clone(),
            service: route.service.clone(),
            idempotent: route.idempotent,
            deadline_ms: route.deadline.map(millis),
            extra: Map::new(),
        }
    }
}

impl TryFrom<RouteBody> for Route {
    type Error = ConfigError;

    fn try_from(body: RouteBody) -> Result<Route, ConfigError> {
        let route = Route {
            id: body.id,
            method: body.method,
            host: body.host,
            path_prefix: body.path_prefix,
            service: body.service,
            idempotent: body.idempotent,
            deadline: body.deadline_ms.map(Duration::from_millis),
        };
        route.check()?;
        Ok(route)
    }
}

impl From<&CallerLimit> for CallerBody {
    fn from(limit: &CallerLimit) -> CallerBody {
        CallerBody {
            caller: limit.caller.clone(),
            rate_per_s: limit.rate_per_s,
            burst: limit.burst,
            extra: Map::new(),
        }
    }
}

impl TryFrom<CallerBody> for CallerLimit {
    type Error = ConfigError;

    fn try_from(body: CallerBody) -> Result<CallerLimit, ConfigError> {
        let limit =
            CallerLimit { caller: body.caller, rate_per_s: body.rate_per_s, burst: body.burst };
        limit.check()?;
        Ok(limit)
    }
}

/// Converts the items of a list to core types. Errors contain the path of the item.
pub(super) fn convert_items<B, T>(list: &str, bodies: Vec<B>) -> Result<Vec<T>, ConfigError>
where
    T: TryFrom<B, Error = ConfigError>,
{
    bodies
        .into_iter()
        .enumerate()
        .map(|(i, body)| T::try_from(body).map_err(|e| e.within(&format!("{list}[{i}]"))))
        .collect()
}

/// Returns an error if any item of a list has unknown fields.
pub(super) fn reject_unknown_fields_in_all<B: RejectUnknownFields>(
    list: &str,
    bodies: &[B],
) -> Result<(), ConfigError> {
    bodies.iter().enumerate().try_for_each(|(i, b)| {
        b.reject_unknown_fields().map_err(|e| e.within(&format!("{list}[{i}]")))
    })
}
