//! Share of one customer.

use crate::base::stable_hash;
use crate::caller_keys::CallerAccount;

/// Weight of a customer without an allowance: that of one request per second.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Minimum weight. A customer with a tiny allowance still gets a slot within a bounded time.
const MIN_WEIGHT: f64 = 0.1;

/// Customer of a waiting request and its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FairShare {
    /// Hash of the customer's id, the same at every instance.
    pub customer: u64,
    weight: f64,
}

impl FairShare {
    /// Returns the share of a customer with this weight. A weight that is not a number or too small
    /// is raised to a minimum.
    pub fn new(customer: u64, weight: f64) -> FairShare {
        // `max` returns the other value if one is not a number.
        FairShare { customer, weight: weight.max(MIN_WEIGHT) }
    }

    /// Returns the weight relative to other customers.
    pub fn weight(&self) -> f64 {
        self.weight
    }
}

impl From<&CallerAccount> for FairShare {
    /// Weights a customer by the rate of its allowance.
    fn from(account: &CallerAccount) -> FairShare {
        let weight = account.allowance.map_or(DEFAULT_WEIGHT, |allowance| allowance.rate);
        FairShare::new(stable_hash(&[account.id.as_bytes()]), weight)
    }
}
