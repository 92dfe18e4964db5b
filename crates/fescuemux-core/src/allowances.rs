//! Allowances: rates that a customer may use over all instances together.
//!
//! Each customer has a counting instance, the first one in the rendezvous order of the known
//! instances. It has a token bucket for the customer and grants its requests to the ingresses in
//! leases. An ingress decides with its lease at once; without one it asks, which takes one round
//! trip between instances. A lease is as large as the ingress's demand of half a second, so that a
//! busy ingress asks before its lease is used up and does not wait.
//!
//! The allowance of a window is granted by the counting instance only. The margin above it is
//! divided between what can make the count inexact ([`AllowanceBounds`]): fixed shares for ingresses
//! that reach no counting instance, requests that are granted and not yet sent, and requests granted
//! at once by a counting instance that does not know the last window.
//!
//! # Load patterns
//!
//! - A customer that sends less than one request a second at each of many ingresses: each request
//!   is granted separately, and nothing is held back for ingresses that send nothing.
//! - A burst: granted from a full bucket after a pause.
//! - A customer far above its allowance: a refusal holds for a short time without messages, so that
//!   messages do not grow with the refused requests.
//! - A counting instance that fails: the next one begins with an almost empty bucket and grants the
//!   rate of the allowance at once. Requests wait for it instead of being refused.
//! - A partition: only a part that reaches enough instances grants, each half at most a half.
//! - A restart of all instances: as after the failure of a counting instance, for all customers.
//!
//! Must not know sockets, message formats or how configurations are stored.

mod allowance;
mod bounds;
mod exchange;
mod ledger;
mod limiter;
mod members;
mod message;
mod reachability;
mod usage_window;

pub use allowance::Allowance;
pub use bounds::AllowanceBounds;
pub use exchange::{AllowanceExchange, Outbox};
pub use ledger::{AccountUsage, UsageLedger};
pub use limiter::{AllowanceDecision, AllowanceLimiter, LimitedCaller};
pub use members::Members;
pub use message::{AllowanceMessage, CallerHash, LeaseReply, LeaseRequest, caller_hash};
