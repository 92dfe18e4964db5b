//! Route lookup by host and longest path prefix.

use crate::base::{HashMap, HashSet, RouteId};
use crate::placement::RoutePolicy;
use smol_str::SmolStr;
use std::sync::Arc;
use std::time::Duration;

/// Routes of one configuration. A lookup costs one hash per path segment, regardless of the number
/// of routes.
#[derive(Clone, Debug, Default)]
pub struct RouteMap {
    /// Routes by lowercase host name and path prefix.
    hosts: HashMap<SmolStr, HashMap<SmolStr, Arc<RoutePolicy>>>,
    ids: HashSet<RouteId>,
    longest_timeout: Duration,
}

impl RouteMap {
    /// Adds a route. Host names are case-insensitive.
    pub fn insert(&mut self, host: &str, prefix: &str, policy: RoutePolicy) {
        self.ids.insert(policy.id.clone());
        self.longest_timeout = self.longest_timeout.max(policy.timeout);
        let routes = self.hosts.entry(host.to_ascii_lowercase().into()).or_default();
        routes.insert(prefix.into(), Arc::new(policy));
    }

    /// Returns the route of `host` with the longest matching prefix of `path`. Prefixes end with a
    /// slash, so the lookup tries the path up to each of its slashes, from the last to the first.
    pub fn lookup(&self, host: &str, path: &str) -> Option<&Arc<RoutePolicy>> {
        let routes = self.hosts.get(host.to_ascii_lowercase().as_str())?;
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        slashes.map(|(at, _)| &path[..=at]).find_map(|prefix| routes.get(prefix))
    }

    /// Returns whether a route with this id exists.
    pub fn contains(&self, id: &RouteId) -> bool {
        self.ids.contains(id)
    }

    /// Returns the longest timeout of all routes that were added, which bounds the time for which a
    /// request may run.
    pub fn longest_timeout(&self) -> Duration {
        self.longest_timeout
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(|routes| routes.len()).sum()
    }

    /// Returns whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
