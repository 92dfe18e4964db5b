//! Allowances of one instance: its ingress, and the customers that it counts.

use super::limiter::{AllowanceDecision, AllowanceLimiter, LimitedCaller};
use super::reachability::Reachability;
use super::{AccountUsage, AllowanceBounds, AllowanceMessage, CallerHash, Members, UsageLedger};
use crate::base::{Cx, InstanceId};
use rand::Rng;
use std::time::{Duration, Instant};

/// Messages to send, each with its receiver.
pub type Outbox = Vec<(InstanceId, AllowanceMessage)>;

/// Allowances of one instance. Messages of the instance to itself are handled directly.
#[derive(Debug)]
pub struct AllowanceExchange {
    members: Members,
    reachability: Reachability,
    limiter: AllowanceLimiter,
    ledger: UsageLedger,
}

impl AllowanceExchange {
    /// Interval at which [`AllowanceExchange::tick`] is called.
    pub const TICK_INTERVAL: Duration = Duration::from_millis(250);

    /// Returns the state of an instance that has just started. `is_first_start` is whether no
    /// earlier process of any instance has sent requests.
    pub fn new(
        cx: &mut Cx,
        bounds: AllowanceBounds,
        own_id: InstanceId,
        is_first_start: bool,
    ) -> AllowanceExchange {
        let complete_from = if is_first_start { cx.now } else { cx.now + bounds.window };
        AllowanceExchange {
            members: Members::new(own_id),
            reachability: Reachability::default(),
            limiter: AllowanceLimiter::new(bounds, cx.rng.random()),
            ledger: UsageLedger::new(bounds, complete_from),
        }
    }

    /// Replaces the list of known instances.
    pub fn set_members(&mut self, cx: &Cx, ids: impl Iterator<Item = InstanceId>) {
        self.members.set(cx.now, ids);
    }

    /// Returns whether the list of instances is known. Before, requests wait.
    pub fn knows_members(&self) -> bool {
        self.members.is_known()
    }

    /// Decides about a request. `waiting_since` is the time of the first decision about it if that was
    /// [`AllowanceDecision::Wait`].
    pub fn decide(
        &mut self,
        cx: &mut Cx,
        caller: &LimitedCaller,
        waiting_since: Option<Instant>,
        out: &mut Outbox,
    ) -> AllowanceDecision {
        let mut waiting_since = waiting_since;
        loop {
            let mut messages = Outbox::new();
            let decision =
                self.limiter.decide(cx, &self.members, caller, waiting_since, &mut messages);
            waiting_since = waiting_since.or(Some(cx.now));
            let asked_itself = messages.iter().any(|(to, _)| to == self.members.own_id());
            self.deliver(cx, messages, out);
            if !(asked_itself && matches!(decision, AllowanceDecision::Wait(_))) {
                return decision;
            }
        }
    }

    /// Takes back an admitted request that was not sent.
    pub fn give_back(&mut self, cx: &Cx, caller: CallerHash, leased: bool) {
        self.limiter.give_back(cx.now, caller, leased);
    }

    /// Takes a message from another instance and returns whether waiting requests should be decided
    /// again.
    pub fn on_message(
        &mut self,
        cx: &mut Cx,
        from: &InstanceId,
        message: AllowanceMessage,
        out: &mut Outbox,
    ) -> bool {
        match message {
            AllowanceMessage::LeaseReply { .. } | AllowanceMessage::ProbeReply => {
                self.reachability.on_reply(from);
            }
            AllowanceMessage::LeaseRequest(_) | AllowanceMessage::Probe => {}
        }
        match message {
            AllowanceMessage::LeaseRequest(request) => {
                let reply = self.ledger.on_request(
                    cx.now,
                    &self.members,
                    &mut self.reachability,
                    from,
                    &request,
                );
                if request.wanted > 0 {
                    let (caller, seq) = (request.caller, request.seq);
                    let reply = AllowanceMessage::LeaseReply { caller, seq, reply };
                    self.deliver(cx, vec![(from.clone(), reply)], out);
                }
            }
            AllowanceMessage::LeaseReply { caller, seq, reply } => {
                self.limiter.on_reply(cx.now, from, caller, seq, reply);
                return true;
            }
            AllowanceMessage::Probe => out.push((from.clone(), AllowanceMessage::ProbeReply)),
            AllowanceMessage::ProbeReply => {}
        }
        false
    }

    /// Sends what is due. An instance without active customers sends nothing.
    pub fn tick(&mut self, cx: &mut Cx, out: &mut Outbox) {
        let returned = self.limiter.tick(cx.now, &self.members);
        self.deliver(cx, returned, out);
        self.ledger.tick(cx.now);
        if self.ledger.is_active() || self.limiter.is_active() {
            out.extend(self.reachability.tick(cx, &self.members));
        } else {
            self.reachability.reset();
        }
    }

    /// Returns the customers counted here that use the largest part of their allowance.
    pub fn busiest(&mut self, cx: &Cx, limit: usize) -> Vec<AccountUsage> {
        self.ledger.busiest(cx.now, limit)
    }

    /// Handles messages to the own instance and adds the others to `out`.
    fn deliver(&mut self, cx: &mut Cx, messages: Outbox, out: &mut Outbox) {
        let own_id = self.members.own_id().clone();
        for (to, message) in messages {
            if to == own_id {
                self.on_message(cx, &own_id, message, out);
            } else {
                out.push((to, message));
            }
        }
    }
}
