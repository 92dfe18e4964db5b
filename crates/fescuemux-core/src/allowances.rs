//! Allowances: rates that a customer may use over all instances together.
//!
//! Each customer has a counting instance, the first one in the rendezvous order of the known
//! instances. It counts the requests of the last window exactly and grants them to the ingresses in
//! leases. An ingress decides with its lease at once; without one it asks, which takes one round
//! trip between instances. A lease is as large as the ingress's demand of half a second, so that a
//! busy ingress asks before its lease is used up and does not wait.
//!
//! The allowance of a window is granted by the counting instance only. The margin above it is
//! divided between what can make the count inexact ([`AllowanceBounds`]): the resolution of the count,
//! fixed shares for ingresses that reach no counting instance, requests that are granted and not yet
//! sent, and requests granted by a counting instance that does not know the last window yet.
//!
//! # Load patterns
//!
//! - A customer that sends less than one request a second at each of many ingresses: each request
//!   is granted separately, and nothing is held back for ingresses that send nothing.
//! - A burst: granted as long as the window has room, also after a pause.
//! - A customer far above its allowance: a refusal holds for a short time without messages, so that
//!   messages do not grow with the refused requests.
//! - A counting instance that fails: the next one asks all instances for the use of the last window.
//!   The part of the fleet that does not report counts as having used its part of the allowance.
//! - A partition: only a part that reaches enough instances grants, each half at most a half.
//! - A restart of all instances: nobody knows the last window, so only a part of the margin and
//!   the fixed shares are used for the length of a window.
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
pub use message::{
    AllowanceMessage, CallerHash, LeaseReply, LeaseRequest, UsageReport, caller_hash,
};
