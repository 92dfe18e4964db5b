//! An operator of the fleet.

use crate::Token;
use smol_str::SmolStr;

/// An operator who may use the operator API.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// Name that the history of configurations records.
    pub name: SmolStr,
    /// Bearer token.
    pub token: Token,
}
