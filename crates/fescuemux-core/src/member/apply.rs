//! Rules by which a received statement changes the view.

use super::membership::Membership;
use super::message::Update;
use super::output::Output;
use super::record::{InstanceRecord, MemberState, RecordSummary};
use crate::base::{Cx, InstanceId};
use std::cmp::Ordering;
use std::time::{Duration, Instant};

/// What a statement led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Applied {
    /// The view did not change.
    Ignored,
    /// The view changed.
    Accepted,
    /// The statement is about content that this member lacks.
    Missing,
}

impl Membership {
    /// Applies one statement and queues what changed for the other members.
    ///
    /// A whole record that repair brought (`repair`) is not queued: the others have it already
    /// or get it by repair too. A member that joins 540 others would otherwise send each of
    /// their records nine times.
    pub(super) fn apply(
        &mut self,
        cx: &mut Cx,
        update: Update,
        repair: bool,
        out: &mut Vec<Output>,
    ) -> Applied {
        match update {
            Update::Full { record, dead_for_secs } => {
                let instance = record.instance.clone();
                let applied = self.apply_full(cx, record, dead_for_secs, out);
                if applied == Applied::Accepted && !repair {
                    self.queue.push(&instance, true);
                }
                applied
            }
            Update::Summary(summary) => self.apply_standing(cx, &summary, out),
        }
    }

    fn apply_full(
        &mut self,
        cx: &mut Cx,
        mut record: InstanceRecord,
        dead_for_secs: u32,
        out: &mut Vec<Output>,
    ) -> Applied {
        if record.instance == self.own {
            self.refute(cx, record.precedence());
            return Applied::Ignored;
        }
        let Some(held) = self.table.get(&record.instance) else {
            return self.admit(cx, record, dead_for_secs, out);
        };
        if record.precedence() <= held.record.precedence() {
            return Applied::Ignored;
        }
        if record.precedence().content_version() == held.record.precedence().content_version() {
            let summary = RecordSummary {
                instance: record.instance.clone(),
                precedence: record.precedence(),
                dead_for_secs,
            };
            return self.apply_standing(cx, &summary, out);
        }
        record.state = accepted_state(held.record.state, record.state);
        let since = state_since(cx.now, record.state, dead_for_secs);
        let instance = record.instance.clone();
        let state = record.state;
        self.table.put(cx, record, since);
        self.after_change(&instance, state, out);
        Applied::Accepted
    }

    fn apply_standing(
        &mut self,
        cx: &mut Cx,
        summary: &RecordSummary,
        out: &mut Vec<Output>,
    ) -> Applied {
        if summary.instance == self.own {
            self.refute(cx, summary.precedence);
            return Applied::Ignored;
        }
        let Some(held) = self.table.get(&summary.instance) else { return Applied::Missing };
        match summary.precedence.content_version().cmp(&held.record.precedence().content_version())
        {
            Ordering::Less => return Applied::Ignored,
            Ordering::Greater => return Applied::Missing,
            Ordering::Equal => {}
        }
        let held = held.record.precedence();
        let state = accepted_state(held.state, summary.precedence.state);
        if (summary.precedence.refutation, state) <= (held.refutation, held.state) {
            return Applied::Ignored;
        }
        let since = state_since(cx.now, state, summary.dead_for_secs);
        self.table.restate(cx, &summary.instance, summary.precedence.refutation, state, since);
        self.after_change(&summary.instance, state, out);
        self.queue.push(&summary.instance, false);
        Applied::Accepted
    }

    /// Remembers that `from` holds this member for suspect or dead, so that the next message to
    /// it carries the own standing. The refutation may long have left the queue.
    pub(super) fn note_claim(&mut self, from: &InstanceId, update: &Update) {
        if *update.instance() != self.own {
            return;
        }
        let doubted = matches!(update.precedence().state, MemberState::Suspect | MemberState::Dead);
        if let Some(peer) = self.table.get_mut(from).filter(|_| doubted) {
            peer.doubts_own = true;
        }
    }

    /// Admits the record of an instance that has none here.
    fn admit(
        &mut self,
        cx: &mut Cx,
        record: InstanceRecord,
        dead_for_secs: u32,
        out: &mut Vec<Output>,
    ) -> Applied {
        let dead_for = Duration::from_secs(u64::from(dead_for_secs));
        let dead = record.state == MemberState::Dead;
        if dead && dead_for >= self.config.dead_retention / 2 {
            return Applied::Ignored;
        }
        if self.table.len() >= self.config.max_members && !self.make_room(cx, dead) {
            self.counters.refused_records += 1;
            return Applied::Ignored;
        }
        let since = state_since(cx.now, record.state, dead_for_secs);
        let instance = record.instance.clone();
        let state = record.state;
        self.table.put(cx, record, since);
        self.after_change(&instance, state, out);
        Applied::Accepted
    }

    /// Removes the record that has been dead for longest, unless the newcomer is dead too.
    fn make_room(&mut self, cx: &mut Cx, newcomer_dead: bool) -> bool {
        if newcomer_dead {
            return false;
        }
        let age = |i: &&InstanceId| self.table.get(i).map(|p| p.dead_for_secs(cx.now));
        let Some(oldest) = self.table.dead().iter().max_by_key(age).cloned() else { return false };
        self.forget(&oldest);
        true
    }

    /// Removes a dead record.
    pub(super) fn forget(&mut self, instance: &InstanceId) {
        self.table.forget(instance);
        self.queue.remove(instance);
    }

    /// Declares a state of another instance that this member found out itself.
    pub(super) fn declare(
        &mut self,
        cx: &mut Cx,
        instance: &InstanceId,
        state: MemberState,
        out: &mut Vec<Output>,
    ) {
        let Some(held) = self.table.get(instance) else { return };
        if held.record.state >= state {
            return;
        }
        let refutation = held.record.refutation;
        let now = cx.now;
        self.table.restate(cx, instance, refutation, state, now);
        self.after_change(instance, state, out);
        self.queue.push(instance, false);
    }

    fn after_change(&mut self, instance: &InstanceId, state: MemberState, out: &mut Vec<Output>) {
        if state == MemberState::Dead {
            self.counters.deaths += 1;
        }
        out.push(Output::RecordChanged(instance.clone()));
    }
}

/// Returns the state to hold after a claim about an instance held as `held`.
///
/// A claim of death about an instance that counts as live here only starts a suspicion, and the
/// own suspicion time decides. After a region cut each side holds the other for dead, and
/// accepting such claims would teach each side that its own living members are dead.
fn accepted_state(held: MemberState, claimed: MemberState) -> MemberState {
    match (held, claimed) {
        (MemberState::Alive | MemberState::Suspect, MemberState::Dead) => MemberState::Suspect,
        _ => claimed,
    }
}

fn state_since(now: Instant, state: MemberState, dead_for_secs: u32) -> Instant {
    if state != MemberState::Dead {
        return now;
    }
    now.checked_sub(Duration::from_secs(u64::from(dead_for_secs))).unwrap_or(now)
}
