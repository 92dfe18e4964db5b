//! Records of the requests that a stand-in backend server ran.

use std::time::Instant;

/// Record of a request that the server started to run. Rejected requests have no record.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Value of the header `fescuemux-request-id`.
    pub request_id: Option<String>,
    /// Value of the header `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// Value of the header `x-tag`.
    pub tag: Option<String>,
    /// Time at which the request took its slot.
    pub started: Instant,
    /// Time at which the request completed; `None` while it runs and when it was canceled.
    pub finished: Option<Instant>,
    /// Whether the request was canceled because the connection closed or the deadline passed.
    pub canceled: bool,
}
