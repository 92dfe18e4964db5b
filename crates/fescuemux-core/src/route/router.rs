//! Table of backend servers and its updates from membership. Selection is in `choose`, updates
//! from requests are in `reports`.

use crate::base::{Cx, HashMap, InstanceId, Phase, ServerId, ServiceId};
use crate::route::breaker::Breaker;
use crate::route::entry::{Class, Entry, Index, Path, Tier, rank};
use crate::route::load::LoadEstimate;
use crate::route::service::{ListedEntry, ServiceTable};
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
    free_entries: Vec<Index>,
    free_paths: Vec<usize>,
    pub(super) by_server: HashMap<ServerId, Index>,
    pub(super) by_instance: HashMap<InstanceId, usize>,
    timers: BinaryHeap<Reverse<(Instant, usize)>>,
    /// Paths that became half-open, oldest first. Some may have left that state since.
    pub(super) half_open_paths: VecDeque<usize>,
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
            free_entries: vec![],
            free_paths: vec![],
            by_server: HashMap::default(),
            by_instance: HashMap::default(),
            timers: BinaryHeap::new(),
            half_open_paths: VecDeque::new(),
            last_probe: None,
        }
    }

    /// Adds or updates a backend server. A record of an earlier incarnation than the known one
    /// is ignored.
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

    /// Removes a backend server.
    pub fn remove(&mut self, server: &ServerId) {
        let Some(index) = self.by_server.remove(server) else {
            return;
        };
        self.set_class(index, Class::Unavailable);
        let Some(entry) = self.entries[index as usize].take() else {
            return;
        };
        self.free_entries.push(index);
        self.detach_from_path(entry.path, index);
    }

    /// Returns the breaker state of the path to `instance`.
    pub fn path_state(&self, instance: &InstanceId) -> Option<BreakerState> {
        self.by_instance.get(instance).map(|path| self.paths[*path].breaker.state())
    }

    /// Returns the newest known health of a backend server.
    pub fn health(&self, server: &ServerId) -> Option<ServerHealth> {
        let index = self.by_server.get(server)?;
        self.entries[*index as usize].as_ref().map(|e| e.health)
    }

    /// Returns the moving average of requests per slot over the answers of a service; zero before
    /// the first answer.
    pub fn mean_load(&self, service: &ServiceId) -> f64 {
        self.service_index.get(service).map_or(0.0, |at| self.services[*at].mean_load)
    }

    /// Returns the number of known backend servers.
    pub fn len(&self) -> usize {
        self.by_server.len()
    }

    /// Returns whether no backend server is known.
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
            if self.paths[path].timer_at == Some(due) {
                self.paths[path].timer_at = None;
            }
            self.update_timer(now, path);
            self.reclassify_path(path);
        }
    }

    pub(super) fn start_path_trial(&mut self, now: Instant, path: usize) {
        self.paths[path].breaker.start_trial(now, self.cfg.trial_timeout);
        self.update_timer(now, path);
        self.reclassify_path(path);
    }

    fn add(&mut self, cx: &mut Cx, endpoint: Endpoint) {
        let service = self.intern_service(&endpoint.service);
        let path = self.intern_path(&endpoint.instance);
        let server = endpoint.server.clone();
        let entry = Entry {
            service,
            path,
            tier: self.tier_of(&endpoint),
            rank: rank(&self.cfg.instance, &server),
            health: endpoint.health,
            class: Class::Unavailable,
            load: LoadEstimate::default(),
            in_flight: 0,
            slow_start_since: (endpoint.phase == Phase::Cold).then_some(cx.now),
            no_trial_before: None,
            last_trial_at: cx.now,
            endpoint,
        };
        let index = self.free_entries.pop().unwrap_or_else(|| {
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
        // Health from answers is newer than membership; a repeated record must not override it.
        let health_changed = restarted || endpoint.health != entry.endpoint.health;
        let turned_cold = endpoint.phase == Phase::Cold && entry.endpoint.phase != Phase::Cold;
        if restarted {
            entry.load = LoadEstimate::default();
            entry.no_trial_before = None;
        }
        if turned_cold {
            entry.slow_start_since = Some(cx.now);
        }
        let health = endpoint.health;
        let path = entry.path;
        entry.endpoint = endpoint;
        if restarted {
            // Failures of the old incarnation say nothing about the new one.
            self.record_path_success(path);
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
        let was_withdrawn = matches!(entry.health, ServerHealth::Ejected | ServerHealth::Probation);
        if was_withdrawn && health == ServerHealth::Serving {
            entry.slow_start_since = Some(cx.now);
        }
        if entry.health != health && health == ServerHealth::Probation {
            entry.last_trial_at = cx.now;
        }
        entry.health = health;
    }

    pub(super) fn update_timer(&mut self, now: Instant, path: usize) {
        let due = self.paths[path].breaker.tick(now);
        if self.paths[path].breaker.state() == BreakerState::HalfOpen(now) {
            self.half_open_paths.push_back(path);
        }
        if due == self.paths[path].timer_at {
            return;
        }
        self.paths[path].timer_at = due;
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
        let place = ListedEntry {
            index,
            rank: entry.rank,
            domain: &entry.endpoint.domain,
            tier: entry.tier,
        };
        let service = &mut self.services[entry.service];
        service.remove(&place, old);
        service.insert(&place, class);
    }

    fn intern_service(&mut self, service: &ServiceId) -> usize {
        if let Some(known) = self.service_index.get(service) {
            return *known;
        }
        self.services.push(ServiceTable::default());
        self.service_index.insert(service.clone(), self.services.len() - 1);
        self.services.len() - 1
    }

    fn intern_path(&mut self, instance: &InstanceId) -> usize {
        if let Some(known) = self.by_instance.get(instance) {
            return *known;
        }
        let breaker = Breaker::new(&self.cfg.breaker);
        let path = Path { instance: instance.clone(), breaker, entries: vec![], timer_at: None };
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

    /// Removes an entry from its path, and the path with its last entry. Instances are replaced
    /// under new names, so unused paths would otherwise accumulate.
    fn detach_from_path(&mut self, path: usize, index: Index) {
        let entries = &mut self.paths[path].entries;
        entries.retain(|other| *other != index);
        if entries.is_empty() {
            self.by_instance.remove(&self.paths[path].instance);
            // A pending timer of the old path is harmless: it only re-evaluates the breaker of
            // the next path at this index.
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
