//! Errors of the driver.

use crate::StoreError;
use fescuemux_core::base::{Generation, PlanId};
use fescuemux_core::config::{Mismatch, PlanError};
use fescuemux_wire::config::ConfigError;

/// Error of the configuration driver. No variant leaves a confirm in doubt: doubt is an
/// [`fescuemux_core::config::ConfirmOutcome`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigStoreError {
    /// The store failed. For a proposal this means that there is no plan.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The store answered an older generation than the one in force. Either a replica is behind,
    /// or the store lost its content; see [`super::ConfigStore::restore`].
    #[error("the store answers generation {found}, but generation {known} is in force")]
    StaleGeneration {
        /// Generation in force.
        known: Generation,
        /// Generation that the store answers; zero for none.
        found: Generation,
    },
    /// The random id of the plan belongs to another plan. Proposing again draws a new one; if it
    /// repeats, the generator is not seeded from randomness.
    #[error("plan id {0:032x} is taken")]
    PlanIdTaken(PlanId),
    /// A record in the store cannot be used.
    #[error("record in the store is damaged: {0}")]
    InvalidRecord(#[from] ConfigError),
    /// The intent gives no plan.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// The plan does not fit the content that it was made on.
    #[error(transparent)]
    Mismatch(#[from] Mismatch),
}

impl ConfigStoreError {
    /// Returns whether the same call can succeed later. A missing chunk counts: a replica that
    /// is behind lacks the newest ones.
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
