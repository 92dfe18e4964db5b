//! State of one backend server at its guard.

use super::lease::QueueOutcome;
use fescuemux_core::admit::{DeadlineQueue, Slots};
use fescuemux_core::base::{Cx, Phase, RequestId};
use fescuemux_core::detect::Detector;
use fescuemux_core::eject::{Action, HealthTracker};
use fescuemux_wire::announce::Announcement;
use std::time::{Duration, Instant};

/// Age of the last announcement above which a server gets no new requests. A guard that was paused
/// may process a request before it processes the announcement that the server drains, and a server
/// must not get new requests more than 2 s after it began to drain.
const MAX_ANNOUNCEMENT_AGE: Duration = Duration::from_secs(2);

/// State of one backend server at its guard.
#[derive(Debug)]
pub(super) struct ServerState {
    pub(super) announcement: Announcement,
    pub(super) last_announced: Instant,
    pub(super) detector: Detector,
    pub(super) health: HealthTracker,
    pub(super) slots: Slots<RequestId>,
    pub(super) queue: DeadlineQueue<flume::Sender<QueueOutcome>>,
    /// Maximum number of slots that were busy at the same time.
    pub(super) peak_busy: u32,
}

impl ServerState {
    /// Passes the detector's current assessment to the health tracker and returns the actions that
    /// follow.
    pub(super) fn assess(&mut self, cx: &mut Cx) -> Vec<Action> {
        let assessment = self.detector.assess(cx);
        self.health.on_assessment(cx, &assessment)
    }

    /// Returns the reason for which the server gets no new requests, regardless of its health, or
    /// `None` if it may get requests.
    pub(super) fn unavailable_reason(&self, cx: &Cx) -> Option<&'static str> {
        if self.announcement.phase == Phase::Draining {
            return Some("the server is draining");
        }
        let age = cx.now.saturating_duration_since(self.last_announced);
        (age > MAX_ANNOUNCEMENT_AGE).then_some("the server has not announced itself lately")
    }

    /// Rejects all queued requests as not run.
    pub(super) fn reject_queued(&mut self) {
        while let Some(queued_request) = self.queue.pop_any() {
            let _ = queued_request.item.send(QueueOutcome::Draining);
        }
    }

    /// Grants free slots to queued requests that can still finish in time. Rejects all queued
    /// requests if the server gets no new requests.
    pub(super) fn grant_free_slots(&mut self, cx: &mut Cx) {
        if self.unavailable_reason(cx).is_some() {
            self.reject_queued();
            return;
        }
        while self.slots.free() > 0 {
            let mut expired = Vec::new();
            let next = self.queue.pop(cx, &mut expired);
            for expired_request in expired {
                let _ = expired_request.item.send(QueueOutcome::Expired);
            }
            let Some(next) = next else { return };
            let Some(permit) = self.slots.acquire(next.id) else { return };
            self.peak_busy = self.peak_busy.max(self.slots.busy());
            if next.item.send(QueueOutcome::Slot(permit)).is_err() {
                self.slots.release(permit);
            }
        }
    }
}
