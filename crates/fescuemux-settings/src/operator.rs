//! Operators of the fleet.

use crate::Token;
use smol_str::SmolStr;

/// An operator who may use the operator API.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// Name recorded in the configuration history.
    pub name: SmolStr,
    /// Bearer token.
    pub token: Token,
}
