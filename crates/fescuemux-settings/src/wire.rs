//! The settings file before its fields are checked. Each field accepts any JSON value, so that
//! the check can report all wrong fields of a file at once.

use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::collections::BTreeMap;

/// Unchecked value of a field; `None` if it is absent, which differs from null.
#[derive(Default)]
pub(crate) struct RawField(pub(crate) Option<Value>);

impl<'de> Deserialize<'de> for RawField {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<RawField, D::Error> {
        Value::deserialize(deserializer).map(|value| RawField(Some(value)))
    }
}

/// Unknown fields of a section by name.
pub(crate) type UnknownFields = BTreeMap<String, Value>;

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct RawSettings {
    pub(crate) instance: RawField,
    pub(crate) domain: RawField,
    pub(crate) region: RawField,
    pub(crate) listen: RawListen,
    pub(crate) advertise: RawAdvertise,
    pub(crate) store: RawStore,
    pub(crate) cluster_keys: RawField,
    pub(crate) operators: Vec<RawOperator>,
    pub(crate) seeds: RawField,
    pub(crate) log: RawLog,
    pub(crate) limits: RawLimits,
    pub(crate) stop: RawStop,
    #[serde(flatten)]
    pub(crate) unknown: UnknownFields,
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct RawListen {
    pub(crate) callers: RawField,
    pub(crate) hop: RawField,
    pub(crate) rpc: RawField,
    pub(crate) local: RawField,
    pub(crate) operators: RawField,
    #[serde(flatten)]
    pub(crate) unknown: UnknownFields,
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct RawAdvertise {
    pub(crate) hop: RawField,
    pub(crate) rpc: RawField,
    #[serde(flatten)]
    pub(crate) unknown: UnknownFields,
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct RawStore {
    pub(crate) addresses: RawField,
    pub(crate) timeout_ms: RawField,
    #[serde(flatten)]
    pub(crate) unknown: UnknownFields,
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct RawOperator {
    pub(crate) name: RawField,
    pub(crate) token: RawField,
    #[serde(flatten)]
    pub(crate) unknown: UnknownFields,
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct RawLog {
    pub(crate) level: RawField,
    pub(crate) format: RawField,
    #[serde(flatten)]
    pub(crate) unknown: UnknownFields,
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct RawLimits {
    pub(crate) head_bytes: RawField,
    pub(crate) headers: RawField,
    pub(crate) body_bytes: RawField,
    pub(crate) head_timeout_ms: RawField,
    pub(crate) idle_timeout_ms: RawField,
    pub(crate) replay_bytes: RawField,
    pub(crate) caller_connections: RawField,
    pub(crate) queue: RawField,
    pub(crate) in_flight: RawField,
    #[serde(flatten)]
    pub(crate) unknown: UnknownFields,
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct RawStop {
    pub(crate) grace_ms: RawField,
    #[serde(flatten)]
    pub(crate) unknown: UnknownFields,
}
