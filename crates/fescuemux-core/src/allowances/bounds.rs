//! Bound on the requests of one customer within a window.

use super::Allowance;
use std::time::Duration;

/// Terms of the bound: in each `window`, a customer sends at most
/// (`rate` × `window` + `burst`) × (1 + `excess`) + `slack` requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllowanceBounds {
    /// Length of the window.
    pub window: Duration,
    /// Share by which the allowance of a window may be exceeded.
    pub excess: f64,
    /// Requests by which the allowance of a window may be exceeded besides `excess`.
    pub slack: f64,
}

impl Default for AllowanceBounds {
    fn default() -> AllowanceBounds {
        AllowanceBounds { window: Duration::from_secs(5), excess: 0.1, slack: 20.0 }
    }
}

impl AllowanceBounds {
    /// Returns the allowance of one window, which the counting instance grants.
    pub fn allowed(&self, allowance: &Allowance) -> f64 {
        allowance.rate * self.window.as_secs_f64() + allowance.burst
    }

    /// Returns the number of requests that may exceed the allowance of one window.
    pub fn margin(&self, allowance: &Allowance) -> f64 {
        self.allowed(allowance) * self.excess + self.slack
    }

    /// Returns what the counting instance grants at once after a pause: more than the burst, because
    /// it holds back granted requests that are not sent. Without this part it refused 3 of 100
    /// requests within small allowances.
    pub(super) fn granted_burst(&self, allowance: &Allowance) -> f64 {
        allowance.burst + self.margin(allowance) * 0.4
    }

    /// Returns the requests in one window that all instances together send without a counting
    /// instance.
    pub(super) fn unleased(&self, allowance: &Allowance) -> f64 {
        self.margin(allowance) * 0.25
    }

    /// Returns the number of requests that may be granted before they are needed.
    pub(super) fn granted_ahead(&self, allowance: &Allowance) -> f64 {
        self.margin(allowance) * 0.1
    }

    /// Returns what a counting instance that does not know the last window grants at once.
    pub(super) fn granted_unknown(&self, allowance: &Allowance) -> f64 {
        self.margin(allowance) * 0.1
    }

    /// Returns the maximum number of requests in one window.
    pub fn maximum(&self, allowance: &Allowance) -> f64 {
        self.allowed(allowance) + self.margin(allowance)
    }
}
