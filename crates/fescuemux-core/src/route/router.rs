//! Table of backend servers and its updates. The choice stands in `choose`, what is learned
//! from requests in `reports`.

use crate::base::{Cx, HashMap, InstanceId, Phase, ServerId, ServiceId};
use crate::route::breaker::Breaker;
use crate::route::entry::{Class, Entry, Index, Path, Tier, rank};
use crate::route::load::LoadEstimate;
use crate::route::service::{Place, ServiceTable};
use crate::route::{BreakerState, Endpoint, RouterConfig, ServerHealth};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Instant;

/// Routes the requests of one ingress.
///
/// After each [`Router::on_sent`] exactly one of [`Router::on_answer`],
/// [`Router::on_path_failure`] and [`Router::on_canceled`] is called.
#[derive(Debug)]
pub struct Router {
    pub(super) cfg: RouterConfig,
    pub(super) entries: Vec<Option<Entry>>,
    pub(super) services: Vec<ServiceTable>,
    pub(super) service_index: HashMap<ServiceId, usize>,
    pub(super) paths: Vec<Path>,
    free: Vec<Index>,
    free_paths: Vec<usize>,
    pub(super) by_server: HashMap<ServerId, Index>,
    pub(super) by_instance: HashMap<InstanceId, usize>,
    timers: BinaryHeap<Reverse<(Instant, usize)>>,
    /// Paths that became half-open, oldest first; some may have moved on since.
    pub(super) half_open: VecDeque<usize>,
    pub(super) last_probe: Option<Instant>,
}

impl Router {
    /// Returns a router that knows no backend server.
    pub fn new(cfg: RouterConfig) -> Router {
        Router {
            cfg,
            entries: vec![],
            services: vec![],
            service_index: HashMap::default(),
            paths: vec![],
            free: vec![],
            free_paths: vec![],
            by_server: HashMap::default(),
            by_instance: HashMap::default(),
            timers: BinaryHeap::new(),
            half_open: VecDeque::new(),
            last_probe: None,
        }
    }

    /// Adds a backend server or updates what is known of it. A record of an earlier
    /// incarnation than the known one is ignored.
    pub fn upsert(&mut self, cx: &mut Cx, endpoint: Endpoint) {
        let Some(index) = self.by_server.get(&endpoint.server).copied() else {
            self.add(cx, endpoint);
            return;
        };
        let Some(known) = self.entries[index as usize].as_ref().map(|e| &e.endpoint) else {
            return;
        };
        if endpoint.incarnation < known.incarnation {
            return;
        }
        let moved = endpoint.service != known.service
            || endpoint.instance != known.instance
            || endpoint.domain != known.domain
            || endpoint.region != known.region;
        if moved {
            self.remove(&endpoint.server);
            self.add(cx, endpoint);
            return;
        }
        self.update(cx, index, endpoint);
    }

    /// Forgets a backend server.
    pub fn remove(&mut self, server: &ServerId) {
        let Some(index) = self.by_server.remove(server) else {
            return;
        };
        self.set_class(index, Class::Off);
        let Some(entry) = self.entries[index as usize].take() else {
            return;
        };
        self.free.push(index);
        self.leave_path(entry.path, index);
    }

    /// Returns the state of the breaker for the path to `instance`.
    pub fn path_state(&self, instance: &InstanceId) -> Option<BreakerState> {
        self.by_instance.get(instance).map(|path| self.paths[*path].breaker.state())
    }

    /// Returns the health of a backend server as this ingress knows it.
    pub fn health(&self, server: &ServerId) -> Option<ServerHealth> {
        let index = self.by_server.get(server)?;
        self.entries[*index as usize].as_ref().map(|e| e.health)
    }

    /// Returns the moving mean of requests per slot over the answers of a service, zero before
    /// the first.
    pub fn mean_load(&self, service: &ServiceId) -> f64 {
        self.service_index.get(service).map_or(0.0, |at| self.services[*at].mean_load)
    }

    /// Returns the number of known backend servers.
    pub fn len(&self) -> usize {
        self.by_server.len()
    }

    /// Returns true when no backend server is known.
    pub fn is_empty(&self) -> bool {
        self.by_server.is_empty()
    }

    /// Applies breaker timers that are due.
    pub(super) fn tick(&mut self, now: Instant) {
        while let Some(Reverse((due, path))) = self.timers.peek().copied() {
            if due > now {
                return;
            }
            self.timers.pop();
            if self.paths[path].scheduled == Some(due) {
                self.paths[path].scheduled = None;
            }
            self.schedule(now, path);
            self.reclassify_path(path);
        }
    }

    pub(super) fn start_path_trial(&mut self, now: Instant, path: usize) {
        self.paths[path].breaker.start_trial(now, self.cfg.trial_timeout);
        self.schedule(now, path);
        self.reclassify_path(path);
    }

