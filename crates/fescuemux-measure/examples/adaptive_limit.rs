//! Compares the adaptive limit with a fixed limit on a server that slows down: `cargo run --release
//! -p fescuemux-measure --example adaptive_limit`.

use fescuemux_measure::overload::{degrading, report};

fn main() -> anyhow::Result<()> {
    let mut rows = vec![];
    for adaptive in [false, true] {
        rows.extend((1..=3).flat_map(|seed| degrading::measure(adaptive, seed)));
    }
    report::print("server that slows down with more than 2 of 4 requests", &rows)
}
