//! State machine of the confirm protocol, which puts a plan in force.
//!
//! The state machine requests one step at a time and receives the result of the step. The following
//! holds even when replies are lost, reads return old values, other operators confirm concurrently,
//! or the same plan is confirmed twice:
//!
//! - `Confirmed` is reported only for a plan in the history of the head.
//! - `NotConfirmed` is reported only when the plan is not in the history and never will be. A
//!   write that is still in flight cannot change this, because the version of the head is no longer
//!   the one that the write expects.
//! - Every other outcome is `Unknown`. It is safe to confirm again with the same id.

use super::head::Head;
use super::layout::Part;
use super::names::Digest;
use crate::base::{Generation, PlanId};
use smol_str::SmolStr;
use std::time::SystemTime;

/// Number of retries after failed or outdated answers before a confirm reports `Unknown`.
const MAX_RETRIES: u32 = 6;

/// Request to confirm a plan.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfirmRequest {
    /// Id of the plan to confirm.
    pub plan: PlanId,
    /// Generation that the plan was made on.
    pub base: Generation,
    /// Operator who confirms.
    pub author: SmolStr,
    /// Wall-clock time of the confirmation.
    pub time: SystemTime,
}

/// Next step of a [`PendingConfirm`], for the daemon to perform.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ConfirmStep {
    /// Read the head.
    ReadHead,
    /// Write the chunks that the plan changes, relative to the content of this head; `None` stands
    /// for empty content. Chunks that the head or its history refers to need no write. All other
    /// chunks must be written after the head was read, even if the store has them, because a sweep
    /// may delete chunks that the head and its history do not refer to.
    WriteChunks(Option<Box<Head>>),
    /// Compare-and-swap the head. Holds the expected version, or `None` if no head may exist, and
    /// the new head.
    SwapHead(Option<u64>, Box<Head>),
    /// Report the outcome; the confirm is complete.
    Done(ConfirmOutcome),
}

/// Result of a step.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StepResult {
    /// The head was read. Holds its version and content, or `None` if no head exists.
    HeadRead(Option<(u64, Box<Head>)>),
    /// The head could not be read.
    ReadFailed,
    /// All chunks are stored. Holds the new chunk names of the changed parts, `None` for a
    /// part that is empty after the plan.
    ChunksWritten(Vec<(Part, Option<Digest>)>),
    /// Not all chunks could be stored.
    WriteFailed,
    /// The head was swapped.
    Swapped,
    /// The swap had no effect, because the head has this version instead of the expected one, or
    /// because no head exists (`None`).
    Conflict(Option<u64>),
    /// The swap failed without effect.
    SwapFailed,
    /// The swap may have taken effect, or may still take effect later.
    SwapUnknown,
}

/// Outcome of a confirm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConfirmOutcome {
    /// The plan became this generation, which is in force or was replaced by a later generation.
    Confirmed(Generation),
    /// The plan is not in force and never will be.
    NotConfirmed(NotConfirmedReason),
    /// The plan may be in force. Confirm again with the same id to find out.
    Unknown {
        /// Id of the plan.
        plan: PlanId,
        /// Whether a swap of the head that this call sent may have taken effect. If not, this call
        /// did not change the head, although an earlier call may have.
        swap_sent: bool,
        /// Reason why the outcome is not known.
        reason: UnknownReason,
    },
}

/// Reason why a plan is not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotConfirmedReason {
    /// Another plan was confirmed on the base of the plan. Holds the generation in force.
    Stale(Generation),
    /// The plan has refusals.
    Refused,
}

/// Reason why an outcome is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UnknownReason {
    /// The store failed or gave outdated answers too many times.
    StoreAway,
    /// The history of the head no longer reaches back to the base of the plan.
    HistoryTooShort,
    /// The store has no plan with this id: the plan expired or never existed.
    NoSuchPlan,
}

/// One confirm in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PendingConfirm {
    request: ConfirmRequest,
    step: ConfirmStep,
    /// Version and content of the newest head read at the base generation.
    base_head: Option<(u64, Box<Head>)>,
    /// Minimum version of the head; a read of a lower version is outdated.
    min_version: u64,
    /// Whether a swap was sent whose effect is unknown.
    swap_sent: bool,
    /// Number of retries so far.
    retries: u32,
}

impl PendingConfirm {
    /// Starts a confirm. The first step reads the head.
    pub fn new(request: ConfirmRequest) -> PendingConfirm {
        PendingConfirm {
            request,
            step: ConfirmStep::ReadHead,
            base_head: None,
            min_version: 0,
            swap_sent: false,
            retries: 0,
        }
    }

