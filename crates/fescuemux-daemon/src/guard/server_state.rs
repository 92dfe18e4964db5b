//! Decision parts of one backend server.

use super::lease::Grant;
use fescuemux_core::admit::{DeadlineQueue, Slots};
use fescuemux_core::base::{Cx, Phase, RequestId};
use fescuemux_core::detect::Detector;
use fescuemux_core::eject::{Action, HealthTracker};
use fescuemux_wire::announce::Announcement;
use std::time::{Duration, Instant};

/// Age of an announcement from which it no longer counts. A guard that was paused may hold a request
/// ahead of the news that its server drains, which must not get new work after 2 s.
const ANNOUNCEMENT_AGE: Duration = Duration::from_secs(2);

/// Decision parts of one server.
#[derive(Debug)]
pub(super) struct ServerState {
    pub(super) announcement: Announcement,
    pub(super) announced: Instant,
    pub(super) detector: Detector,
    pub(super) health: HealthTracker,
    pub(super) slots: Slots<RequestId>,
    pub(super) queue: DeadlineQueue<flume::Sender<Grant>>,
    pub(super) peak_busy: u32,
}

impl ServerState {
    pub(super) fn assess(&mut self, cx: &mut Cx) -> Vec<Action> {
        let assessment = self.detector.assess(cx);
        self.health.on_assessment(cx, &assessment)
    }

    /// Returns why the server gets no new work whatever its health.
    pub(super) fn unannounced_reason(&self, cx: &Cx) -> Option<&'static str> {
        if self.announcement.phase == Phase::Draining {
            return Some("the server is draining");
        }
        let age = cx.now.saturating_duration_since(self.announced);
        (age > ANNOUNCEMENT_AGE).then_some("the server has not announced itself lately")
    }

    /// Answers all waiting requests as not run.
    pub(super) fn refuse_waiting(&mut self) {
        while let Some(waiting) = self.queue.pop_any() {
            let _ = waiting.item.send(Grant::Draining);
        }
    }

    pub(super) fn grant_free_slots(&mut self, cx: &mut Cx) {
        if self.unannounced_reason(cx).is_some() {
            self.refuse_waiting();
            return;
        }
        while self.slots.free() > 0 {
            let mut expired = Vec::new();
            let next = self.queue.pop(cx, &mut expired);
            for late in expired {
                let _ = late.item.send(Grant::Expired);
            }
            let Some(next) = next else { return };
            let Some(permit) = self.slots.acquire(next.id) else { return };
            self.peak_busy = self.peak_busy.max(self.slots.busy());
            if next.item.send(Grant::Slot(permit)).is_err() {
                self.slots.release(permit);
            }
        }
    }
}
