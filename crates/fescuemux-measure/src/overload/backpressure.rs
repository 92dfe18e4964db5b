//! Two thresholds against a plain bound, for streams and for the queue of a guard.
//!
//! A stream runs from a source through a buffer to a slower sink with pauses. Under the plain
//! bound the source may have a fixed number of chunks under way or buffered. Under two
//! thresholds it is told to stop when the buffer reaches the first and to go on when the buffer
//! is back at the second. What the buffer tells the source arrives after the one-way latency.

use crate::overload::{Fault, Policy, QueuePolicy, storm};
use fescuemux_core::base::Rng;
use rand::{Rng as _, SeedableRng};
use serde::Serialize;
use std::collections::VecDeque;

/// Flow control of a stream, in chunks.
#[derive(Clone, Copy, Debug)]
pub enum FlowControl {
    /// At most so many chunks under way or buffered.
    Bound(usize),
    /// Blocks at the first and unblocks at the second number of buffered chunks.
    Thresholds(usize, usize),
}

/// Result of one stream.
#[derive(Clone, Debug, Serialize)]
pub struct StreamRow {
    /// Flow control.
    pub control: String,
    /// One-way latency in milliseconds.
    pub latency_ms: f64,
    /// Throughput as a share of what the sink can take.
    pub throughput: f64,
    /// Most buffered data in KiB.
    pub peak_kib: usize,
    /// Times that the source was stopped.
    pub stops: usize,
}

/// Result of a guard's queue under overload.
#[derive(Clone, Debug, Serialize)]
pub struct QueueRow {
    /// Bound of the queue.
    pub queue: &'static str,
    /// Seed.
    pub seed: u64,
    /// Share of requests in time while half of the capacity is gone.
    pub goodput_in_fault: f64,
    /// Seconds from the return of the capacity until goodput stays at 95%.
    pub recovery_s: Option<usize>,
}

const CHUNK_KIB: usize = 16;
const SOURCE_MS: f64 = 0.16;
const SINK_MS: f64 = 0.32;
const PAUSE_MS: f64 = 20.0;
const PAUSE_EVERY: usize = 100;
const CHUNKS: usize = 50_000;

struct Stream {
    control: FlowControl,
    latency: f64,
    rng: Rng,
    /// Arrival times at the buffer of chunks under way.
    under_way: VecDeque<f64>,
    /// Times at which the source learns that a chunk was taken.
    credits: VecDeque<f64>,
    /// Times at which the source learns to stop (true) or to go on.
    signals: VecDeque<(f64, bool)>,
    stopped: bool,
    blocked: bool,
    outstanding: usize,
    buffered: usize,
    peak: usize,
    stops: usize,
}

/// Runs 50,000 chunks of 16 KiB through a sink that takes about 31 MB/s.
pub fn measure_stream(control: FlowControl, latency_ms: f64) -> StreamRow {
    let mut stream = Stream {
        control,
        latency: latency_ms,
        rng: Rng::seed_from_u64(1),
        under_way: VecDeque::new(),
        credits: VecDeque::new(),
        signals: VecDeque::new(),
        stopped: false,
        blocked: false,
        outstanding: 0,
        buffered: 0,
        peak: 0,
        stops: 0,
    };
    let (time, busy) = stream.run();
    StreamRow {
        control: format!("{control:?}"),
        latency_ms,
        throughput: busy / time,
        peak_kib: stream.peak * CHUNK_KIB,
        stops: stream.stops,
    }
}

impl Stream {
    /// Returns the time of the run and the time that the sink needs at least.
    fn run(&mut self) -> (f64, f64) {
        let (mut emit, mut sink, mut taken, mut busy) = (0.0_f64, 0.0_f64, 0, 0.0);
        while taken < CHUNKS {
            let arrival = self.under_way.front().copied().unwrap_or(f64::INFINITY);
            if arrival <= sink && arrival <= emit {
                self.under_way.pop_front();
                self.arrive(arrival);
            } else if emit <= sink || self.buffered == 0 {
                emit = self.emit(emit);
                sink = if self.buffered == 0 { sink.max(emit.min(arrival)) } else { sink };
            } else {
                let time = self.take(sink, taken);
                busy += time;
                sink += time;
                taken += 1;
            }
        }
        (sink, busy)
    }

    fn arrive(&mut self, now: f64) {
        self.buffered += 1;
        self.peak = self.peak.max(self.buffered);
        if let FlowControl::Thresholds(block, _) = self.control
            && !self.blocked
            && self.buffered >= block
        {
            self.blocked = true;
            self.stops += 1;
            self.signals.push_back((now + self.latency, true));
        }
    }

    /// Sends a chunk if the source may, and returns the time to try again.
    fn emit(&mut self, now: f64) -> f64 {
        while self.credits.front().is_some_and(|at| *at <= now) {
            self.credits.pop_front();
            self.outstanding -= 1;
        }
        while self.signals.front().is_some_and(|(at, _)| *at <= now) {
            self.stopped = self.signals.pop_front().is_some_and(|(_, stop)| stop);
        }
        let may_send = match self.control {
            FlowControl::Bound(bound) => self.outstanding < bound,
            FlowControl::Thresholds(..) => !self.stopped,
        };
        if may_send {
            self.outstanding += 1;
            self.under_way.push_back(now + self.latency);
        }
        now + SOURCE_MS
    }

    /// Starts to write a chunk and returns the time that it takes.
    fn take(&mut self, now: f64, taken: usize) -> f64 {
        self.buffered -= 1;
        self.credits.push_back(now + self.latency);
        if let FlowControl::Thresholds(_, unblock) = self.control
            && self.blocked
            && self.buffered <= unblock
        {
            self.blocked = false;
            self.signals.push_back((now + self.latency, false));
        }
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let pause = if taken.is_multiple_of(PAUSE_EVERY) { PAUSE_MS } else { 0.0 };
        -uniform.ln() * SINK_MS + pause
    }
}

/// Runs half speed at twice the load with a queue of the same length under both bounds.
pub fn measure_queue(queue: QueuePolicy, name: &'static str, seed: u64) -> QueueRow {
    let policy = Policy { name, queue, ..Policy::CORE };
    let row = storm::measure_half_capacity(storm::SIZES[0], Fault::HalfSpeed, policy, seed);
    QueueRow {
        queue: name,
        seed,
        goodput_in_fault: row.goodput_in_fault,
        recovery_s: row.recovery_s,
    }
}
