//! Counters of bytes, messages and CPU time.

use std::time::{Duration, Instant};

/// Length of the windows over which the peak traffic of a node is measured. A window ends with the
/// first traffic after this time.
const PEAK_WINDOW: Duration = Duration::from_secs(10);

/// Counters of one measurement. Bytes are counted at the sender and at the receiver.
#[derive(Clone, Debug)]
pub struct TrafficMeter {
    measured_since: Instant,
    window_start: Instant,
    /// Bytes of each node in the current window.
    window_bytes: Vec<u64>,
    /// Bytes of each node since the start of the measurement.
    node_totals: Vec<u64>,
    /// Highest number of bytes of one node in one window.
    peak_window_bytes: u64,
    messages: u64,
    cpu_at_start: Duration,
}

/// Traffic of one measurement.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// Bytes/s that a node sends and receives, averaged over all nodes and the whole time.
    pub mean_bytes_per_s: f64,
    /// Bytes/s that the busiest node sends and receives, averaged over the whole time.
    pub max_bytes_per_s: f64,
    /// Bytes/s that one node sends and receives at most, averaged over 10 s.
    pub peak_bytes_per_s: f64,
    /// Messages/s that a node sends, averaged over all nodes.
    pub messages_per_s: f64,
    /// CPU time of this thread in microseconds per node and second of virtual time.
    pub cpu_us_per_s: f64,
}

impl TrafficMeter {
    pub(super) fn new(nodes: usize, now: Instant) -> TrafficMeter {
        TrafficMeter {
            measured_since: now,
            window_start: now,
            window_bytes: vec![0; nodes],
            node_totals: vec![0; nodes],
            peak_window_bytes: 0,
            messages: 0,
            cpu_at_start: thread_cpu_time(),
        }
    }

    pub(super) fn count_bytes(&mut self, now: Instant, node: usize, bytes: usize) {
        if now >= self.window_start + PEAK_WINDOW {
            self.finish_window(now);
        }
        self.window_bytes[node] += bytes as u64;
        self.node_totals[node] += bytes as u64;
    }

    pub(super) fn count_message(&mut self) {
        self.messages += 1;
    }

    /// Returns the traffic from the start of the measurement to `now`.
    pub(super) fn traffic(&mut self, now: Instant) -> Traffic {
        self.finish_window(now);
        let secs = (now - self.measured_since).as_secs_f64();
        let nodes = self.node_totals.len() as f64;
        let node_secs = nodes * secs;
        Traffic {
            mean_bytes_per_s: self.node_totals.iter().sum::<u64>() as f64 / node_secs,
            max_bytes_per_s: self.node_totals.iter().copied().max().unwrap_or(0) as f64 / secs,
            peak_bytes_per_s: self.peak_window_bytes as f64 / PEAK_WINDOW.as_secs_f64(),
            messages_per_s: self.messages as f64 / node_secs,
            cpu_us_per_s: (thread_cpu_time() - self.cpu_at_start).as_secs_f64() * 1e6 / node_secs,
        }
    }

    fn finish_window(&mut self, now: Instant) {
        let busiest = self.window_bytes.iter().copied().max().unwrap_or(0);
        self.peak_window_bytes = self.peak_window_bytes.max(busiest);
        self.window_bytes.fill(0);
        self.window_start = now;
    }
}

/// Returns the CPU time of the current thread, as counted by the kernel.
///
/// # Panics
///
/// Panics on a system without `/proc/thread-self/schedstat`.
pub fn thread_cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").expect("runs on Linux");
    let nanos = text.split(' ').next().and_then(|n| n.parse().ok());
    Duration::from_nanos(nanos.expect("the first field is the time in nanoseconds"))
}
