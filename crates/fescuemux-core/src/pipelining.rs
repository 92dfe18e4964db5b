//! Pipelined requests: requests that a caller sends on a connection without waiting for the
//! responses to earlier ones.
//!
//! Decides which of them start before the requests ahead of them have their responses. A request
//! that starts early runs concurrently with those ahead; its response waits for its turn.
//!
//! Load patterns:
//!
//! - A caller sends several idempotent requests at once, and the first one is slow: all start.
//! - A caller sends more requests than may wait on a connection: the others start as responses are
//!   delivered.
//! - Many callers pipeline and do not read their responses: the bound of the process limits the
//!   memory of the responses that wait.
//! - A request that must not run twice, or that has a body, is among them: it starts in its turn,
//!   and none behind it starts before it. A caller repeats the requests behind a response that
//!   closes the connection, so what has started early must be safe to run twice.
//!
//! Must not know sockets or how requests are parsed.

mod early_starts;

pub use early_starts::{
    ConnectionState, EarlyStart, EarlyStarts, PipelineLimits, PipelinedRequest,
};
