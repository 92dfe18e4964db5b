//! One backend server that slows down with concurrency, with and without the adaptive limit.

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
    /// Limit in use.
    pub limit: &'static str,
    /// Phase.
    pub phase: &'static str,
    /// Seed.
    pub seed: u64,
    /// Share of requests in time.
    pub goodput: f64,
    /// Mean limit over the requests.
    pub mean_limit: f64,
}

const SLOTS: u32 = 4;
const SERVICE: Duration = Duration::from_millis(25);
const DEADLINE: Duration = Duration::from_secs(1);
/// Requests per second: below half of what the healthy server does, above what the degraded
/// one does with all slots in use.
const RATE: f64 = 70.0;
/// Requests that the degraded server runs without slowing down; above it, times grow with the
/// square of the concurrency.
const DEGRADED_CONCURRENCY: f64 = 2.0;
const PHASES: [(&str, u64, bool); 3] =
    [("healthy", 120, false), ("degraded", 120, true), ("recovered", 120, false)];

struct Server {
    cx: Cx,
    start: Instant,
    adaptive: Option<AdaptiveLimit>,
    slots: Slots<()>,
    queue: DeadlineQueue<Duration>,
    running: BinaryHeap<Reverse<(Duration, u64, Duration, Duration)>>,
    degraded: bool,
    good: u64,
}

/// Runs the three phases.
pub fn measure(adaptive: bool, seed: u64) -> Vec<Row> {
    let start = Instant::now();
    let cfg = QueueConfig { initial_service_time: SERVICE, ..QueueConfig::default() };
    let mut server = Server {
        cx: Cx::new(start, seed),
        start,
        adaptive: adaptive.then(|| AdaptiveLimit::new(AdaptiveLimitConfig::new(SLOTS))),
        slots: Slots::new(SLOTS),
        queue: DeadlineQueue::new(cfg),
        running: BinaryHeap::new(),
        degraded: false,
        good: 0,
    };
    let limit = if adaptive { "adaptive" } else { "fixed" };
    let mut now = Duration::ZERO;
    let mut rows = vec![];
    for (phase, seconds, degraded) in PHASES {
        server.degraded = degraded;
        let end = now + Duration::from_secs(seconds);
        let (mut requests, mut limits) = (0_u64, 0.0);
        server.good = 0;
        while now < end {
            now += exponential(&mut server.cx, 1.0 / RATE);
            server.finish_until(now);
            requests += 1;
            limits += f64::from(server.slots.limit());
            server.arrive(now, requests);
        }
        let goodput = server.good as f64 / requests as f64;
        rows.push(Row { limit, phase, seed, goodput, mean_limit: limits / requests as f64 });
    }
    rows
}

impl Server {
    fn arrive(&mut self, now: Duration, id: u64) {
        self.cx.now = self.start + now;
        let waiting = QueuedRequest {
            id: u128::from(id),
            caller: "caller".into(),
            priority: 0,
            cost: 1,
            deadline: self.cx.now + DEADLINE,
            item: now,
        };
        // A refused request counts as not answered in time.
        let _ = self.queue.push(&mut self.cx, self.slots.limit(), waiting);
        self.start_next(now);
    }

    fn finish_until(&mut self, now: Duration) {
        while let Some(Reverse((at, permit, started, arrived))) = self.running.peek().copied() {
            if at > now {
                return;
            }
            self.running.pop();
            self.cx.now = self.start + at;
            self.sample(at - started);
            self.slots.release(permit);
            self.queue.record_service_time(at - started);
            self.good += u64::from(at <= arrived + DEADLINE);
            self.start_next(at);
        }
    }

    fn sample(&mut self, latency: Duration) {
        let Some(adaptive) = &mut self.adaptive else {
            return;
        };
        // The median of the exponential times of the other servers.
        let baseline = SERVICE.mul_f64(std::f64::consts::LN_2);
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
            let excess = f64::from(self.slots.busy()) / DEGRADED_CONCURRENCY;
            let slowness = if self.degraded { excess.max(1.0).powi(2) } else { 1.0 };
            let time = exponential(&mut self.cx, SERVICE.as_secs_f64() * slowness);
            self.running.push(Reverse((now + time, permit, now, next.item)));
        }
    }
}

fn exponential(cx: &mut Cx, mean: f64) -> Duration {
    let uniform: f64 = cx.rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() * mean)
}
