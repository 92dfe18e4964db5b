//! Names of the headers that fescuemux reads and writes.

/// Caller's id, set by the caller.
pub const CALLER: &str = "fescuemux-caller";
/// Remaining time for a request in milliseconds, set by the caller and shortened at every hop.
pub const DEADLINE_MS: &str = "fescuemux-deadline-ms";
/// Idempotency key of the caller, after the IETF draft of the same name.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Verdict of an answer: `not-run`, `may-have-run` or `ran`.
pub const VERDICT: &str = "fescuemux-verdict";
/// Request id that the fleet gave to the request.
pub const REQUEST_ID: &str = "fescuemux-request-id";
/// Reason of an answer that the fleet produced itself.
pub const REASON: &str = "fescuemux-reason";
/// Status of the first request in the answer to a duplicate.
pub const FIRST_STATUS: &str = "fescuemux-first-status";

/// Backend server that a hop request is meant for.
pub const SERVER: &str = "fescuemux-server";
/// Incarnation of the guard that a hop request is meant for.
pub const INCARNATION: &str = "fescuemux-incarnation";
/// Number of earlier attempts of a request.
pub const ATTEMPT: &str = "fescuemux-attempt";
/// Kind of a hop request: `normal`, `last-resort` or `trial`.
pub const KIND: &str = "fescuemux-kind";
/// Whether a hop request is idempotent: `yes` or `no`.
pub const IDEMPOTENT: &str = "fescuemux-idempotent";
/// Service-wide baseline: median in microseconds and error ratio in parts per million.
pub const BASELINE: &str = "fescuemux-baseline";
/// Priority of the service, 0 to 255; larger is more urgent.
pub const PRIORITY: &str = "fescuemux-priority";
/// Load of a backend server: busy slots, slots and queued requests.
pub const LOAD: &str = "fescuemux-load";
/// Time in microseconds for which the backend server worked on the request.
pub const SERVICE_TIME_US: &str = "fescuemux-service-time-us";
/// Health of a backend server as its guard judges it.
pub const HEALTH: &str = "fescuemux-health";
/// Message authentication code of a hop request or answer.
pub const MAC: &str = "fescuemux-mac";

/// Prefix of all headers that belong to the fleet. Those of a caller that are not listed in
/// [`CALLER_HEADERS`] are removed, so that callers cannot speak in the name of a daemon.
pub const PREFIX: &str = "fescuemux-";
/// Headers with the prefix that callers may set.
pub const CALLER_HEADERS: [&str; 2] = [CALLER, DEADLINE_MS];
