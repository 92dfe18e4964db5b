//! Compares latencies with and without hedging: `cargo run --release -p fescuemux-measure --example
//! hedging`.

use fescuemux_measure::overload::{Fault, hedging, report};

fn main() -> anyhow::Result<()> {
    let mut rows = vec![];
    for fault in [Fault::None, Fault::OneSlow] {
        for load in [0.3, 0.6, 0.8] {
            for policy in hedging::POLICIES {
                rows.extend((1..=2).map(|seed| hedging::measure(fault, load, policy, seed)));
            }
        }
    }
    report::print("latency of reads, one of ten servers five times slower or none", &rows)
}
