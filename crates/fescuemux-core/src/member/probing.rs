//! Handling of probes, received messages and timers.

use super::apply::ApplyResult;
use super::membership::Membership;
use super::message::{Body, Message};
use super::output::Output;
use super::probe::{IndirectProbe, Probe};
use super::record::MemberState;
use crate::base::{Cx, InstanceId};
use rand::Rng as _;
use std::time::{Duration, Instant};

/// Maximum number of concurrent indirect probes; further requests are ignored.
const MAX_INDIRECT_PROBES: usize = 256;

/// Interval between removals of the records of instances that have been dead for long.
const DEAD_REMOVAL_INTERVAL: Duration = Duration::from_secs(10);

impl Membership {
    /// Handles one message from `from`.
    pub fn on_message(&mut self, cx: &mut Cx, from: InstanceId, message: Message) -> Vec<Output> {
        let mut out = Vec::new();
        if from == self.local_id {
            return out;
        }
        self.detect_pause(cx);
        let mut requested = Vec::new();
        let mut any_accepted = false;
        let is_push = matches!(message.body, Body::Push { .. });
        for update in message.updates {
            let instance = update.instance().clone();
            self.record_suspicion_of_local(&from, &update);
            let from_sync = is_push && instance != from;
            match self.apply(cx, update, from_sync, &mut out) {
                ApplyResult::Ignored => {}
                ApplyResult::Accepted => any_accepted = true,
                ApplyResult::Missing => requested.push(instance),
            }
        }
        match self.table.get_mut(&from) {
            Some(peer) => peer.last_heard = Some(cx.now),
            None => self.counters.unknown_senders += 1,
        }
        self.on_config_version(&from, message.config, &mut out);
        if !requested.is_empty() {
            let body = Body::Push { requested, truncated: false };
            out.extend(self.build_send_with(cx, &from, body, Vec::new()).map(Output::Send));
        }
        self.on_body(cx, &from, message.digest, message.body, any_accepted, &mut out);
        self.next_wake = self.earliest_timer(cx);
        out
    }

