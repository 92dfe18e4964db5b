//! Faults of an application server.

/// What a server does with a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AppFault {
    /// Answers as asked.
    #[default]
    None,
    /// Runs the request and never answers.
    Hang,
    /// Runs the request and answers with an error.
    Error,
    /// Runs the request and resets the connection.
    Reset,
    /// Says that it did not run the request.
    Shed,
    /// Runs the request and breaks its answer off in the middle.
    TruncatedResponse,
    /// Sends an answer to another request first.
    MismatchedResponse,
    /// Drops idle connections without notice.
    CloseAfterResponse,
}
