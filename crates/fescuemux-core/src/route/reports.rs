//! What the router learns from requests, answers and probes.

use crate::base::{Cx, InstanceId, ServerId, Verdict};
use crate::route::entry::Index;
use crate::route::{AttemptAnswer, BreakerState, Choice, RequestKind, Router, ServerLoad};

impl Router {
    /// Counts a request as under way.
    pub fn on_sent(&mut self, cx: &mut Cx, choice: &Choice) {
        let Some(index) = self.by_server.get(&choice.server).copied() else {
            return;
        };
        let Some(entry) = self.entries[index as usize].as_mut() else {
            return;
        };
        entry.in_flight += 1;
        if choice.kind == RequestKind::Trial {
            entry.last_trial = cx.now;
        }
    }

    /// Learns from an answer of a guard, of any status.
    pub fn on_answer(&mut self, cx: &mut Cx, server: &ServerId, answered: AttemptAnswer) {
        let Some(index) = self.by_server.get(server).copied() else {
            return;
        };
        self.end_request(index);
        let Some(entry) = self.entries[index as usize].as_ref() else {
            return;
        };
        let path = entry.path;
        self.observe_load(cx, index, &answered);
        if let Some(health) = answered.health {
            self.set_health(cx, index, health);
        }
        self.close_path(path);
        self.reclassify(index);
    }

    /// Learns that a request got no answer because the path to the instance failed. The
    /// backend server is not charged.
    pub fn on_path_failure(&mut self, cx: &mut Cx, instance: &InstanceId, server: &ServerId) {
        if let Some(index) = self.by_server.get(server).copied() {
            self.end_request(index);
        }
        let Some(path) = self.by_instance.get(instance).copied() else {
            return;
        };
        self.fail_path(cx, path);
    }

    /// Learns from outside of requests, such as from a membership probe or a connection, that
    /// the path to the instance works in both directions.
    pub fn on_path_success(&mut self, instance: &InstanceId) {
        if let Some(path) = self.by_instance.get(instance).copied() {
            self.close_path(path);
        }
    }

    /// Returns an instance whose path waits for a trial, so that the daemon can try it with a
    /// probe of its own and report to [`Router::on_path_probe`]. Returns at most one in each
    /// [`BreakerConfig::probe_interval`](crate::route::BreakerConfig::probe_interval).
    pub fn next_path_probe(&mut self, cx: &mut Cx) -> Option<InstanceId> {
        self.tick(cx.now);
        let interval = self.cfg.breaker.probe_interval;
        if self.last_probe.is_some_and(|t| cx.now.saturating_duration_since(t) < interval) {
            return None;
        }
        while let Some(path) = self.half_open.pop_front() {
            if let BreakerState::HalfOpen(_) = self.paths[path].breaker.state() {
                self.start_path_trial(cx.now, path);
                self.last_probe = Some(cx.now);
                return Some(self.paths[path].instance.clone());
            }
        }
        None
    }

    /// Learns the result of a probe.
    pub fn on_path_probe(&mut self, cx: &mut Cx, instance: &InstanceId, ok: bool) {
        let Some(path) = self.by_instance.get(instance).copied() else {
            return;
        };
        match ok {
            true => self.close_path(path),
            false => self.fail_path(cx, path),
        }
    }

    /// Ends a request whose caller left before the result was known.
    pub fn on_canceled(&mut self, cx: &mut Cx, server: &ServerId) {
        let Some(index) = self.by_server.get(server).copied() else {
            return;
        };
        self.end_request(index);
        let Some(entry) = self.entries[index as usize].as_ref() else {
            return;
        };
        let path = entry.path;
        self.paths[path].breaker.on_trial_void(cx.now);
        self.schedule(cx.now, path);
        self.reclassify_path(path);
    }

    fn observe_load(&mut self, cx: &mut Cx, index: Index, answered: &AttemptAnswer) {
        const MEAN_GAIN: f64 = 0.05;
        let Some(entry) = self.entries[index as usize].as_mut() else {
            return;
        };
        let slots = entry.endpoint.slots.max(1);
        // A refusal without a load report counts as a full server.
        let refused = answered.verdict == Verdict::NotRun;
        let full = refused.then_some(ServerLoad { busy: slots, slots, queued: 0 });
        let Some(load) = answered.load.or(full) else {
            return;
        };
        let slots = f64::from(load.slots.max(1));
        let total = f64::from(load.busy) + f64::from(load.queued);
        let others = (total - f64::from(entry.in_flight)).max(0.0) / slots;
        entry.load.observe(cx.now, others);
        let service = &mut self.services[entry.service];
        service.mean_load += MEAN_GAIN * (total / slots - service.mean_load);
    }

    fn end_request(&mut self, index: Index) {
        if let Some(entry) = self.entries[index as usize].as_mut() {
            entry.in_flight = entry.in_flight.saturating_sub(1);
            entry.trial_until = None;
        }
    }

    pub(super) fn close_path(&mut self, path: usize) {
        let was = self.paths[path].breaker.state();
        self.paths[path].breaker.on_success(&self.cfg.breaker);
        if was != BreakerState::Closed {
            self.reclassify_path(path);
        }
    }

    fn fail_path(&mut self, cx: &mut Cx, path: usize) {
        self.paths[path].breaker.on_failure(cx, &self.cfg.breaker);
        self.schedule(cx.now, path);
        self.reclassify_path(path);
    }
}
