//! Faults that can be injected into an application server.

/// Injected fault of an application server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AppFault {
    /// No fault.
    #[default]
    None,
    /// Runs the request and never responds.
    Hang,
    /// Runs the request and responds with an error.
    Error,
    /// Runs the request and closes the connection without a response.
    Reset,
    /// Rejects the request and reports that it was not run.
    Shed,
    /// Runs the request and truncates the response body.
    TruncatedResponse,
    /// Sends a response with another request's id before the right response.
    MismatchedResponse,
    /// Rejects every other request, keeps the connection, and writes the rejection once more before
    /// the response to the next request, which it runs.
    RepeatedRejection,
    /// Runs the request, writes a part of the response head and closes the connection.
    TruncatedHead,
    /// Closes the connection after each response without announcing it, so that the client's idle
    /// connection goes stale.
    CloseAfterResponse,
    /// Runs the request and sends a head without end, until the client closes.
    EndlessHead,
    /// Runs the request and sends interim responses without end.
    EndlessInterimResponses,
    /// Runs the request and sends, after a response to another request, a body without end.
    EndlessForeignBody,
    /// Responds, and then sends bytes that are no response without end.
    EndlessAfterResponse,
    /// Runs the request and sends a body without end in the right response.
    EndlessBody,
    /// Runs the request and sends a body without end in an error response without a length.
    EndlessErrorBody,
    /// Runs the request and sends a response with one chunk size without end.
    EndlessChunkSize,
    /// Runs the request and sends a response with trailers without end.
    EndlessTrailers,
}
