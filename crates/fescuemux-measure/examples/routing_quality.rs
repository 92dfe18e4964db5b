//! Compares routing policies: `cargo run --release -p fescuemux-measure --example
//! routing_quality [seeds]`.

use fescuemux_measure::overload::{report, routing};

fn main() -> anyhow::Result<()> {
    let seeds: u64 = std::env::args().nth(1).map_or(Ok(1), |text| text.parse())?;
    let mut rows = vec![];
    for size in routing::SIZES {
        for load in [0.5, 0.7, 0.9] {
            for policy in routing::POLICIES {
                rows.extend((1..=seeds).map(|seed| routing::measure(size, load, policy, seed)));
            }
        }
    }
    report::print("wait for a slot", &rows)
}
