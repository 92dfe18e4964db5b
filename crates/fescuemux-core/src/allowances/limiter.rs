//! Decisions of an ingress about the requests of customers with an allowance.

use super::message::{CallerHash, LeaseReply, LeaseRequest};
use super::usage_window::UsageWindow;
use super::{Allowance, AllowanceBounds, AllowanceMessage, Members};
use crate::base::{Cx, Generation, HashMap, InstanceId};
use rand::Rng;
use std::time::{Duration, Instant};

/// Time for which leased requests may be sent.
pub(super) const LEASE_TTL: Duration = Duration::from_secs(1);

/// Interval between repetitions of a lease request. Round trips take up to 6 ms, but a machine with
/// a tenth of a core may reply only after some tens of milliseconds.
const REPEAT_INTERVAL: Duration = Duration::from_millis(60);

/// Number of times that a request is sent to one instance before the next one is asked.
const MAX_SENT_COUNT: u32 = 3;

/// Time for which an instance that did not reply is not asked.
const SILENT_BACKOFF: Duration = Duration::from_secs(1);

/// Time for which an instance that does not count is not asked.
const NOT_COUNTING_BACKOFF: Duration = Duration::from_millis(300);

/// Time for which a request waits for a counting instance while none is known to count. After the
/// loss of an instance, the next one in the order counts within about a second; most objectives leave
/// that time, and a refusal would lose requests within the allowance.
const MAX_HANDOVER_WAIT: Duration = Duration::from_millis(1_200);

/// Times for which a refusal holds without another lease request, minimum and maximum. The maximum
/// keeps room that becomes free in use; the minimum bounds the messages of a customer that sends
/// many times its allowance.
const REFUSAL_RANGE: (Duration, Duration) = (Duration::from_millis(40), Duration::from_millis(160));

/// Time constant of the demand, which is also the time for which a lease should last.
const DEMAND_TIME: f64 = 0.5;

/// Demand from which a lease is requested before the last one is used up. A lease that a smaller
/// demand does not use would be missing elsewhere until it is returned.
const MIN_DEMAND_AHEAD: f64 = 4.0;

/// Customer of a request, as the current configuration has it.
#[derive(Clone, Copy, Debug)]
pub struct LimitedCaller {
    /// Hash of the customer's name.
    pub hash: CallerHash,
    /// Allowance in the configuration.
    pub allowance: Allowance,
    /// Version of the configuration.
    pub version: Generation,
}

/// Decision about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum AllowanceDecision {
    /// The request may be sent.
    Admitted {
        /// Whether it uses a lease, and not the fixed share.
        leased: bool,
    },
    /// The counting instance was asked; decide again when it has replied, at the latest at this
    /// time.
    Wait(Instant),
    /// The allowance is used up. The client should wait for this time.
    Refused(Duration),
}

#[derive(Debug)]
struct PendingRequest {
    to: InstanceId,
    request: LeaseRequest,
    first_sent_at: Instant,
    sent_at: Instant,
    /// Number of times that the request was sent.
    sent_count: u32,
}

#[derive(Debug)]
struct CallerState {
    fixed_share_usage: UsageWindow,
    leased: u32,
    leased_until: Instant,
    /// Leased requests that were not sent, and of which the counting instance does not know.
    returned: u32,
    pending: Option<PendingRequest>,
    refused_until: Instant,
    /// Instances that do not count this customer's requests, and until when they are not asked.
    not_counting: Vec<(InstanceId, Instant)>,
    /// Exponentially decaying number of requests of the last [`DEMAND_TIME`].
    demand: f64,
    last_request: Instant,
    allowance: Allowance,
    version: Generation,
}

/// Shares of one ingress in the allowances of its customers.
#[derive(Debug)]
pub struct AllowanceLimiter {
    bounds: AllowanceBounds,
    callers: HashMap<CallerHash, CallerState>,
    backoff: HashMap<InstanceId, Instant>,
    next_seq: u32,
}

impl AllowanceLimiter {
    /// Returns a limiter without leases. Sequence numbers start at `first_seq`, which should differ
    /// between processes.
    pub(super) fn new(bounds: AllowanceBounds, first_seq: u32) -> Self {
        AllowanceLimiter {
            bounds,
            callers: HashMap::default(),
            backoff: HashMap::default(),
            next_seq: first_seq,
        }
    }

