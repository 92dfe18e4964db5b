//! Errors of the driver.

use crate::StoreError;
use fescuemux_core::config::{Mismatch, PlanError};
use fescuemux_wire::config::ConfigError;

/// Error of the configuration driver. No variant leaves a confirm in doubt: doubt is an
/// [`fescuemux_core::config::Outcome`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigStoreError {
    /// The store failed. For a proposal this means that there is no plan.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A record in the store cannot be used.
    #[error("record in the store is damaged: {0}")]
    Record(#[from] ConfigError),
    /// The intent gives no plan.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// The plan does not fit the content that it was made on.
    #[error(transparent)]
    Mismatch(#[from] Mismatch),
}
