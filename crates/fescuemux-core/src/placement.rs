//! Placement by reservation: selects the instance that serves a request, and decides whether that
//! instance's backend server takes the request now, later or not at all.
//!
//! The ingress requests a [`LoadReport`] from a few instances, ranks them, and reserves a slot at
//! the best one. Nothing is sent to a backend server before its instance has granted the slot, so
//! an instance that is dead, frozen or partitioned costs only a timeout and never leaves it unknown
//! whether the request ran.
//!
//! Must not know sockets, message formats or how configurations are stored.

mod admission_controller;
mod config_readers;
mod departures;
mod eviction_response;
mod failed_requests;
mod fault_estimator;
mod load_report;
mod local_server;
mod peer_directory;
mod precedence;
mod rank;
mod rate_limiter;
mod relayed_notices;
mod route_map;
mod route_policy;
mod running_times;
mod server_notice;
mod service_retry_budget;
mod shed_rate;
mod shutdown_deadlines;
mod slot_holder;
mod slot_request;
mod traffic_splitter;
mod unplaced_request;
mod waiting;

pub use admission_controller::{AdmissionController, Ticket};
pub use config_readers::{
    ConfigFreshness, ConfigRole, ConfirmationQuery, ReportedAge, config_role,
};
pub use departures::{
    DEPARTURE_TTL, Departure, DepartureVersion, HeldDepartures, MAX_DEPARTURES, OwnDepartures,
};
pub use eviction_response::{EvictedAttempt, EvictionResponse};
pub use failed_requests::{FailedRequests, is_nested_request_of};
pub(crate) use fault_estimator::survival;
pub use fault_estimator::{Evidence, FaultEstimator, InFlightRequest};
pub use load_report::{LoadReport, Readiness};
pub use local_server::{LocalServer, ServerPhase, ServerReport};
pub use peer_directory::{Peer, PeerDirectory};
pub use precedence::Precedence;
pub use rank::{PlacementCost, rank, should_query_more};
pub use relayed_notices::{RelayedNotice, RelayedNotices};
pub use route_map::RouteMap;
pub use route_policy::{RequestClass, RoutePolicy, WeightedService};
pub use running_times::RunningTimes;
pub use server_notice::{NamedLimit, NoticeChange, ServerNotice};
pub use service_retry_budget::{RetryLimits, ServiceRetryBudget};
pub use shed_rate::ShedRate;
pub use shutdown_deadlines::ShutdownDeadlines;
pub use slot_request::{
    Admission, AttemptKind, Refusal, RequestOutcome, SlotRefusalReason, SlotRequest,
};
pub use traffic_splitter::TrafficSplitter;
pub use unplaced_request::UnplacedRequest;
