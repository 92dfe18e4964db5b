//! Errors of store calls.

use std::fmt;

/// Whether a failed call may have changed the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// The call changed nothing and never will.
    None,
    /// The call may have taken effect, or may still do so.
    Unknown,
}

/// Kind of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailureKind {
    /// The connection was refused, so nothing was sent.
    Unreachable,
    /// No complete response arrived: the connection could not be opened for another reason, broke
    /// or timed out.
    NoResponse,
    /// The store responded that it cannot serve the call now.
    Unavailable,
    /// The store rejected the call, or the client did not send it, for example because a key or
    /// value is out of bounds or a lease does not exist.
    Refused,
    /// The response does not follow the protocol.
    InvalidResponse,
}

/// Error of one store call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("store call failed ({kind}, effect {effect}): {detail}")]
pub struct StoreError {
    /// Whether the call may have taken effect.
    pub effect: Effect,
    /// Kind of the failure.
    pub kind: FailureKind,
    /// Details for logs.
    pub detail: String,
}

impl StoreError {
    /// Returns an error of a call that changed nothing.
    pub fn without_effect(kind: FailureKind, detail: impl Into<String>) -> StoreError {
        StoreError { effect: Effect::None, kind, detail: detail.into() }
    }

    /// Returns an error of a call that may have taken effect.
    pub fn with_unknown_effect(kind: FailureKind, detail: impl Into<String>) -> StoreError {
        StoreError { effect: Effect::Unknown, kind, detail: detail.into() }
    }

    /// Returns whether the same call can succeed later with the same arguments.
    pub fn is_transient(&self) -> bool {
        !matches!(self.kind, FailureKind::Refused)
    }
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Effect::None => "none",
            Effect::Unknown => "unknown",
        })
    }
}

impl fmt::Display for FailureKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FailureKind::Unreachable => "unreachable",
            FailureKind::NoResponse => "no answer",
            FailureKind::Unavailable => "unavailable",
            FailureKind::Refused => "refused",
            FailureKind::InvalidResponse => "bad answer",
        })
    }
}
