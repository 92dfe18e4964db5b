//! Exact count of the slots in use on a backend server.

use crate::base::HashMap;

/// Identifies one permit; never reused by the same [`Slots`].
pub type PermitId = u64;

/// Slots of one backend server; each permit holds one slot.
///
/// `O` identifies the owner of a permit, such as the connection of the request, so that all permits
/// of a crashed ingress can be found.
#[derive(Debug)]
pub struct Slots<O> {
    limit: u32,
    next_id: PermitId,
    permits: HashMap<PermitId, O>,
}

impl<O: PartialEq> Slots<O> {
    /// Returns `limit` free slots.
    pub fn new(limit: u32) -> Slots<O> {
        Slots { limit, next_id: 1, permits: HashMap::default() }
    }

    /// Acquires a slot for `owner`, or returns `None` when no slot is free.
    pub fn acquire(&mut self, owner: O) -> Option<PermitId> {
        if self.free() == 0 {
            return None;
        }
        let id = self.next_id;
        self.next_id += 1;
        self.permits.insert(id, owner);
        Some(id)
    }

    /// Releases the slot of a request that ended. Returns false, and changes nothing, if the permit
    /// is unknown or already released.
    pub fn release(&mut self, id: PermitId) -> bool {
        self.permits.remove(&id).is_some()
    }

    /// Releases the slot of a request that was canceled and no longer runs on the backend server.
    /// Returns false, and changes nothing, if the permit is unknown or already released.
    pub fn release_canceled(&mut self, id: PermitId) -> bool {
        self.permits.remove(&id).is_some()
    }

    /// Returns the permits of `owner`. The slots stay in use until each permit is released, because
    /// the backend server may still run the requests of a crashed ingress.
    pub fn permits_of(&self, owner: &O) -> Vec<PermitId> {
        self.permits.iter().filter(|(_, o)| *o == owner).map(|(id, _)| *id).collect()
    }

    /// Changes the number of slots. If more permits are held than the new limit allows, they stay
    /// valid until released.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Returns the number of slots.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the number of slots in use.
    pub fn busy(&self) -> u32 {
        self.permits.len() as u32
    }

    /// Returns the number of free slots.
    pub fn free(&self) -> u32 {
        self.limit.saturating_sub(self.busy())
    }
}
