//! Account of one customer.

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
