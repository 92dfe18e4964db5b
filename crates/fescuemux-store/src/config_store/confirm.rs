//! Confirming of plans.

use super::{ConfigStore, ConfigStoreError};
use crate::{Effect, FailureKind, Mutation, Precondition, Store, StoreError, SwapResult};
use fescuemux_core::base::PlanId;
use fescuemux_core::config::{
    ConfirmOutcome, ConfirmRequest, ConfirmStep, Digest, HEAD_KEY, Head, NotConfirmedReason, Part,
    PendingConfirm, Plan, StalePlan, StepResult, UnknownReason, changed_parts, chunk_key,
    explain_stale, split_parts_into_chunks,
};
use fescuemux_wire::config::{ConfigError, encode_chunk, encode_head};
use smol_str::SmolStr;
use std::time::SystemTime;

/// Generations between two sweeps. As many as the history holds, so that a sweep finds about as
/// many chunks to delete as are kept.
const SWEEP_INTERVAL: u64 = 32;

/// Tries to write one chunk: two for a chunk that exists, one for a sweep in between, and one
/// for a lost reply.
const WRITE_TRIES: usize = 4;

/// Result of a confirm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Outcome.
    pub outcome: ConfirmOutcome,
    /// What changed since the plan was made, for a plan that came too late.
    pub stale: Option<StalePlan>,
}

impl<S: Store> ConfigStore<S> {
    /// Confirms a stored plan. Repeating it with the same id is harmless.
    ///
    /// # Errors
    /// Fails only before anything is in force, when a record cannot be used.
    pub fn confirm(
        &self,
        plan: PlanId,
        author: SmolStr,
        time: SystemTime,
    ) -> Result<Confirmation, ConfigStoreError> {
        let found = match self.load_plan(plan) {
            Ok(Some(found)) => found,
            Ok(None) => return self.look_up(plan),
            Err(ConfigStoreError::Store(_)) => {
                return Ok(unsent(plan, UnknownReason::StoreAway).into());
            }
            Err(error) => return Err(error),
        };
        if !found.refusals.is_empty() {
            return Ok(ConfirmOutcome::NotConfirmed(NotConfirmedReason::Refused).into());
        }
        let outcome = self.run(&found, author, time)?;
        if let ConfirmOutcome::Confirmed(generation) = outcome
            && generation % SWEEP_INTERVAL == 0
        {
            // The confirm stands whether or not old chunks can be deleted now.
            let _ = self.sweep();
        }
        let stale = match outcome {
            ConfirmOutcome::NotConfirmed(NotConfirmedReason::Stale(_)) => self.explain(&found),
            _ => None,
        };
        Ok(Confirmation { outcome, stale })
    }

    /// Answers for a plan whose record is gone: the head may still remember it.
    fn look_up(&self, plan: PlanId) -> Result<Confirmation, ConfigStoreError> {
        let outcome = match self.read_head() {
            Ok(head) => match head.and_then(|(_, head)| head.generation_of(plan)) {
                Some(generation) => ConfirmOutcome::Confirmed(generation),
                None => unsent(plan, UnknownReason::NoSuchPlan),
            },
            Err(ConfigStoreError::Store(_)) => unsent(plan, UnknownReason::StoreAway),
            Err(error) => return Err(error),
        };
        Ok(outcome.into())
    }

    fn run(
        &self,
        plan: &Plan,
        author: SmolStr,
        time: SystemTime,
    ) -> Result<ConfirmOutcome, ConfigStoreError> {
        let update = ConfirmRequest { plan: plan.id, base: plan.base, author, time };
        let mut confirm = PendingConfirm::new(update);
        let mut pause = self.retry_delay;
        loop {
            let reply = match confirm.step() {
                ConfirmStep::Done(outcome) => return Ok(*outcome),
                ConfirmStep::ReadHead => self.reply_head(),
                ConfirmStep::WriteChunks(base) => self.reply_chunks(plan, base.as_deref()),
                ConfirmStep::SwapHead(version, head) => Ok(self.reply_swap(*version, head)),
            };
            // After a swap with unknown effect, a record that cannot be used is one more reason
            // for doubt: an error would claim that nothing is in force.
            let reply = match reply {
                Ok(reply) => reply,
                Err(_) if confirm.swap_sent() => match confirm.step() {
                    ConfirmStep::WriteChunks(_) => StepResult::WriteFailed,
                    _ => StepResult::ReadFailed,
                },
                Err(error) => return Err(error),
            };
            let is_setback =
                !matches!(reply, StepResult::Head(_) | StepResult::Chunks(_) | StepResult::Swapped);
            confirm.on_reply(reply);
            if is_setback && !matches!(confirm.step(), ConfirmStep::Done(_)) {
                std::thread::sleep(pause);
                pause *= 2;
            }
        }
    }

