//! Explanation why a plan whose base is no longer in force cannot be confirmed.

use super::{Config, Difference, ItemName, Plan};
use crate::base::{Generation, PlanId};
use std::collections::BTreeSet;
use std::fmt;

/// Explanation why a plan can no longer be confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StalePlan {
    /// Id of the plan.
    pub plan: PlanId,
    /// Generation that the plan was made on.
    pub base: Generation,
    /// Generation in force.
    pub current: Generation,
    /// Differences between the base and the current content; `None` when the history no longer
    /// reaches back to the base.
    pub differences_since_base: Option<Vec<Difference>>,
    /// Items that the plan changes and that have also changed since its base.
    pub overlap: Vec<ItemName>,
}

/// Explains which items changed since the base of `plan`. `base_config` is the content that the
/// plan was made on, if that content is still known; `current_config` and
/// `current_generation` are in force.
pub fn explain_stale(
    plan: &Plan,
    base_config: Option<&Config>,
    current_config: &Config,
    current_generation: Generation,
) -> StalePlan {
    let differences_since_base = base_config.map(|base| base.differences(current_config));
    let planned: BTreeSet<ItemName> = plan.changes.iter().map(Difference::item_name).collect();
    let overlap = differences_since_base
        .iter()
        .flatten()
        .map(Difference::item_name)
        .filter(|item_name| planned.contains(item_name))
        .collect();
    StalePlan {
        plan: plan.id,
        base: plan.base,
        current: current_generation,
        differences_since_base,
        overlap,
    }
}

impl fmt::Display for StalePlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StalePlan { base, current, .. } = self;
        write!(f, "made on generation {base}, generation {current} is in force; ")?;
        match &self.differences_since_base {
            None => f.write_str("the history no longer reaches back to the base")?,
            Some(differences) => write!(f, "{} items changed since", differences.len())?,
        }
        if !self.overlap.is_empty() {
            write!(f, ", {} of them are in the plan", self.overlap.len())?;
        }
        Ok(())
    }
}
