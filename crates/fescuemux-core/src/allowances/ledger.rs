//! Count of the requests of customers at their counting instance.

use super::limiter::LEASE_TTL;
use super::message::{CallerHash, LeaseReply, LeaseRequest};
use super::reachability::Reachability;
use super::usage_window::UsageWindow;
use super::{Allowance, AllowanceBounds, Members};
use crate::base::{Generation, HashMap, InstanceId};
use std::time::{Duration, Instant};

/// Interval between two ticks from which the process was suspended, so that another instance may have
/// counted meanwhile.
const SUSPENDED_AFTER: Duration = Duration::from_secs(1);

/// Minimum rate, in requests per second, for the time until there is room.
const MIN_RATE: f64 = 0.01;

/// Last lease of one ingress.
#[derive(Clone, Copy, Debug)]
struct Holder {
    seq: u32,
    reply: LeaseReply,
    replied_at: Instant,
}

#[derive(Debug)]
struct Account {
    allowance: Allowance,
    version: Generation,
    /// Requests granted in the last window.
    usage: UsageWindow,
    /// Requests that may be granted now. They grow at the rate of the allowance up to its burst.
    tokens: f64,
    refilled_at: Instant,
    holders: HashMap<InstanceId, Holder>,
    refused: u64,
    last_request: Instant,
}

/// Use of one customer, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountUsage {
    /// Customer.
    pub caller: CallerHash,
    /// Requests granted in the last window.
    pub used: u32,
    /// Allowance of a window.
    pub allowed: f64,
    /// Refusals sent to ingresses since the customer became active.
    pub refused: u64,
}

/// Requests of the customers that this instance counts, with a token bucket for each.
///
/// An instance that does not know the last window begins with an almost empty bucket. Whatever the
/// instances before it granted in a part of a window is at most the burst and the rate for that part,
/// and this one grants the rate for the rest, so that together they keep the allowance.
#[derive(Debug)]
pub struct UsageLedger {
    bounds: AllowanceBounds,
    accounts: HashMap<CallerHash, Account>,
    complete_from: Instant,
    /// Part of an allowance that this instance granted last.
    weight: f64,
    ticked_at: Option<Instant>,
}

impl UsageLedger {
    /// Returns an empty ledger. `complete_from` is the time from which it knows a whole window.
    pub(super) fn new(bounds: AllowanceBounds, complete_from: Instant) -> UsageLedger {
        UsageLedger {
            bounds,
            accounts: HashMap::default(),
            complete_from,
            weight: 1.0,
            ticked_at: None,
        }
    }

    /// Decides about a lease request.
    pub(super) fn on_request(
        &mut self,
        now: Instant,
        members: &Members,
        reachability: &mut Reachability,
        from: &InstanceId,
        request: &LeaseRequest,
    ) -> LeaseReply {
        self.check_suspension(now);
        let candidates = members.candidates(request.caller);
        let position = candidates.iter().position(|id| *id == members.own_id());
        let weight = reachability.weight(members);
        let mut earlier = candidates.iter().take(position.unwrap_or(0));
        if weight > self.weight {
            // Others may have counted for the part of the fleet that is reachable again.
            self.forget(now);
        }
        self.weight = weight;
        let must_count = position.is_some() && earlier.all(|id| reachability.is_lost(now, id));
        if !must_count || weight == 0.0 {
            return LeaseReply::NotCounting;
        }
        let window = self.bounds.window;
        let is_complete = position == Some(0)
            && now >= self.complete_from
            && members.changed_at().is_none_or(|at| now >= at + window);
        let account = self.accounts.entry(request.caller).or_insert_with(|| Account {
            allowance: request.allowance,
            version: request.version,
            usage: UsageWindow::new(now, window),
            tokens: match is_complete {
                true => self.bounds.granted_burst(&request.allowance),
                false => self.bounds.granted_unknown(&request.allowance),
            },
            refilled_at: now,
            holders: HashMap::default(),
            refused: 0,
            last_request: now,
        });
        account.last_request = now;
        if let Some(holder) = account.holders.get(from).filter(|holder| holder.seq == request.seq) {
            return holder.reply;
        }
        if request.version >= account.version {
            (account.allowance, account.version) = (request.allowance, request.version);
        }
        account.usage.remove(now, request.returned);
        account.tokens += f64::from(request.returned);
        let reply = account.reply(now, &self.bounds, weight, from, request.wanted);
        account.holders.insert(from.clone(), Holder { seq: request.seq, reply, replied_at: now });
        reply
    }

