//! Reasons why customers or their keys are not valid.

use crate::base::CallerId;
use thiserror::Error;

/// Reason why the customers of a configuration are not valid. The text is a single line and shows
/// no key.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum CallerKeysError {
    /// A customer has no name.
    #[error("a customer has an empty name")]
    EmptyName,
    /// The name would not reach a backend server unchanged.
    #[error("the name {0:?} has control characters or white space around it")]
    InvalidName(CallerId),
    /// Two customers have the same name.
    #[error("customer {0:?} occurs twice")]
    DuplicateCustomer(CallerId),
    /// A key is empty.
    #[error("customer {0:?} has an empty key")]
    EmptyKey(CallerId),
    /// A key occurs twice.
    #[error("customer {customer:?} has a key that customer {other:?} has already")]
    DuplicateKey {
        /// Customer with the second occurrence.
        customer: CallerId,
        /// Customer with the first occurrence, which may be the same.
        other: CallerId,
    },
    /// The rate is negative or not finite.
    #[error("customer {customer:?} has the rate {rate}")]
    InvalidRate {
        /// Customer with the rate.
        customer: CallerId,
        /// Requests per second.
        rate: f64,
    },
    /// The burst is negative or not finite.
    #[error("customer {customer:?} has the burst {burst}")]
    InvalidBurst {
        /// Customer with the burst.
        customer: CallerId,
        /// Requests.
        burst: f64,
    },
}
