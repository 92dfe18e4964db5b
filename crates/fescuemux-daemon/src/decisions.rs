//! A decision part behind a lock, with the context that its calls need.

use fescuemux_core::base::{Clock, Cx};
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

/// Decision part shared by the threads of the daemon. Calls are short and never wait.
pub(crate) struct SharedState<T> {
    clock: Arc<dyn Clock>,
    inner: Mutex<(Cx, T)>,
}

impl<T> SharedState<T> {
    /// Wraps `part`, with a generator that starts from `seed`.
    pub(crate) fn new(clock: Arc<dyn Clock>, seed: u64, part: T) -> SharedState<T> {
        let cx = Cx::new(clock.now(), seed);
        SharedState { clock, inner: Mutex::new((cx, part)) }
    }

    /// Calls `f` with the time at which the lock was taken.
    ///
    /// A thread that panicked under the lock leaves the part usable: every part keeps its
    /// invariants across calls, and a proxy that stops answering helps nobody.
    pub(crate) fn with<R>(&self, f: impl FnOnce(&mut Cx, &mut T) -> R) -> R {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let (cx, part) = &mut *inner;
        cx.now = self.clock.now();
        f(cx, part)
    }
}

impl<T> fmt::Debug for SharedState<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SharedState").finish_non_exhaustive()
    }
}
