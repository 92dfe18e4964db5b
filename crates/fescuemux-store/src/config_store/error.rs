//! Errors of the driver.

use crate::StoreError;
use fescuemux_core::base::{Generation, PlanId};
use fescuemux_core::config::{Mismatch, PlanError};
use fescuemux_wire::config::ConfigError;

/// Error of the configuration driver. A confirm that fails with this error sent no swap that could
/// put its plan in force; a confirm with an unknown result returns
/// [`fescuemux_core::config::ConfirmOutcome::Unknown`] instead.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigStoreError {
    /// The store failed. A proposal that fails returns no plan.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The store returned an older generation than one known to be in force. Either a replica lags
    /// behind, or the store lost its content; see [`super::ConfigStore::restore`].
    #[error("the store answers generation {found}, but generation {known} is in force")]
    StaleGeneration {
        /// Newest generation known to be in force.
        known: Generation,
        /// Generation that the store returned; zero for none.
        found: Generation,
    },
    /// The random id of the plan belongs to another plan. The next proposal draws a new id; if the
    /// error repeats, the random generator is badly seeded.
    #[error("plan id {0:032x} is taken")]
    PlanIdTaken(PlanId),
    /// A record in the store cannot be used.
    #[error("record in the store is damaged: {0}")]
    InvalidRecord(#[from] ConfigError),
    /// No plan can be made for the intent.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// The plan does not apply to the content that it was made for.
    #[error(transparent)]
    Mismatch(#[from] Mismatch),
}

impl ConfigStoreError {
    /// Returns whether the same call may succeed later. A missing chunk is transient, because a
    /// lagging replica lacks the newest chunks.
    pub fn is_transient(&self) -> bool {
        match self {
            ConfigStoreError::Store(error) => error.is_transient(),
            ConfigStoreError::StaleGeneration { .. } => true,
            ConfigStoreError::InvalidRecord(error) => matches!(error, ConfigError::MissingChunk(_)),
            ConfigStoreError::PlanIdTaken(_)
            | ConfigStoreError::Plan(_)
            | ConfigStoreError::Mismatch(_) => false,
        }
    }
}
