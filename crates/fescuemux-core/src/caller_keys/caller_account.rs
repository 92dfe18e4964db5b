//! Account of one customer.

use super::CallerKeysError;
use crate::allowances::Allowance;
use crate::base::CallerId;

/// Customer as the configuration names it, without its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerAccount {
    /// Name of the customer, which its requests carry to the backend server.
    pub id: CallerId,
    /// Priority of all requests of the customer; it takes precedence over the priority of the route.
    pub priority: Option<u8>,
    /// Allowance over all instances; `None` if the customer is not limited.
    pub allowance: Option<Allowance>,
}

impl CallerAccount {
    /// Returns the account of a customer. A `rate` of zero stands for no allowance.
    ///
    /// # Errors
    /// Fails if the name is empty or would not reach a backend server unchanged as the value of a
    /// header, or if the rate or burst is negative or not finite.
    pub fn new(
        id: CallerId,
        priority: Option<u8>,
        rate: f64,
        burst: f64,
    ) -> Result<CallerAccount, CallerKeysError> {
        if id.is_empty() {
            return Err(CallerKeysError::EmptyName);
        }
        // Servers drop white space around the value of a header, so that two such names look the
        // same to them, and a line break would begin another header.
        if id.trim() != id || id.chars().any(char::is_control) {
            return Err(CallerKeysError::InvalidName(id));
        }
        let is_valid = |number: f64| number.is_finite() && number >= 0.0;
        if !is_valid(rate) {
            return Err(CallerKeysError::InvalidRate { customer: id, rate });
        }
        if !is_valid(burst) {
            return Err(CallerKeysError::InvalidBurst { customer: id, burst });
        }
        let allowance = (rate > 0.0).then_some(Allowance { rate, burst });
        Ok(CallerAccount { id, priority, allowance })
    }

    /// Returns the priority of a request: that of its customer if there is one, or else `of_route`.
    pub fn effective_priority(account: Option<&CallerAccount>, of_route: u8) -> u8 {
        account.and_then(|account| account.priority).unwrap_or(of_route)
    }
}
