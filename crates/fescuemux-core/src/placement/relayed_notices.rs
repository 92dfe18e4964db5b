//! What servers said about themselves in the responses that an ingress has relayed.
//!
//! A guard that restarts forgets what its server said, but the ingresses that told their callers
//! are still bound by it, so each reservation repeats it.

use crate::base::{HashMap, Incarnation, InstanceId, ServerId};

/// Maximum number of instances whose notices are kept.
const MAX_NOTICES: usize = 4_096;

/// What a server has said about itself, according to its guard.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayedNotice {
    /// Id of the server.
    pub server: ServerId,
    /// Incarnation of the server; nothing follows for a later one.
    pub incarnation: Incarnation,
    /// Limit in requests per second, if the server names one.
    pub limit: Option<f64>,
}

/// Latest notices by the instance of the server.
#[derive(Clone, Debug, Default)]
pub struct RelayedNotices {
    by_instance: HashMap<InstanceId, RelayedNotice>,
}

impl RelayedNotices {
    /// Records a response from the server of `instance`, and with it what the server says, or `None`
    /// if it names no limit any more.
    pub fn on_response(&mut self, instance: &InstanceId, notice: Option<RelayedNotice>) {
        match notice {
            Some(notice) => {
                let is_full = self.by_instance.len() >= MAX_NOTICES;
                if !is_full || self.by_instance.contains_key(instance) {
                    self.by_instance.insert(instance.clone(), notice);
                }
            }
            None => drop(self.by_instance.remove(instance)),
        }
    }

    /// Returns what the server of `instance` said last.
    pub fn get(&self, instance: &str) -> Option<&RelayedNotice> {
        self.by_instance.get(instance)
    }
}
