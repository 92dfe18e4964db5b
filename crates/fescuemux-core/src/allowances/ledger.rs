//! Count of the requests of customers at their counting instance.

use super::limiter::LEASE_TTL;
use super::message::{CallerHash, LeaseReply, LeaseRequest, UsageReport};
use super::reachability::Reachability;
use super::usage_window::UsageWindow;
use super::{Allowance, AllowanceBounds, AllowanceMessage, Members};
use crate::base::{Generation, HashMap, HashSet, InstanceId};
use std::time::{Duration, Instant};

/// Time from which a new counting instance no longer waits for reports.
const REPORT_TIME: Duration = Duration::from_millis(250);

/// Time in which it takes late reports. They contain requests that it has granted itself, which
/// then count twice.
const LATE_REPORT_TIME: Duration = Duration::from_secs(1);

/// Last lease of one ingress.
#[derive(Clone, Copy, Debug)]
struct Holder {
    seq: u32,
    reply: LeaseReply,
    replied_at: Instant,
}

/// Use before this instance began to count, as far as it is known.
#[derive(Debug)]
struct History {
    began_at: Instant,
    heard: HashSet<InstanceId>,
    /// Number of instances that reported the use of a whole window.
    complete: usize,
    /// Requests that were granted before the reports had arrived.
    granted: u32,
}

#[derive(Debug)]
struct Account {
    allowance: Allowance,
    version: Generation,
    usage: UsageWindow,
    holders: HashMap<InstanceId, Holder>,
    /// `None` if this instance has counted for the whole window.
    history: Option<History>,
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

/// Requests of the customers that this instance counts.
#[derive(Debug)]
pub struct UsageLedger {
    bounds: AllowanceBounds,
    accounts: HashMap<CallerHash, Account>,
    complete_from: Instant,
    /// Part of an allowance that this instance granted last.
    weight: f64,
}

impl UsageLedger {
    /// Returns an empty ledger. `complete_from` is the time from which it knows a whole window.
    pub(super) fn new(bounds: AllowanceBounds, complete_from: Instant) -> UsageLedger {
        UsageLedger { bounds, accounts: HashMap::default(), complete_from, weight: 1.0 }
    }

    /// Decides about a lease request. Messages to send are added to `out`.
    pub(super) fn on_request(
        &mut self,
        now: Instant,
        members: &Members,
        reachability: &mut Reachability,
        from: &InstanceId,
        request: &LeaseRequest,
        out: &mut Vec<(InstanceId, AllowanceMessage)>,
    ) -> LeaseReply {
        let candidates = members.candidates(request.caller);
        let position = candidates.iter().position(|id| *id == members.own_id());
        let weight = reachability.weight(members);
        let mut earlier = candidates.iter().take(position.unwrap_or(0));
        if weight > self.weight {
            // Others may have counted for the part of the fleet that is reachable again.
            self.accounts.clear();
            self.complete_from = self.complete_from.max(now + self.bounds.window);
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
        let account = self.accounts.entry(request.caller).or_insert_with(|| {
            if !is_complete {
                let query = AllowanceMessage::UsageQuery(request.caller);
                out.extend(
                    members.others().chain([members.own_id()]).cloned().map(|id| (id, query)),
                );
            }
            let history =
                History { began_at: now, heard: HashSet::default(), complete: 0, granted: 0 };
            Account {
                allowance: request.allowance,
                version: request.version,
                usage: UsageWindow::new(now, window),
                holders: HashMap::default(),
                history: (!is_complete).then_some(history),
                refused: 0,
                last_request: now,
            }
        });
        account.last_request = now;
        if let Some(holder) = account.holders.get(from).filter(|holder| holder.seq == request.seq) {
            return holder.reply;
        }
        if request.version >= account.version {
            (account.allowance, account.version) = (request.allowance, request.version);
        }
        account.usage.remove(now, request.returned);
        let reply = account.reply(now, &self.bounds, members.len(), weight, from, request.wanted);
        account.holders.insert(from.clone(), Holder { seq: request.seq, reply, replied_at: now });
        reply
    }

    /// Takes the use of a customer at another instance before this one began to count.
    pub(super) fn on_report(&mut self, now: Instant, from: &InstanceId, report: &UsageReport) {
        let Some(account) = self.accounts.get_mut(&report.caller) else { return };
        let Some(history) = &mut account.history else { return };
        let in_time = now < history.began_at + LATE_REPORT_TIME;
        if in_time && history.heard.insert(from.clone()) {
            history.complete += usize::from(report.complete);
            account.usage.add_parts(now, &report.parts);
        }
    }

    /// Forgets customers without requests, and repeats queries whose reports are missing.
    pub(super) fn tick(
        &mut self,
        now: Instant,
        members: &Members,
        out: &mut Vec<(InstanceId, AllowanceMessage)>,
    ) {
        let kept = self.bounds.window + 2 * LEASE_TTL;
        self.accounts
            .retain(|_, account| now.saturating_duration_since(account.last_request) < kept);
        for (caller, account) in &mut self.accounts {
            if let Some(history) = &account.history
                && now < history.began_at + LATE_REPORT_TIME
            {
                let missing = members.others().filter(|id| !history.heard.contains(*id));
                out.extend(missing.map(|id| (id.clone(), AllowanceMessage::UsageQuery(*caller))));
            }
            let is_recent = |at: Instant| now.saturating_duration_since(at) < LEASE_TTL;
            account.holders.retain(|_, holder| is_recent(holder.replied_at));
        }
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
        member_count: usize,
        weight: f64,
        from: &InstanceId,
        wanted: u32,
    ) -> LeaseReply {
        let allowed = bounds.granted(&self.allowance);
        self.history.take_if(|history| now >= history.began_at + bounds.window);
        let used = f64::from(self.usage.count(now));
        let mut room = allowed * weight - used;
        if let Some(history) = &self.history {
            // Instances that have not reported may have used their part until this one began.
            let unknown = 1.0 - (history.complete.min(member_count)) as f64 / member_count as f64;
            let is_settled = unknown == 0.0 || now >= history.began_at + REPORT_TIME;
            room = if is_settled { room - unknown * allowed } else { 0.0 };
            let granted_unknown = bounds.granted_unknown(&self.allowance);
            room = room.max(granted_unknown - f64::from(history.granted));
        }
        if room < 1.0 && wanted > 0 {
            self.refused += 1;
            let missing = used + 1.0 - allowed * weight;
            let wait = self.usage.time_until_freed(now, missing.max(1.0));
            return LeaseReply::Refused(wait);
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
            .min(room / 8.0)
            .max(0.0);
        let count = f64::from(wanted).min(room).min(1.0 + ahead) as u32;
        self.usage.add(now, count);
        if let Some(history) = &mut self.history {
            history.granted += count;
        }
        LeaseReply::Granted(count)
    }
}
