//! Proposal of plans and their records in the store.

use super::{ConfigStore, ConfigStoreError};
use crate::{LeaseId, Mutation, Precondition, Store, StoreError, SwapResult};
use fescuemux_core::base::{Cx, PlanId};
use fescuemux_core::config::{CapacityReport, Intent, Plan, PlanBase, make_plan, plan_key};
use fescuemux_wire::config::{decode_plan, decode_plan_index, encode_plan, encode_plan_index};
use smol_str::SmolStr;
use std::time::Duration;

/// Time after which a stored plan expires and can no longer be confirmed.
const PLAN_TTL: Duration = Duration::from_secs(3_600);

/// Maximum size of a record of a plan. Larger plans are split into several records, because a
/// value of the store holds at most 1 MB.
const MAX_RECORD_BYTES: usize = 900_000;

/// Maximum number of records of a plan, enough for a plan of the largest encoded size.
const MAX_RECORDS_PER_PLAN: usize = 40;

impl<S: Store> ConfigStore<S> {
    /// Makes a plan for `intent` on the newest generation and stores it for an hour. A plan with
    /// refusals is returned but not stored, because it can never be confirmed.
    ///
    /// # Errors
    /// Fails when the store fails or no plan can be made for the intent.
    pub fn propose(
        &self,
        cx: &mut Cx,
        intent: &Intent,
        capacity: &CapacityReport,
        author: SmolStr,
    ) -> Result<Plan, ConfigStoreError> {
        let head = self.read_head_for_update()?.map(|(_, head)| head);
        let names = head.as_ref().map(|head| head.names.clone()).unwrap_or_default();
        let config = self.load_config(&names)?;
        let rollback_target = match (intent, &head) {
            (Intent::ReturnTo(generation), Some(head)) => self.load_config_at(head, *generation)?,
            _ => None,
        };
        let generation = head.as_ref().map_or(0, |head| head.generation());
        let base =
            PlanBase { generation, config: &config, rollback_target: rollback_target.as_ref() };
        let plan = make_plan(cx, base, capacity, intent, author)?;
        if head.is_some_and(|head| head.generation_of(plan.id).is_some()) {
            return Err(ConfigStoreError::PlanIdTaken(plan.id));
        }
        if plan.refusals.is_empty() {
            self.store_plan(&plan)?;
        }
        Ok(plan)
    }

    /// Stores the records of a plan. The record under the key of the plan is written last, so that
    /// a plan that can be found is complete.
    fn store_plan(&self, plan: &Plan) -> Result<(), ConfigStoreError> {
        let bytes = encode_plan(plan);
        let lease = self.store.lease_grant(PLAN_TTL)?;
        let key = plan_key(plan.id);
        let records: Vec<&[u8]> = bytes.chunks(MAX_RECORD_BYTES).collect();
        let index = encode_plan_index(records.len());
        let mut writes: Vec<(String, &[u8])> = match records.len() {
            1 => Vec::new(),
            _ => (0..).map(|i| format!("{key}/{i}")).zip(records.iter().copied()).collect(),
        };
        writes.push((key, if records.len() == 1 { &bytes } else { &index }));
        for (key, value) in writes {
            if !self.create(&key, value, Some(lease))? && !self.has_value(&key, value)? {
                return Err(ConfigStoreError::PlanIdTaken(plan.id));
            }
        }
        Ok(())
    }

    /// Returns whether `key` has this value.
    fn has_value(&self, key: &str, value: &[u8]) -> Result<bool, StoreError> {
        Ok(self.store.get(key)?.is_some_and(|entry| entry.value == value))
    }

    /// Creates a key and returns whether the last attempt created it. A transient failure is
    /// retried once. The first attempt may have created the key, so after `false` the key may hold
    /// this value.
    pub(super) fn create(
        &self,
        key: &str,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<bool, StoreError> {
        let mutation = Mutation::Put { value, lease };
        let create = || self.store.compare_and_swap(key, Precondition::Absent, mutation);
        let result = create().or_else(|e| if e.is_transient() { create() } else { Err(e) })?;
        Ok(matches!(result, SwapResult::Applied(_)))
    }

    /// Loads the plan with this id, if it is stored.
    ///
    /// # Errors
    /// Fails when the store fails or a record cannot be used.
    pub fn load_plan(&self, plan: PlanId) -> Result<Option<Plan>, ConfigStoreError> {
        let key = plan_key(plan);
        let Some(entry) = self.store.get(&key)? else { return Ok(None) };
        let Some(count) = decode_plan_index(&entry.value) else {
            return Ok(Some(decode_plan(&entry.value)?));
        };
        let mut bytes = Vec::new();
        for i in 0..count.min(MAX_RECORDS_PER_PLAN) {
            match self.store.get(&format!("{key}/{i}"))? {
                Some(record) => bytes.extend(record.value),
                None => return Ok(None),
            }
        }
        Ok(Some(decode_plan(&bytes)?))
    }
}
