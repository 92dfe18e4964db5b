//! Memory and connections of one process: what clients may make it hold.
//!
//! Load patterns:
//!
//! - Many bodies of legal size at once: each grows only within the share of its class. The others
//!   are not read until a body ends; those with the fewest bytes left proceed first.
//! - Bodies that stop short and stay open: under pressure the largest of them is released.
//! - Bodies that all wait for memory, so that none can proceed: the one with the most bytes left, or
//!   of unknown length, is released.
//! - Small bodies and those of the machine's own server beside large ones: each has a share that no
//!   other class uses.
//! - Idle connections up to the limit: the one that is idle the longest is closed.
//! - Responses that are not read, on all connections: the one without progress the longest is closed
//!   if there is no idle one.
//! - Connections up to the limit that are all in use: no further one is accepted.
//!
//! Must not know sockets, buffers or what a body carries.

mod connection_slots;
mod limits;
mod memory_budget;

pub use connection_slots::{ConnectionId, ConnectionSlots, ConnectionState, ConnectionVerdict};
pub use limits::{ConnectionKind, MemoryClass, ProcessLimits};
pub use memory_budget::{Decisions, HolderId, MemoryBudget};
