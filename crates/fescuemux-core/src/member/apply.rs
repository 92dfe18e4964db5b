//! Application of received updates to the local view.

use super::membership::Membership;
use super::message::Update;
use super::output::Output;
use super::record::{InstanceRecord, MemberState, RecordSummary};
use crate::base::{Cx, InstanceId};
use std::cmp::Ordering;
use std::time::{Duration, Instant};

/// Result of applying an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ApplyResult {
    /// The view did not change.
    Ignored,
    /// The view changed.
    Accepted,
    /// The update refers to record content that this member does not have.
    Missing,
}

impl Membership {
    /// Applies one update and queues the change for the other members.
    ///
    /// Full records received by a sync (`from_sync`) are not queued, because the other members have
    /// these records already or receive them by a sync as well. A member that joins 540 others
    /// would otherwise send each of their records nine times.
    pub(super) fn apply(
        &mut self,
        cx: &mut Cx,
        update: Update,
        from_sync: bool,
        out: &mut Vec<Output>,
    ) -> ApplyResult {
        match update {
            Update::Full { record, dead_for_secs } => {
                let instance = record.instance.clone();
                let applied = self.apply_full(cx, record, dead_for_secs, out);
                if applied == ApplyResult::Accepted && !from_sync {
                    self.gossip.push(&instance, true);
                }
                applied
            }
            Update::Summary(summary) => self.apply_summary(cx, &summary, out),
        }
    }

    fn apply_full(
        &mut self,
        cx: &mut Cx,
        mut record: InstanceRecord,
        dead_for_secs: u32,
        out: &mut Vec<Output>,
    ) -> ApplyResult {
        if record.instance == self.local_id {
            self.refute(cx, record.precedence());
            return ApplyResult::Ignored;
        }
        let Some(current) = self.table.get(&record.instance) else {
            return self.insert_new_record(cx, record, dead_for_secs, out);
        };
        if record.precedence() <= current.record.precedence() {
            return ApplyResult::Ignored;
        }
        if record.precedence().content_version() == current.record.precedence().content_version() {
            let summary = RecordSummary {
                instance: record.instance.clone(),
                precedence: record.precedence(),
                dead_for_secs,
            };
            return self.apply_summary(cx, &summary, out);
        }
        record.state = accepted_state(current.record.state, record.state);
        let since = state_since(cx.now, record.state, dead_for_secs);
        let instance = record.instance.clone();
        let state = record.state;
        self.table.put(cx, record, since);
        self.after_change(&instance, state, out);
        ApplyResult::Accepted
    }

    fn apply_summary(
        &mut self,
        cx: &mut Cx,
        summary: &RecordSummary,
        out: &mut Vec<Output>,
    ) -> ApplyResult {
        if summary.instance == self.local_id {
            self.refute(cx, summary.precedence);
            return ApplyResult::Ignored;
        }
        let Some(current) = self.table.get(&summary.instance) else { return ApplyResult::Missing };
        match summary
            .precedence
            .content_version()
            .cmp(&current.record.precedence().content_version())
        {
            Ordering::Less => return ApplyResult::Ignored,
            Ordering::Greater => return ApplyResult::Missing,
            Ordering::Equal => {}
        }
        let current = current.record.precedence();
        let state = accepted_state(current.state, summary.precedence.state);
        if (summary.precedence.refutation, state) <= (current.refutation, current.state) {
            return ApplyResult::Ignored;
        }
        let since = state_since(cx.now, state, summary.dead_for_secs);
        self.table.update_state(cx, &summary.instance, summary.precedence.refutation, state, since);
        self.after_change(&summary.instance, state, out);
        self.gossip.push(&summary.instance, false);
        ApplyResult::Accepted
    }

