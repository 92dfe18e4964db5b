//! Configuration change requested by an operator.

use super::{Change, Config};
use crate::base::Generation;

/// Configuration change requested by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Intent {
    /// Changes to items of the content in force.
    Changes(Vec<Change>),
    /// New content that replaces the whole configuration.
    Content(Box<Config>),
    /// Rollback to the content of an older generation. Confirming the rollback creates a new
    /// generation.
    ReturnTo(Generation),
}