    /// Decides about a request. `waiting_since` is the time of the first decision about it if that was
    /// [`AllowanceDecision::Wait`]. Messages to send are added to `out`.
    pub(super) fn decide(
        &mut self,
        cx: &mut Cx,
        members: &Members,
        caller: &LimitedCaller,
        waiting_since: Option<Instant>,
        out: &mut Vec<(InstanceId, AllowanceMessage)>,
    ) -> AllowanceDecision {
        let now = cx.now;
        let bounds = self.bounds;
        let state = self.callers.entry(caller.hash).or_insert_with(|| CallerState {
            fixed_share_usage: UsageWindow::new(now, bounds.window),
            leased: 0,
            leased_until: now,
            returned: 0,
            pending: None,
            refused_until: now,
            not_counting: Vec::new(),
            demand: 0.0,
            last_request: now,
            allowance: caller.allowance,
            version: caller.version,
        });
        (state.allowance, state.version) = (caller.allowance, caller.version);
        if waiting_since.is_none() {
            let elapsed = now.saturating_duration_since(state.last_request).as_secs_f64();
            state.demand = state.demand * (-elapsed / DEMAND_TIME).exp() + 1.0;
            state.last_request = now;
        }
        state.expire_lease(now);
        if state.leased > 0 {
            state.leased -= 1;
            let is_low =
                state.demand >= MIN_DEMAND_AHEAD && f64::from(state.leased) < state.demand / 4.0;
            if is_low && state.pending.is_none() && now >= state.refused_until {
                let to = state.next_candidate(&self.backoff, members, now, caller.hash);
                out.extend(
                    to.map(|to| state.request_lease(now, to, caller.hash, &mut self.next_seq)),
                );
            }
            return AllowanceDecision::Admitted { leased: true };
        }
        if !members.is_known() {
            return AllowanceDecision::Wait(now + REPEAT_INTERVAL);
        }
        if now < state.refused_until {
            return AllowanceDecision::Refused(state.retry_in(cx));
        }
        if let Some(pending) = &mut state.pending {
            let is_late = now >= pending.sent_at + REPEAT_INTERVAL;
            if is_late && pending.sent_count < MAX_SENT_COUNT {
                (pending.sent_at, pending.sent_count) = (now, pending.sent_count + 1);
                let request = AllowanceMessage::LeaseRequest(pending.request);
                out.push((pending.to.clone(), request));
            }
            if now < pending.sent_at + REPEAT_INTERVAL {
                return AllowanceDecision::Wait(pending.sent_at + REPEAT_INTERVAL);
            }
            self.backoff.insert(pending.to.clone(), now + SILENT_BACKOFF);
            state.pending = None;
        }
        if let Some(to) = state.next_candidate(&self.backoff, members, now, caller.hash) {
            out.push(state.request_lease(now, to, caller.hash, &mut self.next_seq));
            return AllowanceDecision::Wait(now + REPEAT_INTERVAL);
        }
        let share = members.fixed_share(caller.hash, bounds.unleased(&caller.allowance));
        if state.fixed_share_usage.count(now) < share {
            state.fixed_share_usage.add(now, 1);
            return AllowanceDecision::Admitted { leased: false };
        }
        let waited = waiting_since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        if waited < MAX_HANDOVER_WAIT {
            return AllowanceDecision::Wait(now + REPEAT_INTERVAL);
        }
        AllowanceDecision::Refused(NOT_COUNTING_BACKOFF + state.retry_in(cx))
    }

