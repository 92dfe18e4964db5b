//! All fields with their permitted values and defaults.

use crate::DefaultValue::{EmptyList, Required, SameAs, Text};
use crate::PermittedValues::{
    ClusterKey, ListenAddr, LoopbackAddr, Name, Number, OneOf, ReachableAddr, Token,
};
use crate::{DefaultValue, Field, PermittedValues};

/// Declares each field as a constant, and [`FIELDS`] as the list of all fields.
macro_rules! fields {
    ($($name:ident = $path:literal, $permitted:expr, $default:expr;)*) => {
        $(pub(crate) const $name: Field =
            Field { path: $path, permitted: $permitted, default: $default };)*
        /// All fields of the settings file.
        pub const FIELDS: &[Field] = &[$($name),*];
    };
}

const fn number(min: u64, max: u64) -> PermittedValues {
    Number { min, max }
}

const fn list(min: usize, max: usize, entry: &'static PermittedValues) -> PermittedValues {
    PermittedValues::List { min, max, entry: Some(entry) }
}

const GIB: u64 = 1 << 30;
/// Longest timeout that can be set, in milliseconds; equal to the longest request deadline.
const MAX_TIMEOUT_MS: u64 = 600_000;
/// Minimum of the limit on HTTP heads, in bytes. hyper does not accept a smaller read buffer.
const MIN_HEAD_BYTES: u64 = 8192;

fields! {
    INSTANCE = "instance", Name, Required;
    DOMAIN = "domain", Name, Required;
    REGION = "region", Name, Required;
    LISTEN_CALLERS = "listen.callers", ListenAddr, Required;
    LISTEN_HOP = "listen.hop", ListenAddr, Required;
    LISTEN_RPC = "listen.rpc", ListenAddr, Required;
    LISTEN_LOCAL = "listen.local", LoopbackAddr, Required;
    LISTEN_OPERATORS = "listen.operators", ListenAddr, Required;
    ADVERTISE_HOP = "advertise.hop", ReachableAddr, SameAs("listen.hop");
    ADVERTISE_RPC = "advertise.rpc", ReachableAddr, SameAs("listen.rpc");
    STORE_ADDRESSES = "store.addresses", list(1, 5, &ReachableAddr), Required;
    STORE_TIMEOUT = "store.timeout_ms", number(50, 10_000), DefaultValue::Number(1000);
    CLUSTER_KEYS = "cluster_keys", list(1, 3, &ClusterKey), Required;
    OPERATORS = "operators", PermittedValues::List { min: 0, max: 64, entry: None }, EmptyList;
    OPERATOR_NAME = "operators[].name", Name, Required;
    OPERATOR_TOKEN = "operators[].token", Token, Required;
    SEEDS = "seeds", list(0, 64, &ReachableAddr), EmptyList;
    LOG_LEVEL = "log.level", OneOf(&["error", "warn", "info", "debug", "trace"]), Text("info");
    LOG_FORMAT = "log.format", OneOf(&["text", "json"]), Text("text");
    HEAD_BYTES = "limits.head_bytes", number(MIN_HEAD_BYTES, 1 << 20),
        DefaultValue::Number(16 << 10);
    HEADERS = "limits.headers", number(16, 1000), DefaultValue::Number(100);
    BODY_BYTES = "limits.body_bytes", number(0, 1024 * GIB), DefaultValue::Number(GIB);
    HEAD_TIMEOUT = "limits.head_timeout_ms", number(100, MAX_TIMEOUT_MS),
        DefaultValue::Number(10_000);
    IDLE_TIMEOUT = "limits.idle_timeout_ms", number(100, MAX_TIMEOUT_MS),
        DefaultValue::Number(30_000);
    REPLAY_BYTES = "limits.replay_bytes", number(0, 1 << 20), DefaultValue::Number(64 << 10);
    CALLER_CONNECTIONS = "limits.caller_connections", number(1, 65_536), DefaultValue::Number(1024);
    QUEUE = "limits.queue", number(0, 4096), DefaultValue::Number(64);
    IN_FLIGHT = "limits.in_flight", number(1, 65_536), DefaultValue::Number(1024);
    STOP_GRACE = "stop.grace_ms", number(0, MAX_TIMEOUT_MS), DefaultValue::Number(30_000);
}
