//! Accounting of the connections that a process has accepted.

use super::{ConnectionKind, ProcessLimits};
use crate::base::HashMap;
use std::time::{Duration, Instant};

/// Time without progress after which a response counts as not read. A client that reads at all takes
/// a part of 16 KiB within this time.
const UNREAD_TIME: Duration = Duration::from_secs(2);

/// Identifies an accepted connection.
pub type ConnectionId = u64;

/// What happens on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Nothing since this time.
    Idle(Instant),
    /// A request is handled.
    Handling,
    /// The client has to read a response. The last part of it was taken at this time.
    Sending(Instant),
}

/// Decision about the next connection of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionVerdict {
    /// Accept it.
    Accept,
    /// Close this connection, which is idle or whose client does not read, then ask again.
    CloseFirst(ConnectionId),
    /// Wait until a connection ends or becomes idle.
    Wait,
}

/// Accepted connections of a process.
#[derive(Clone, Debug)]
pub struct ConnectionSlots {
    limits: ProcessLimits,
    connections: HashMap<ConnectionId, (ConnectionKind, ConnectionState)>,
    next_id: ConnectionId,
}

impl ConnectionSlots {
    /// Returns the state without connections.
    pub fn new(limits: ProcessLimits) -> ConnectionSlots {
        ConnectionSlots { limits, connections: HashMap::default(), next_id: 0 }
    }

    /// Decides about the next connection of a kind.
    pub fn check(&self, now: Instant, kind: ConnectionKind) -> ConnectionVerdict {
        let Some(max) = self.limits.max_connections(kind) else {
            return ConnectionVerdict::Accept;
        };
        if self.count(kind) < max {
            return ConnectionVerdict::Accept;
        }
        let of_kind = || self.connections.iter().filter(|(_, (other, _))| *other == kind);
        let idle = of_kind().filter_map(|(id, (_, state))| match state {
            ConnectionState::Idle(since) => Some((*since, *id)),
            ConnectionState::Handling | ConnectionState::Sending(_) => None,
        });
        let unread = of_kind().filter_map(|(id, (_, state))| match state {
            ConnectionState::Sending(since) if now >= *since + UNREAD_TIME => Some((*since, *id)),
            _ => None,
        });
        let oldest = idle.min().or_else(|| unread.min());
        oldest.map_or(ConnectionVerdict::Wait, |(_, id)| ConnectionVerdict::CloseFirst(id))
    }

    /// Adds a connection, which is idle until a request starts on it.
    pub fn insert(&mut self, now: Instant, kind: ConnectionKind) -> ConnectionId {
        self.next_id += 1;
        self.connections.insert(self.next_id, (kind, ConnectionState::Idle(now)));
        self.next_id
    }

    /// Records what happens on a connection.
    pub fn set_state(&mut self, id: ConnectionId, state: ConnectionState) {
        if let Some((_, current)) = self.connections.get_mut(&id) {
            *current = state;
        }
    }

    /// Removes a connection.
    pub fn remove(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Returns the number of connections of a kind.
    pub fn count(&self, kind: ConnectionKind) -> usize {
        self.connections.values().filter(|(other, _)| *other == kind).count()
    }

    /// Returns whether so many connections of a kind are open that the kernel's buffers for a new
    /// one must be bounded: more than a quarter of the maximum.
    pub fn is_crowded(&self, kind: ConnectionKind) -> bool {
        self.limits.max_connections(kind).is_some_and(|max| self.count(kind) * 4 > max)
    }
}
