//! JSON encoding of confirmation outcomes, for the operator API.

use super::ConfigError;
use super::digest::{format_plan_id, parse_plan_id_field};
use super::plan::DifferenceBody;
use fescuemux_core::config::{ConfirmOutcome, NotConfirmedReason, StalePlan, UnknownReason};
use serde::{Deserialize, Serialize};

/// Outcome of confirming a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum OutcomeBody {
    /// The plan is in force, or was in force before a later one.
    Confirmed {
        /// Generation created by the plan.
        generation: u64,
    },
    /// The plan is not in force and never will be.
    NotConfirmed {
        /// Reason why the plan was not confirmed.
        reason: NotConfirmedReasonBody,
    },
    /// The plan may be in force. Confirming the same plan id again is safe.
    Unknown {
        /// Id of the plan, as 32 hexadecimal digits.
        plan: String,
        /// Whether this call sent the compare-and-swap to the store.
        swap_sent: bool,
        /// Reason why the outcome is unknown.
        reason: UnknownReasonBody,
    },
}

/// Reason why a plan was not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotConfirmedReasonBody {
    /// Another plan was confirmed on the same base. Contains the generation in force.
    Stale(u64),
    /// The plan contains refusals.
    Refused,
}

/// Reason why an outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReasonBody {
    /// The store failed or returned stale responses.
    StoreAway,
    /// The history no longer reaches back to the base of the plan.
    HistoryTooShort,
    /// The store does not contain the plan.
    NoSuchPlan,
}

/// Configuration changes since a plan was created.
#[derive(Debug, Serialize, Deserialize)]
pub struct StalePlanBody {
    /// Generation that the plan is based on.
    pub base: u64,
    /// Generation in force.
    pub current: u64,
    /// Changes since the base, or `None` if the history no longer reaches back to the base.
    pub since: Option<Vec<DifferenceBody>>,
    /// Items that both the plan and later generations than its base changed, such as `service
    /// permits`.
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
                plan: parse_plan_id_field("plan", &plan)?,
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
        let differences = stale.differences_since_base.as_ref();
        StalePlanBody {
            base: stale.base,
            current: stale.current,
            since: differences
                .map(|differences| differences.iter().map(DifferenceBody::from).collect()),
            overlap: stale.overlap.iter().map(ToString::to_string).collect(),
        }
    }
}
