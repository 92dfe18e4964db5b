//! The confirm protocol as a state machine.
//!
//! The machine asks for one step at a time and is told its result. It holds whether or not
//! replies are lost, reads answer with old values, other operators confirm at the same time, or
//! the same plan is confirmed twice:
//!
//! - `Confirmed` is reported only for a plan that is in the head's history.
//! - `NotConfirmed` is reported only when the plan is not in the history and never will be. A
//!   lost write that is still on its way cannot change that, because the head has moved on from
//!   the version that the write expects.
//! - Everything else is `Unknown`; asking again with the same id is harmless.

use super::head::Head;
use super::layout::Part;
use super::names::Digest;
use crate::base::{Generation, PlanId};
use smol_str::SmolStr;
use std::time::SystemTime;

/// Failed or outdated answers that one confirm accepts before it reports `Unknown`.
const MAX_SETBACKS: u32 = 6;

/// What a confirm is about.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfirmRequest {
    /// The plan.
    pub plan: PlanId,
    /// Generation that it was made on.
    pub base: Generation,
    /// Operator who confirms.
    pub author: SmolStr,
    /// Wall-clock time.
    pub time: SystemTime,
}

/// What the driver does next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ConfirmStep {
    /// Read the head.
    ReadHead,
    /// Write the chunks that the plan changes on the content of this head; `None` for empty
    /// content. Chunks that the head remembers need no write. All others must be written after
    /// the head was read, even if they exist, or a sweep may delete them.
    WriteChunks(Option<Box<Head>>),
    /// Compare-and-swap the head. `None` expects that there is none.
    SwapHead(Option<u64>, Box<Head>),
    /// Report the outcome.
    Done(ConfirmOutcome),
}

/// Result of a step.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StepResult {
    /// The head as read, with its version; `None` if there is none.
    Head(Option<(u64, Box<Head>)>),
    /// The head could not be read.
    ReadFailed,
    /// All chunks are stored. Holds the new names of the parts that change.
    Chunks(Vec<(Part, Option<Digest>)>),
    /// Not all chunks could be stored.
    WriteFailed,
    /// The head was swapped.
    Swapped,
    /// The head has another version, or does not exist.
    Conflict(Option<u64>),
    /// The swap failed without effect.
    SwapFailed,
    /// The swap may have taken effect or may yet take effect.
    SwapUnknown,
}

/// Outcome of a confirm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConfirmOutcome {
    /// The plan is in force as this generation, or was before a later one.
    Confirmed(Generation),
    /// The plan is not in force and never will be.
    NotConfirmed(NotConfirmedReason),
    /// The plan may be in force; ask again with this id.
    Unknown {
        /// The plan.
        plan: PlanId,
        /// Whether this call sent the swap of the head. If not, this call changed nothing,
        /// though an earlier one may have.
        swap_sent: bool,
        /// Why the outcome is not known.
        reason: UnknownReason,
    },
}

/// Why a plan is not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotConfirmedReason {
    /// Another plan was confirmed on the same base; holds the generation in force.
    Stale(Generation),
    /// The plan carries refusals.
    Refused,
}

/// Why an outcome is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UnknownReason {
    /// The store failed or gave outdated answers too many times.
    StoreAway,
    /// The head's history no longer reaches back to the base of the plan.
    HistoryTooShort,
    /// The store holds no plan with this id: it lapsed, or never existed.
    NoSuchPlan,
}

/// One confirm in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PendingConfirm {
    update: ConfirmRequest,
    step: ConfirmStep,
    /// Head read last at the base generation, with its version.
    base: Option<(u64, Box<Head>)>,
    /// Lowest version that a read of the head must have; older answers are outdated.
    min_version: u64,
    swap_sent: bool,
    setbacks: u32,
}

impl PendingConfirm {
    /// Starts a confirm. The first step reads the head.
    pub fn new(update: ConfirmRequest) -> PendingConfirm {
        PendingConfirm {
            update,
            step: ConfirmStep::ReadHead,
            base: None,
            min_version: 0,
            swap_sent: false,
            setbacks: 0,
        }
    }

