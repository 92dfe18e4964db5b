//! Faults that can be injected into a stand-in backend server.

use std::time::Duration;

/// Injected fault of a stand-in backend server. Ratios are between 0 and 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum ServerFault {
    /// No fault.
    #[default]
    None,
    /// Multiplies the service time by this factor.
    Slow(f64),
    /// Runs the request and responds with status 500, for this ratio of requests.
    Errors(f64),
    /// Accepts connections and requests but never responds to work. `/health` still returns 200.
    BlackHole,
    /// Sends half of the response body and closes the connection, for this ratio of requests.
    TruncatedResponse(f64),
    /// Responds with status 200, a wrong tag and altered content, for this ratio of requests.
    WrongResponse(f64),
    /// Runs the request and closes the connection without a response, for this ratio of requests.
    LostResponse(f64),
    /// Injects `inner` during the first `duty` of each `period`, and no fault during the rest.
    Flapping {
        /// Length of one cycle. The first one starts when the fault is set.
        period: Duration,
        /// Fraction of the period with the fault, between 0 and 1.
        duty: f64,
        /// Fault of the faulty phase. The periods of nested flapping start at the same time.
        inner: Box<ServerFault>,
    },
    /// Closes all connections and refuses new ones. The port stays bound.
    RefuseConnections,
}
