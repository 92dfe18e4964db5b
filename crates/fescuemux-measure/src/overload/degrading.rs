//! Measures the adaptive concurrency limit on a backend server that slows down with concurrency.

use fescuemux_core::admit::{
    AdaptiveLimit, AdaptiveLimitConfig, DeadlineQueue, LimitSample, QueueConfig, QueuedRequest,
    Slots,
};
use fescuemux_core::base::Cx;
use rand::Rng;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// Result of one phase.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Kind of limit: adaptive or fixed.
    pub limit: &'static str,
    /// Name of the phase.
    pub phase: &'static str,
    /// Seed of the run.
    pub seed: u64,
    /// Share of requests answered in time.
    pub goodput: f64,
    /// Mean of the limit in force at each request.
    pub mean_limit: f64,
}

const SLOTS: u32 = 4;
const SERVICE_TIME: Duration = Duration::from_millis(25);
const DEADLINE: Duration = Duration::from_secs(1);
/// Requests per second: less than half of the healthy server's capacity, but more than the degraded
/// server completes with all slots in use.
const REQUEST_RATE: f64 = 70.0;
/// Concurrency up to which the degraded server does not slow down. Beyond this value, service times
/// grow with the square of the concurrency.
const DEGRADED_CONCURRENCY: f64 = 2.0;
/// Name of each phase, its length in seconds, and whether the server is degraded.
const PHASES: [(&str, u64, bool); 3] =
    [("healthy", 120, false), ("degraded", 120, true), ("recovered", 120, false)];

struct Server {
    cx: Cx,
    start: Instant,
    adaptive: Option<AdaptiveLimit>,
    slots: Slots<()>,
    /// Queued requests with their times of arrival.
    queue: DeadlineQueue<Duration>,
    /// End, permit, start and arrival of each running request.
    running: BinaryHeap<Reverse<(Duration, u64, Duration, Duration)>>,
    degraded: bool,
    answered_in_time: u64,
}

/// Runs the three phases with the adaptive or the fixed limit.
pub fn measure(adaptive: bool, seed: u64) -> Vec<Row> {
    let start = Instant::now();
    let cfg = QueueConfig { initial_service_time: SERVICE_TIME, ..QueueConfig::default() };
    let mut server = Server {
        cx: Cx::new(start, seed),
        start,
        adaptive: adaptive.then(|| AdaptiveLimit::new(AdaptiveLimitConfig::new(SLOTS))),
        slots: Slots::new(SLOTS),
        queue: DeadlineQueue::new(cfg),
        running: BinaryHeap::new(),
        degraded: false,
        answered_in_time: 0,
    };
    let limit = if adaptive { "adaptive" } else { "fixed" };
    let mut now = Duration::ZERO;
    let mut rows = vec![];
    for (phase, seconds, degraded) in PHASES {
        server.degraded = degraded;
        let end = now + Duration::from_secs(seconds);
        let (mut requests, mut limit_sum) = (0_u64, 0.0);
        server.answered_in_time = 0;
        while now < end {
            now += exponential(&mut server.cx, 1.0 / REQUEST_RATE);
            server.finish_requests_until(now);
            requests += 1;
            limit_sum += f64::from(server.slots.limit());
            server.on_request(now, requests);
        }
        let goodput = server.answered_in_time as f64 / requests as f64;
        rows.push(Row { limit, phase, seed, goodput, mean_limit: limit_sum / requests as f64 });
    }
    rows
}

impl Server {
    fn on_request(&mut self, now: Duration, id: u64) {
        self.cx.now = self.start + now;
        let request = QueuedRequest {
            id: u128::from(id),
            caller: "caller".into(),
            priority: 0,
            cost: 1,
            deadline: self.cx.now + DEADLINE,
            item: now,
        };
        // A refused request is not counted as answered in time.
        let _ = self.queue.push(&mut self.cx, self.slots.limit(), request);
        self.start_next(now);
    }

    fn finish_requests_until(&mut self, now: Duration) {
        while let Some(Reverse((at, permit, started, arrived))) = self.running.peek().copied() {
            if at > now {
                return;
            }
            self.running.pop();
            self.cx.now = self.start + at;
            self.record_sample(at - started);
            self.slots.release(permit);
            self.queue.record_service_time(at - started);
            self.answered_in_time += u64::from(at <= arrived + DEADLINE);
            self.start_next(at);
        }
    }

    fn record_sample(&mut self, latency: Duration) {
        let Some(adaptive) = &mut self.adaptive else {
            return;
        };
        // Median of the exponentially distributed service time of a healthy server.
        let baseline = SERVICE_TIME.mul_f64(std::f64::consts::LN_2);
        let in_flight = self.slots.busy();
        let sample = LimitSample { latency, baseline, in_flight, overloaded: false };
        adaptive.on_sample(&mut self.cx, &sample);
        self.slots.set_limit(adaptive.limit());
    }

    fn start_next(&mut self, now: Duration) {
        let mut expired = vec![];
        while self.slots.free() > 0 {
            let Some(next) = self.queue.pop(&mut self.cx, &mut expired) else {
                return;
            };
            let Some(permit) = self.slots.acquire(()) else {
                return;
            };
            let concurrency_ratio = f64::from(self.slots.busy()) / DEGRADED_CONCURRENCY;
            let slowdown = if self.degraded { concurrency_ratio.max(1.0).powi(2) } else { 1.0 };
            let time = exponential(&mut self.cx, SERVICE_TIME.as_secs_f64() * slowdown);
            self.running.push(Reverse((now + time, permit, now, next.item)));
        }
    }
}

fn exponential(cx: &mut Cx, mean: f64) -> Duration {
    let uniform: f64 = cx.rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() * mean)
}