    /// Returns the next step to perform.
    pub fn step(&self) -> &ConfirmStep {
        &self.step
    }

    /// Returns whether a swap of the head was sent whose effect was unknown.
    pub fn swap_sent(&self) -> bool {
        self.swap_sent
    }

    /// Handles the result of the current step. Results of other steps are ignored.
    pub fn on_result(&mut self, result: StepResult) {
        let next = match (&self.step, result) {
            (ConfirmStep::ReadHead, StepResult::HeadRead(head)) => self.on_head(head),
            (ConfirmStep::ReadHead, StepResult::ReadFailed) => {
                self.retry_or_give_up(ConfirmStep::ReadHead)
            }
            (ConfirmStep::WriteChunks(_), StepResult::ChunksWritten(changed)) => {
                self.swap_step(&changed)
            }
            (ConfirmStep::WriteChunks(_), StepResult::WriteFailed) => {
                self.unknown_outcome(UnknownReason::StoreAway)
            }
            (ConfirmStep::SwapHead(..), StepResult::Swapped) => {
                ConfirmStep::Done(ConfirmOutcome::Confirmed(self.request.base + 1))
            }
            (ConfirmStep::SwapHead(..), StepResult::Conflict(version)) => self.on_conflict(version),
            (ConfirmStep::SwapHead(..), StepResult::SwapFailed) => {
                self.retry_or_give_up(self.step.clone())
            }
            (ConfirmStep::SwapHead(..), StepResult::SwapUnknown) => {
                self.swap_sent = true;
                self.retry_or_give_up(ConfirmStep::ReadHead)
            }
            _ => return,
        };
        self.step = next;
    }

    fn on_head(&mut self, head: Option<(u64, Box<Head>)>) -> ConfirmStep {
        let version = head.as_ref().map_or(0, |(version, _)| *version);
        if version < self.min_version {
            return self.retry_or_give_up(ConfirmStep::ReadHead);
        }
        let base = self.request.base;
        let generation = head.as_ref().map_or(0, |(_, head)| head.generation());
        if let Some((_, head)) = &head {
            if let Some(generation) = head.generation_of(self.request.plan) {
                return ConfirmStep::Done(ConfirmOutcome::Confirmed(generation));
            }
            if generation > base && head.record(base + 1).is_some() {
                return ConfirmStep::Done(ConfirmOutcome::NotConfirmed(NotConfirmedReason::Stale(
                    generation,
                )));
            }
        }
        match generation.cmp(&base) {
            std::cmp::Ordering::Greater => self.unknown_outcome(UnknownReason::HistoryTooShort),
            std::cmp::Ordering::Less => self.retry_or_give_up(ConfirmStep::ReadHead),
            std::cmp::Ordering::Equal => self.write_step(head),
        }
    }

    fn write_step(&mut self, head: Option<(u64, Box<Head>)>) -> ConfirmStep {
        let step = ConfirmStep::WriteChunks(head.as_ref().map(|(_, head)| head.clone()));
        self.base_head = head;
        step
    }

    fn swap_step(&self, changed: &[(Part, Option<Digest>)]) -> ConfirmStep {
        let ConfirmRequest { plan, author, time, .. } = self.request.clone();
        let (version, head) = match &self.base_head {
            Some((version, head)) => (Some(*version), Some(&**head)),
            None => (None, None),
        };
        ConfirmStep::SwapHead(version, Box::new(Head::next(head, plan, author, time, changed)))
    }

    /// Handles a conflict: the head has `version`, so reads of a lower version are outdated.
    fn on_conflict(&mut self, version: Option<u64>) -> ConfirmStep {
        self.min_version = self.min_version.max(version.unwrap_or(0));
        self.retry_or_give_up(ConfirmStep::ReadHead)
    }

    fn retry_or_give_up(&mut self, next: ConfirmStep) -> ConfirmStep {
        self.retries += 1;
        if self.retries > MAX_RETRIES {
            return self.unknown_outcome(UnknownReason::StoreAway);
        }
        next
    }

    fn unknown_outcome(&self, reason: UnknownReason) -> ConfirmStep {
        let ConfirmRequest { plan, .. } = self.request;
        ConfirmStep::Done(ConfirmOutcome::Unknown { plan, swap_sent: self.swap_sent, reason })
    }
}
