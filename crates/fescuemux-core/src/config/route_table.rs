//! Lookup of the route for a request.

use super::{Config, Route};
use crate::base::HashMap;
use smol_str::SmolStr;
use std::borrow::Cow;

/// Id that matches every method or every host in a [`Selector`].
const ANY: u32 = 0;
/// Node of the URL path `/`.
const ROOT: u32 = 0;

/// Routes of one generation in a trie of the segments of URL paths. The cost of a lookup depends on
/// the length of the path and not on the number of routes.
///
/// The longest path prefix takes precedence. Among equal prefixes, a route with a host precedes a
/// route without, and then a route with a method precedes a route without. Paths are compared byte
/// by byte: percent encoding and dot segments are not interpreted.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes: Vec<Route>,
    method_ids: HashMap<SmolStr, u32>,
    host_ids: HashMap<SmolStr, u32>,
    segment_ids: HashMap<SmolStr, u32>,
    /// Child nodes by parent node and segment id.
    children: HashMap<(u32, u32), u32>,
    /// For each node, whether a route ends there.
    has_routes: Vec<bool>,
    /// Indices in `routes`.
    routes_by_selector: HashMap<Selector, u32>,
}

/// Lookup key of a route: the node of its path prefix, and the ids of its host and method.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Selector {
    node: u32,
    host: u32,
    method: u32,
}

impl RouteTable {
    /// Builds the table of the routes in `config`.
    pub fn new(config: &Config) -> RouteTable {
        let mut table = RouteTable { has_routes: vec![false], ..RouteTable::default() };
        for route in config.routes.values() {
            table.insert(route);
        }
        table
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Returns the route for a request. `host` may be in any case and include a port; `path` may
    /// include a query.
    pub fn lookup(&self, method: &str, host: &str, path: &str) -> Option<&Route> {
        let path = path.split(['?', '#']).next()?.strip_prefix('/')?;
        let method = self.method_ids.get(method).copied();
        let host = self.host_ids.get(normalize_host(host).as_ref()).copied();
        let mut node = ROOT;
        let mut best = self.best_route_at(node, host, method);
        for segment in path.split('/') {
            let Some(child) = self.child(node, segment) else { break };
            node = child;
            best = self.best_route_at(node, host, method).or(best);
        }
        best.and_then(|index| self.routes.get(index as usize))
    }

    fn child(&self, node: u32, segment: &str) -> Option<u32> {
        let segment = self.segment_ids.get(segment)?;
        self.children.get(&(node, *segment)).copied()
    }

    fn best_route_at(&self, node: u32, host: Option<u32>, method: Option<u32>) -> Option<u32> {
        if !self.has_routes[node as usize] {
            return None;
        }
        let with_host = host.and_then(|host| self.route_for_host(node, host, method));
        with_host.or_else(|| self.route_for_host(node, ANY, method))
    }

    fn route_for_host(&self, node: u32, host: u32, method: Option<u32>) -> Option<u32> {
        let exact =
            method.and_then(|method| self.routes_by_selector.get(&Selector { node, host, method }));
        exact
            .or_else(|| self.routes_by_selector.get(&Selector { node, host, method: ANY }))
            .copied()
    }

    fn insert(&mut self, route: &Route) {
        let mut node = ROOT;
        for segment in route.path_prefix.split('/').filter(|segment| !segment.is_empty()) {
            node = self.add_child(node, segment);
        }
        let host = route.host.as_ref().map_or(ANY, |host| intern(&mut self.host_ids, host));
        let method = route.method.as_ref().map_or(ANY, |m| intern(&mut self.method_ids, m));
        self.has_routes[node as usize] = true;
        self.routes_by_selector.insert(Selector { node, host, method }, self.routes.len() as u32);
        self.routes.push(route.clone());
    }

    fn add_child(&mut self, node: u32, segment: &str) -> u32 {
        let segment = intern(&mut self.segment_ids, segment);
        let next = self.has_routes.len() as u32;
        let child = *self.children.entry((node, segment)).or_insert(next);
        if child == next {
            self.has_routes.push(false);
        }
        child
    }
}

/// Returns the id of `text`, and assigns the next free id to a new text. Ids start at one, because
/// zero is [`ANY`].
fn intern(ids: &mut HashMap<SmolStr, u32>, text: &str) -> u32 {
    let next = ids.len() as u32 + 1;
    *ids.entry(SmolStr::new(text)).or_insert(next)
}

/// Returns `host` in lower case and without port.
fn normalize_host(host: &str) -> Cow<'_, str> {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    };
    if name.bytes().any(|b| b.is_ascii_uppercase()) {
        return Cow::Owned(name.to_ascii_lowercase());
    }
    Cow::Borrowed(name)
}
