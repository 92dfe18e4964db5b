//! Plans. A plan states the exact effect of an intent on one generation.

use super::review::review;
use super::{CapacityReport, Change, Config, Difference, FloorEffect, Intent};
use crate::base::{Cx, Generation, PlanId, ServiceId};
use rand::Rng as _;
use smol_str::SmolStr;
use std::collections::BTreeSet;

/// Configuration in force that a plan is made on, and the target of a rollback.
#[derive(Clone, Copy, Debug)]
pub struct PlanBase<'a> {
    /// Generation in force; zero without a configuration.
    pub generation: Generation,
    /// Content of the generation in force.
    pub config: &'a Config,
    /// Content of the generation that the intent rolls back to; `None` if the intent is no rollback
    /// or the content is no longer known.
    pub rollback_target: Option<&'a Config>,
}

/// Kind of a warning or refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FindingKind {
    /// Refusal: the plan changes nothing.
    NothingToChange,
    /// Refusal: an item to remove does not exist.
    NoSuchItem,
    /// Refusal: the intent changes an item twice.
    ChangedTwice,
    /// Refusal: a field is out of bounds.
    OutOfBounds,
    /// Refusal: a route names a service that does not exist.
    UnknownService,
    /// Refusal: two routes select the same requests.
    SameSelector,
    /// Refusal: the configuration would have too many items.
    TooMany,
    /// Warning: the floor of a service is at or above its announced slots, so no backend server can
    /// be ejected.
    FloorBlocksEjection,
    /// Warning: backend servers are still announced for a service that the plan removes.
    RemovedWithServers,
    /// Warning: a route becomes idempotent, so its requests may run more than once.
    BecomesIdempotent,
    /// Warning: more than 10 items of one kind change, and their number exceeds half of the items
    /// that the plan leaves.
    LargeChange,
}

impl FindingKind {
    /// Every kind.
    pub const ALL: [FindingKind; 11] = [
        FindingKind::NothingToChange,
        FindingKind::NoSuchItem,
        FindingKind::ChangedTwice,
        FindingKind::OutOfBounds,
        FindingKind::UnknownService,
        FindingKind::SameSelector,
        FindingKind::TooMany,
        FindingKind::FloorBlocksEjection,
        FindingKind::RemovedWithServers,
        FindingKind::BecomesIdempotent,
        FindingKind::LargeChange,
    ];

    /// Returns the name used on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            FindingKind::NothingToChange => "nothing_to_change",
            FindingKind::NoSuchItem => "no_such_item",
            FindingKind::ChangedTwice => "changed_twice",
            FindingKind::OutOfBounds => "out_of_bounds",
            FindingKind::UnknownService => "unknown_service",
            FindingKind::SameSelector => "same_selector",
            FindingKind::TooMany => "too_many",
            FindingKind::FloorBlocksEjection => "floor_blocks_ejection",
            FindingKind::RemovedWithServers => "removed_with_servers",
            FindingKind::BecomesIdempotent => "becomes_idempotent",
            FindingKind::LargeChange => "large_change",
        }
    }

    /// Returns the kind with this name on the wire, if there is one.
    pub fn parse(text: &str) -> Option<FindingKind> {
        FindingKind::ALL.into_iter().find(|kind| kind.as_str() == text)
    }
}

/// A warning or refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Kind of the finding.
    pub kind: FindingKind,
    /// Item and reason, for operators.
    pub text: String,
}

/// Exact effect of an intent on one generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Random id of the plan.
    pub id: PlanId,
    /// Generation that the plan was made on. The plan can be confirmed only on this generation.
    pub base: Generation,
    /// Operator who proposed the plan.
    pub author: SmolStr,
    /// Changed items: services, then routes, then limits of callers, each group ordered by name.
    pub changes: Vec<Difference>,
    /// Floors of the changed services before and after the plan.
    pub effects: Vec<FloorEffect>,
    /// Findings that the operator should review before confirming.
    pub warnings: Vec<Finding>,
    /// Findings that prevent the plan from being confirmed.
    pub refusals: Vec<Finding>,
}

/// Error for an intent from which no plan can be made.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// The content of the generation to roll back to is not known.
    #[error("the content of generation {0} is not known")]
    UnknownGeneration(Generation),
    /// The intent has more changes than [`super::MAX_CHANGES`].
    #[error("{0} changes are too many for one intent; give the whole content")]
    TooManyChanges(usize),
}

/// Makes a plan for `intent` on `base`. Draws the id of the plan from `cx`.
///
/// # Errors
/// Fails when the intent refers to unknown content or is too large.
pub fn make_plan(
    cx: &mut Cx,
    base: PlanBase<'_>,
    capacity: &CapacityReport,
    intent: &Intent,
    author: SmolStr,
) -> Result<Plan, PlanError> {
    let (target, mut refusals) = apply_intent(base, intent)?;
    let changes = base.config.differences(&target);
    let (warnings, review_refusals) = review(&target, &changes, capacity);
    refusals.extend(review_refusals);
    let effects = floor_effects(base.config, &target, &changes, capacity);
    let id = cx.rng.random();
    Ok(Plan { id, base: base.generation, author, changes, effects, warnings, refusals })
}

fn apply_intent(base: PlanBase<'_>, intent: &Intent) -> Result<(Config, Vec<Finding>), PlanError> {
    match intent {
        Intent::Changes(changes) if changes.len() > super::MAX_CHANGES => {
            Err(PlanError::TooManyChanges(changes.len()))
        }
        Intent::Changes(changes) => Ok(apply_changes(base.config, changes)),
        Intent::Content(content) => Ok(((**content).clone(), Vec::new())),
        Intent::ReturnTo(generation) => match base.rollback_target {
            Some(content) => Ok((content.clone(), Vec::new())),
            None => Err(PlanError::UnknownGeneration(*generation)),
        },
    }
}

fn apply_changes(config: &Config, changes: &[Change]) -> (Config, Vec<Finding>) {
    let mut target = config.clone();
    let mut refusals = Vec::new();
    let mut seen = BTreeSet::new();
    for change in changes {
        let item_name = change.item_name();
        let is_missing = match change {
            Change::RemoveService(id) => !config.services.contains_key(id),
            Change::RemoveRoute(id) => !config.routes.contains_key(id),
            Change::RemoveCaller(id) => !config.callers.contains_key(id),
            Change::PutService(_) | Change::PutRoute(_) | Change::PutCaller(_) => false,
        };
        if is_missing {
            let text = format!("{item_name} does not exist");
            refusals.push(Finding { kind: FindingKind::NoSuchItem, text });
        }
        if !seen.insert(item_name.clone()) {
            let text = format!("{item_name} is changed twice");
            refusals.push(Finding { kind: FindingKind::ChangedTwice, text });
        }
        target.apply_change(change);
    }
    (target, refusals)
}

fn floor_effects(
    before: &Config,
    after: &Config,
    changes: &[Difference],
    capacity: &CapacityReport,
) -> Vec<FloorEffect> {
    let changed_services: BTreeSet<&ServiceId> = changes
        .iter()
        .filter_map(|change| match change {
            Difference::Service(edit) => edit.after_or_before().map(|service| &service.id),
            Difference::Route(_) | Difference::Caller(_) => None,
        })
        .collect();
    let floor_of = |config: &Config, id| config.services.get(id).map(|s| s.floor_slots);
    changed_services
        .into_iter()
        .map(|id| FloorEffect {
            service: id.clone(),
            slots_announced: capacity.slots_of(id),
            floor_before: floor_of(before, id),
            floor_after: floor_of(after, id),
        })
        .collect()
}
