//! Compares methods of dividing a caller's rate limit between daemons: `cargo run --release -p
//! fescuemux-measure --example caller_limits`.

use fescuemux_measure::overload::callers::{Division, measure};
use fescuemux_measure::overload::report;

fn main() -> anyhow::Result<()> {
    let mut rows = vec![];
    for offered in [0.8, 3.0] {
        for used in [1, 10, 540] {
            for division in [Division::Whole, Division::Equal, Division::Demand] {
                rows.push(measure(division, used, offered, 1));
            }
        }
    }
    report::print("admitted share of a caller's limit, 540 daemons", &rows)
}
