//! Parent requests that may run at the local backend server although the guard no longer, or not
//! yet, counts them as running.

use crate::placement::is_nested_request_of;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Maximum number of remembered parents; the oldest is dropped first. A guard breaks off a few
/// requests a second at most, and the longest timeouts are tens of seconds.
const MAX_PARENTS: usize = 256;

/// Parent requests that may still run at the local backend server without being known as running:
/// those that an earlier process sent, and those whose exchange was broken off, which a server may
/// notice late or never.
#[derive(Clone, Debug)]
pub struct UnfinishedParents {
    /// Start of this process, or `None` if no earlier process has sent requests.
    restarted_at: Option<Instant>,
    /// Time at which each request was broken off, and its id, oldest first.
    broken_off: VecDeque<(Instant, String)>,
}

impl UnfinishedParents {
    /// Returns the state at the start of the process. `first_start` is whether no earlier process has
    /// sent requests to the server.
    pub fn new(now: Instant, first_start: bool) -> UnfinishedParents {
        let restarted_at = (!first_start).then_some(now);
        UnfinishedParents { restarted_at, broken_off: VecDeque::new() }
    }

    /// Records a request whose exchange ended before the server had answered it.
    pub fn on_broken_off(&mut self, now: Instant, id: &str) {
        if self.broken_off.len() >= MAX_PARENTS {
            self.broken_off.pop_front();
        }
        self.broken_off.push_back((now, id.to_owned()));
    }

    /// Returns for how long a parent of the request `id` that is not known as running may still run,
    /// or `None` if there can be no such parent. No request runs for longer than `longest_timeout`.
    pub fn may_run_for(
        &self,
        now: Instant,
        id: &str,
        longest_timeout: Duration,
    ) -> Option<Duration> {
        let mut broken_off = self.broken_off.iter().rev();
        let broken_off = broken_off.find(|(_, parent)| is_nested_request_of(id, parent));
        let last_sent = self.restarted_at.max(broken_off.map(|(at, _)| *at))?;
        let left = (last_sent + longest_timeout).saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }
}
