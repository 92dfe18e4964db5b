//! Announced capacity of a service.

use crate::base::{HashMap, Phase, ServerId};

/// Capacity of one announced backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerCapacity {
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Announced phase.
    pub phase: Phase,
    /// Whether membership considers the server's instance alive.
    pub alive: bool,
}

/// Announced backend servers of one service, with the floor of the service in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceCapacity {
    /// Minimum healthy capacity, in slots, that an ejection must leave.
    pub floor: u32,
    servers: HashMap<ServerId, ServerCapacity>,
}

impl ServiceCapacity {
    /// Returns the capacity of a service without servers.
    pub fn new(floor: u32) -> ServiceCapacity {
        ServiceCapacity { floor, servers: HashMap::default() }
    }

    /// Adds or replaces a server.
    pub fn set(&mut self, server: ServerId, capacity: ServerCapacity) {
        self.servers.insert(server, capacity);
    }

    /// Removes a server that is no longer announced.
    pub fn remove(&mut self, server: &ServerId) {
        self.servers.remove(server);
    }

    /// Returns whether the server is announced.
    pub fn is_announced(&self, server: &ServerId) -> bool {
        self.servers.contains_key(server)
    }

    /// Returns the slots of a server if it is alive and ready, otherwise zero.
    pub fn ready_slots(&self, server: &ServerId) -> u32 {
        self.servers.get(server).map_or(0, ServerCapacity::ready_slots)
    }

    /// Returns the slots of all alive, ready servers.
    pub fn total_ready_slots(&self) -> u32 {
        self.servers.values().map(ServerCapacity::ready_slots).sum()
    }
}

impl ServerCapacity {
    fn ready_slots(&self) -> u32 {
        if self.alive && self.phase == Phase::Ready { self.slots } else { 0 }
    }
}
