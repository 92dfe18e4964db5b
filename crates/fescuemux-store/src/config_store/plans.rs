//! Proposals and their records.

use super::{ConfigStore, ConfigStoreError};
use crate::{LeaseId, Mutation, Precondition, Store, StoreError, SwapResult};
use fescuemux_core::base::{Cx, PlanId};
use fescuemux_core::config::{CapacityReport, Intent, Plan, PlanBase, make_plan, plan_key};
use fescuemux_wire::config::{decode_plan, decode_plan_index, encode_plan, encode_plan_index};
use smol_str::SmolStr;
use std::time::Duration;

/// How long a plan can be confirmed.
const PLAN_TTL: Duration = Duration::from_secs(3_600);

/// Largest record of a plan. Larger plans are split, because a value of the store holds 1 MB.
const RECORD_BYTES: usize = 900_000;

/// Most records of one plan: the bound of a plan's encoding over the size of a record.
const MAX_RECORDS: usize = 40;

impl<S: Store> ConfigStore<S> {
    /// Makes a plan for `intent` on the newest generation and stores it for an hour. A plan with
    /// refusals is returned but not stored, since it can never be confirmed.
    ///
    /// # Errors
    /// Fails when the store does, or when the intent gives no plan.
    pub fn propose(
        &self,
        cx: &mut Cx,
        intent: &Intent,
        capacity: &CapacityReport,
        author: SmolStr,
    ) -> Result<Plan, ConfigStoreError> {
        let head = self.read_head_to_follow()?.map(|(_, head)| head);
        let names = head.as_ref().map(|head| head.names.clone()).unwrap_or_default();
        let config = self.config_of(&names)?;
        let older = match (intent, &head) {
            (Intent::ReturnTo(generation), Some(head)) => self.config_at(head, *generation)?,
            _ => None,
        };
        let generation = head.as_ref().map_or(0, |head| head.generation());
        let base = PlanBase { generation, config: &config, older: older.as_ref() };
        let plan = make_plan(cx, base, capacity, intent, author)?;
        if head.is_some_and(|head| head.generation_of(plan.id).is_some()) {
            return Err(ConfigStoreError::PlanIdTaken(plan.id));
        }
        if plan.refusals.is_empty() {
            self.store_plan(&plan)?;
        }
        Ok(plan)
    }

    /// Writes the first record last, so that a plan that can be found is whole.
    fn store_plan(&self, plan: &Plan) -> Result<(), ConfigStoreError> {
        let bytes = encode_plan(plan);
        let lease = self.store.lease_grant(PLAN_TTL)?;
        let key = plan_key(plan.id);
        let records: Vec<&[u8]> = bytes.chunks(RECORD_BYTES).collect();
        let index = encode_plan_index(records.len());
        let mut writes: Vec<(String, &[u8])> = match records.len() {
            1 => Vec::new(),
            _ => (0..).map(|i| format!("{key}/{i}")).zip(records.iter().copied()).collect(),
        };
        writes.push((key, if records.len() == 1 { &bytes } else { &index }));
        for (key, value) in writes {
            if !self.create(&key, value, Some(lease))? && !self.holds(&key, value)? {
                return Err(ConfigStoreError::PlanIdTaken(plan.id));
            }
        }
        Ok(())
    }

    fn holds(&self, key: &str, value: &[u8]) -> Result<bool, StoreError> {
        Ok(self.store.get(key)?.is_some_and(|entry| entry.value == value))
    }

    /// Creates a key and returns whether it did. After an unknown effect it tries once more; the
    /// key may then exist with this content.
    pub(super) fn create(
        &self,
        key: &str,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<bool, StoreError> {
        let change = Mutation::Put { value, lease };
        let create = || self.store.compare_and_swap(key, Precondition::Absent, change);
        let swap = create().or_else(|e| if e.is_transient() { create() } else { Err(e) })?;
        Ok(matches!(swap, SwapResult::Applied(_)))
    }

    /// Returns the plan with this id, if it is stored.
    ///
    /// # Errors
    /// Fails when the store does, or when the record cannot be used.
    pub fn load_plan(&self, plan: PlanId) -> Result<Option<Plan>, ConfigStoreError> {
        let key = plan_key(plan);
        let Some(entry) = self.store.get(&key)? else { return Ok(None) };
        let Some(count) = decode_plan_index(&entry.value) else {
            return Ok(Some(decode_plan(&entry.value)?));
        };
        let mut bytes = Vec::new();
        for i in 0..count.min(MAX_RECORDS) {
            match self.store.get(&format!("{key}/{i}"))? {
                Some(record) => bytes.extend(record.value),
                None => return Ok(None),
            }
        }
        Ok(Some(decode_plan(&bytes)?))
    }
}
