//! Table of backend servers and its updates from membership records. The module `choose` selects
//! servers, the module `reports` updates the table from requests.

use crate::base::{Cx, HashMap, InstanceId, Phase, ServerId, ServiceId};
use crate::route::breaker::Breaker;
use crate::route::entry::{CandidateList, Distance, Index, NetworkPath, ServerEntry, rank};
use crate::route::load::LoadEstimate;
use crate::route::service::{ListedEntry, ServiceTable};
use crate::route::{BreakerState, Endpoint, RouterConfig, ServerHealth};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Instant;

/// Routes the requests of one ingress.
///
/// After each [`Router::on_sent`] exactly one of [`Router::on_answer`],
/// [`Router::on_path_failure`] and [`Router::on_canceled`] must be called.
#[derive(Debug)]
pub struct Router {
    pub(super) cfg: RouterConfig,
    pub(super) entries: Vec<Option<ServerEntry>>,
    pub(super) services: Vec<ServiceTable>,
    pub(super) service_indices: HashMap<ServiceId, usize>,
    pub(super) paths: Vec<NetworkPath>,
    /// Unused positions in `entries`.
    free_entries: Vec<Index>,
    /// Unused positions in `paths`.
    free_paths: Vec<usize>,
    pub(super) entry_indices: HashMap<ServerId, Index>,
    pub(super) path_indices: HashMap<InstanceId, usize>,
    /// Due times of breaker timers, each with the index of its path.
    timers: BinaryHeap<Reverse<(Instant, usize)>>,
    /// Paths in the order in which they became half-open, oldest first. A path stays listed after
    /// it left the half-open state.
    pub(super) half_open_paths: VecDeque<usize>,
    /// Time at which the last path probe was requested.
    pub(super) last_probe_at: Option<Instant>,
}

impl Router {
    /// Returns a router that knows no backend server.
    pub fn new(cfg: RouterConfig) -> Router {
        Router {
            cfg,
            entries: vec![],
            services: vec![],
            service_indices: HashMap::default(),
            paths: vec![],
            free_entries: vec![],
            free_paths: vec![],
            entry_indices: HashMap::default(),
            path_indices: HashMap::default(),
            timers: BinaryHeap::new(),
            half_open_paths: VecDeque::new(),
            last_probe_at: None,
        }
    }