    /// Takes a reply of a counting instance.
    pub(super) fn on_reply(
        &mut self,
        now: Instant,
        from: &InstanceId,
        caller: CallerHash,
        seq: u32,
        reply: LeaseReply,
    ) {
        let Some(state) = self.callers.get_mut(&caller) else { return };
        let is_current = |pending: &mut PendingRequest| pending.request.seq == seq;
        let Some(pending) = state.pending.take_if(is_current) else { return };
        self.backoff.remove(from);
        match reply {
            LeaseReply::Granted(count) => {
                // The lease counts from the request, because the reply may be late.
                state.leased += count;
                state.leased_until = pending.first_sent_at + LEASE_TTL;
            }
            LeaseReply::Refused(wait) => {
                state.refused_until = now + wait.clamp(REFUSAL_RANGE.0, REFUSAL_RANGE.1);
            }
            LeaseReply::NotCounting => {
                state.not_counting.retain(|(id, until)| id != from && *until > now);
                state.not_counting.push((from.clone(), now + NOT_COUNTING_BACKOFF));
                state.returned += pending.request.returned;
            }
        }
    }

    /// Takes back an admitted request that was not sent.
    pub(super) fn give_back(&mut self, now: Instant, caller: CallerHash, leased: bool) {
        let Some(state) = self.callers.get_mut(&caller) else { return };
        match leased {
            true if now < state.leased_until => state.leased += 1,
            true => state.returned += 1,
            false => state.fixed_share_usage.remove(now, 1),
        }
    }

    /// Returns leases that were not used, and forgets customers without requests.
    pub(super) fn tick(
        &mut self,
        now: Instant,
        members: &Members,
    ) -> Vec<(InstanceId, AllowanceMessage)> {
        self.backoff.retain(|_, until| *until > now);
        let mut out = Vec::new();
        for (caller, state) in &mut self.callers {
            state.expire_lease(now);
            if state.returned == 0 || state.pending.is_some() {
                continue;
            }
            if let Some(to) = state.next_candidate(&self.backoff, members, now, *caller) {
                out.push(state.request_lease(now, to, *caller, &mut self.next_seq));
                // A returned lease has no reply; if it is lost, it counts as used.
                let sent = state.pending.take();
                debug_assert!(sent.is_some());
                if let Some((_, AllowanceMessage::LeaseRequest(request))) = out.last_mut() {
                    request.wanted = 0;
                }
            }
        }
        let kept = self.bounds.window + LEASE_TTL;
        self.callers.retain(|_, state| now.saturating_duration_since(state.last_request) < kept);
        out
    }

    /// Returns whether any customer sent requests lately.
    pub(super) fn is_active(&self) -> bool {
        !self.callers.is_empty()
    }
}

impl CallerState {
    fn expire_lease(&mut self, now: Instant) {
        if now >= self.leased_until {
            self.returned += std::mem::take(&mut self.leased);
        }
    }

    fn request_lease(
        &mut self,
        now: Instant,
        to: InstanceId,
        caller: CallerHash,
        next_seq: &mut u32,
    ) -> (InstanceId, AllowanceMessage) {
        *next_seq = next_seq.wrapping_add(1);
        let request = LeaseRequest {
            caller,
            seq: *next_seq,
            version: self.version,
            allowance: self.allowance,
            wanted: (self.demand as u32).max(1),
            returned: std::mem::take(&mut self.returned),
        };
        self.pending = Some(PendingRequest {
            to: to.clone(),
            request,
            first_sent_at: now,
            sent_at: now,
            sent_count: 1,
        });
        (to, AllowanceMessage::LeaseRequest(request))
    }

    /// Returns the time until there is room again, spread over the time in which the allowance
    /// serves the clients that were refused together.
    fn retry_in(&self, cx: &mut Cx) -> Duration {
        let until_room = self.refused_until.saturating_duration_since(cx.now);
        let spread = (self.demand / self.allowance.rate.max(0.1)).clamp(0.1, 2.0);
        until_room + Duration::from_secs_f64(cx.rng.random_range(0.0..spread))
    }

    /// Returns the first instance that counts the customer's requests and replies.
    fn next_candidate(
        &self,
        silent: &HashMap<InstanceId, Instant>,
        members: &Members,
        now: Instant,
        caller: CallerHash,
    ) -> Option<InstanceId> {
        let is_usable = |id: &&InstanceId| {
            silent.get(*id).is_none_or(|until| *until <= now)
                && self.not_counting.iter().all(|(other, until)| other != *id || *until <= now)
        };
        members.candidates(caller).into_iter().find(is_usable).cloned()
    }
}
