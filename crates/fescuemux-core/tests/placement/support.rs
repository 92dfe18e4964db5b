//! Values shared by several tests.

use fescuemux_core::placement::{
    AdmissionController, AttemptKind, Departure, LoadReport, Readiness, RetryLimits, ServerPhase,
    ServerReport, SlotRequest,
};
use std::time::{Duration, Instant};

/// Retry limits of the users' small sites.
pub(crate) const LIMITS: RetryLimits =
    RetryLimits { ratio: 0.2, slack: 58.0, window: Duration::from_secs(10) };

/// Returns a duration in milliseconds.
pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a report of a ready server with four slots.
pub(crate) fn report(id: &str, incarnation: u64, seq: u64) -> ServerReport {
    ServerReport {
        id: id.into(),
        incarnation,
        service: "orders".into(),
        addr: ([127, 0, 0, 1], 9000).into(),
        slots: 4,
        phase: ServerPhase::Ready,
        cold_left: Duration::ZERO,
        seq,
    }
}

/// Returns a controller with a ready server.
pub(crate) fn controller_with_server(now: Instant) -> AdmissionController {
    let mut controller = AdmissionController::new(now, LIMITS);
    controller.on_report(now, report("server-1", 1, 1));
    controller
}

/// Returns a top-level request with an objective of 1.5 s and a deadline of 3 s.
pub(crate) fn slot_request(now: Instant) -> SlotRequest {
    SlotRequest {
        priority: 1,
        idempotent: false,
        nested: false,
        tie_breaker: 0,
        share: None,
        attempt: AttemptKind::First,
        route_hash: 7,
        deadline: now + ms(3_000),
        objective: now + ms(1_500),
        expected_running_time: ms(400),
        may_queue: true,
    }
}

/// Returns the load report of an unused server.
pub(crate) fn load_report() -> LoadReport {
    LoadReport {
        readiness: Readiness::Open,
        slots: 4,
        used_slots: 0,
        queued: 0,
        expected_wait: Duration::ZERO,
        expected_running_time: ms(400),
        failure_probability: 0.02,
        shed_probability: 0.0,
    }
}

/// Returns the departure of a server in this incarnation and all earlier ones.
pub(crate) fn departure(server: &str, incarnation: u64) -> Departure {
    Departure { server: server.into(), incarnation }
}
