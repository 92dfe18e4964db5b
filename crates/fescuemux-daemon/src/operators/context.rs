//! Dependencies of the operator API.

use crate::config_sync::ConfigState;
use crate::guard::Guard;
use crate::homes::KeyHomes;
use crate::ingress::Ingress;
use crate::metrics::Metrics;
use crate::peers::MembershipDriver;
use crate::stop::{StopPhase, StopSignal};
use fescuemux_core::base::{Clock, InstanceId};
use fescuemux_settings::Operator;
use fescuemux_store::{HttpStore, config_store::ConfigStore};
use std::sync::Arc;

/// Function that changes the log level at run time.
pub type SetLogLevel = Arc<dyn Fn(&str) -> Result<(), String> + Send + Sync>;

/// Components and settings that the operator API uses.
pub(crate) struct OperatorContext {
    pub(crate) instance: InstanceId,
    pub(crate) operators: Vec<Operator>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) store: ConfigStore<HttpStore>,
    pub(crate) config_state: Arc<ConfigState>,
    pub(crate) members: Arc<MembershipDriver>,
    pub(crate) guard: Arc<Guard>,
    pub(crate) ingress: Arc<Ingress>,
    pub(crate) homes: Arc<KeyHomes>,
    pub(crate) stop: StopSignal,
    pub(crate) set_log_level: SetLogLevel,
}

impl OperatorContext {
    /// Returns the name of the operator whose token is in an `Authorization` header.
    pub(super) fn authenticate(&self, header: Option<&str>) -> Option<String> {
        let token = header?.strip_prefix("Bearer ")?;
        let found =
            self.operators.iter().find(|op| constant_time_eq(op.token.expose_secret(), token))?;
        Some(found.name.to_string())
    }

    /// Returns the reason why callers should not be sent to this instance, or `None` if it is
    /// ready.
    pub(super) fn unready_reason(&self) -> Option<&'static str> {
        if self.stop.phase() >= StopPhase::Leaving {
            return Some("stopping");
        }
        (self.config_state.generation() == 0).then_some("no configuration is in force yet")
    }
}

/// Compares two strings in a time that depends only on the length of `given`.
fn constant_time_eq(known: &str, given: &str) -> bool {
    let (known, given) = (known.as_bytes(), given.as_bytes());
    let mut difference = known.len() ^ given.len();
    for (at, byte) in given.iter().enumerate() {
        difference |= usize::from(byte ^ known.get(at).copied().unwrap_or_default());
    }
    difference == 0
}
