//! Memory and connections that the process holds for its clients, released on drop.

use crate::metrics::Metrics;
use crate::node::Node;
use fescuemux_core::base::{Clock, HashMap};
use fescuemux_core::memory::{
    ConnectionId, ConnectionKind, ConnectionSlots, ConnectionState, ConnectionVerdict, HolderId,
    MemoryBudget, MemoryClass, ProcessLimits,
};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tracing::warn;

/// Interval of decisions while something waits for memory.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which a connection that waits for room is considered again.
const ADMIT_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time between log lines about released memory and connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// First capacity of a buffer whose length is unknown.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// A holder had to give up its memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemoryReleased;

/// Memory and connections of the process.
pub(crate) struct Memory {
    clock: Arc<dyn Clock>,
    metrics: Metrics,
    budget: RefCell<MemoryBudget>,
    signals: RefCell<HashMap<HolderId, Rc<HolderSignal>>>,
    /// Wakes [`advance`] when something begins to wait for memory.
    contended: Notify,
    connections: RefCell<ConnectionSlots>,
    closers: RefCell<HashMap<ConnectionId, Rc<Notify>>>,
    /// Wakes listeners when a connection has ended or has become idle.
    connection_freed: Notify,
    /// Whether a caller's connection waits for room.
    caller_waits: Cell<bool>,
    last_logged_at: Cell<Option<Instant>>,
    /// Number of releases since the last log line.
    unlogged: Cell<u64>,
}

#[derive(Debug, Default)]
struct HolderSignal {
    granted: Notify,
    is_released: Cell<bool>,
    released: Notify,
}

impl Memory {
    pub(crate) fn new(limits: ProcessLimits, clock: Arc<dyn Clock>, metrics: Metrics) -> Memory {
        Memory {
            clock,
            metrics,
            budget: RefCell::new(MemoryBudget::new(limits)),
            signals: RefCell::default(),
            contended: Notify::new(),
            connections: RefCell::new(ConnectionSlots::new(limits)),
            closers: RefCell::default(),
            connection_freed: Notify::new(),
            caller_waits: Cell::default(),
            last_logged_at: Cell::default(),
            unlogged: Cell::default(),
        }
    }

    /// Returns a holder without bytes. `len` is the number of bytes to arrive, if known.
    pub(crate) fn hold(self: &Rc<Self>, class: MemoryClass, len: Option<u64>) -> MemoryHold {
        let id = self.budget.borrow_mut().insert(class, len);
        let signal = Rc::<HolderSignal>::default();
        self.signals.borrow_mut().insert(id, signal.clone());
        MemoryHold { memory: self.clone(), id, signal }
    }

    /// Adds a connection that was just accepted. At the limit, closes one that is idle or whose client
    /// does not read, and waits until there is room.
    pub(crate) async fn admit_connection(
        self: &Rc<Self>,
        kind: ConnectionKind,
    ) -> ConnectionPermit {
        loop {
            let verdict = self.connections.borrow().check(self.clock.now(), kind);
            match verdict {
                ConnectionVerdict::Accept => break,
                ConnectionVerdict::CloseFirst(id) => {
                    if let Some(closer) = self.closers.borrow().get(&id) {
                        closer.notify_one();
                    }
                    self.record_release("connection");
                }
                ConnectionVerdict::Wait => {}
            }
            if kind == ConnectionKind::Caller {
                self.caller_waits.set(true);
            }
            // Some connection may meanwhile count as not read.
            let freed = self.connection_freed.notified();
            let _ = tokio::time::timeout(ADMIT_INTERVAL, freed).await;
        }
        if kind == ConnectionKind::Caller {
            self.caller_waits.set(false);
        }
        let id = self.connections.borrow_mut().insert(self.clock.now(), kind);
        let closer = Rc::<Notify>::default();
        self.closers.borrow_mut().insert(id, closer.clone());
        ConnectionPermit { memory: self.clone(), id, closer }
    }

    /// Returns whether so many connections are open that their receive buffers must be bounded.
    pub(crate) fn is_crowded(&self, kind: ConnectionKind) -> bool {
        self.connections.borrow().is_crowded(kind)
    }

    /// Sets the gauges of held bytes and open connections.
    pub(crate) fn update_metrics(&self) {
        for class in MemoryClass::ALL {
            self.metrics.set_held_bytes(class.as_str(), self.budget.borrow().used(class));
        }
        for kind in ConnectionKind::ALL {
            self.metrics.set_connections(kind.as_str(), self.connections.borrow().count(kind));
        }
    }

    /// Counts a release, and logs at most one line a second for all of them.
    fn record_release(&self, reason: &'static str) {
        self.metrics.record_release(reason);
        self.unlogged.set(self.unlogged.get() + 1);
        let now = self.clock.now();
        if self.last_logged_at.get().is_none_or(|at| now >= at + LOG_INTERVAL) {
            self.last_logged_at.set(Some(now));
            warn!(event = "limit_reached", reason, released = self.unlogged.take());
        }
    }

    fn advance(&self) {
        let decisions = self.budget.borrow_mut().advance(self.clock.now());
        let signals = self.signals.borrow();
        for signal in decisions.granted.iter().filter_map(|id| signals.get(id)) {
            signal.granted.notify_one();
        }
        for id in &decisions.released {
            self.record_release("memory");
            if let Some(signal) = signals.get(id) {
                signal.is_released.set(true);
                signal.released.notify_waiters();
            }
        }
    }
}

