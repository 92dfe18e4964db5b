//! Outcomes of confirms in JSON, for the operator API.

use super::ConfigError;
use super::digest::{format_plan_id, plan_id_of};
use super::plan::DifferenceBody;
use fescuemux_core::config::{ConfirmOutcome, NotConfirmedReason, StalePlan, UnknownReason};
use serde::{Deserialize, Serialize};

/// Outcome of a confirm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum OutcomeBody {
    /// The plan is in force, or was before a later one.
    Confirmed {
        /// Generation that the plan became.
        generation: u64,
    },
    /// The plan is not in force and never will be.
    NotConfirmed {
        /// Why.
        reason: NotConfirmedReasonBody,
    },
    /// The plan may be in force; ask again with this id.
    Unknown {
        /// The plan, as 32 hexadecimal digits.
        plan: String,
        /// Whether this call sent the change.
        swap_sent: bool,
        /// Why.
        reason: UnknownReasonBody,
    },
}

/// Why a plan is not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotConfirmedReasonBody {
    /// Another plan was confirmed on the same base; holds the generation in force.
    Stale(u64),
    /// The plan carries refusals.
    Refused,
}

/// Why an outcome is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReasonBody {
    /// The store failed or gave outdated answers.
    StoreAway,
    /// The history no longer reaches back to the base.
    HistoryTooShort,
    /// The store holds no such plan.
    NoSuchPlan,
}

/// What changed since a plan was made.
#[derive(Debug, Serialize, Deserialize)]
pub struct StalePlanBody {
    /// Generation that the plan was made on.
    pub base: u64,
    /// Generation in force.
    pub current: u64,
    /// What changed since; `None` if the history no longer reaches back.
    pub since: Option<Vec<DifferenceBody>>,
    /// Items that both touch, such as `service permits`.
    pub overlap: Vec<String>,
}

impl From<ConfirmOutcome> for OutcomeBody {
    fn from(outcome: ConfirmOutcome) -> OutcomeBody {
        match outcome {
            ConfirmOutcome::Confirmed(generation) => OutcomeBody::Confirmed { generation },
            ConfirmOutcome::NotConfirmed(NotConfirmedReason::Stale(current)) => {
                OutcomeBody::NotConfirmed { reason: NotConfirmedReasonBody::Stale(current) }
            }
            ConfirmOutcome::NotConfirmed(NotConfirmedReason::Refused) => {
                OutcomeBody::NotConfirmed { reason: NotConfirmedReasonBody::Refused }
            }
            ConfirmOutcome::Unknown { plan, swap_sent, reason } => OutcomeBody::Unknown {
                plan: format_plan_id(plan),
                swap_sent,
                reason: match reason {
                    UnknownReason::StoreAway => UnknownReasonBody::StoreAway,
                    UnknownReason::HistoryTooShort => UnknownReasonBody::HistoryTooShort,
                    UnknownReason::NoSuchPlan => UnknownReasonBody::NoSuchPlan,
                },
            },
        }
    }
}

impl TryFrom<OutcomeBody> for ConfirmOutcome {
    type Error = ConfigError;

    fn try_from(body: OutcomeBody) -> Result<ConfirmOutcome, ConfigError> {
        Ok(match body {
            OutcomeBody::Confirmed { generation } => ConfirmOutcome::Confirmed(generation),
            OutcomeBody::NotConfirmed { reason: NotConfirmedReasonBody::Stale(current) } => {
                ConfirmOutcome::NotConfirmed(NotConfirmedReason::Stale(current))
            }
            OutcomeBody::NotConfirmed { reason: NotConfirmedReasonBody::Refused } => {
                ConfirmOutcome::NotConfirmed(NotConfirmedReason::Refused)
            }
            OutcomeBody::Unknown { plan, swap_sent, reason } => ConfirmOutcome::Unknown {
                plan: plan_id_of("plan", &plan)?,
                swap_sent,
                reason: match reason {
                    UnknownReasonBody::StoreAway => UnknownReason::StoreAway,
                    UnknownReasonBody::HistoryTooShort => UnknownReason::HistoryTooShort,
                    UnknownReasonBody::NoSuchPlan => UnknownReason::NoSuchPlan,
                },
            },
        })
    }
}

impl From<&StalePlan> for StalePlanBody {
    fn from(stale: &StalePlan) -> StalePlanBody {
        let since = stale.since.as_ref();
        StalePlanBody {
            base: stale.base,
            current: stale.current,
            since: since.map(|since| since.iter().map(DifferenceBody::from).collect()),
            overlap: stale.overlap.iter().map(ToString::to_string).collect(),
        }
    }
}
