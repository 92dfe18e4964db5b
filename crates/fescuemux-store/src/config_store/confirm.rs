//! Confirming of plans.

use super::{ConfigStore, ConfigStoreError};
use crate::{Change, Effect, Expect, Store, Swap};
use fescuemux_core::base::PlanId;
use fescuemux_core::config::{
    Confirm, Digest, HEAD_KEY, Head, Names, Outcome, Part, Plan, Reason, Reply, Stale, Step,
    UnknownReason, Update, chunk_key, explain_stale, parts_of, split_parts,
};
use fescuemux_wire::config::{ConfigError, encode_chunk, encode_head};
use smol_str::SmolStr;
use std::time::SystemTime;

/// Result of a confirm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Outcome.
    pub outcome: Outcome,
    /// What changed since the plan was made, for a plan that came too late.
    pub stale: Option<Stale>,
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
        let found = match self.stored_plan(plan) {
            Ok(Some(found)) => found,
            Ok(None) => return self.look_up(plan),
            Err(ConfigStoreError::Store(_)) => {
                return Ok(unsent(plan, UnknownReason::StoreAway).into());
            }
            Err(error) => return Err(error),
        };
        if !found.refusals.is_empty() {
            return Ok(Outcome::NotConfirmed(Reason::Refused).into());
        }
        let outcome = self.run(&found, author, time)?;
        let stale = match outcome {
            Outcome::NotConfirmed(Reason::Stale(_)) => self.explain(&found),
            _ => None,
        };
        Ok(Confirmation { outcome, stale })
    }

    /// Answers for a plan whose record is gone: the head may still remember it.
    fn look_up(&self, plan: PlanId) -> Result<Confirmation, ConfigStoreError> {
        let outcome = match self.read_head() {
            Ok(head) => match head.and_then(|(_, head)| head.generation_of(plan)) {
                Some(generation) => Outcome::Confirmed(generation),
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
    ) -> Result<Outcome, ConfigStoreError> {
        let update = Update { plan: plan.id, base: plan.base, author, time };
        let mut confirm = Confirm::new(update);
        let mut pause = self.retry_pause;
        loop {
            let reply = match confirm.step() {
                Step::Done(outcome) => return Ok(*outcome),
                Step::ReadHead => self.reply_head(),
                Step::WriteChunks(names) => self.reply_chunks(plan, names),
                Step::SwapHead(version, head) => Ok(self.reply_swap(*version, head)),
            };
            // After a swap with unknown effect, a record that cannot be used is one more reason
            // for doubt: an error would claim that nothing is in force.
            let reply = match reply {
                Ok(reply) => reply,
                Err(_) if confirm.swap_sent() => match confirm.step() {
                    Step::WriteChunks(_) => Reply::NoChunks,
                    _ => Reply::NoHead,
                },
                Err(error) => return Err(error),
            };
            let is_setback = !matches!(reply, Reply::Head(_) | Reply::Chunks(_) | Reply::Swapped);
            confirm.on_reply(reply);
            if is_setback && !matches!(confirm.step(), Step::Done(_)) {
                std::thread::sleep(pause);
                pause *= 2;
            }
        }
    }

    fn reply_head(&self) -> Result<Reply, ConfigStoreError> {
        match self.read_head_to_follow() {
            Ok(head) => Ok(Reply::Head(head.map(|(version, head)| (version, Box::new(head))))),
            Err(ConfigStoreError::Store(_)) => Ok(Reply::NoHead),
            Err(error) => Err(error),
        }
    }

    fn reply_chunks(&self, plan: &Plan, names: &Names) -> Result<Reply, ConfigStoreError> {
        match self.write_chunks(plan, names) {
            Ok(changed) => Ok(Reply::Chunks(changed)),
            // A replica that answers old values lacks the newest chunks.
            Err(ConfigStoreError::Store(_))
            | Err(ConfigStoreError::Record(ConfigError::MissingChunk(_))) => Ok(Reply::NoChunks),
            Err(error) => Err(error),
        }
    }

    fn reply_swap(&self, version: Option<u64>, head: &Head) -> Reply {
        let expect = version.map_or(Expect::Absent, Expect::Version);
        let value = encode_head(head);
        let change = Change::Put { value: &value, lease: None };
        match self.store.compare_and_swap(HEAD_KEY, expect, change) {
            Ok(Swap::Done(_)) => Reply::Swapped,
            Ok(Swap::Conflict(version)) => Reply::Conflict(version),
            Err(error) if error.effect == Effect::None => Reply::SwapFailed,
            Err(_) => Reply::SwapUnknown,
        }
    }

    /// Writes the chunks that the plan changes on the content of `names`.
    fn write_chunks(
        &self,
        plan: &Plan,
        names: &Names,
    ) -> Result<Vec<(Part, Option<Digest>)>, ConfigStoreError> {
        let mut config = self.config_of(names)?;
        self.chunks().check_format(names)?;
        config.apply(&plan.changes)?;
        let parts = parts_of(&plan.changes);
        let mut new = split_parts(&config, &parts);
        let mut changed = Vec::new();
        for part in parts {
            let name = match new.remove(&part) {
                Some(chunk) => {
                    let encoded = encode_chunk(&chunk)?;
                    let name = encoded.name;
                    self.create(&chunk_key(&name), &encoded.bytes, None)?;
                    self.chunks().insert_own(encoded, chunk);
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

    /// The explanation is a help for the operator, so a store that fails now only leaves it out.
    fn explain(&self, plan: &Plan) -> Option<Stale> {
        let (_, head) = self.read_head().ok()??;
        let current = self.config_of(&head.names).ok()?;
        let base = self.config_at(&head, plan.base).ok().flatten();
        Some(explain_stale(plan, base.as_ref(), &current, head.generation()))
    }
}

/// Returns the outcome of a call that sent no swap.
fn unsent(plan: PlanId, reason: UnknownReason) -> Outcome {
    Outcome::Unknown { plan, swap_sent: false, reason }
}

impl From<Outcome> for Confirmation {
    fn from(outcome: Outcome) -> Confirmation {
        Confirmation { outcome, stale: None }
    }
}