/// Decides which holders get memory and which give theirs up. Runs until the process ends.
pub(crate) async fn advance(node: Rc<Node>) {
    loop {
        while node.memory.budget.borrow().is_contended() {
            node.memory.advance();
            tokio::time::sleep(ADVANCE_INTERVAL).await;
        }
        node.memory.contended.notified().await;
    }
}

/// Memory that a body or a response holds. Dropping it frees the memory.
pub(crate) struct MemoryHold {
    memory: Rc<Memory>,
    id: HolderId,
    signal: Rc<HolderSignal>,
}

impl MemoryHold {
    /// Adds `bytes` if they are available now.
    pub(crate) fn try_grow(&self, bytes: usize) -> bool {
        self.memory.budget.borrow_mut().try_grow(self.id, bytes as u64)
    }

    /// Adds `bytes`, and waits for them if necessary.
    ///
    /// # Errors
    /// Fails if the memory must be given up instead.
    pub(crate) async fn grow(&self, bytes: usize) -> Result<(), MemoryReleased> {
        let now = self.memory.clock.now();
        if self.memory.budget.borrow_mut().grow_or_wait(now, self.id, bytes as u64) {
            return Ok(());
        }
        self.memory.contended.notify_one();
        tokio::select! {
            () = self.signal.granted.notified() => Ok(()),
            () = self.released() => Err(MemoryReleased),
        }
    }

    /// Waits until the memory must be given up.
    pub(crate) async fn released(&self) {
        let released = self.signal.released.notified();
        if !self.signal.is_released.get() {
            released.await;
        }
    }

    /// Waits for bytes of the client with `read`, whose length `len` returns.
    ///
    /// # Errors
    /// Fails if the memory must be given up first.
    pub(crate) async fn read<T>(
        &self,
        read: impl Future<Output = T>,
        len: impl Fn(&T) -> usize,
    ) -> Result<T, MemoryReleased> {
        self.memory.budget.borrow_mut().on_read_start(self.memory.clock.now(), self.id);
        tokio::select! {
            biased;
            value = read => {
                self.memory.budget.borrow_mut().on_read(self.id, len(&value) as u64);
                Ok(value)
            }
            () = self.released() => Err(MemoryReleased),
        }
    }
}

impl std::fmt::Debug for MemoryHold {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("MemoryHold").field("id", &self.id).finish_non_exhaustive()
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        self.memory.budget.borrow_mut().remove(self.id);
        self.memory.signals.borrow_mut().remove(&self.id);
    }
}

/// Buffer whose capacity is held.
#[derive(Debug, Default)]
pub(crate) struct HeldBuffer {
    bytes: Vec<u8>,
}

impl HeldBuffer {
    /// Returns by how much the capacity must grow for `more` bytes. `expected_len` is the length at
    /// the end, if known.
    pub(crate) fn growth(&self, more: usize, expected_len: Option<u64>) -> usize {
        let (needed, capacity) = (self.bytes.len() + more, self.bytes.capacity());
        if needed <= capacity {
            return 0;
        }
        let doubled = (capacity * 2).max(MIN_BUFFER_BYTES);
        let max = expected_len.and_then(|len| usize::try_from(len).ok()).unwrap_or(usize::MAX);
        doubled.min(max).max(needed) - capacity
    }

    /// Appends `chunk` and grows the capacity by `growth`, which must have been returned for its
    /// length.
    pub(crate) fn extend(&mut self, growth: usize, chunk: &[u8]) {
        if growth > 0 {
            let new_capacity = self.bytes.capacity() + growth;
            self.bytes.reserve_exact(new_capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(chunk);
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    pub(crate) fn into_bytes(self) -> bytes::Bytes {
        self.bytes.into()
    }
}

/// Place of an accepted connection. Dropping it makes room for another one.
pub(crate) struct ConnectionPermit {
    memory: Rc<Memory>,
    id: ConnectionId,
    closer: Rc<Notify>,
}

impl ConnectionPermit {
    /// Waits until the process must close the connection.
    pub(crate) async fn closed(&self) {
        self.closer.notified().await;
    }

    /// Marks the connection as in use until the returned value is dropped.
    pub(crate) fn begin_request(self: &Rc<Self>) -> ActiveRequest {
        self.memory.connections.borrow_mut().set_state(self.id, ConnectionState::Handling);
        ActiveRequest { permit: self.clone() }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.memory.connections.borrow_mut().remove(self.id);
        self.memory.closers.borrow_mut().remove(&self.id);
        self.memory.connection_freed.notify_waiters();
    }
}

/// Request in progress on a connection, which is not closed as idle meanwhile.
pub(crate) struct ActiveRequest {
    permit: Rc<ConnectionPermit>,
}

impl ActiveRequest {
    /// Records that a part of the response was taken, or else that the response does not wait for
    /// the client.
    pub(crate) fn on_response(&self, is_taken: bool) {
        let now = self.permit.memory.clock.now();
        let state =
            if is_taken { ConnectionState::Sending(now) } else { ConnectionState::Handling };
        self.set_state(state);
    }

    /// Returns whether the caller's connection should end with the response, because another caller
    /// waits for room. A caller that sends without pause is never idle.
    pub(crate) fn should_close(&self) -> bool {
        self.permit.memory.caller_waits.get()
    }

    fn set_state(&self, state: ConnectionState) {
        self.permit.memory.connections.borrow_mut().set_state(self.permit.id, state);
    }
}

impl std::fmt::Debug for ActiveRequest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ActiveRequest").finish_non_exhaustive()
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let now = self.permit.memory.clock.now();
        self.set_state(ConnectionState::Idle(now));
        self.permit.memory.connection_freed.notify_waiters();
    }
}
