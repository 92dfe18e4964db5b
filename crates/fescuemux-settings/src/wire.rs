//! The settings file as it is written. Leaves keep any value, so that the check can report
//! all wrong fields of a file at once.

use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::collections::BTreeMap;

/// Value of a field; absent is not the same as null.
#[derive(Default)]
pub(crate) struct Leaf(pub(crate) Option<Value>);

impl<'de> Deserialize<'de> for Leaf {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Leaf, D::Error> {
        Value::deserialize(deserializer).map(|value| Leaf(Some(value)))
    }
}

/// Fields that the section does not have.
pub(crate) type Unknown = BTreeMap<String, Value>;

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireSettings {
    pub(crate) instance: Leaf,
    pub(crate) domain: Leaf,
    pub(crate) region: Leaf,
    pub(crate) listen: WireListen,
    pub(crate) advertise: WireAdvertise,
    pub(crate) store: WireStore,
    pub(crate) cluster_keys: Leaf,
    pub(crate) operators: Vec<WireOperator>,
    pub(crate) seeds: Leaf,
    pub(crate) log: WireLog,
    pub(crate) limits: WireLimits,
    pub(crate) stop: WireStop,
    #[serde(flatten)]
    pub(crate) unknown: Unknown,
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireListen {
    pub(crate) callers: Leaf,
    pub(crate) hop: Leaf,
    pub(crate) rpc: Leaf,
    pub(crate) local: Leaf,
    pub(crate) operators: Leaf,
    #[serde(flatten)]
    pub(crate) unknown: Unknown,
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireAdvertise {
    pub(crate) hop: Leaf,
    pub(crate) rpc: Leaf,
    #[serde(flatten)]
    pub(crate) unknown: Unknown,
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireStore {
    pub(crate) addresses: Leaf,
    pub(crate) timeout_ms: Leaf,
    #[serde(flatten)]
    pub(crate) unknown: Unknown,
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireOperator {
    pub(crate) name: Leaf,
    pub(crate) token: Leaf,
    #[serde(flatten)]
    pub(crate) unknown: Unknown,
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireLog {
    pub(crate) level: Leaf,
    pub(crate) format: Leaf,
    #[serde(flatten)]
    pub(crate) unknown: Unknown,
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireLimits {
    pub(crate) head_bytes: Leaf,
    pub(crate) headers: Leaf,
    pub(crate) body_bytes: Leaf,
    pub(crate) head_timeout_ms: Leaf,
    pub(crate) idle_timeout_ms: Leaf,
    pub(crate) replay_bytes: Leaf,
    pub(crate) caller_connections: Leaf,
    pub(crate) queue: Leaf,
    pub(crate) in_flight: Leaf,
    #[serde(flatten)]
    pub(crate) unknown: Unknown,
}

#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireStop {
    pub(crate) grace_ms: Leaf,
    #[serde(flatten)]
    pub(crate) unknown: Unknown,
}
