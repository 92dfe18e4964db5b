//! Faults that a stand-in backend server can show.

use std::time::Duration;

/// Fault of a stand-in backend server. Ratios are between 0 and 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum ServerFault {
    /// Works as configured.
    #[default]
    None,
    /// Multiplies the service time by the factor.
    Slow(f64),
    /// Runs the request and answers 500 for this ratio of requests.
    Errors(f64),
    /// Accepts connections and requests and never answers work. `/health` still answers 200.
    BlackHole,
    /// Sends half of the answer body and closes the connection for this ratio of requests.
    TruncatedResponse(f64),
    /// Answers 200 with a foreign tag and altered content for this ratio of requests.
    WrongResponse(f64),
    /// Runs the request and closes the connection without an answer for this ratio of requests.
    LostResponse(f64),
    /// Shows `inner` during the first `duty` of each `period`, and works during the rest.
    Flapping {
        /// Length of one cycle, counted from the call that set the fault.
        period: Duration,
        /// Share of the period with the fault, between 0 and 1.
        duty: f64,
        /// Fault of the bad phase. A nested flapping counts from the same start.
        inner: Box<ServerFault>,
    },
    /// Closes all connections and refuses new ones. The port stays reserved.
    RefuseConnections,
}
