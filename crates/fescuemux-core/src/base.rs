//! Types shared by all modules of the crate: ids, time, randomness, collections and verdicts.
//!
//! Must not know any other module.

mod clock;
mod collections;
mod cx;
mod detection_preference;
mod ids;
mod phase;
mod refusal_status;
mod request_kind;
mod server_health;
mod stable_hash;
mod verdict;

pub use clock::Clock;
pub use collections::{HashMap, HashSet};
pub use cx::{Cx, Rng};
pub use detection_preference::DetectionPreference;
pub use ids::{
    CallerId, DomainId, Generation, Incarnation, InstanceId, PlanId, RequestId, RouteId, ServerId,
    ServiceId,
};
pub use phase::Phase;
pub use refusal_status::is_refusal_status;
pub use request_kind::RequestKind;
pub use server_health::ServerHealth;
pub(crate) use stable_hash::mix;
pub use stable_hash::stable_hash;
pub use verdict::Verdict;
