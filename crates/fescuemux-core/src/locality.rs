//! Locality: decides when a request leaves the failure domain of its ingress, and how many
//! instances of other domains are asked for their load.
//!
//! Traffic between failure domains is slower and costs money for each byte, load queries included.
//! A wait in the own (home) domain that leaves the objective intact costs a caller little; a missed
//! objective costs most. The decision compares probabilities of missing the objective, so that it
//! depends on the slack of the route, and learns sizes, round-trip times, free slots and failures
//! from what the ingress observes.
//!
//! Load patterns, each with a replay in `tests/locality/`:
//!
//! - a domain with a third of the servers and half of the clients: requests leave at a short wait,
//!   because a longer wait would delay all requests of the domain and save no bytes;
//! - a domain that loses half of its servers at once;
//! - a burst in one domain (a wait outlasts it, or requests leave) and in all domains at once;
//! - large bodies beside small requests: the small ones leave first;
//! - a slow or lossy path: round-trip times and lost queries count against a domain;
//! - domains that would each send to the other: equally loaded domains exchange no traffic;
//! - many instances that see the same free server: the threshold differs from request to request;
//! - a cold or hanging domain that appears idle: requests in flight there are limited, and the limit
//!   grows only with answers.
//!
//! Must not know sockets or message formats.

mod cost;
mod domain_state;
mod leave_reason;
mod miss;
mod offer_state;
mod policy;

pub use domain_state::RemoteOutcome;
pub use leave_reason::LeaveReason;
pub use miss::PlacedRequest;
pub use policy::{LocalityPolicy, Offered, RemoteAttempt};
