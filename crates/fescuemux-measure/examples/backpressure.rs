//! Compares flow control by two thresholds with a fixed bound: `cargo run --release -p
//! fescuemux-measure --example backpressure`.

use fescuemux_measure::overload::QueuePolicy;
use fescuemux_measure::overload::backpressure::{FlowControl, measure_queue, measure_stream};
use fescuemux_measure::overload::report;

const CONTROLS: [FlowControl; 9] = [
    FlowControl::Bound(16),
    FlowControl::Bound(32),
    FlowControl::Bound(64),
    FlowControl::Bound(128),
    FlowControl::Thresholds(16, 8),
    FlowControl::Thresholds(32, 16),
    FlowControl::Thresholds(64, 32),
    FlowControl::Thresholds(64, 56),
    FlowControl::Thresholds(64, 8),
];

const QUEUES: [(QueuePolicy, &str); 3] = [
    (QueuePolicy::Deadline, "bound 16"),
    (QueuePolicy::Thresholds(16, 14), "block 16, unblock 14"),
    (QueuePolicy::Thresholds(16, 8), "block 16, unblock 8"),
];

fn main() -> anyhow::Result<()> {
    let latencies = [1.0, 10.0];
    let streams: Vec<_> = latencies
        .iter()
        .flat_map(|ms| CONTROLS.map(|control| measure_stream(control, *ms)))
        .collect();
    report::print("streams", &streams)?;
    let queues: Vec<_> = QUEUES
        .iter()
        .flat_map(|(policy, name)| (1..=3).map(|seed| measure_queue(*policy, name, seed)))
        .collect();
    report::print("queue of a guard, half speed at twice the load", &queues)
}
