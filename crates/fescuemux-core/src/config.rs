//! Configuration: its content, intents and plans to change it, the layout of its keys in the
//! store, the confirm protocol, and lookups by request.
//!
//! Must not know serialization, digests, the store's interface or a daemon. Digests of chunks
//! come in as values.

mod bounds;
mod caller_limit;
mod capacity;
mod change;
mod confirm;
mod content;
mod current;
mod head;
mod intent;
mod layout;
mod names;
mod plan;
mod review;
mod route;
mod route_table;
mod service;
mod stale;

pub use bounds::{
    FieldError, MAX_CALLERS, MAX_CHANGES, MAX_DEADLINE, MAX_ID_BYTES, MAX_ROUTES, MAX_SERVICES,
    check_author, check_caller_id, check_name,
};
pub use caller_limit::CallerLimit;
pub use capacity::{CapacityReport, FloorEffect};
pub use change::{Change, Difference, Edit, Mismatch, Subject};
pub use confirm::{Confirm, Outcome, Reason, Reply, Step, UnknownReason, Update};
pub use content::Config;
pub use current::{Current, Offer};
pub use head::{HISTORY_LEN, Head, Record};
pub use intent::Intent;
pub use layout::{
    BUCKETS, CHUNK_PREFIX, Chunk, HEAD_KEY, LayoutError, PLAN_PREFIX, Part, bucket_of, chunk_key,
    join, parts_of, plan_key, split, split_parts,
};
pub use names::{Digest, Names};
pub use plan::{Base, Finding, FindingKind, Plan, PlanError, plan};
pub use route::Route;
pub use route_table::RouteTable;
pub use service::Service;
pub use stale::{Stale, explain_stale};
