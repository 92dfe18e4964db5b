//! What an operator asks for.

use super::{Change, Config};
use crate::base::Generation;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Intent {
    /// Changes to the content in force.
    Changes(Vec<Change>),
    /// New content in place of the whole.
    Content(Box<Config>),
    /// The content of an older generation. It is confirmed as a new generation.
    ReturnTo(Generation),
}
