//! Confirmation of plans.

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

/// Number of generations between two sweeps. It equals the length of the history, so that a sweep
/// deletes about as many chunks as it keeps.
const SWEEP_INTERVAL_GENERATIONS: u64 = 32;

/// Maximum attempts to write one chunk. A chunk that exists takes two attempts, a sweep that
/// deletes the chunk in between takes a third, and a lost reply a fourth.
const MAX_WRITE_ATTEMPTS: usize = 4;

/// Result of a confirm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Outcome of the confirm.
    pub outcome: ConfirmOutcome,
    /// What changed since the plan was made, if the plan is stale and the store could be read.
    pub stale: Option<StalePlan>,
}

impl<S: Store> ConfigStore<S> {
    /// Confirms a stored plan. The call is idempotent.
    ///
    /// # Errors
    /// Fails when a record in the store cannot be used, but never after this call sent a swap that
    /// may put the plan in force.
    pub fn confirm(
        &self,
        plan: PlanId,
        author: SmolStr,
        time: SystemTime,
    ) -> Result<Confirmation, ConfigStoreError> {
        let stored = match self.load_plan(plan) {
            Ok(Some(stored)) => stored,
            Ok(None) => return self.find_confirmed(plan),
            Err(ConfigStoreError::Store(_)) => {
                return Ok(unknown_without_swap(plan, UnknownReason::StoreAway).into());
            }
            Err(error) => return Err(error),
        };
        if !stored.refusals.is_empty() {
            return Ok(ConfirmOutcome::NotConfirmed(NotConfirmedReason::Refused).into());
        }
        let outcome = self.run_confirm(&stored, author, time)?;
        if let ConfirmOutcome::Confirmed(generation) = outcome
            && generation % SWEEP_INTERVAL_GENERATIONS == 0
        {
            // The confirm succeeded whether or not old chunks can be deleted now.
            let _ = self.sweep();
        }
        let stale = match outcome {
            ConfirmOutcome::NotConfirmed(NotConfirmedReason::Stale(_)) => {
                self.explain_stale_plan(&stored)
            }
            _ => None,
        };
        Ok(Confirmation { outcome, stale })
    }

    /// Returns the outcome for a plan whose record does not exist. The history may still show that
    /// it was confirmed.
    fn find_confirmed(&self, plan: PlanId) -> Result<Confirmation, ConfigStoreError> {
        let outcome = match self.read_head() {
            Ok(head) => match head.and_then(|(_, head)| head.generation_of(plan)) {
                Some(generation) => ConfirmOutcome::Confirmed(generation),
                None => unknown_without_swap(plan, UnknownReason::NoSuchPlan),
            },
            Err(ConfigStoreError::Store(_)) => unknown_without_swap(plan, UnknownReason::StoreAway),
            Err(error) => return Err(error),
        };
        Ok(outcome.into())
    }

    fn run_confirm(
        &self,
        plan: &Plan,
        author: SmolStr,
        time: SystemTime,
    ) -> Result<ConfirmOutcome, ConfigStoreError> {
        let request = ConfirmRequest { plan: plan.id, base: plan.base, author, time };
        let mut confirm = PendingConfirm::new(request);
        let mut delay = self.retry_delay;
        loop {
            let result = match confirm.step() {
                ConfirmStep::Done(outcome) => return Ok(*outcome),
                ConfirmStep::ReadHead => self.perform_read_head(),
                ConfirmStep::WriteChunks(base_head) => {
                    self.perform_write_chunks(plan, base_head.as_deref())
                }
                ConfirmStep::SwapHead(version, head) => Ok(self.perform_swap_head(*version, head)),
            };
            // After a swap was sent, an unusable record counts as a failed step, because an error
            // would claim that the plan is not in force.
            let result = match result {
                Ok(result) => result,
                Err(_) if confirm.swap_sent() => match confirm.step() {
                    ConfirmStep::WriteChunks(_) => StepResult::WriteFailed,
                    _ => StepResult::ReadFailed,
                },
                Err(error) => return Err(error),
            };
            let is_failure = !matches!(
                result,
                StepResult::HeadRead(_) | StepResult::ChunksWritten(_) | StepResult::Swapped
            );
            confirm.on_result(result);
            if is_failure && !matches!(confirm.step(), ConfirmStep::Done(_)) {
                std::thread::sleep(delay);
                delay *= 2;
            }
        }
    }

    fn perform_read_head(&self) -> Result<StepResult, ConfigStoreError> {
        match self.read_head_for_update() {
            Ok(head) => {
                Ok(StepResult::HeadRead(head.map(|(version, head)| (version, Box::new(head)))))
            }
            Err(ConfigStoreError::Store(_) | ConfigStoreError::StaleGeneration { .. }) => {
                Ok(StepResult::ReadFailed)
            }
            Err(error) => Err(error),
        }
    }