    /// Records whether `from` reports in `update` that this member is suspect or dead. If so, the
    /// next message to `from` with queued updates carries the summary of the local record, because
    /// the refutation may no longer be queued.
    pub(super) fn record_suspicion_of_local(&mut self, from: &InstanceId, update: &Update) {
        if *update.instance() != self.local_id {
            return;
        }
        let suspected =
            matches!(update.precedence().state, MemberState::Suspect | MemberState::Dead);
        if let Some(peer) = self.table.get_mut(from).filter(|_| suspected) {
            peer.needs_local_summary = true;
        }
    }

    /// Inserts the record of an instance that is not in the table.
    fn insert_new_record(
        &mut self,
        cx: &mut Cx,
        record: InstanceRecord,
        dead_for_secs: u32,
        out: &mut Vec<Output>,
    ) -> ApplyResult {
        let dead_for_duration = Duration::from_secs(u64::from(dead_for_secs));
        let is_dead = record.state == MemberState::Dead;
        if is_dead && dead_for_duration >= self.config.dead_retention / 2 {
            return ApplyResult::Ignored;
        }
        if self.table.len() >= self.config.max_members && !self.evict_longest_dead(cx, is_dead) {
            self.counters.refused_records += 1;
            return ApplyResult::Ignored;
        }
        let since = state_since(cx.now, record.state, dead_for_secs);
        let instance = record.instance.clone();
        let state = record.state;
        self.table.put(cx, record, since);
        self.after_change(&instance, state, out);
        ApplyResult::Accepted
    }

    /// Evicts the record that has been dead for the longest time, unless the new record is dead
    /// too. Returns whether a record was evicted.
    fn evict_longest_dead(&mut self, cx: &mut Cx, new_record_dead: bool) -> bool {
        if new_record_dead {
            return false;
        }
        let dead_time = |i: &&InstanceId| self.table.get(i).map(|p| p.dead_for_secs(cx.now));
        let Some(longest_dead) = self.table.dead().iter().max_by_key(dead_time).cloned() else {
            return false;
        };
        self.forget(&longest_dead);
        true
    }

    /// Removes a dead record and its queued update.
    pub(super) fn forget(&mut self, instance: &InstanceId) {
        self.table.forget(instance);
        self.gossip.remove(instance);
    }

    /// Sets the state of another instance after a local observation, and queues the change. Has no
    /// effect unless `state` takes precedence over the current state.
    pub(super) fn set_state(
        &mut self,
        cx: &mut Cx,
        instance: &InstanceId,
        state: MemberState,
        out: &mut Vec<Output>,
    ) {
        let Some(current) = self.table.get(instance) else { return };
        if current.record.state >= state {
            return;
        }
        let refutation = current.record.refutation;
        let now = cx.now;
        self.table.update_state(cx, instance, refutation, state, now);
        self.after_change(instance, state, out);
        self.gossip.push(instance, false);
    }

    fn after_change(&mut self, instance: &InstanceId, state: MemberState, out: &mut Vec<Output>) {
        if state == MemberState::Dead {
            self.counters.deaths += 1;
        }
        out.push(Output::RecordChanged(instance.clone()));
    }
}

/// Returns the new state of an instance in state `current` after a report of state `reported`.
///
/// A report that a live instance is dead only starts a suspicion, which ends after the local
/// suspicion timeout. After a network partition between regions, each side considers the members of
/// the other side dead; accepting these reports would make each side declare its own live members
/// dead.
fn accepted_state(current: MemberState, reported: MemberState) -> MemberState {
    match (current, reported) {
        (MemberState::Alive | MemberState::Suspect, MemberState::Dead) => MemberState::Suspect,
        _ => reported,
    }
}

/// Returns the time at which an instance entered `state`: for a dead instance, `dead_for_secs` ago;
/// for any other state, now.
fn state_since(now: Instant, state: MemberState, dead_for_secs: u32) -> Instant {
    if state != MemberState::Dead {
        return now;
    }
    now.checked_sub(Duration::from_secs(u64::from(dead_for_secs))).unwrap_or(now)
}