    /// Adds or updates a backend server. An endpoint of an earlier incarnation than the known
    /// endpoint is ignored.
    pub fn upsert(&mut self, cx: &mut Cx, endpoint: Endpoint) {
        let Some(index) = self.entry_indices.get(&endpoint.server).copied() else {
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
        let Some(index) = self.entry_indices.remove(server) else {
            return;
        };
        self.move_to_list(index, CandidateList::Unavailable);
        let Some(entry) = self.entries[index as usize].take() else {
            return;
        };
        self.free_entries.push(index);
        self.detach_from_path(entry.path_index, index);
    }

    /// Returns the breaker state of the network path to `instance`, if a server behind it is known.
    pub fn path_state(&self, instance: &InstanceId) -> Option<BreakerState> {
        self.path_indices.get(instance).map(|path_index| self.paths[*path_index].breaker.state())
    }

    /// Returns the newest known health of a backend server.
    pub fn health(&self, server: &ServerId) -> Option<ServerHealth> {
        let index = self.entry_indices.get(server)?;
        self.entries[*index as usize].as_ref().map(|e| e.health)
    }

    /// Returns the moving average of requests per slot over the answers of a service; zero before
    /// the first answer.
    pub fn mean_load(&self, service: &ServiceId) -> f64 {
        self.service_indices.get(service).map_or(0.0, |at| self.services[*at].mean_load)
    }

    /// Returns the number of known backend servers.
    pub fn len(&self) -> usize {
        self.entry_indices.len()
    }

    /// Returns whether no backend server is known.
    pub fn is_empty(&self) -> bool {
        self.entry_indices.is_empty()
    }

    /// Applies breaker timers that are due.
    pub(super) fn tick(&mut self, now: Instant) {
        while let Some(Reverse((due, path_index))) = self.timers.peek().copied() {
            if due > now {
                return;
            }
            self.timers.pop();
            if self.paths[path_index].timer_at == Some(due) {
                self.paths[path_index].timer_at = None;
            }
            self.update_timer(now, path_index);
            self.update_lists_of_path(path_index);
        }
    }

    pub(super) fn start_path_trial(&mut self, now: Instant, path_index: usize) {
        self.paths[path_index].breaker.start_trial(now, self.cfg.trial_timeout);
        self.update_timer(now, path_index);
        self.update_lists_of_path(path_index);
    }

    fn add(&mut self, cx: &mut Cx, endpoint: Endpoint) {
        let service_index = self.intern_service(&endpoint.service);
        let path_index = self.intern_path(&endpoint.instance);
        let server = endpoint.server.clone();
        let entry = ServerEntry {
            service_index,
            path_index,
            distance: self.distance_to(&endpoint),
            rank: rank(&self.cfg.instance, &server),
            health: endpoint.health,
            list: CandidateList::Unavailable,
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
        self.entry_indices.insert(server, index);
        self.paths[path_index].entries.push(index);
        self.update_list(index);
    }

    fn update(&mut self, cx: &mut Cx, index: Index, endpoint: Endpoint) {
        let Some(entry) = self.entries[index as usize].as_mut() else {
            return;
        };
        let restarted = endpoint.incarnation > entry.endpoint.incarnation;
        // Health from an answer is newer than a repeated membership record, which must not
        // override it.
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
        let path_index = entry.path_index;
        entry.endpoint = endpoint;
        if restarted {
            // Path failures during the old incarnation say nothing about the new incarnation.
            self.record_path_success(path_index);
        }
        if health_changed {
            self.set_health(cx, index, health);
        }
        self.update_list(index);
    }

    pub(super) fn set_health(&mut self, cx: &mut Cx, index: Index, health: ServerHealth) {
        let Some(entry) = self.entries[index as usize].as_mut() else {
            return;
        };
        let was_out_of_service =
            matches!(entry.health, ServerHealth::Ejected | ServerHealth::Probation);
        if was_out_of_service && health == ServerHealth::Serving {
            entry.slow_start_since = Some(cx.now);
        }
        if entry.health != health && health == ServerHealth::Probation {
            entry.last_trial_at = cx.now;
        }
        entry.health = health;
    }

    pub(super) fn update_timer(&mut self, now: Instant, path_index: usize) {
        let due = self.paths[path_index].breaker.tick(now);
        if self.paths[path_index].breaker.state() == BreakerState::HalfOpen(now) {
            self.half_open_paths.push_back(path_index);
        }
        if due == self.paths[path_index].timer_at {
            return;
        }
        self.paths[path_index].timer_at = due;
        if let Some(due) = due {
            self.timers.push(Reverse((due, path_index)));
        }
    }

    pub(super) fn update_lists_of_path(&mut self, path_index: usize) {
        let entries = std::mem::take(&mut self.paths[path_index].entries);
        for index in &entries {
            self.update_list(*index);
        }
        self.paths[path_index].entries = entries;
    }

    pub(super) fn update_list(&mut self, index: Index) {
        let Some(entry) = self.entries[index as usize].as_ref() else {
            return;
        };
        let list = entry.list_for(self.paths[entry.path_index].breaker.state());
        self.move_to_list(index, list);
    }

    fn move_to_list(&mut self, index: Index, list: CandidateList) {
        let Some(entry) = self.entries[index as usize].as_mut() else {
            return;
        };
        if entry.list == list {
            return;
        }
        let old = std::mem::replace(&mut entry.list, list);
        let listed = ListedEntry {
            index,
            rank: entry.rank,
            domain: &entry.endpoint.domain,
            distance: entry.distance,
        };
        let service = &mut self.services[entry.service_index];
        service.remove(&listed, old);
        service.insert(&listed, list);
    }

    fn intern_service(&mut self, service: &ServiceId) -> usize {
        if let Some(known) = self.service_indices.get(service) {
            return *known;
        }
        self.services.push(ServiceTable::default());
        self.service_indices.insert(service.clone(), self.services.len() - 1);
        self.services.len() - 1
    }

    fn intern_path(&mut self, instance: &InstanceId) -> usize {
        if let Some(known) = self.path_indices.get(instance) {
            return *known;
        }
        let breaker = Breaker::new(&self.cfg.breaker);
        let path =
            NetworkPath { instance: instance.clone(), breaker, entries: vec![], timer_at: None };
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
        self.path_indices.insert(instance.clone(), index);
        index
    }

    /// Removes an entry from its path, and a path without entries from the table. Instances are
    /// replaced under new names, so unused paths would otherwise accumulate.
    fn detach_from_path(&mut self, path_index: usize, index: Index) {
        let entries = &mut self.paths[path_index].entries;
        entries.retain(|other| *other != index);
        if entries.is_empty() {
            self.path_indices.remove(&self.paths[path_index].instance);
            // A pending timer of the removed path is harmless: it only re-evaluates the breaker of
            // the path that reuses this index.
            self.paths[path_index].breaker = Breaker::new(&self.cfg.breaker);
            self.free_paths.push(path_index);
        }
    }

    fn distance_to(&self, endpoint: &Endpoint) -> Distance {
        if endpoint.domain == self.cfg.domain {
            return Distance::OwnDomain;
        }
        if endpoint.region == self.cfg.region {
            return Distance::OwnRegion;
        }
        Distance::OtherRegion
    }
}
