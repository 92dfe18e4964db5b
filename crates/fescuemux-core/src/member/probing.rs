//! Probes, received messages and timers.

use super::apply::Applied;
use super::membership::Membership;
use super::message::{Body, Message};
use super::output::Output;
use super::probe::{Probe, Relay};
use super::record::MemberState;
use crate::base::{Cx, InstanceId};
use rand::Rng as _;
use std::time::{Duration, Instant};

/// Most probes run for other members at a time; further requests get no answer.
const MAX_RELAYS: usize = 256;

/// Time between two searches for dead records that are past their retention.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

impl Membership {
    /// Handles one message from `from`.
    pub fn on_message(&mut self, cx: &mut Cx, from: InstanceId, message: Message) -> Vec<Output> {
        let mut out = Vec::new();
        if from == self.own {
            return out;
        }
        self.detect_pause(cx);
        let mut requested = Vec::new();
        let mut progress = false;
        let pushed = matches!(message.body, Body::Push { .. });
        for update in message.updates {
            let instance = update.instance().clone();
            self.note_claim(&from, &update);
            let repair = pushed && instance != from;
            match self.apply(cx, update, repair, &mut out) {
                Applied::Ignored => {}
                Applied::Accepted => progress = true,
                Applied::Missing => requested.push(instance),
            }
        }
        match self.table.get_mut(&from) {
            Some(peer) => peer.last_heard = Some(cx.now),
            None => self.counters.unknown_senders += 1,
        }
        self.on_stamp(&from, message.config, &mut out);
        if !requested.is_empty() {
            let body = Body::Push { requested, truncated: false };
            out.extend(self.send_with(cx, &from, body, Vec::new()).map(Output::Send));
        }
        self.on_body(cx, &from, message.digest, message.body, progress, &mut out);
        self.wake = self.earliest(cx);
        out
    }

    fn on_body(
        &mut self,
        cx: &mut Cx,
        from: &InstanceId,
        digest: u64,
        body: Body,
        progress: bool,
        out: &mut Vec<Output>,
    ) {
        match body {
            Body::Ping { seq } => {
                out.extend(self.send(cx, from, Body::Ack { seq }).map(Output::Send));
                self.maybe_sync(cx, from, digest, out);
            }
            Body::Ack { seq } => {
                self.on_ack(cx, from, seq, out);
                self.maybe_sync(cx, from, digest, out);
            }
            Body::PingRequest { seq, target } => self.on_ping_request(cx, from, seq, &target, out),
            Body::IndirectAck { seq, reached } => self.on_indirect_ack(seq, reached),
            Body::SyncRequest { buckets } => self.on_sync_request(cx, from, &buckets, out),
            Body::SyncResponse { covered_buckets, summaries, more } => {
                self.on_sync_response(cx, from, covered_buckets, summaries, more, out);
            }
            Body::Push { requested, truncated } => {
                if !requested.is_empty() {
                    self.on_want(cx, from, &requested, out);
                }
                if self.table.get(from).is_some_and(|p| p.doubts_own) {
                    let body = Body::Push { requested: Vec::new(), truncated: false };
                    out.extend(self.send(cx, from, body).map(Output::Send));
                }
                // Without progress the rest would be left out again, without end.
                if truncated && progress {
                    self.continue_sync(cx);
                }
            }
            Body::Notify => {}
        }
    }

    /// Runs every timer that is due.
    pub fn tick(&mut self, cx: &mut Cx) -> Vec<Output> {
        let mut out = Vec::new();
        self.detect_pause(cx);
        self.run_relays(cx, &mut out);
        self.run_probe(cx, &mut out);
        self.run_suspicions(cx, &mut out);
        if cx.now >= self.next_probe && self.probe.is_none() {
            self.start_probe(cx, &mut out);
        }
        if cx.now >= self.next_reconnect {
            self.reconnect(cx, &mut out);
        }
        if cx.now >= self.next_join && self.table.present() == 1 {
            self.next_join = cx.now + self.config.probe_period;
            out.extend(self.ask_seed(cx).map(Output::Send));
        }
        if cx.now >= self.next_sweep {
            self.sweep(cx);
        }
        self.wake = self.earliest(cx);
        out
    }