    fn add(&mut self, cx: &mut Cx, endpoint: Endpoint) {
        let service = self.service_of(&endpoint.service);
        let path = self.path_of(&endpoint.instance);
        let server = endpoint.server.clone();
        let entry = Entry {
            service,
            path,
            tier: self.tier_of(&endpoint),
            rank: rank(&self.cfg.instance, &server),
            health: endpoint.health,
            class: Class::Off,
            load: LoadEstimate::default(),
            in_flight: 0,
            ramp_start: (endpoint.phase == Phase::Cold).then_some(cx.now),
            trial_until: None,
            last_trial: cx.now,
            endpoint,
        };
        let index = self.free.pop().unwrap_or_else(|| {
            self.entries.push(None);
            (self.entries.len() - 1) as Index
        });
        self.entries[index as usize] = Some(entry);
        self.by_server.insert(server, index);
        self.paths[path].entries.push(index);
        self.reclassify(index);
    }

    fn update(&mut self, cx: &mut Cx, index: Index, endpoint: Endpoint) {
        let Some(entry) = self.entries[index as usize].as_mut() else {
            return;
        };
        let restarted = endpoint.incarnation > entry.endpoint.incarnation;
        // Answers are fresher than membership, so a repeated record must not undo them.
        let health_changed = restarted || endpoint.health != entry.endpoint.health;
        let turned_cold = endpoint.phase == Phase::Cold && entry.endpoint.phase != Phase::Cold;
        if restarted {
            entry.load = LoadEstimate::default();
            entry.trial_until = None;
        }
        if turned_cold {
            entry.ramp_start = Some(cx.now);
        }
        let health = endpoint.health;
        let path = entry.path;
        entry.endpoint = endpoint;
        if restarted {
            // A new incarnation that membership heard of says more than failures of the old.
            self.close_path(path);
        }
        if health_changed {
            self.set_health(cx, index, health);
        }
        self.reclassify(index);
    }

    pub(super) fn set_health(&mut self, cx: &mut Cx, index: Index, health: ServerHealth) {
        let Some(entry) = self.entries[index as usize].as_mut() else {
            return;
        };
        let was_out = matches!(entry.health, ServerHealth::Ejected | ServerHealth::Probation);
        if was_out && health == ServerHealth::Serving {
            entry.ramp_start = Some(cx.now);
        }
        if entry.health != health && health == ServerHealth::Probation {
            entry.last_trial = cx.now;
        }
        entry.health = health;
    }

    pub(super) fn schedule(&mut self, now: Instant, path: usize) {
        let due = self.paths[path].breaker.tick(now);
        if self.paths[path].breaker.state() == BreakerState::HalfOpen(now) {
            self.half_open.push_back(path);
        }
        if due == self.paths[path].scheduled {
            return;
        }
        self.paths[path].scheduled = due;
        if let Some(due) = due {
            self.timers.push(Reverse((due, path)));
        }
    }

    pub(super) fn reclassify_path(&mut self, path: usize) {
        let entries = std::mem::take(&mut self.paths[path].entries);
        for index in &entries {
            self.reclassify(*index);
        }
        self.paths[path].entries = entries;
    }

    pub(super) fn reclassify(&mut self, index: Index) {
        let Some(entry) = self.entries[index as usize].as_ref() else {
            return;
        };
        let class = entry.classify(self.paths[entry.path].breaker.state());
        self.set_class(index, class);
    }

    fn set_class(&mut self, index: Index, class: Class) {
        let Some(entry) = self.entries[index as usize].as_mut() else {
            return;
        };
        if entry.class == class {
            return;
        }
        let old = std::mem::replace(&mut entry.class, class);
        let place =
            Place { index, rank: entry.rank, domain: &entry.endpoint.domain, tier: entry.tier };
        let service = &mut self.services[entry.service];
        service.remove(&place, old);
        service.insert(&place, class);
    }

    fn service_of(&mut self, service: &ServiceId) -> usize {
        if let Some(known) = self.service_index.get(service) {
            return *known;
        }
        self.services.push(ServiceTable::default());
        self.service_index.insert(service.clone(), self.services.len() - 1);
        self.services.len() - 1
    }

    fn path_of(&mut self, instance: &InstanceId) -> usize {
        if let Some(known) = self.by_instance.get(instance) {
            return *known;
        }
        let breaker = Breaker::new(&self.cfg.breaker);
        let path = Path { instance: instance.clone(), breaker, entries: vec![], scheduled: None };
        let index = match self.free_paths.pop() {
            Some(free) => {
                self.paths[free] = path;
                free
            }
            None => {
                self.paths.push(path);
                self.paths.len() - 1
            }
        };
        self.by_instance.insert(instance.clone(), index);
        index
    }

    /// Removes an entry from its path, and the path with its last entry, because instances are
    /// replaced under new names for as long as the ingress runs.
    fn leave_path(&mut self, path: usize, index: Index) {
        let entries = &mut self.paths[path].entries;
        entries.retain(|other| *other != index);
        if entries.is_empty() {
            self.by_instance.remove(&self.paths[path].instance);
            // A timer of the old path finds nothing to do in the next one.
            self.paths[path].breaker = Breaker::new(&self.cfg.breaker);
            self.free_paths.push(path);
        }
    }

    fn tier_of(&self, endpoint: &Endpoint) -> Tier {
        if endpoint.domain == self.cfg.domain {
            return Tier::OwnDomain;
        }
        if endpoint.region == self.cfg.region {
            return Tier::OwnRegion;
        }
        Tier::OtherRegion
    }
}
