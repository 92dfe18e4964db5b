//! Router updates from requests, answers and path probes.

use crate::base::{Cx, InstanceId, ServerId, Verdict};
use crate::route::entry::Index;
use crate::route::{AttemptAnswer, BreakerState, Choice, RequestKind, Router, ServerLoad};

impl Router {
    /// Records that a request was sent.
    pub fn on_sent(&mut self, cx: &mut Cx, choice: &Choice) {
        let Some(index) = self.entry_indices.get(&choice.server).copied() else {
            return;
        };
        let Some(entry) = self.entries[index as usize].as_mut() else {
            return;
        };
        entry.in_flight += 1;
        if choice.kind == RequestKind::Trial {
            entry.last_trial_at = cx.now;
        }
    }

    /// Records an answer of a guard, with any status.
    pub fn on_answer(&mut self, cx: &mut Cx, server: &ServerId, answer: AttemptAnswer) {
        let Some(index) = self.entry_indices.get(server).copied() else {
            return;
        };
        self.end_request(index);
        let Some(entry) = self.entries[index as usize].as_ref() else {
            return;
        };
        let path_index = entry.path_index;
        self.observe_load(cx, index, &answer);
        if let Some(health) = answer.health {
            self.set_health(cx, index, health);
        }
        self.record_path_success(path_index);
        self.update_list(index);
    }

    /// Records that a request got no answer because the path to the instance failed. The health
    /// of the backend server is not affected.
    pub fn on_path_failure(&mut self, cx: &mut Cx, instance: &InstanceId, server: &ServerId) {
        if let Some(index) = self.entry_indices.get(server).copied() {
            self.end_request(index);
        }
        let Some(path_index) = self.path_indices.get(instance).copied() else {
            return;
        };
        self.record_path_failure(cx, path_index);
    }

    /// Records that the path to the instance works in both directions, as a membership probe or a
    /// connection shows without a request.
    pub fn on_path_success(&mut self, instance: &InstanceId) {
        if let Some(path_index) = self.path_indices.get(instance).copied() {
            self.record_path_success(path_index);
        }
    }

    /// Returns an instance whose path is half-open. The daemon probes the path and reports the
    /// result to [`Router::on_path_probe`]. Returns at most one instance per
    /// [`BreakerConfig::probe_interval`](crate::route::BreakerConfig::probe_interval).
    pub fn next_path_probe(&mut self, cx: &mut Cx) -> Option<InstanceId> {
        self.tick(cx.now);
        let interval = self.cfg.breaker.probe_interval;
        if self.last_probe_at.is_some_and(|t| cx.now.saturating_duration_since(t) < interval) {
            return None;
        }
        while let Some(path_index) = self.half_open_paths.pop_front() {
            if let BreakerState::HalfOpen(_) = self.paths[path_index].breaker.state() {
                self.start_path_trial(cx.now, path_index);
                self.last_probe_at = Some(cx.now);
                return Some(self.paths[path_index].instance.clone());
            }
        }
        None
    }

    /// Records the result of a path probe.
    pub fn on_path_probe(&mut self, cx: &mut Cx, instance: &InstanceId, ok: bool) {
        let Some(path_index) = self.path_indices.get(instance).copied() else {
            return;
        };
        match ok {
            true => self.record_path_success(path_index),
            false => self.record_path_failure(cx, path_index),
        }
    }

    /// Records that a request ended before its result was known, for example because its caller
    /// left. A path trial in flight is then inconclusive.
    pub fn on_canceled(&mut self, cx: &mut Cx, server: &ServerId) {
        let Some(index) = self.entry_indices.get(server).copied() else {
            return;
        };
        self.end_request(index);
        let Some(entry) = self.entries[index as usize].as_ref() else {
            return;
        };
        let path_index = entry.path_index;
        self.paths[path_index].breaker.on_trial_inconclusive(cx.now);
        self.update_timer(cx.now, path_index);
        self.update_lists_of_path(path_index);
    }

    fn observe_load(&mut self, cx: &mut Cx, index: Index, answer: &AttemptAnswer) {
        /// Weight of a new observation in the service's moving average of load.
        const MEAN_LOAD_WEIGHT: f64 = 0.05;
        let Some(entry) = self.entries[index as usize].as_mut() else {
            return;
        };
        let slots = entry.endpoint.slots.max(1);
        // A server that refused a request without a load report counts as full.
        let refused = answer.verdict == Verdict::NotRun;
        let full_load = refused.then_some(ServerLoad { busy: slots, slots, queued: 0 });
        let Some(load) = answer.load.or(full_load) else {
            return;
        };
        let slots = f64::from(load.slots.max(1));
        let total = f64::from(load.busy) + f64::from(load.queued);
        let other_load = (total - f64::from(entry.in_flight)).max(0.0) / slots;
        entry.load.observe(cx.now, other_load);
        let service = &mut self.services[entry.service_index];
        service.mean_load += MEAN_LOAD_WEIGHT * (total / slots - service.mean_load);
    }

    fn end_request(&mut self, index: Index) {
        if let Some(entry) = self.entries[index as usize].as_mut() {
            entry.in_flight = entry.in_flight.saturating_sub(1);
            entry.no_trial_before = None;
        }
    }

    pub(super) fn record_path_success(&mut self, path_index: usize) {
        let previous = self.paths[path_index].breaker.state();
        self.paths[path_index].breaker.on_success(&self.cfg.breaker);
        if previous != BreakerState::Closed {
            self.update_lists_of_path(path_index);
        }
    }

    fn record_path_failure(&mut self, cx: &mut Cx, path_index: usize) {
        self.paths[path_index].breaker.on_failure(cx, &self.cfg.breaker);
        self.update_timer(cx.now, path_index);
        self.update_lists_of_path(path_index);
    }
}