    /// Handles a message to `to` that could not be delivered, such as a refused connection. A
    /// running probe of `to` asks its helpers at once.
    pub fn on_delivery_failure(&mut self, cx: &mut Cx, to: &InstanceId) -> Vec<Output> {
        let mut out = Vec::new();
        if let Some(probe) = self.probe.as_mut()
            && probe.target == *to
            && probe.ask_helpers_at.is_some()
        {
            probe.ask_helpers_at = Some(cx.now);
            self.run_probe(cx, &mut out);
        }
        self.wake = self.earliest(cx);
        out
    }

    fn start_probe(&mut self, cx: &mut Cx, out: &mut Vec<Output>) {
        let factor = self.health.factor();
        self.next_probe = cx.now + self.config.probe_period * factor;
        let Some(target) = self.table.next_target(cx) else { return };
        let seq = self.take_seq();
        out.extend(self.send(cx, &target, Body::Ping { seq }).map(Output::Send));
        self.probe = Some(Probe {
            seq,
            target,
            started: cx.now,
            ask_helpers_at: Some(cx.now + self.config.ack_timeout * factor),
            ends_at: self.next_probe,
            helper_answered: false,
        });
    }

    fn run_probe(&mut self, cx: &mut Cx, out: &mut Vec<Output>) {
        let Some(probe) = self.probe.as_mut() else { return };
        if probe.ask_helpers_at.is_some_and(|at| cx.now >= at) {
            probe.ask_helpers_at = None;
            let (seq, target) = (probe.seq, probe.target.clone());
            for helper in self.table.sample(cx, self.config.helpers, &target) {
                let body = Body::PingRequest { seq, target: target.clone() };
                out.extend(self.send(cx, &helper, body).map(Output::Send));
            }
        }
        if self.probe.as_ref().is_some_and(|p| cx.now >= p.ends_at) {
            self.fail_probe(cx, out);
        }
    }

    fn fail_probe(&mut self, cx: &mut Cx, out: &mut Vec<Output>) {
        let Some(probe) = self.probe.take() else { return };
        self.counters.failed_probes += 1;
        if !probe.helper_answered {
            self.health.on_silence();
        }
        let Some(peer) = self.table.get(&probe.target) else { return };
        let state = match peer.record.state {
            MemberState::Alive => MemberState::Suspect,
            MemberState::Leaving => MemberState::Dead,
            MemberState::Suspect | MemberState::Dead => return,
        };
        self.declare(cx, &probe.target, state, out);
    }

    fn on_ack(&mut self, cx: &mut Cx, from: &InstanceId, seq: u64, out: &mut Vec<Output>) {
        let mut asked = None;
        if let Some(probe) = self.probe.take_if(|p| p.seq == seq && p.target == *from) {
            self.health.on_probe_answered();
            asked = Some(probe.started);
        }
        if let Some(at) = self.relays.iter().position(|r| r.seq == seq && r.target == *from) {
            let relay = self.relays.swap_remove(at);
            asked = Some(relay.started);
            let body = Body::IndirectAck { seq: relay.origin_seq, reached: true };
            out.extend(self.send(cx, &relay.origin, body).map(Output::Send));
        }
        let Some(peer) = self.table.get_mut(from) else { return };
        peer.introduced = true;
        peer.last_answer = peer.last_answer.max(asked);
        if matches!(peer.record.state, MemberState::Suspect | MemberState::Dead) {
            let body = Body::Push { requested: Vec::new(), truncated: false };
            out.extend(self.send(cx, from, body).map(Output::Send));
        }
    }

    fn on_ping_request(
        &mut self,
        cx: &mut Cx,
        from: &InstanceId,
        origin_seq: u64,
        target: &InstanceId,
        out: &mut Vec<Output>,
    ) {
        if self.relays.len() >= MAX_RELAYS {
            return;
        }
        let seq = self.take_seq();
        let Some(ping) = self.send(cx, target, Body::Ping { seq }) else { return };
        out.push(Output::Send(ping));
        self.relays.push(Relay {
            seq,
            origin: from.clone(),
            origin_seq,
            target: target.clone(),
            started: cx.now,
            ends_at: cx.now + self.config.ack_timeout,
        });
    }

    fn on_indirect_ack(&mut self, seq: u64, reached: bool) {
        let Some(probe) = self.probe.as_mut().filter(|p| p.seq == seq) else { return };
        probe.helper_answered = true;
        if reached {
            self.probe = None;
            self.health.on_probe_answered();
        }
    }

    /// Tells the origin of each overdue relay that its target did not answer.
    fn run_relays(&mut self, cx: &mut Cx, out: &mut Vec<Output>) {
        while let Some(at) = self.relays.iter().position(|r| cx.now >= r.ends_at) {
            let relay = self.relays.swap_remove(at);
            let body = Body::IndirectAck { seq: relay.origin_seq, reached: false };
            out.extend(self.send(cx, &relay.origin, body).map(Output::Send));
        }
    }

