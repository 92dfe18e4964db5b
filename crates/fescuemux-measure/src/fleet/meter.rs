//! Counts of bytes, messages and processor time.

use std::time::{Duration, Instant};

/// Width of the windows in which the busiest node is searched.
const WINDOW: Duration = Duration::from_secs(10);

/// Bytes and messages since the last reset. Bytes count at the sender and at the receiver.
#[derive(Clone, Debug)]
pub struct TrafficMeter {
    since: Instant,
    window_from: Instant,
    window: Vec<u64>,
    totals: Vec<u64>,
    peak: u64,
    messages: u64,
    cpu: Duration,
}

/// Traffic of one measured time.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// Bytes/s of a node, sent and received, mean over all nodes and the whole time.
    pub mean_bytes_per_s: f64,
    /// Bytes/s of the busiest node over the whole time.
    pub max_bytes_per_s: f64,
    /// Bytes/s of the busiest node in its busiest 10 s.
    pub peak_bytes_per_s: f64,
    /// Messages/s sent by a node.
    pub messages_per_s: f64,
    /// Processor time in microseconds for each node and second.
    pub cpu_us_per_s: f64,
}

impl TrafficMeter {
    pub(super) fn new(nodes: usize, now: Instant) -> TrafficMeter {
        TrafficMeter {
            since: now,
            window_from: now,
            window: vec![0; nodes],
            totals: vec![0; nodes],
            peak: 0,
            messages: 0,
            cpu: thread_cpu_time(),
        }
    }

    pub(super) fn count(&mut self, now: Instant, node: usize, bytes: usize) {
        if now >= self.window_from + WINDOW {
            self.close_window(now);
        }
        self.window[node] += bytes as u64;
        self.totals[node] += bytes as u64;
    }

    pub(super) fn count_message(&mut self) {
        self.messages += 1;
    }

    /// Returns the traffic up to `now`.
    pub(super) fn traffic(&mut self, now: Instant) -> Traffic {
        self.close_window(now);
        let secs = (now - self.since).as_secs_f64();
        let nodes = self.totals.len() as f64;
        let node_secs = nodes * secs;
        Traffic {
            mean_bytes_per_s: self.totals.iter().sum::<u64>() as f64 / node_secs,
            max_bytes_per_s: self.totals.iter().copied().max().unwrap_or(0) as f64 / secs,
            peak_bytes_per_s: self.peak as f64 / WINDOW.as_secs_f64(),
            messages_per_s: self.messages as f64 / node_secs,
            cpu_us_per_s: (thread_cpu_time() - self.cpu).as_secs_f64() * 1e6 / node_secs,
        }
    }

    fn close_window(&mut self, now: Instant) {
        let busiest = self.window.iter().copied().max().unwrap_or(0);
        self.peak = self.peak.max(busiest);
        self.window.fill(0);
        self.window_from = now;
    }
}

/// Returns the processor time of this thread, as the kernel counts it.
///
/// # Panics
///
/// Panics on a system without `/proc/thread-self/schedstat`.
pub fn thread_cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").expect("runs on Linux");
    let nanos = text.split(' ').next().and_then(|n| n.parse().ok());
    Duration::from_nanos(nanos.expect("the first field is the time in nanoseconds"))
}
