//! A state machine behind a lock, with the clock and random generator that its methods need.

use fescuemux_core::base::{Clock, Cx};
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

/// State machine of `fescuemux-core` shared by the threads of the daemon. Calls must be short and
/// must not block.
pub(crate) struct SharedState<T> {
    clock: Arc<dyn Clock>,
    inner: Mutex<(Cx, T)>,
}

impl<T> SharedState<T> {
    /// Wraps `state`, with a random number generator seeded with `seed`.
    pub(crate) fn new(clock: Arc<dyn Clock>, seed: u64, state: T) -> SharedState<T> {
        let cx = Cx::new(clock.now(), seed);
        SharedState { clock, inner: Mutex::new((cx, state)) }
    }

    /// Locks the state and calls `f` with it. `Cx::now` is the time at which the lock was acquired.
    ///
    /// Ignores poisoning: the state machines keep their invariants even if a call panics, and the
    /// proxy must continue to serve requests.
    pub(crate) fn with<R>(&self, f: impl FnOnce(&mut Cx, &mut T) -> R) -> R {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let (cx, state) = &mut *inner;
        cx.now = self.clock.now();
        f(cx, state)
    }
}

impl<T> fmt::Debug for SharedState<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SharedState").finish_non_exhaustive()
    }
}