    /// Asks each suspect a last time one probe period before its suspicion ends, and declares
    /// the overdue ones dead. Some members miss the refutation that spread by piggyback; the
    /// answer to the last question brings it.
    fn run_suspicions(&mut self, cx: &mut Cx, out: &mut Vec<Output>) {
        let lasts = self.suspicion();
        let ask_after = lasts.saturating_sub(self.config.probe_period);
        for instance in self.table.suspects().to_vec() {
            let Some(peer) = self.table.get_mut(&instance) else { continue };
            let age = cx.now.saturating_duration_since(peer.since);
            if age >= lasts && peer.asked_last {
                self.declare(cx, &instance, MemberState::Dead, out);
                continue;
            }
            if age >= ask_after && !peer.asked_last {
                peer.asked_last = true;
                // A late tick must leave time for the answer.
                peer.since = peer.since.max(cx.now.checked_sub(ask_after).unwrap_or(cx.now));
                let body = Body::Ping { seq: self.take_seq() };
                let claim = self.update_about(cx, &instance, false).into_iter().collect();
                out.extend(self.send_with(cx, &instance, body, claim).map(Output::Send));
            }
        }
    }

    /// Pings one dead member and asks one seed that is no present member. Members that held each other for dead through a
    /// region cut find each other again this way, without the store.
    fn reconnect(&mut self, cx: &mut Cx, out: &mut Vec<Output>) {
        let jitter = cx.rng.random_range(0.75..1.25);
        self.next_reconnect = cx.now + self.config.reconnect_interval.mul_f64(jitter);
        if let Some(seed) = self.absent_seed(cx) {
            out.push(Output::Send(seed));
        }
        let dead = self.table.dead();
        if dead.is_empty() {
            return;
        }
        let target = dead[cx.rng.random_range(0..dead.len())].clone();
        let seq = self.take_seq();
        out.extend(self.send(cx, &target, Body::Ping { seq }).map(Output::Send));
    }

    fn sweep(&mut self, cx: &mut Cx) {
        self.next_sweep = cx.now + SWEEP_INTERVAL;
        let retention = self.config.dead_retention;
        self.table.unlist_older(cx.now, retention / 2);
        let expired = |i: &&InstanceId| {
            let peer = self.table.get(i);
            peer.is_some_and(|p| cx.now.saturating_duration_since(p.since) >= retention)
        };
        let expired: Vec<InstanceId> = self.table.dead().iter().filter(expired).cloned().collect();
        for instance in expired {
            self.forget(&instance);
        }
    }

    /// Discards running timers after a pause of this process, because what looks like silence
    /// of others may be the own absence.
    fn detect_pause(&mut self, cx: &mut Cx) {
        if cx.now.saturating_duration_since(self.wake) < self.config.pause_threshold {
            return;
        }
        self.counters.pauses += 1;
        self.health.on_pause();
        self.probe = None;
        self.relays.clear();
        self.next_probe = cx.now;
        self.next_sync = cx.now;
        for instance in self.table.suspects().to_vec() {
            if let Some(peer) = self.table.get_mut(&instance) {
                peer.since = cx.now;
                peer.asked_last = false;
            }
        }
        self.wake = cx.now;
    }

    fn take_seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }

    /// Returns the time of the next due timer. A suspicion shortened by better local health may
    /// be overdue already; that is no late tick and must not count as a pause.
    fn earliest(&self, cx: &Cx) -> Instant {
        let mut wake = self.next_probe.min(self.next_reconnect).min(self.next_sweep);
        if let Some(probe) = &self.probe {
            wake = probe.ask_helpers_at.unwrap_or(probe.ends_at).min(probe.ends_at);
            wake = wake.min(self.next_reconnect).min(self.next_sweep);
        }
        for relay in &self.relays {
            wake = wake.min(relay.ends_at);
        }
        let lasts = self.suspicion();
        let ask_after = lasts.saturating_sub(self.config.probe_period);
        for suspect in self.table.suspects() {
            if let Some(peer) = self.table.get(suspect) {
                wake = wake.min(peer.since + if peer.asked_last { lasts } else { ask_after });
            }
        }
        if self.table.present() == 1 && !self.seeds.is_empty() {
            wake = wake.min(self.next_join);
        }
        wake.max(cx.now)
    }
}
