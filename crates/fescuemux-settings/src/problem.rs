//! One thing that is wrong with a settings file.

use crate::{FIELDS, PermittedValues};
use serde_json::Value;
use std::fmt;

/// Longest value shown in an error, in characters.
const MAX_SHOWN: usize = 80;

/// One thing that is wrong with a settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// Path of the field, such as `store.addresses[1]`; empty for the whole file.
    pub path: String,
    /// The value as JSON; absent for absent fields, redacted for secrets.
    pub value: Option<String>,
    /// What is wrong with the value.
    pub reason: String,
    /// Permitted values, for known fields.
    pub permitted: Option<String>,
}

impl Problem {
    pub(crate) fn file(reason: String) -> Problem {
        Problem { path: String::new(), value: None, reason, permitted: None }
    }

    pub(crate) fn missing(path: String, permitted: &PermittedValues) -> Problem {
        let reason = "is missing".to_owned();
        Problem { path, value: None, reason, permitted: Some(permitted.to_string()) }
    }

    pub(crate) fn refused(
        path: String,
        value: &Value,
        reason: String,
        permitted: &PermittedValues,
    ) -> Problem {
        let value = if permitted.is_secret() { redacted(value) } else { shown(value) };
        Problem { path, value: Some(value), reason, permitted: Some(permitted.to_string()) }
    }

    /// The value is not shown, because it may be a secret under a misspelled name.
    pub(crate) fn unknown(path: String) -> Problem {
        Problem { path, value: None, reason: "is not a field".to_owned(), permitted: None }
    }

    /// Describes text that is not JSON, or a value where an object or a list must be.
    pub(crate) fn shape(error: &serde_path_to_error::Error<serde_json::Error>) -> Problem {
        // An unknown last segment stands for a key that could not be read.
        let path = error.path().to_string();
        let path = path.trim_end_matches('?').trim_end_matches('.').to_owned();
        let inner = error.inner();
        // Messages about a wrong type quote the value, which may be a secret.
        let reason = match inner.to_string() {
            text if text.starts_with("invalid type") => {
                format!("has the wrong type at line {} column {}", inner.line(), inner.column())
            }
            text => text,
        };
        let list = FIELDS.iter().any(|field| field.path == path);
        let permitted = inner.is_data().then_some(if list { "a list" } else { "an object" });
        let permitted = permitted.filter(|_| !reason.starts_with("duplicate field"));
        Problem { path, value: None, reason, permitted: permitted.map(str::to_owned) }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        if let Some(value) = &self.value {
            write!(f, "{value} ")?;
        }
        f.write_str(&self.reason)?;
        match &self.permitted {
            Some(permitted) => write!(f, "; permitted: {permitted}"),
            None => Ok(()),
        }
    }
}

fn shown(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= MAX_SHOWN {
        return text;
    }
    let start: String = text.chars().take(MAX_SHOWN).collect();
    format!("{start}...")
}

fn redacted(value: &Value) -> String {
    match value {
        Value::String(text) => format!("(secret of {} characters)", text.chars().count()),
        Value::Array(entries) => format!("(list of {} entries)", entries.len()),
        _ => "(secret)".to_owned(),
    }
}
