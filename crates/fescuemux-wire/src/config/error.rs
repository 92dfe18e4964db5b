//! Errors of decoding and encoding.

use fescuemux_core::config::{FieldError, LayoutError};

/// A configuration document that cannot be taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The document is not JSON of the expected shape.
    #[error("at {path}: {reason}")]
    Shape {
        /// Place in the document.
        path: String,
        /// What is wrong there.
        reason: String,
    },
    /// A field has a value that is not allowed.
    #[error("at {path}: {error}")]
    Field {
        /// Place of the item in the document.
        path: String,
        /// Field and allowed values.
        error: FieldError,
    },
    /// The document has more bytes than allowed.
    #[error("{size} bytes; {max} are allowed")]
    TooLarge {
        /// Bytes.
        size: usize,
        /// Allowed bytes.
        max: usize,
    },
    /// The bytes do not belong to the name.
    #[error("content does not match its digest")]
    DigestMismatch,
    /// A chunk that the head names is not there.
    #[error("chunk {0} is missing")]
    MissingChunk(String),
    /// The chunks do not form a configuration.
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

    /// Puts `outer` before the path of the error.
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

/// Parses JSON of at most `max` bytes; errors carry the path of the fault.
pub(super) fn parse<'a, T: serde::Deserialize<'a>>(
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

/// Writes JSON. The types of this module have string keys only, so this cannot fail.
pub(super) fn write(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("wire types have string keys and no failing parts")
}