    fn reply_head(&self) -> Result<StepResult, ConfigStoreError> {
        match self.read_head_to_follow() {
            Ok(head) => Ok(StepResult::Head(head.map(|(version, head)| (version, Box::new(head))))),
            Err(ConfigStoreError::Store(_) | ConfigStoreError::StaleGeneration { .. }) => {
                Ok(StepResult::ReadFailed)
            }
            Err(error) => Err(error),
        }
    }

    fn reply_chunks(
        &self,
        plan: &Plan,
        base: Option<&Head>,
    ) -> Result<StepResult, ConfigStoreError> {
        match self.write_chunks(plan, base) {
            Ok(changed) => Ok(StepResult::Chunks(changed)),
            // A replica that answers old values lacks the newest chunks.
            Err(ConfigStoreError::Store(_))
            | Err(ConfigStoreError::InvalidRecord(ConfigError::MissingChunk(_))) => {
                Ok(StepResult::WriteFailed)
            }
            Err(error) => Err(error),
        }
    }

    fn reply_swap(&self, version: Option<u64>, head: &Head) -> StepResult {
        let expect = version.map_or(Precondition::Absent, Precondition::Version);
        let value = encode_head(head);
        let change = Mutation::Put { value: &value, lease: None };
        match self.store.compare_and_swap(HEAD_KEY, expect, change) {
            Ok(SwapResult::Applied(_)) => StepResult::Swapped,
            Ok(SwapResult::Conflict(version)) => StepResult::Conflict(version),
            Err(error) if error.effect == Effect::None => StepResult::SwapFailed,
            Err(_) => StepResult::SwapUnknown,
        }
    }

    /// Writes the chunks that the plan changes on the content of `base`.
    fn write_chunks(
        &self,
        plan: &Plan,
        base: Option<&Head>,
    ) -> Result<Vec<(Part, Option<Digest>)>, ConfigStoreError> {
        let names = &base.map(|head| head.names.clone()).unwrap_or_default();
        let kept = base.map(Head::chunks).unwrap_or_default();
        let mut config = self.config_of(names)?;
        self.chunks().check_writable(names)?;
        config.apply_differences(&plan.changes)?;
        let parts = changed_parts(&plan.changes);
        let mut new = split_parts_into_chunks(&config, &parts);
        let mut changed = Vec::new();
        for part in parts {
            let name = match new.remove(&part) {
                Some(chunk) => {
                    let encoded = encode_chunk(&chunk)?;
                    let name = encoded.name;
                    if !kept.contains(&name) {
                        self.write_afresh(&chunk_key(&name), &encoded.bytes)?;
                    }
                    self.chunks().insert_encoded(encoded, chunk);
                    Some(name)
                }
                None => None,
            };
            changed.push((part, name));
        }
        let mut next = names.clone();
        for (part, name) in &changed {
            next.set(*part, *name);
        }
        self.chunks().retain(&[names, &next]);
        Ok(changed)
    }

    /// Writes a chunk that no generation of the base names, even if it exists: the new version
    /// keeps a sweep that listed the old one from deleting it. When another writer comes in
    /// between, its version is as new.
    fn write_afresh(&self, key: &str, value: &[u8]) -> Result<(), StoreError> {
        let change = Mutation::Put { value, lease: None };
        let mut expect = Precondition::Absent;
        for _ in 0..WRITE_TRIES {
            match (self.store.compare_and_swap(key, expect, change), expect) {
                (Ok(SwapResult::Applied(_)), _) => return Ok(()),
                (Ok(SwapResult::Conflict(Some(_))), Precondition::Version(_)) => return Ok(()),
                (Ok(SwapResult::Conflict(Some(version))), Precondition::Absent) => {
                    expect = Precondition::Version(version);
                }
                (Ok(SwapResult::Conflict(None)), _) => expect = Precondition::Absent,
                (Err(error), _) if !error.is_transient() => return Err(error),
                (Err(_), _) => {}
            }
        }
        Err(StoreError::with_unknown_effect(
            FailureKind::NoResponse,
            format!("{key}: too many tries"),
        ))
    }

    /// The explanation is a help for the operator, so a store that fails now only leaves it out.
    fn explain(&self, plan: &Plan) -> Option<StalePlan> {
        let (_, head) = self.read_head().ok()??;
        let current = self.config_of(&head.names).ok()?;
        let base = self.config_at(&head, plan.base).ok().flatten();
        Some(explain_stale(plan, base.as_ref(), &current, head.generation()))
    }
}

/// Returns the outcome of a call that sent no swap.
fn unsent(plan: PlanId, reason: UnknownReason) -> ConfirmOutcome {
    ConfirmOutcome::Unknown { plan, swap_sent: false, reason }
}

impl From<ConfirmOutcome> for Confirmation {
    fn from(outcome: ConfirmOutcome) -> Confirmation {
        Confirmation { outcome, stale: None }
    }
}
