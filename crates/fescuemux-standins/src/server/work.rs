//! RAII guard for the slot of a running request.

use super::execution::Execution;
use super::shared::Shared;
use hyper::HeaderMap;
use std::sync::Arc;
use std::time::Instant;

/// Slot of a running request. Dropping it without [`SlotGuard::finish`] records a cancellation:
/// hyper drops the future of the request when the connection closes.
#[derive(Debug)]
pub(super) struct SlotGuard {
    shared: Arc<Shared>,
    index: usize,
    finished: Option<Instant>,
}

impl SlotGuard {
    /// Takes a slot and records the execution, or returns `None` when all slots are busy.
    pub(super) fn acquire(shared: &Arc<Shared>, headers: &HeaderMap) -> Option<SlotGuard> {
        let execution = Execution {
            request_id: header_text(headers, "fescuemux-request-id"),
            idempotency_key: header_text(headers, "idempotency-key"),
            tag: header_text(headers, super::TAG_HEADER),
            started: Instant::now(),
            finished: None,
            canceled: false,
        };
        let index = shared.start_execution(execution)?;
        Some(SlotGuard { shared: Arc::clone(shared), index, finished: None })
    }

    /// Frees the slot and records that the request completed.
    pub(super) fn finish(mut self) {
        self.finished = Some(Instant::now());
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.shared.end_execution(self.index, self.finished);
    }
}

/// Returns the value of a header, or `None` when it is absent or not visible ASCII.
pub(super) fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}
