//! One field of the settings file.

use crate::Permitted;
use std::fmt;

/// One field of the settings file, as errors and the operator page describe it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Field {
    /// Path with dots; `[]` stands for any entry of a list.
    pub path: &'static str,
    /// Permitted values.
    pub permitted: Permitted,
    /// Value of an absent field.
    pub preset: Preset,
}

/// Value of an absent field.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Preset {
    /// The field must be present.
    Required,
    /// Whole number.
    Number(u64),
    /// Text.
    Text(&'static str),
    /// Empty list.
    Empty,
    /// The value of the field with this path.
    SameAs(&'static str),
}

impl fmt::Display for Preset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Preset::Required => f.write_str("required"),
            Preset::Number(number) => write!(f, "{number}"),
            Preset::Text(text) => f.write_str(text),
            Preset::Empty => f.write_str("empty"),
            Preset::SameAs(path) => write!(f, "same as `{path}`"),
        }
    }
}
