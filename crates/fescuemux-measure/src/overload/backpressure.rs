//! Compares flow control by a fixed bound with flow control by two thresholds, for streams and for
//! a guard's queue.
//!
//! A stream runs from a source through a buffer to a slower sink that pauses at times. With a
//! bound, the source may have a fixed number of chunks in flight or buffered. With thresholds, the
//! buffer signals the source to stop when its length reaches the first threshold, and to resume
//! when its length is down to the second. Signals reach the source after the one-way latency.

use crate::overload::{Fault, Policy, QueuePolicy, storm};
use fescuemux_core::base::Rng;
use rand::{Rng as _, SeedableRng};
use serde::Serialize;
use std::collections::VecDeque;

/// Flow control of a stream, in chunks.
#[derive(Clone, Copy, Debug)]
pub enum FlowControl {
    /// Limits the number of chunks that are in flight or buffered.
    Bound(usize),
    /// Blocks at the first number of buffered chunks and unblocks at the second.
    Thresholds(usize, usize),
}

/// Result of one stream measurement.
#[derive(Clone, Debug, Serialize)]
pub struct StreamRow {
    /// Flow control with its number or numbers of chunks.
    pub control: String,
    /// One-way latency in milliseconds.
    pub latency_ms: f64,
    /// Throughput as a share of the sink's maximum.
    pub throughput: f64,
    /// Peak of the buffered data in KiB.
    pub peak_kib: usize,
    /// Number of signals to stop that the buffer sent.
    pub stops: usize,
}

/// Result of one measurement of a guard's queue under overload.
#[derive(Clone, Debug, Serialize)]
pub struct QueueRow {
    /// Name of the queue policy.
    pub queue: &'static str,
    /// Seed of the run.
    pub seed: u64,
    /// Share of requests answered in time while half of the capacity is lost.
    pub goodput_in_fault: f64,
    /// Seconds from the return of the capacity until goodput stays at 95% or above; `None` if it
    /// never does.
    pub recovery_s: Option<usize>,
}

const CHUNK_KIB: usize = 16;
/// Time between two attempts of the source to send a chunk.
const SOURCE_INTERVAL_MS: f64 = 0.16;
/// Mean time that the sink takes to write a chunk, without pauses.
const MEAN_WRITE_MS: f64 = 0.32;
const SINK_PAUSE_MS: f64 = 20.0;
const CHUNKS_PER_PAUSE: usize = 100;
const CHUNKS: usize = 50_000;

struct Stream {
    control: FlowControl,
    one_way_ms: f64,
    rng: Rng,
    /// Times at which the chunks in flight arrive at the buffer.
    in_flight: VecDeque<f64>,
    /// Times at which the source learns that the sink has taken a chunk.
    credit_times: VecDeque<f64>,
    /// Times at which the source receives signals to stop (true) or resume (false).
    signals: VecDeque<(f64, bool)>,
    /// Whether the last signal that the source received was to stop.
    source_stopped: bool,
    /// Whether the last signal that the buffer sent was to stop.
    blocked: bool,
    /// Chunks that were sent and that the sink, as far as the source knows, has not taken.
    outstanding: usize,
    buffered: usize,
    peak_chunks: usize,
    stops: usize,
}

/// Sends 50,000 chunks of 16 KiB to a sink that writes about 31 MB/s.
pub fn measure_stream(control: FlowControl, latency_ms: f64) -> StreamRow {
    let mut stream = Stream {
        control,
        one_way_ms: latency_ms,
        rng: Rng::seed_from_u64(1),
        in_flight: VecDeque::new(),
        credit_times: VecDeque::new(),
        signals: VecDeque::new(),
        source_stopped: false,
        blocked: false,
        outstanding: 0,
        buffered: 0,
        peak_chunks: 0,
        stops: 0,
    };
    let (time, busy_time) = stream.run();
    StreamRow {
        control: format!("{control:?}"),
        latency_ms,
        throughput: busy_time / time,
        peak_kib: stream.peak_chunks * CHUNK_KIB,
        stops: stream.stops,
    }
}

impl Stream {
    /// Returns the duration of the run and the time that the sink was busy or paused, in
    /// milliseconds.
    fn run(&mut self) -> (f64, f64) {
        let (mut next_send, mut sink_free_at, mut written, mut busy_time) =
            (0.0_f64, 0.0_f64, 0, 0.0);
        while written < CHUNKS {
            let arrival = self.in_flight.front().copied().unwrap_or(f64::INFINITY);
            if arrival <= sink_free_at && arrival <= next_send {
                self.in_flight.pop_front();
                self.on_arrival(arrival);
            } else if next_send <= sink_free_at || self.buffered == 0 {
                next_send = self.try_send(next_send);
                sink_free_at = if self.buffered == 0 {
                    sink_free_at.max(next_send.min(arrival))
                } else {
                    sink_free_at
                };
            } else {
                let time = self.start_write(sink_free_at, written);
                busy_time += time;
                sink_free_at += time;
                written += 1;
            }
        }
        (sink_free_at, busy_time)
    }

    fn on_arrival(&mut self, now: f64) {
        self.buffered += 1;
        self.peak_chunks = self.peak_chunks.max(self.buffered);
        if let FlowControl::Thresholds(block, _) = self.control
            && !self.blocked
            && self.buffered >= block
        {
            self.blocked = true;
            self.stops += 1;
            self.signals.push_back((now + self.one_way_ms, true));
        }
    }

    /// Sends a chunk if flow control permits, and returns the time of the next attempt.
    fn try_send(&mut self, now: f64) -> f64 {
        while self.credit_times.front().is_some_and(|at| *at <= now) {
            self.credit_times.pop_front();
            self.outstanding -= 1;
        }
        while self.signals.front().is_some_and(|(at, _)| *at <= now) {
            self.source_stopped = self.signals.pop_front().is_some_and(|(_, stop)| stop);
        }
        let may_send = match self.control {
            FlowControl::Bound(bound) => self.outstanding < bound,
            FlowControl::Thresholds(..) => !self.source_stopped,
        };
        if may_send {
            self.outstanding += 1;
            self.in_flight.push_back(now + self.one_way_ms);
        }
        now + SOURCE_INTERVAL_MS
    }

    /// Starts to write a chunk and returns the duration of the write in milliseconds.
    fn start_write(&mut self, now: f64, written: usize) -> f64 {
        self.buffered -= 1;
        self.credit_times.push_back(now + self.one_way_ms);
        if let FlowControl::Thresholds(_, unblock) = self.control
            && self.blocked
            && self.buffered <= unblock
        {
            self.blocked = false;
            self.signals.push_back((now + self.one_way_ms, false));
        }
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let pause = if written.is_multiple_of(CHUNKS_PER_PAUSE) { SINK_PAUSE_MS } else { 0.0 };
        -uniform.ln() * MEAN_WRITE_MS + pause
    }
}

/// Measures a guard's queue in a run with 20 s at the ordinary load, 30 s with half of the service
/// speed at twice that load, and 60 s with the whole speed at twice that load.
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