    /// Forgets customers without requests.
    pub(super) fn tick(&mut self, now: Instant) {
        self.check_suspension(now);
        let kept = self.bounds.window + 2 * LEASE_TTL;
        self.accounts
            .retain(|_, account| now.saturating_duration_since(account.last_request) < kept);
        for account in self.accounts.values_mut() {
            let is_recent = |at: Instant| now.saturating_duration_since(at) < LEASE_TTL;
            account.holders.retain(|_, holder| is_recent(holder.replied_at));
        }
    }

    /// Begins anew if the process was suspended, because another instance may have counted meanwhile.
    fn check_suspension(&mut self, now: Instant) {
        let ticked_at = self.ticked_at.replace(now);
        if ticked_at.is_some_and(|at| now.saturating_duration_since(at) >= SUSPENDED_AFTER) {
            self.forget(now);
        }
    }

    /// Begins anew with almost empty buckets.
    fn forget(&mut self, now: Instant) {
        self.accounts.clear();
        self.complete_from = self.complete_from.max(now + self.bounds.window);
    }

    /// Returns whether this instance counts any customer.
    pub(super) fn is_active(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns the `limit` customers that use the largest part of their allowance, the busiest one
    /// first.
    pub fn busiest(&mut self, now: Instant, limit: usize) -> Vec<AccountUsage> {
        let bounds = self.bounds;
        let mut usages: Vec<_> = self
            .accounts
            .iter_mut()
            .map(|(caller, account)| AccountUsage {
                caller: *caller,
                used: account.usage.count(now),
                allowed: bounds.allowed(&account.allowance),
                refused: account.refused,
            })
            .collect();
        let part = |usage: &AccountUsage| f64::from(usage.used) / usage.allowed.max(1.0);
        usages.sort_by(|a, b| part(b).total_cmp(&part(a)).then(a.caller.cmp(&b.caller)));
        usages.truncate(limit);
        usages
    }
}

impl Account {
    fn reply(
        &mut self,
        now: Instant,
        bounds: &AllowanceBounds,
        weight: f64,
        from: &InstanceId,
        wanted: u32,
    ) -> LeaseReply {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        let rate = self.allowance.rate * weight;
        let burst = bounds.granted_burst(&self.allowance) * weight;
        self.tokens = (self.tokens + rate * elapsed).min(burst.max(1.0));
        self.refilled_at = now;
        if self.tokens < 1.0 && wanted > 0 {
            self.refused += 1;
            let wait = (1.0 - self.tokens) / rate.max(MIN_RATE);
            return LeaseReply::Refused(Duration::from_secs_f64(wait));
        }
        let outstanding: u32 = self
            .holders
            .iter()
            .filter(|(id, holder)| *id != from && now < holder.replied_at + LEASE_TTL)
            .map(|(_, holder)| match holder.reply {
                LeaseReply::Granted(count) => count.saturating_sub(1),
                LeaseReply::Refused(_) | LeaseReply::NotCounting => 0,
            })
            .sum();
        // The request that waits for the reply is sent at once; only further ones can be late. Of a
        // small remainder nothing is granted ahead, because another ingress may need it sooner.
        let ahead = (bounds.granted_ahead(&self.allowance) - f64::from(outstanding))
            .min(self.tokens / 8.0)
            .max(0.0);
        let count = f64::from(wanted).min(self.tokens).min(1.0 + ahead) as u32;
        self.usage.add(now, count);
        self.tokens -= f64::from(count);
        LeaseReply::Granted(count)
    }
}
