//! Stand-in store in process.

use super::fault::Faults;
use super::state::State;
use super::time::Time;
use super::{StoreCounters, StoreFault};
use fescuemux_store::{
    Change, Entry, Expect, Failure, LeaseId, Listed, Renewal, Store, StoreError, Swap, Version,
    Watched,
};
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// How often a waiting watch looks for lapsed leases, which wake no one by themselves.
const LAPSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Store in memory, with faults and counters. With a virtual clock its behavior depends on the
/// calls alone: a watch that finds nothing returns at once and the clock stands still.
#[derive(Debug)]
pub struct MemoryStore {
    time: Time,
    inner: Mutex<Inner>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Inner {
    state: State,
    stale: State,
    faults: Faults,
    counters: StoreCounters,
}

impl Default for MemoryStore {
    fn default() -> MemoryStore {
        MemoryStore::new()
    }
}

impl MemoryStore {
    /// Returns an empty store on the machine's clock.
    pub fn new() -> MemoryStore {
        MemoryStore::on(Time::System(Instant::now()))
    }

    /// Returns an empty store on a virtual clock.
    pub fn with_virtual_clock() -> MemoryStore {
        MemoryStore::on(Time::Virtual(Mutex::new(Duration::ZERO)))
    }

    fn on(time: Time) -> MemoryStore {
        MemoryStore { time, inner: Mutex::default(), changed: Condvar::new() }
    }

    /// Lets `time` pass: moves a virtual clock, or sleeps.
    pub fn advance_time(&self, time: Duration) {
        self.time.pass(time);
    }

    /// Adds a fault, or clears all of them.
    pub fn set_fault(&self, fault: StoreFault) {
        let mut inner = self.lock();
        let inner = &mut *inner;
        match fault {
            StoreFault::None => inner.faults = Faults::default(),
            StoreFault::Unavailable => inner.faults.down = true,
            StoreFault::Slow(delay) => inner.faults.slow = delay,
            StoreFault::LoseReplies(count) => inner.faults.lose_replies = count,
            StoreFault::LoseWrites(count) => inner.faults.lose_writes = count,
            StoreFault::StaleReads => {
                inner.faults.stale_reads = true;
                inner.stale = inner.state.clone();
            }
            StoreFault::ExpireLeases => inner.state.lapse_all(),
            StoreFault::LoseAllReplies => inner.faults.one_way_loss = true,
        }
        self.changed.notify_all();
    }

    /// Returns the counters since the store was created.
    pub fn counters(&self) -> StoreCounters {
        self.lock().counters
    }

    /// Returns the content in the store regardless of faults and without counting a call.
    pub fn peek(&self, key: &str) -> Option<Entry> {
        self.lock().state.get(key).ok().flatten()
    }

    /// Returns the keys below `prefix` regardless of faults and without counting a call.
    pub fn peek_keys(&self, prefix: &str) -> Vec<String> {
        self.lock().state.list(prefix).into_iter().map(|listed| listed.key).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder panics")
    }

    /// Waits out slowness and refuses the call while the store is down.
    fn enter(&self) -> Result<MutexGuard<'_, Inner>, StoreError> {
        let slow = self.lock().faults.slow;
        if !slow.is_zero() {
            self.time.pass(slow);
        }
        let mut inner = self.lock();
        if inner.state.lapse(self.time.now()) {
            self.changed.notify_all();
        }
        if inner.faults.down {
            return Err(StoreError::none(Failure::Unavailable, "store is down"));
        }
        Ok(inner)
    }

    fn read<T>(
        &self,
        read: impl FnOnce(&State) -> Result<T, StoreError>,
        size: impl FnOnce(&T) -> usize,
    ) -> Result<T, StoreError> {
        self.lock().counters.reads += 1;
        let mut inner = self.enter()?;
        let answer = read(inner.readable())?;
        inner.finish_read(size(&answer))?;
        Ok(answer)
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
        let mut inner = self.enter()?;
        if inner.faults.take_lost_write() {
            return Err(StoreError::unknown(Failure::NoAnswer, "write lost"));
        }
        let answer = write(&mut inner.state, self.time.now());
        self.changed.notify_all();
        if inner.faults.take_lost_reply(true) {
            return Err(StoreError::unknown(Failure::NoAnswer, "reply lost"));
        }
        answer
    }
}

impl Inner {
    fn readable(&self) -> &State {
        if self.faults.stale_reads { &self.stale } else { &self.state }
    }

    fn finish_read(&mut self, bytes: usize) -> Result<(), StoreError> {
        if self.faults.take_lost_reply(false) {
            return Err(StoreError::none(Failure::NoAnswer, "reply lost"));
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
        expect: Expect,
        change: Change<'_>,
    ) -> Result<Swap, StoreError> {
        let bytes = match change {
            Change::Put { value, .. } => value.len(),
            Change::Delete => 0,
        };
        self.write(bytes, |state, _| state.compare_and_swap(key, expect, change))
    }

    fn list(&self, prefix: &str) -> Result<Vec<Listed>, StoreError> {
        self.read(|state| Ok(state.list(prefix)), |_| 0)
    }

    fn watch(&self, key: &str, after: Version, timeout: Duration) -> Result<Watched, StoreError> {
        self.lock().counters.reads += 1;
        let start = Instant::now();
        loop {
            let mut inner = self.enter()?;
            let seen = inner.readable().seen(key, after);
            let left = timeout.saturating_sub(start.elapsed());
            let is_over = left.is_zero() || matches!(self.time, Time::Virtual(_));
            if let Some(answer) = seen.or(is_over.then_some(Watched::TimedOut)) {
                let bytes = match &answer {
                    Watched::Changed(entry) => entry.value.len(),
                    Watched::Deleted | Watched::TimedOut => 0,
                };
                inner.finish_read(bytes)?;
                return Ok(answer);
            }
            let wait = left.min(LAPSE_CHECK_INTERVAL);
            drop(self.changed.wait_timeout(inner, wait).expect("no holder panics"));
        }
    }

    fn lease_grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.write(0, |state, now| Ok(state.grant(now, ttl)))
    }

    fn lease_renew(&self, lease: LeaseId) -> Result<Renewal, StoreError> {
        self.write(0, |state, now| Ok(state.renew(now, lease)))
    }

    fn lease_revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.write(0, |state, _| {
            state.revoke(lease);
            Ok(())
        })
    }
}
