//! Calls of a backend server that failed elsewhere.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which a failed call explains a failure of the request that made it. The server
/// answers within milliseconds of the call's end.
const EXPLAINS_FOR: Duration = Duration::from_millis(500);

/// Most calls that are kept.
const MAX_CALLS: usize = 128;

/// Requests that failed at an ingress a moment ago.
#[derive(Clone, Debug, Default)]
pub struct FailedRequests {
    calls: VecDeque<(Instant, String)>,
}

impl FailedRequests {
    /// Notes a request without a success.
    pub fn add(&mut self, now: Instant, request_id: &str) {
        if self.calls.len() >= MAX_CALLS {
            self.calls.pop_front();
        }
        self.calls.push_back((now, request_id.to_owned()));
    }

    /// Returns whether a call that the request `parent` made failed.
    pub fn has_nested_request_of(&self, now: Instant, parent: &str) -> bool {
        let recent = self.calls.iter().rev().take_while(|(at, _)| now <= *at + EXPLAINS_FOR);
        recent.into_iter().any(|(_, id)| is_nested_request_of(id, parent))
    }
}

/// Returns whether a request with `id` is a call that the request `parent` made. The users'
/// servers derive the id of a call from that of the request that makes it; calls with ids of
/// another form are taken for requests of callers.
pub fn is_nested_request_of(id: &str, parent: &str) -> bool {
    id.len() > parent.len() && id.starts_with(parent)
}
