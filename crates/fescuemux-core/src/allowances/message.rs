//! Messages between instances about allowances.

use super::Allowance;
use crate::base::{Generation, stable_hash};
use std::time::Duration;

/// Hash of a customer's name, which stands for the customer in messages.
pub type CallerHash = u64;

/// Returns the hash of a customer's name, the same at every instance.
pub fn caller_hash(id: &str) -> CallerHash {
    stable_hash(&[b"allowance", id.as_bytes()])
}

/// Request of an ingress for a lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseRequest {
    /// Customer.
    pub caller: CallerHash,
    /// Sequence number; the same in a repetition, which gets the same reply.
    pub seq: u32,
    /// Version of the configuration from which `allowance` is.
    pub version: Generation,
    /// Allowance that the ingress knows. That of the latest version applies.
    pub allowance: Allowance,
    /// Requests that the ingress wants to send.
    pub wanted: u32,
    /// Requests of earlier leases that it has not sent and no longer will.
    pub returned: u32,
}

/// Reply to a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseReply {
    /// The ingress may send this number of requests within the lease.
    Granted(u32),
    /// The allowance is used up; there is room after this time.
    Refused(Duration),
    /// The queried instance does not count this customer's requests.
    NotCounting,
}

/// Message between two instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AllowanceMessage {
    /// Asks the counting instance for a lease.
    LeaseRequest(LeaseRequest),
    /// Answers a [`LeaseRequest`].
    LeaseReply {
        /// Customer of the request.
        caller: CallerHash,
        /// Sequence number of the request.
        seq: u32,
        /// Answer.
        reply: LeaseReply,
    },
    /// Checks whether an instance is reachable.
    Probe,
    /// Answers [`AllowanceMessage::Probe`].
    ProbeReply,
}
