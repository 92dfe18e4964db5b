//! Configuration: content, intents and plans to change the content, the key layout in the store,
//! the confirm protocol, and route lookups.
//!
//! The store holds the content in immutable chunks, and a head that names the chunks in force. An
//! operator proposes an intent, reviews the plan made from it, and confirms the plan. Confirming
//! replaces the head and so creates the next generation.
//!
//! Independent of serialization, hashing, the store's interface and the daemon. The digests of
//! chunks are passed in.

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
pub use change::{Change, Difference, Edit, ItemName, Mismatch};
pub use confirm::{
    ConfirmOutcome, ConfirmRequest, ConfirmStep, NotConfirmedReason, PendingConfirm, StepResult,
    UnknownReason,
};
pub use content::Config;
pub use current::{CurrentHead, HeadComparison};
pub use head::{GenerationRecord, Head, MAX_HISTORY};
pub use intent::Intent;
pub use layout::{
    BUCKET_COUNT, CHUNK_PREFIX, Chunk, HEAD_KEY, LayoutError, PLAN_PREFIX, Part, bucket_of,
    changed_parts, chunk_key, join_chunks, plan_key, split_into_chunks, split_parts_into_chunks,
};
pub use names::{ChunkDigests, Digest};
pub use plan::{Finding, FindingKind, Plan, PlanBase, PlanError, make_plan};
pub use route::Route;
pub use route_table::RouteTable;
pub use service::Service;
pub use stale::{StalePlan, explain_stale};