    fn on_body(
        &mut self,
        cx: &mut Cx,
        from: &InstanceId,
        digest: u64,
        body: Body,
        any_accepted: bool,
        out: &mut Vec<Output>,
    ) {
        match body {
            Body::Ping { seq } => {
                out.extend(self.build_send(cx, from, Body::Ack { seq }).map(Output::Send));
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
                    self.on_records_requested(cx, from, &requested, out);
                }
                if self.table.get(from).is_some_and(|p| p.needs_local_summary) {
                    let body = Body::Push { requested: Vec::new(), truncated: false };
                    out.extend(self.build_send(cx, from, body).map(Output::Send));
                }
                // The sender omitted records that did not fit into the message. Another sync
                // helps only if this push changed the table; otherwise it would omit the same
                // records again.
                if truncated && any_accepted {
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
        self.expire_indirect_probes(cx, &mut out);
        self.advance_probe(cx, &mut out);
        self.advance_suspicions(cx, &mut out);
        if cx.now >= self.next_probe_at && self.probe.is_none() {
            self.start_probe(cx, &mut out);
        }
        if cx.now >= self.next_reconnect_at {
            self.reconnect(cx, &mut out);
        }
        if cx.now >= self.next_join_at && self.table.member_count() == 1 {
            self.next_join_at = cx.now + self.config.probe_period;
            out.extend(self.sync_with_seed(cx).map(Output::Send));
        }
        if cx.now >= self.next_dead_removal_at {
            self.remove_long_dead(cx);
        }
        self.next_wake = self.earliest_timer(cx);
        out
    }

    /// Handles a failed delivery to `to`, such as a refused connection. A pending probe of `to`
    /// asks its helpers immediately.
    pub fn on_delivery_failure(&mut self, cx: &mut Cx, to: &InstanceId) -> Vec<Output> {
        let mut out = Vec::new();
        if let Some(probe) = self.probe.as_mut()
            && probe.target == *to
            && probe.ask_helpers_at.is_some()
        {
            probe.ask_helpers_at = Some(cx.now);
            self.advance_probe(cx, &mut out);
        }
        self.next_wake = self.earliest_timer(cx);
        out
    }

    fn start_probe(&mut self, cx: &mut Cx, out: &mut Vec<Output>) {
        let factor = self.health.factor();
        self.next_probe_at = cx.now + self.config.probe_period * factor;
        let Some(target) = self.table.next_probe_target(cx) else { return };
        let seq = self.next_sequence_number();
        out.extend(self.build_send(cx, &target, Body::Ping { seq }).map(Output::Send));
        self.probe = Some(Probe {
            seq,
            target,
            started_at: cx.now,
            ask_helpers_at: Some(cx.now + self.config.ack_timeout * factor),
            ends_at: self.next_probe_at,
            helper_answered: false,
        });
    }

    fn advance_probe(&mut self, cx: &mut Cx, out: &mut Vec<Output>) {
        let Some(probe) = self.probe.as_mut() else { return };
        if probe.ask_helpers_at.is_some_and(|at| cx.now >= at) {
            probe.ask_helpers_at = None;
            let (seq, target) = (probe.seq, probe.target.clone());
            for helper in self.table.sample(cx, self.config.helpers, &target) {
                let body = Body::PingRequest { seq, target: target.clone() };
                out.extend(self.build_send(cx, &helper, body).map(Output::Send));
            }
        }
        if self.probe.as_ref().is_some_and(|p| cx.now >= p.ends_at) {
            self.on_probe_failed(cx, out);
        }
    }

    fn on_probe_failed(&mut self, cx: &mut Cx, out: &mut Vec<Output>) {
        let Some(probe) = self.probe.take() else { return };
        self.counters.failed_probes += 1;
        if !probe.helper_answered {
            self.health.on_unconfirmed_failure();
        }
        let Some(peer) = self.table.get(&probe.target) else { return };
        let state = match peer.record.state {
            MemberState::Alive => MemberState::Suspect,
            MemberState::Leaving => MemberState::Dead,
            MemberState::Suspect | MemberState::Dead => return,
        };
        self.set_state(cx, &probe.target, state, out);
    }

    fn on_ack(&mut self, cx: &mut Cx, from: &InstanceId, seq: u64, out: &mut Vec<Output>) {
        let mut answered_probe_sent_at = None;
        if let Some(probe) = self.probe.take_if(|p| p.seq == seq && p.target == *from) {
            self.health.on_probe_answered();
            answered_probe_sent_at = Some(probe.started_at);
        }
        if let Some(index) =
            self.indirect_probes.iter().position(|r| r.seq == seq && r.target == *from)
        {
            let indirect_probe = self.indirect_probes.swap_remove(index);
            answered_probe_sent_at = Some(indirect_probe.started_at);
            let body = Body::IndirectAck { seq: indirect_probe.origin_seq, reached: true };
            out.extend(self.build_send(cx, &indirect_probe.origin, body).map(Output::Send));
        }
        let Some(peer) = self.table.get_mut(from) else { return };
        peer.has_local_record = true;
        peer.last_answer = peer.last_answer.max(answered_probe_sent_at);
        if matches!(peer.record.state, MemberState::Suspect | MemberState::Dead) {
            let body = Body::Push { requested: Vec::new(), truncated: false };
            out.extend(self.build_send(cx, from, body).map(Output::Send));
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
        if self.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            return;
        }
        let seq = self.next_sequence_number();
        let Some(ping) = self.build_send(cx, target, Body::Ping { seq }) else { return };
        out.push(Output::Send(ping));
        self.indirect_probes.push(IndirectProbe {
            seq,
            origin: from.clone(),
            origin_seq,
            target: target.clone(),
            started_at: cx.now,
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

    /// Reports each timed-out indirect probe to its origin.
    fn expire_indirect_probes(&mut self, cx: &mut Cx, out: &mut Vec<Output>) {
        while let Some(index) = self.indirect_probes.iter().position(|r| cx.now >= r.ends_at) {
            let indirect_probe = self.indirect_probes.swap_remove(index);
            let body = Body::IndirectAck { seq: indirect_probe.origin_seq, reached: false };
            out.extend(self.build_send(cx, &indirect_probe.origin, body).map(Output::Send));
        }
    }

    /// Pings each suspect a last time, one probe period before its suspicion timeout, and declares
    /// suspects dead after the timeout. The ack to this ping carries the refutation, which this
    /// member may have missed as a piggybacked update.
    fn advance_suspicions(&mut self, cx: &mut Cx, out: &mut Vec<Output>) {
        let suspicion_duration = self.suspicion_duration();
        let final_ping_after = suspicion_duration.saturating_sub(self.config.probe_period);
        for instance in self.table.suspects().to_vec() {
            let Some(peer) = self.table.get_mut(&instance) else { continue };
            let age = cx.now.saturating_duration_since(peer.state_since);
            if age >= suspicion_duration && peer.final_ping_sent {
                self.set_state(cx, &instance, MemberState::Dead, out);
                continue;
            }
            if age >= final_ping_after && !peer.final_ping_sent {
                peer.final_ping_sent = true;
                // Leaves a full probe period for the ack even if this tick is late.
                peer.state_since =
                    peer.state_since.max(cx.now.checked_sub(final_ping_after).unwrap_or(cx.now));
                let body = Body::Ping { seq: self.next_sequence_number() };
                let suspicion = self.update_about(cx, &instance, false).into_iter().collect();
                out.extend(self.build_send_with(cx, &instance, body, suspicion).map(Output::Send));
            }
        }
    }

    /// Pings one dead member and syncs with one seed that is not a member, in order to reconnect
    /// the two sides of a network partition between regions without the store.
    fn reconnect(&mut self, cx: &mut Cx, out: &mut Vec<Output>) {
        let jitter = cx.rng.random_range(0.75..1.25);
        self.next_reconnect_at = cx.now + self.config.reconnect_interval.mul_f64(jitter);
        if let Some(sync_request) = self.sync_with_absent_seed(cx) {
            out.push(Output::Send(sync_request));
        }
        let dead = self.table.dead();
        if dead.is_empty() {
            return;
        }
        let target = dead[cx.rng.random_range(0..dead.len())].clone();
        let seq = self.next_sequence_number();
        out.extend(self.build_send(cx, &target, Body::Ping { seq }).map(Output::Send));
    }

    /// Excludes records from digests after half the retention of dead records, and removes them
    /// after the whole retention.
    fn remove_long_dead(&mut self, cx: &mut Cx) {
        self.next_dead_removal_at = cx.now + DEAD_REMOVAL_INTERVAL;
        let retention = self.config.dead_retention;
        self.table.exclude_long_dead_from_digest(cx.now, retention / 2);
        let is_expired = |i: &&InstanceId| {
            let peer = self.table.get(i);
            peer.is_some_and(|p| cx.now.saturating_duration_since(p.state_since) >= retention)
        };
        let expired: Vec<InstanceId> =
            self.table.dead().iter().filter(is_expired).cloned().collect();
        for instance in expired {
            self.forget(&instance);
        }
    }

    /// Drops pending probes and restarts suspicions after a pause of this process, because missing
    /// acks may be due to the pause.
    fn detect_pause(&mut self, cx: &mut Cx) {
        if cx.now.saturating_duration_since(self.next_wake) < self.config.pause_threshold {
            return;
        }
        self.counters.pauses += 1;
        self.health.on_pause();
        self.probe = None;
        self.indirect_probes.clear();
        self.next_probe_at = cx.now;
        self.next_sync_at = cx.now;
        for instance in self.table.suspects().to_vec() {
            if let Some(peer) = self.table.get_mut(&instance) {
                peer.state_since = cx.now;
                peer.final_ping_sent = false;
            }
        }
        self.next_wake = cx.now;
    }

    fn next_sequence_number(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }

    /// Returns the time of the earliest timer, but not before now. A suspicion timeout that
    /// shrinks with the local health score may already be overdue, which must not be mistaken for
    /// a pause.
    fn earliest_timer(&self, cx: &Cx) -> Instant {
        let mut next_wake =
            self.next_probe_at.min(self.next_reconnect_at).min(self.next_dead_removal_at);
        if let Some(probe) = &self.probe {
            next_wake = probe.ask_helpers_at.unwrap_or(probe.ends_at).min(probe.ends_at);
            next_wake = next_wake.min(self.next_reconnect_at).min(self.next_dead_removal_at);
        }
        for indirect_probe in &self.indirect_probes {
            next_wake = next_wake.min(indirect_probe.ends_at);
        }
        let suspicion_duration = self.suspicion_duration();
        let final_ping_after = suspicion_duration.saturating_sub(self.config.probe_period);
        for suspect in self.table.suspects() {
            if let Some(peer) = self.table.get(suspect) {
                next_wake = next_wake.min(
                    peer.state_since
                        + if peer.final_ping_sent { suspicion_duration } else { final_ping_after },
                );
            }
        }
        if self.table.member_count() == 1 && !self.seeds.is_empty() {
            next_wake = next_wake.min(self.next_join_at);
        }
        next_wake.max(cx.now)
    }
}
