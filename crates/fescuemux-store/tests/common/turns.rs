//! Runs two clients of one store with a given order of their calls.

use fescuemux_standins::store::MemoryStore;
use fescuemux_store::{
    Entry, KeyVersion, LeaseId, Mutation, Precondition, RenewResult, Store, StoreError, SwapResult,
    Version, WatchResult,
};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

struct Schedule {
    /// Each bit selects the client of one call, starting from the lowest bit. After the last bit,
    /// client 0 runs to its end before client 1 continues.
    order: u32,
    /// Number of bits of `order` that are left.
    remaining: u32,
    done: [bool; 2],
}

impl Schedule {
    fn next_client(&mut self) -> usize {
        while self.remaining > 0 && self.done[(self.order & 1) as usize] {
            self.advance();
        }
        match self.remaining {
            0 => usize::from(self.done[0]),
            _ => (self.order & 1) as usize,
        }
    }

    fn advance(&mut self) {
        self.order >>= 1;
        self.remaining = self.remaining.saturating_sub(1);
    }
}

type Shared = Arc<(Mutex<Schedule>, Condvar)>;

/// Store handle of one client, whose calls wait for their turn.
pub(crate) struct TurnStore {
    memory: Arc<MemoryStore>,
    client: usize,
    shared: Shared,
}

impl TurnStore {
    fn call_in_turn<T>(&self, call: impl FnOnce(&MemoryStore) -> T) -> T {
        let (schedule, changed) = &*self.shared;
        let is_waiting = |schedule: &mut Schedule| schedule.next_client() != self.client;
        let mut schedule = changed.wait_while(schedule.lock().unwrap(), is_waiting).unwrap();
        let result = call(&self.memory);
        schedule.advance();
        changed.notify_all();
        result
    }
}

impl Drop for TurnStore {
    fn drop(&mut self) {
        self.shared.0.lock().unwrap().done[self.client] = true;
        self.shared.1.notify_all();
    }
}

/// Runs two clients on `memory`. Each of the lowest `len` bits of `order` selects the client of
/// the next call.
pub(crate) fn run_in_order<A: Send, B: Send>(
    memory: &Arc<MemoryStore>,
    order: u32,
    len: u32,
    first: impl FnOnce(TurnStore) -> A + Send,
    second: impl FnOnce(TurnStore) -> B + Send,
) -> (A, B) {
    let schedule = Schedule { order, remaining: len, done: [false; 2] };
    let shared: Shared = Arc::new((Mutex::new(schedule), Condvar::new()));
    let store = |client| TurnStore { memory: memory.clone(), client, shared: shared.clone() };
    let stores = (store(0), store(1));
    std::thread::scope(|scope| {
        let first = scope.spawn(|| first(stores.0));
        let second = scope.spawn(|| second(stores.1));
        (first.join().unwrap(), second.join().unwrap())
    })
}

impl Store for TurnStore {
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.call_in_turn(|memory| memory.get(key))
    }
    fn compare_and_swap(
        &self,
        key: &str,
        precondition: Precondition,
        mutation: Mutation<'_>,
    ) -> Result<SwapResult, StoreError> {
        self.call_in_turn(|memory| memory.compare_and_swap(key, precondition, mutation))
    }
    fn list(&self, prefix: &str) -> Result<Vec<KeyVersion>, StoreError> {
        self.call_in_turn(|memory| memory.list(prefix))
    }
    fn watch(
        &self,
        key: &str,
        after: Version,
        timeout: Duration,
    ) -> Result<WatchResult, StoreError> {
        self.call_in_turn(|memory| memory.watch(key, after, timeout))
    }
    fn lease_grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.call_in_turn(|memory| memory.lease_grant(ttl))
    }
    fn lease_renew(&self, lease: LeaseId) -> Result<RenewResult, StoreError> {
        self.call_in_turn(|memory| memory.lease_renew(lease))
    }
    fn lease_revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.call_in_turn(|memory| memory.lease_revoke(lease))
    }
}
