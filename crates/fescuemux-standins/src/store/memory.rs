//! In-memory stand-in store.

use super::fault::Faults;
use super::state::State;
use super::time::Clock;
use super::{StoreCounters, StoreFault};
use fescuemux_store::{
    Entry, FailureKind, KeyVersion, LeaseId, Mutation, Precondition, RenewResult, Store,
    StoreError, SwapResult, Version, WatchResult,
};
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time between two checks for expired leases by a waiting watch. Expiry alone does not wake
/// the watch.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// In-memory store with injectable faults and call counters. With a virtual clock, its behavior
/// depends only on the calls: a watch without a change returns immediately, and only
/// [`MemoryStore::advance_time`] and [`StoreFault::Slow`] advance the clock.
#[derive(Debug)]
pub struct MemoryStore {
    clock: Clock,
    inner: Mutex<Inner>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Inner {
    state: State,
    /// State at the time when [`StoreFault::StaleReads`] was set.
    stale_state: State,
    faults: Faults,
    counters: StoreCounters,
}

impl Default for MemoryStore {
    fn default() -> MemoryStore {
        MemoryStore::new()
    }
}

impl MemoryStore {
    /// Returns an empty store that uses the system clock.
    pub fn new() -> MemoryStore {
        MemoryStore::with_clock(Clock::System(Instant::now()))
    }

    /// Returns an empty store that uses a virtual clock.
    pub fn with_virtual_clock() -> MemoryStore {
        MemoryStore::with_clock(Clock::Virtual(Mutex::new(Duration::ZERO)))
    }

    fn with_clock(clock: Clock) -> MemoryStore {
        MemoryStore { clock, inner: Mutex::default(), changed: Condvar::new() }
    }

    /// Advances the virtual clock by `time`, or sleeps on the system clock.
    pub fn advance_time(&self, time: Duration) {
        self.clock.advance(time);
    }

    /// Injects a fault in addition to those in effect, or clears all faults.
    pub fn set_fault(&self, fault: StoreFault) {
        let mut inner = self.lock();
        let inner = &mut *inner;
        match fault {
            StoreFault::None => inner.faults = Faults::default(),
            StoreFault::Unavailable => inner.faults.unavailable = true,
            StoreFault::Slow(delay) => inner.faults.delay = delay,
            StoreFault::LoseReplies(count) => inner.faults.lose_replies = count,
            StoreFault::LoseWrites(count) => inner.faults.lose_writes = count,
            StoreFault::StaleReads => {
                inner.faults.stale_reads = true;
                inner.stale_state = inner.state.clone();
            }
            StoreFault::ExpireLeases => inner.state.expire_all_leases(),
            StoreFault::LoseAllReplies => inner.faults.lose_all_replies = true,
        }
        self.changed.notify_all();
    }

    /// Returns the call counters since the store was created.
    pub fn counters(&self) -> StoreCounters {
        self.lock().counters
    }

    /// Returns an entry regardless of faults and without counting a call.
    pub fn peek(&self, key: &str) -> Option<Entry> {
        self.lock().state.get(key).ok().flatten()
    }

    /// Returns the keys with `prefix` regardless of faults and without counting a call.
    pub fn peek_keys(&self, prefix: &str) -> Vec<String> {
        self.lock().state.list(prefix).into_iter().map(|listed| listed.key).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no thread panicked while holding the lock")
    }

    /// Applies the injected delay, expires leases and fails the call while the store is
    /// unavailable.
    fn begin_call(&self) -> Result<MutexGuard<'_, Inner>, StoreError> {
        let delay = self.lock().faults.delay;
        if !delay.is_zero() {
            self.clock.advance(delay);
        }
        let mut inner = self.lock();
        if inner.state.expire_leases(self.clock.now()) {
            self.changed.notify_all();
        }
        if inner.faults.unavailable {
            return Err(StoreError::without_effect(FailureKind::Unavailable, "store is down"));
        }
        Ok(inner)
    }

