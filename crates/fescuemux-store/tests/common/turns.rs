//! Runs two users of one store in a given order of calls.

use fescuemux_standins::store::MemoryStore;
use fescuemux_store::{
    Entry, KeyVersion, LeaseId, Mutation, Precondition, RenewResult, Store, StoreError, SwapResult,
    Version, WatchResult,
};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

struct Schedule {
    /// Whose call is next, as bits from the lowest one. Past the last bit, user 0 goes first.
    bits: u32,
    left: u32,
    done: [bool; 2],
}

impl Schedule {
    fn current(&mut self) -> usize {
        while self.left > 0 && self.done[(self.bits & 1) as usize] {
            self.advance();
        }
        match self.left {
            0 => usize::from(self.done[0]),
            _ => (self.bits & 1) as usize,
        }
    }

    fn advance(&mut self) {
        self.bits >>= 1;
        self.left = self.left.saturating_sub(1);
    }
}

type Shared = Arc<(Mutex<Schedule>, Condvar)>;

/// Store whose calls wait for their turn.
pub(crate) struct TurnStore {
    memory: Arc<MemoryStore>,
    user: usize,
    shared: Shared,
}

impl TurnStore {
    fn turn<T>(&self, call: impl FnOnce(&MemoryStore) -> T) -> T {
        let (schedule, changed) = &*self.shared;
        let is_waiting = |schedule: &mut Schedule| schedule.current() != self.user;
        let mut schedule = changed.wait_while(schedule.lock().unwrap(), is_waiting).unwrap();
        let answer = call(&self.memory);
        schedule.advance();
        changed.notify_all();
        answer
    }
}

impl Drop for TurnStore {
    fn drop(&mut self) {
        self.shared.0.lock().unwrap().done[self.user] = true;
        self.shared.1.notify_all();
    }
}

/// Runs two users on `memory`. Each of the lowest `len` bits of `bits` says who calls next.
pub(crate) fn run_in_turns<A: Send, B: Send>(
    memory: &Arc<MemoryStore>,
    bits: u32,
    len: u32,
    first: impl FnOnce(TurnStore) -> A + Send,
    second: impl FnOnce(TurnStore) -> B + Send,
) -> (A, B) {
    let schedule = Schedule { bits, left: len, done: [false; 2] };
    let shared: Shared = Arc::new((Mutex::new(schedule), Condvar::new()));
    let store = |user| TurnStore { memory: memory.clone(), user, shared: shared.clone() };
    let stores = (store(0), store(1));
    std::thread::scope(|scope| {
        let first = scope.spawn(|| first(stores.0));
        let second = scope.spawn(|| second(stores.1));
        (first.join().unwrap(), second.join().unwrap())
    })
}

impl Store for TurnStore {
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.turn(|memory| memory.get(key))
    }
    fn compare_and_swap(
        &self,
        k: &str,
        e: Precondition,
        c: Mutation<'_>,
    ) -> Result<SwapResult, StoreError> {
        self.turn(|memory| memory.compare_and_swap(k, e, c))
    }
    fn list(&self, prefix: &str) -> Result<Vec<KeyVersion>, StoreError> {
        self.turn(|memory| memory.list(prefix))
    }
    fn watch(&self, key: &str, after: Version, time: Duration) -> Result<WatchResult, StoreError> {
        self.turn(|memory| memory.watch(key, after, time))
    }
    fn lease_grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.turn(|memory| memory.lease_grant(ttl))
    }
    fn lease_renew(&self, lease: LeaseId) -> Result<RenewResult, StoreError> {
        self.turn(|memory| memory.lease_renew(lease))
    }
    fn lease_revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.turn(|memory| memory.lease_revoke(lease))
    }
}
