//! Recent failures of nested requests, which explain failures of their parent requests.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which a failed nested request explains a failure of its parent. The parent's server
/// answers within milliseconds of the end of the nested request.
const RETENTION: Duration = Duration::from_millis(500);

/// Maximum number of remembered requests; the oldest is dropped first.
const MAX_REQUESTS: usize = 128;

/// Requests that failed recently at one ingress.
#[derive(Clone, Debug, Default)]
pub struct FailedRequests {
    /// Time of the failure and id of each request, oldest first.
    requests: VecDeque<(Instant, String)>,
}

impl FailedRequests {
    /// Records a request that ended without success.
    pub fn add(&mut self, now: Instant, request_id: &str) {
        if self.requests.len() >= MAX_REQUESTS {
            self.requests.pop_front();
        }
        self.requests.push_back((now, request_id.to_owned()));
    }

    /// Returns whether a request nested in `parent` failed recently.
    pub fn has_nested_request_of(&self, now: Instant, parent: &str) -> bool {
        let recent = self.requests.iter().rev().take_while(|(at, _)| now <= *at + RETENTION);
        recent.into_iter().any(|(_, id)| is_nested_request_of(id, parent))
    }
}

/// Returns whether the request `id` was sent by the backend server that runs `parent`. The users'
/// servers derive the id of a nested request from the id of its parent; a request whose id has
/// another form counts as top-level.
pub fn is_nested_request_of(id: &str, parent: &str) -> bool {
    id.len() > parent.len() && id.starts_with(parent)
}
