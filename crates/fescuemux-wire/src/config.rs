//! JSON types of the configuration: intents, plans, chunks and the head.
//!
//! Intents are written by operators, so unknown fields are refused. Stored records may have been
//! written by a newer daemon during a rolling upgrade, so unknown fields are ignored, and the
//! format number prevents older daemons from writing these records back.

mod chunk;
mod chunk_set;
mod digest;
mod error;
mod head;
mod intent;
mod item;
mod outcome;
mod plan;

pub use chunk::{EncodedChunk, decode_chunk, encode_chunk};
pub use chunk_set::ChunkSet;
pub use digest::{format_plan_id, parse_plan_id};
pub use error::ConfigError;
pub use head::{RecordBody, decode_head, decode_head_for_update, encode_head};
pub use intent::{ChangeBody, ContentBody, IntentBody, decode_intent, encode_intent};
pub use item::{CallerBody, FavorBody, RouteBody, ServiceBody};
pub use outcome::{NotConfirmedReasonBody, OutcomeBody, StalePlanBody, UnknownReasonBody};
pub use plan::{
    DifferenceBody, EditBody, FindingBody, FloorEffectBody, PlanBody, decode_plan,
    decode_plan_index, encode_plan, encode_plan_index,
};

/// Format number of the stored records that this version writes.
pub const FORMAT: u32 = 1;
