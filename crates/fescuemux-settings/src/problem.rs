//! Problems of a settings file.

use crate::{FIELDS, PermittedValues};
use serde_json::Value;
use std::fmt;

/// Maximum characters of a value in an error. Longer values are abbreviated.
const MAX_SHOWN_CHARS: usize = 80;

/// A problem of a settings file: a wrong field, or a file that cannot be read or parsed.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// Path of the field, such as `store.addresses[1]`; empty for the whole file.
    pub path: String,
    /// The value as JSON, abbreviated if it is long and redacted if it is a secret; `None` if it is
    /// absent or must not be shown.
    pub value: Option<String>,
    /// Explanation of what is wrong.
    pub reason: String,
    /// Description of the permitted values, for known fields.
    pub permitted: Option<String>,
}

impl Problem {
    pub(crate) fn whole_file(reason: String) -> Problem {
        Problem { path: String::new(), value: None, reason, permitted: None }
    }

    pub(crate) fn missing(path: String, permitted: &PermittedValues) -> Problem {
        let reason = "is missing".to_owned();
        Problem { path, value: None, reason, permitted: Some(permitted.to_string()) }
    }

    pub(crate) fn rejected(
        path: String,
        value: &Value,
        reason: String,
        permitted: &PermittedValues,
    ) -> Problem {
        let value = if permitted.is_secret() { redacted(value) } else { abbreviated(value) };
        Problem { path, value: Some(value), reason, permitted: Some(permitted.to_string()) }
    }

    /// Describes an unknown field. The value is not shown, because it may be a secret under a
    /// misspelled name.
    pub(crate) fn unknown(path: String) -> Problem {
        Problem { path, value: None, reason: "is not a field".to_owned(), permitted: None }
    }

    /// Describes text that is not JSON, a duplicate field, or a value in place of an object or
    /// list.
    pub(crate) fn malformed(error: &serde_path_to_error::Error<serde_json::Error>) -> Problem {
        // A path that ends in `?` belongs to a key that could not be read.
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
        let is_list = FIELDS.iter().any(|field| field.path == path);
        let permitted = inner.is_data().then_some(if is_list { "a list" } else { "an object" });
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

fn abbreviated(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= MAX_SHOWN_CHARS {
        return text;
    }
    let start: String = text.chars().take(MAX_SHOWN_CHARS).collect();
    format!("{start}...")
}

fn redacted(value: &Value) -> String {
    match value {
        Value::String(text) => format!("(secret of {} characters)", text.chars().count()),
        Value::Array(entries) => format!("(list of {} entries)", entries.len()),
        _ => "(secret)".to_owned(),
    }
}