    fn perform_write_chunks(
        &self,
        plan: &Plan,
        base_head: Option<&Head>,
    ) -> Result<StepResult, ConfigStoreError> {
        match self.write_chunks(plan, base_head) {
            Ok(changed_names) => Ok(StepResult::ChunksWritten(changed_names)),
            // A lagging replica lacks the newest chunks.
            Err(ConfigStoreError::Store(_))
            | Err(ConfigStoreError::InvalidRecord(ConfigError::MissingChunk(_))) => {
                Ok(StepResult::WriteFailed)
            }
            Err(error) => Err(error),
        }
    }

    fn perform_swap_head(&self, version: Option<u64>, head: &Head) -> StepResult {
        let precondition = version.map_or(Precondition::Absent, Precondition::Version);
        let value = encode_head(head);
        let mutation = Mutation::Put { value: &value, lease: None };
        match self.store.compare_and_swap(HEAD_KEY, precondition, mutation) {
            Ok(SwapResult::Applied(_)) => StepResult::Swapped,
            Ok(SwapResult::Conflict(version)) => StepResult::Conflict(version),
            Err(error) if error.effect == Effect::None => StepResult::SwapFailed,
            Err(_) => StepResult::SwapUnknown,
        }
    }

    /// Applies the plan to the content of `base_head` and returns the chunk name of each changed
    /// part; `None` for a part without content. Writes those chunks that no generation in the
    /// history of `base_head` refers to.
    fn write_chunks(
        &self,
        plan: &Plan,
        base_head: Option<&Head>,
    ) -> Result<Vec<(Part, Option<Digest>)>, ConfigStoreError> {
        let names = &base_head.map(|head| head.names.clone()).unwrap_or_default();
        let referenced = base_head.map(Head::chunks).unwrap_or_default();
        let mut config = self.load_config(names)?;
        self.chunks().check_writable(names)?;
        config.apply_differences(&plan.changes)?;
        let parts = changed_parts(&plan.changes);
        let mut new_chunks = split_parts_into_chunks(&config, &parts);
        let mut changed_names = Vec::new();
        for part in parts {
            let name = match new_chunks.remove(&part) {
                Some(chunk) => {
                    let encoded = encode_chunk(&chunk)?;
                    let name = encoded.name;
                    if !referenced.contains(&name) {
                        self.write_new_version(&chunk_key(&name), &encoded.bytes)?;
                    }
                    self.chunks().insert_encoded(encoded, chunk);
                    Some(name)
                }
                None => None,
            };
            changed_names.push((part, name));
        }
        let mut next_names = names.clone();
        for (part, name) in &changed_names {
            next_names.set(*part, *name);
        }
        self.chunks().retain(&[names, &next_names]);
        Ok(changed_names)
    }

    /// Writes a chunk that no generation in the history of the base head refers to. A chunk that
    /// exists is written again, because a sweep that listed its old version does not delete the new
    /// version. If another writer replaces the chunk in the meantime, its version is new as well,
    /// so this call need not write it.
    fn write_new_version(&self, key: &str, value: &[u8]) -> Result<(), StoreError> {
        let mutation = Mutation::Put { value, lease: None };
        let mut precondition = Precondition::Absent;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            match (self.store.compare_and_swap(key, precondition, mutation), precondition) {
                (Ok(SwapResult::Applied(_)), _) => return Ok(()),
                (Ok(SwapResult::Conflict(Some(_))), Precondition::Version(_)) => return Ok(()),
                (Ok(SwapResult::Conflict(Some(version))), Precondition::Absent) => {
                    precondition = Precondition::Version(version);
                }
                (Ok(SwapResult::Conflict(None)), _) => precondition = Precondition::Absent,
                (Err(error), _) if !error.is_transient() => return Err(error),
                (Err(_), _) => {}
            }
        }
        Err(StoreError::with_unknown_effect(
            FailureKind::NoResponse,
            format!("{key}: too many attempts"),
        ))
    }

    /// Explains why a plan is stale. The explanation only informs the operator, so `None` is
    /// returned if the store fails or a record cannot be used.
    fn explain_stale_plan(&self, plan: &Plan) -> Option<StalePlan> {
        let (_, head) = self.read_head().ok()??;
        let current_config = self.load_config(&head.names).ok()?;
        let base_config = self.load_config_at(&head, plan.base).ok().flatten();
        Some(explain_stale(plan, base_config.as_ref(), &current_config, head.generation()))
    }
}

/// Returns the unknown outcome of a confirm that sent no swap.
fn unknown_without_swap(plan: PlanId, reason: UnknownReason) -> ConfirmOutcome {
    ConfirmOutcome::Unknown { plan, swap_sent: false, reason }
}

impl From<ConfirmOutcome> for Confirmation {
    fn from(outcome: ConfirmOutcome) -> Confirmation {
        Confirmation { outcome, stale: None }
    }
}