    /// Returns the step to take now.
    pub fn step(&self) -> &ConfirmStep {
        &self.step
    }

    /// Returns whether a swap of the head may have taken effect.
    pub fn swap_sent(&self) -> bool {
        self.swap_sent
    }

    /// Takes the result of the current step. Results that do not belong to it are ignored.
    pub fn on_reply(&mut self, reply: StepResult) {
        let next = match (&self.step, reply) {
            (ConfirmStep::ReadHead, StepResult::Head(head)) => self.on_head(head),
            (ConfirmStep::ReadHead, StepResult::ReadFailed) => {
                self.after_setback(ConfirmStep::ReadHead)
            }
            (ConfirmStep::WriteChunks(_), StepResult::Chunks(changed)) => self.swap_of(&changed),
            (ConfirmStep::WriteChunks(_), StepResult::WriteFailed) => {
                self.unknown(UnknownReason::StoreAway)
            }
            (ConfirmStep::SwapHead(..), StepResult::Swapped) => {
                ConfirmStep::Done(ConfirmOutcome::Confirmed(self.update.base + 1))
            }
            (ConfirmStep::SwapHead(..), StepResult::Conflict(version)) => self.on_conflict(version),
            (ConfirmStep::SwapHead(..), StepResult::SwapFailed) => {
                self.after_setback(self.step.clone())
            }
            (ConfirmStep::SwapHead(..), StepResult::SwapUnknown) => {
                self.swap_sent = true;
                self.after_setback(ConfirmStep::ReadHead)
            }
            _ => return,
        };
        self.step = next;
    }

    fn on_head(&mut self, head: Option<(u64, Box<Head>)>) -> ConfirmStep {
        let version = head.as_ref().map_or(0, |(version, _)| *version);
        if version < self.min_version {
            return self.after_setback(ConfirmStep::ReadHead);
        }
        let base = self.update.base;
        let generation = head.as_ref().map_or(0, |(_, head)| head.generation());
        if let Some((_, head)) = &head {
            if let Some(generation) = head.generation_of(self.update.plan) {
                return ConfirmStep::Done(ConfirmOutcome::Confirmed(generation));
            }
            if generation > base && head.record(base + 1).is_some() {
                return ConfirmStep::Done(ConfirmOutcome::NotConfirmed(NotConfirmedReason::Stale(
                    generation,
                )));
            }
        }
        match generation.cmp(&base) {
            std::cmp::Ordering::Greater => self.unknown(UnknownReason::HistoryTooShort),
            std::cmp::Ordering::Less => self.after_setback(ConfirmStep::ReadHead),
            std::cmp::Ordering::Equal => self.on_base(head),
        }
    }

    fn on_base(&mut self, head: Option<(u64, Box<Head>)>) -> ConfirmStep {
        let step = ConfirmStep::WriteChunks(head.as_ref().map(|(_, head)| head.clone()));
        self.base = head;
        step
    }

    fn swap_of(&self, changed: &[(Part, Option<Digest>)]) -> ConfirmStep {
        let ConfirmRequest { plan, author, time, .. } = self.update.clone();
        let (version, head) = match &self.base {
            Some((version, head)) => (Some(*version), Some(&**head)),
            None => (None, None),
        };
        ConfirmStep::SwapHead(version, Box::new(Head::next(head, plan, author, time, changed)))
    }

    /// The head moved on: reads that are older than the version seen here prove nothing.
    fn on_conflict(&mut self, version: Option<u64>) -> ConfirmStep {
        self.min_version = self.min_version.max(version.unwrap_or(0));
        self.after_setback(ConfirmStep::ReadHead)
    }

    fn after_setback(&mut self, next: ConfirmStep) -> ConfirmStep {
        self.setbacks += 1;
        if self.setbacks > MAX_SETBACKS {
            return self.unknown(UnknownReason::StoreAway);
        }
        next
    }

    fn unknown(&self, reason: UnknownReason) -> ConfirmStep {
        let ConfirmRequest { plan, .. } = self.update;
        ConfirmStep::Done(ConfirmOutcome::Unknown { plan, swap_sent: self.swap_sent, reason })
    }
}
