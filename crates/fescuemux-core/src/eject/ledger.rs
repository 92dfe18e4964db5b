//! Fleet-wide record of the ejected backend servers of one service.
//!
//! The floor of a service is the healthy capacity, in slots, that ejections must leave.

use super::capacity::ServiceCapacity;
use super::refusal::LedgerRefusal;
use crate::base::{Incarnation, ServerId};

/// Maximum number of fences kept. Fences only stop late writes of replaced guards, so the oldest
/// fence may be dropped; a service has about 60 servers at the target scale.
const MAX_FENCES: usize = 256;

/// An ejected backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerEntry {
    /// Ejected server.
    pub server: ServerId,
    /// Slots of the server when it was ejected.
    pub slots: u32,
    /// Incarnation of the guard that ejected the server.
    pub incarnation: Incarnation,
    /// Sequence number of the ejection; later ejections have higher numbers.
    pub sequence: u64,
}

/// Fencing token of a released server: rejects changes by older incarnations of its guard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fence {
    /// Released server.
    pub server: ServerId,
    /// Oldest guard incarnation that may change the ledger for the server.
    pub incarnation: Incarnation,
    /// Sequence number of the release.
    pub sequence: u64,
}

/// Ejected backend servers of one service. Immutable: each change returns a new ledger. The daemon
/// stores a change by compare-and-swap of the whole ledger, so that two guards cannot both eject
/// their servers when the floor allows only one of these ejections.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    sequence: u64,
    entries: Vec<LedgerEntry>,
    fences: Vec<Fence>,
}

impl Ledger {
    /// Assembles a ledger from its stored parts.
    pub fn from_parts(sequence: u64, entries: Vec<LedgerEntry>, fences: Vec<Fence>) -> Ledger {
        Ledger { sequence, entries, fences }
    }

    /// Returns the sequence number of the last change.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the entries in the order of ejection.
    pub fn entries(&self) -> &[LedgerEntry] {
        &self.entries
    }

    /// Returns the fences of released servers.
    pub fn fences(&self) -> &[Fence] {
        &self.fences
    }

    /// Returns the entry of a server if it is ejected.
    pub fn entry(&self, server: &ServerId) -> Option<&LedgerEntry> {
        self.entries.iter().find(|entry| entry.server == *server)
    }

    /// Returns the slots of alive, ready servers that are not ejected.
    pub fn healthy_slots(&self, capacity: &ServiceCapacity) -> u32 {
        let ejected: u32 =
            self.entries.iter().map(|entry| capacity.ready_slots(&entry.server)).sum();
        capacity.total_ready_slots().saturating_sub(ejected)
    }

    /// Returns whether healthy capacity is at or above the floor.
    ///
    /// A daemon calls this with the newest known capacity after it has written a grant. The floor
    /// may have been raised, or capacity lost, between its read and write of the ledger. In that
    /// case the daemon reports [`PermitAnswer::Refused`](super::PermitAnswer::Refused) and releases
    /// the entry.
    pub fn satisfies_floor(&self, capacity: &ServiceCapacity) -> bool {
        self.healthy_slots(capacity) >= capacity.floor
    }

    /// Adds an entry for an ejected server. A repeated grant also advances the sequence number, so
    /// that a delayed write of an earlier release fails its compare-and-swap instead of removing
    /// the entry.
    ///
    /// A server that already has an entry is checked against the floor again: its guard may have
    /// restarted, or may have returned the server to service while the store was unavailable, and
    /// the capacity may have shrunk since.
    ///
    /// # Errors
    ///
    /// Fails when a newer guard of the server has changed the ledger, and when the remaining
    /// healthy capacity would be below the floor.
    pub fn grant(
        &self,
        capacity: &ServiceCapacity,
        server: &ServerId,
        slots: u32,
        incarnation: Incarnation,
    ) -> Result<Ledger, LedgerRefusal> {
        self.check_fence(server, incarnation)?;
        let mut next = self.clone();
        next.entries.retain(|entry| entry.server != *server);
        let left = next.healthy_slots(capacity).saturating_sub(capacity.ready_slots(server));
        if left < capacity.floor {
            return Err(LedgerRefusal::BelowFloor { left, floor: capacity.floor });
        }
        next.sequence += 1;
        next.fences.retain(|fence| fence.server != *server);
        next.entries.push(LedgerEntry {
            server: server.clone(),
            slots,
            incarnation,
            sequence: next.sequence,
        });
        Ok(next)
    }

    /// Removes the entry of a server, which then counts as healthy capacity again if it is alive
    /// and ready. Leaves a fence.
    ///
    /// # Errors
    ///
    /// Fails when a newer guard of the server has changed the ledger, and when the server has no
    /// entry.
    pub fn release(
        &self,
        server: &ServerId,
        incarnation: Incarnation,
    ) -> Result<Ledger, LedgerRefusal> {
        self.check_fence(server, incarnation)?;
        if self.entry(server).is_none() {
            return Err(LedgerRefusal::NotEjected);
        }
        let mut next = self.clone();
        next.sequence += 1;
        next.entries.retain(|entry| entry.server != *server);
        next.fences.retain(|fence| fence.server != *server);
        next.fences.push(Fence { server: server.clone(), incarnation, sequence: next.sequence });
        if next.fences.len() > MAX_FENCES {
            next.fences.remove(0);
        }
        Ok(next)
    }

    /// Removes the entries of servers whose guards are gone permanently. Returns `None` if none of
    /// the servers has an entry.
    ///
    /// `gone` must hold only servers that have not been announced for an hour. A server whose
    /// guard is only disconnected must keep its entry: otherwise the server would count as healthy
    /// capacity while its guard still refuses requests.
    pub fn prune(&self, gone: &[ServerId]) -> Option<Ledger> {
        if !self.entries.iter().any(|entry| gone.contains(&entry.server)) {
            return None;
        }
        let mut next = self.clone();
        next.sequence += 1;
        next.entries.retain(|entry| !gone.contains(&entry.server));
        Some(next)
    }

    /// Returns the servers that must return to service so that healthy capacity reaches `floor`
    /// again, last ejected first. Servers without ready slots are skipped.
    pub fn servers_to_return(&self, capacity: &ServiceCapacity, floor: u32) -> Vec<ServerId> {
        let mut healthy = self.healthy_slots(capacity);
        let mut order: Vec<&LedgerEntry> = self.entries.iter().collect();
        order.sort_by_key(|entry| std::cmp::Reverse(entry.sequence));
        let mut returning = Vec::new();
        for entry in order {
            if healthy >= floor {
                break;
            }
            let slots = capacity.ready_slots(&entry.server);
            if slots > 0 {
                healthy += slots;
                returning.push(entry.server.clone());
            }
        }
        returning
    }

    fn check_fence(&self, server: &ServerId, given: Incarnation) -> Result<(), LedgerRefusal> {
        let ejected_by = self.entry(server).map(|entry| entry.incarnation);
        let released_by =
            self.fences.iter().filter(|fence| fence.server == *server).map(|f| f.incarnation);
        let newest = ejected_by.into_iter().chain(released_by).max().unwrap_or(0);
        if given < newest {
            return Err(LedgerRefusal::StaleIncarnation { given, newest });
        }
        Ok(())
    }
}
