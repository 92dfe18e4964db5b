//! Requests at the local backend server.

use super::Node;
use fescuemux_core::placement::is_nested_request_of;

/// Request that is running at the local backend server.
#[derive(Clone, Debug)]
pub(crate) struct RunningRequest {
    pub(crate) id: String,
    /// Whether the request is a retry or nested in a retry, also indirectly.
    pub(crate) is_part_of_retry: bool,
}

impl Node {
    /// Returns the request running at the local backend server in which the request `id` is nested,
    /// if there is one.
    pub(crate) fn running_parent(&self, id: &str) -> Option<RunningRequest> {
        let running = self.running_requests.borrow();
        running.iter().find(|parent| is_nested_request_of(id, &parent.id)).cloned()
    }
}
