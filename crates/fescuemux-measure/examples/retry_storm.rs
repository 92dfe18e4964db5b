//! Runs the retry storm measurements: `cargo run --release -p fescuemux-measure --example
//! retry_storm [seeds [policy]]`.

use fescuemux_measure::overload::{Fault, report, storm};

fn main() -> anyhow::Result<()> {
    let seeds: u64 = std::env::args().nth(1).map_or(Ok(3), |text| text.parse())?;
    let only_policy = std::env::args().nth(2);
    let mut outages = vec![];
    let mut half_capacity = vec![];
    for size in storm::SIZES {
        for policy in storm::POLICIES {
            if only_policy.as_ref().is_some_and(|name| name != policy.name) {
                continue;
            }
            outages.extend((1..=seeds).map(|seed| storm::measure_outage(size, policy, seed)));
            for fault in [Fault::HalfDown, Fault::HalfSpeed] {
                half_capacity.extend(
                    (1..=seeds).map(|seed| storm::measure_half_capacity(size, fault, policy, seed)),
                );
            }
        }
    }
    report::print("total outage, 60 s", &outages)?;
    report::print("half capacity at twice the load, 30 s, then whole capacity", &half_capacity)
}
