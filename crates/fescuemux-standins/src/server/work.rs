//! A slot held by one running request.

use super::execution::Execution;
use super::shared::Shared;
use hyper::HeaderMap;
use std::sync::Arc;
use std::time::Instant;

/// Slot of a running request. Dropping it before [`RunningWork::finish`] records a
/// cancellation; hyper drops the request's future when the connection closes.
#[derive(Debug)]
pub(super) struct RunningWork {
    shared: Arc<Shared>,
    index: usize,
    finished: Option<Instant>,
}

impl RunningWork {
    /// Takes a slot, or returns nothing when all slots are busy.
    pub(super) fn begin(shared: &Arc<Shared>, headers: &HeaderMap) -> Option<RunningWork> {
        let execution = Execution {
            request_id: text(headers, "fescuemux-request-id"),
            idempotency_key: text(headers, "idempotency-key"),
            tag: text(headers, super::TAG_HEADER),
            started: Instant::now(),
            finished: None,
            canceled: false,
        };
        let index = shared.begin(execution)?;
        Some(RunningWork { shared: Arc::clone(shared), index, finished: None })
    }

    pub(super) fn finish(mut self) {
        self.finished = Some(Instant::now());
    }
}

impl Drop for RunningWork {
    fn drop(&mut self) {
        self.shared.end(self.index, self.finished);
    }
}

/// Returns a header value as text when it is present and visible ASCII.
pub(super) fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}