    fn read<T>(
        &self,
        read: impl FnOnce(&State) -> Result<T, StoreError>,
        size: impl FnOnce(&T) -> usize,
    ) -> Result<T, StoreError> {
        self.lock().counters.reads += 1;
        let mut inner = self.begin_call()?;
        let result = read(inner.read_state())?;
        inner.complete_read(size(&result))?;
        Ok(result)
    }

    fn write<T>(
        &self,
        bytes: usize,
        write: impl FnOnce(&mut State, Duration) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        {
            let mut inner = self.lock();
            inner.counters.writes += 1;
            inner.counters.bytes_written += bytes as u64;
        }
        let mut inner = self.begin_call()?;
        if inner.faults.consume_lost_write() {
            return Err(StoreError::with_unknown_effect(FailureKind::NoResponse, "write lost"));
        }
        let result = write(&mut inner.state, self.clock.now());
        self.changed.notify_all();
        if inner.faults.consume_lost_reply(true) {
            return Err(StoreError::with_unknown_effect(FailureKind::NoResponse, "reply lost"));
        }
        result
    }
}

impl Inner {
    fn read_state(&self) -> &State {
        if self.faults.stale_reads { &self.stale_state } else { &self.state }
    }

    fn complete_read(&mut self, bytes: usize) -> Result<(), StoreError> {
        if self.faults.consume_lost_reply(false) {
            return Err(StoreError::without_effect(FailureKind::NoResponse, "reply lost"));
        }
        self.counters.bytes_read += bytes as u64;
        Ok(())
    }
}

fn entry_size(entry: &Option<Entry>) -> usize {
    entry.as_ref().map_or(0, |entry| entry.value.len())
}

impl Store for MemoryStore {
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.read(|state| state.get(key), entry_size)
    }

    fn compare_and_swap(
        &self,
        key: &str,
        precondition: Precondition,
        mutation: Mutation<'_>,
    ) -> Result<SwapResult, StoreError> {
        let bytes = match mutation {
            Mutation::Put { value, .. } => value.len(),
            Mutation::Delete => 0,
        };
        self.write(bytes, |state, _| state.compare_and_swap(key, precondition, mutation))
    }

    fn list(&self, prefix: &str) -> Result<Vec<KeyVersion>, StoreError> {
        self.read(|state| Ok(state.list(prefix)), |_| 0)
    }

    fn watch(
        &self,
        key: &str,
        after: Version,
        timeout: Duration,
    ) -> Result<WatchResult, StoreError> {
        self.lock().counters.reads += 1;
        let start = Instant::now();
        loop {
            let mut inner = self.begin_call()?;
            let watch_result = inner.read_state().watch_result(key, after);
            let remaining = timeout.saturating_sub(start.elapsed());
            let timed_out = remaining.is_zero() || matches!(self.clock, Clock::Virtual(_));
            if let Some(result) = watch_result.or(timed_out.then_some(WatchResult::TimedOut)) {
                let bytes = match &result {
                    WatchResult::Changed(entry) => entry.value.len(),
                    WatchResult::Deleted | WatchResult::TimedOut => 0,
                };
                inner.complete_read(bytes)?;
                return Ok(result);
            }
            let wait = remaining.min(LEASE_CHECK_INTERVAL);
            drop(
                self.changed
                    .wait_timeout(inner, wait)
                    .expect("no thread panicked while holding the lock"),
            );
        }
    }

    fn lease_grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.write(0, |state, now| Ok(state.grant_lease(now, ttl)))
    }

    fn lease_renew(&self, lease: LeaseId) -> Result<RenewResult, StoreError> {
        self.write(0, |state, now| Ok(state.renew_lease(now, lease)))
    }

    fn lease_revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.write(0, |state, _| {
            state.revoke_lease(lease);
            Ok(())
        })
    }
}
