//! Placement by reservation: which instance runs a request, and whether its backend server
//! takes it now, later or not at all.
//!
//! An ingress asks a few guards for a [`Quote`], ranks them, and reserves a slot at the best.
//! Nothing is sent to a backend server before its guard granted the slot, so a guard that is
//! dead, frozen or cut off costs a moment and leaves no doubt whether the request ran.
//!
//! Must not know sockets, message formats or how configurations are stored.

mod directory;
mod failed_calls;
mod gate;
mod local_server;
mod precedence;
mod quote;
mod rank;
mod repeat_budget;
mod route_map;
mod route_policy;
mod running_times;
mod slot_holder;
mod split;
mod stop_times;
mod suspicion;
mod unplaced;
mod waiting;
mod work;

pub use directory::{Directory, Peer};
pub use failed_calls::{FailedCalls, is_call_of};
pub use gate::{Gate, Ticket};
pub use local_server::{LocalServer, ServerPhase, ServerReport};
pub use precedence::Precedence;
pub use quote::{Quote, Readiness};
pub use rank::{PlacementCost, rank};
pub use repeat_budget::{RepeatBudget, RepeatLimits};
pub use route_map::RouteMap;
pub use route_policy::{RequestClass, RoutePolicy, ServicePart};
pub use running_times::RunningTimes;
pub use split::Splitter;
pub use stop_times::StopTimes;
pub use suspicion::{Evidence, StillRunning, Suspicion};
pub use unplaced::Unplaced;
pub use work::{Admission, Refusal, RefusalReason, Repeat, Work, WorkOutcome};
