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
    /// Accepts connections and requests but responds only to `/health`, with status 200, and
    /// `/load`.
    BlackHole,
    /// Sends half of the response body and closes the connection, for this ratio of requests.
    TruncatedResponse(f64),
    /// Responds with status 200, a wrong tag and altered content, for this ratio of requests.
    WrongResponse(f64),
    /// Runs the request and closes the connection without a response, for this ratio of requests.
    LostResponse(f64),
    /// Injects `inner` at the start of each `period`, for the fraction `duty` of the period, and no
    /// fault during the rest.
    Flapping {
        /// Length of one cycle. The first cycle starts when the fault is set.
        period: Duration,
        /// Fraction of the period with the fault, between 0 and 1.
        duty: f64,
        /// Fault of the faulty phase. If this fault flaps as well, its first cycle also starts when
        /// the outer fault is set.
        inner: Box<ServerFault>,
    },
    /// Closes all connections and refuses new ones. The port stays bound.
    RefuseConnections,
}
