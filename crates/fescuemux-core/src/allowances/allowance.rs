//! Allowance of one customer.

/// Rate of requests that a customer may use, summed over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Requests per second, above zero.
    pub rate: f64,
    /// Requests that may be sent at once after a pause, besides the rate.
    pub burst: f64,
}
