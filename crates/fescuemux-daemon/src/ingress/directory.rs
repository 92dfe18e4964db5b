//! Addresses of the instances, including this one.

use fescuemux_core::base::{HashMap, Incarnation, InstanceId};
use std::net::SocketAddr;
use std::sync::{PoisonError, RwLock};

/// Addresses and incarnation of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PeerEndpoint {
    /// Address for hop requests.
    pub(crate) hop: SocketAddr,
    /// Address for remote procedure calls.
    pub(crate) rpc: SocketAddr,
    /// Incarnation of the instance's guard.
    pub(crate) incarnation: Incarnation,
}

/// Endpoints by instance id of all instances, including this one, that are not known to be dead.
#[derive(Debug, Default)]
pub(crate) struct PeerDirectory {
    peers: RwLock<HashMap<InstanceId, PeerEndpoint>>,
}

impl PeerDirectory {
    pub(crate) fn set(&self, instance: InstanceId, peer: PeerEndpoint) {
        self.peers.write().unwrap_or_else(PoisonError::into_inner).insert(instance, peer);
    }

    pub(crate) fn remove(&self, instance: &InstanceId) {
        self.peers.write().unwrap_or_else(PoisonError::into_inner).remove(instance);
    }

    pub(crate) fn get(&self, instance: &InstanceId) -> Option<PeerEndpoint> {
        self.peers.read().unwrap_or_else(PoisonError::into_inner).get(instance).copied()
    }
}
