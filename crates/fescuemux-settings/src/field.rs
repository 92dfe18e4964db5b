//! Descriptions of the fields of the settings file.

use crate::PermittedValues;
use std::fmt;

/// Description of a field of the settings file, for the checks, errors and operator docs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Field {
    /// Path with dots, such as `listen.hop`; `[]` stands for any entry of a list.
    pub path: &'static str,
    /// Permitted values.
    pub permitted: PermittedValues,
    /// Value of an absent field.
    pub default: DefaultValue,
}

/// Value of an absent field.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DefaultValue {
    /// No default; the field must be present.
    Required,
    /// Whole number.
    Number(u64),
    /// Text.
    Text(&'static str),
    /// Empty list.
    EmptyList,
    /// The value of the field with this path.
    SameAs(&'static str),
}

impl fmt::Display for DefaultValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DefaultValue::Required => f.write_str("required"),
            DefaultValue::Number(number) => write!(f, "{number}"),
            DefaultValue::Text(text) => f.write_str(text),
            DefaultValue::EmptyList => f.write_str("empty"),
            DefaultValue::SameAs(path) => write!(f, "same as `{path}`"),
        }
    }
}
