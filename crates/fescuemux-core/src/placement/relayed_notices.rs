//! What servers said about themselves in the responses that an ingress has relayed.
//!
//! A guard that restarts forgets what its server said, but the ingresses that told their callers
//! are still bound by it, so each reservation repeats it.

use crate::base::{HashMap, Incarnation, InstanceId, ServerId};

/// Maximum number of instances whose notices are kept. The oldest notices go first.
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
    /// Whether the server leaves.
    pub leaving: bool,
}

/// Latest notices by the instance of the server.
#[derive(Clone, Debug, Default)]
pub struct RelayedNotices {
    by_instance: HashMap<InstanceId, Entry>,
    response_count: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    notice: RelayedNotice,
    /// Number of the response that told it.
    told_by: u64,
}

impl RelayedNotices {
    /// Records a response from the server of `instance`, and with it what the server says, if
    /// anything. A server that leaves does so until its next incarnation.
    pub fn on_response(&mut self, instance: &InstanceId, notice: Option<RelayedNotice>) {
        self.response_count += 1;
        let known = self.by_instance.get(instance).map(|entry| &entry.notice);
        let leaving = known.filter(|known| known.leaving);
        let Some(mut notice) = notice else {
            if leaving.is_none() {
                self.by_instance.remove(instance);
            }
            return;
        };
        notice.leaving |= leaving.is_some_and(|known| {
            known.server == notice.server && known.incarnation == notice.incarnation
        });
        if known.is_none() && self.by_instance.len() >= MAX_NOTICES {
            let oldest = self.by_instance.iter().min_by_key(|(_, entry)| entry.told_by);
            if let Some(oldest) = oldest.map(|(instance, _)| instance.clone()) {
                self.by_instance.remove(&oldest);
            }
        }
        let entry = Entry { notice, told_by: self.response_count };
        self.by_instance.insert(instance.clone(), entry);
    }

    /// Returns what the server of `instance` said last.
    pub fn get(&self, instance: &str) -> Option<&RelayedNotice> {
        self.by_instance.get(instance).map(|entry| &entry.notice)
    }
}
