//! Error type and JSON helpers for configuration documents.

use fescuemux_core::config::{FieldError, LayoutError};

/// Error in a configuration document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The document is not valid JSON, or lacks the expected structure.
    #[error("at {path}: {reason}")]
    Shape {
        /// Path in the document.
        path: String,
        /// Description of the error.
        reason: String,
    },
    /// A field has an invalid value.
    #[error("at {path}: {error}")]
    Field {
        /// Path of the item in the document.
        path: String,
        /// Name of the field and the allowed values.
        error: FieldError,
    },
    /// The document is too large.
    #[error("{size} bytes; {max} are allowed")]
    TooLarge {
        /// Size in bytes.
        size: usize,
        /// Maximum size in bytes.
        max: usize,
    },
    /// The content of a chunk does not match the digest that is its name.
    #[error("content does not match its digest")]
    DigestMismatch,
    /// A chunk that the head refers to is missing.
    #[error("chunk {0} is missing")]
    MissingChunk(String),
    /// The chunks do not form a consistent configuration.
    #[error("chunks do not fit: {0}")]
    Layout(LayoutError),
    /// The record was written by a newer version.
    #[error("format {0} is newer than this version knows; writing it back would lose content")]
    NewerFormat(u32),
}

impl ConfigError {
    pub(super) fn shape(path: impl Into<String>, reason: impl Into<String>) -> ConfigError {
        ConfigError::Shape { path: path.into(), reason: reason.into() }
    }

    /// Prefixes the path of the error with `outer`.
    pub(super) fn within(self, outer: &str) -> ConfigError {
        let join = |path: String| match path.is_empty() {
            true => outer.to_owned(),
            false => format!("{outer}.{path}"),
        };
        match self {
            ConfigError::Shape { path, reason } => ConfigError::Shape { path: join(path), reason },
            ConfigError::Field { path, error } => ConfigError::Field { path: join(path), error },
            other => other,
        }
    }
}

impl From<FieldError> for ConfigError {
    fn from(error: FieldError) -> ConfigError {
        ConfigError::Field { path: String::new(), error }
    }
}

/// Parses JSON of at most `max` bytes. Errors contain the path in the document.
pub(super) fn from_json<'a, T: serde::Deserialize<'a>>(
    bytes: &'a [u8],
    max: usize,
) -> Result<T, ConfigError> {
    if bytes.len() > max {
        return Err(ConfigError::TooLarge { size: bytes.len(), max });
    }
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);
    let value = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| ConfigError::shape(error.path().to_string(), error.inner().to_string()))?;
    deserializer.end().map_err(|error| ConfigError::shape("end", error.to_string()))?;
    Ok(value)
}

/// Serializes `value` as JSON. Cannot fail, because all maps in the wire types have string keys.
pub(super) fn to_json(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("wire types have string keys and no failing parts")
}
