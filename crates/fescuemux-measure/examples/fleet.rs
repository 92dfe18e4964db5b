//! Measures the control traffic of fleets of 60, 180 and 540 daemons, or of the given sizes.
//!
//! `cargo run --release -p fescuemux-measure --example fleet -- [nodes ...] [--json FILE]
//! [--only SCENARIO] [--seed NUMBER]` prints a table, linear fits over the fleet size and the
//! values extrapolated to larger sizes.

use anyhow::Context as _;
use fescuemux_measure::fleet::{
    Bounds, Row, Scenario, config_propagation, domain_lost, join_fleet, measure_memory,
    message_loss, print_rows, print_slopes, rack_lost, rack_paused, region_partition, steady_state,
};

const SERVERS_EACH: usize = 8;

const SCENARIOS: [(&str, Scenario); 7] = [
    ("steady", steady_state),
    ("rack", rack_lost),
    ("domain", domain_lost),
    ("pause", rack_paused),
    ("loss", message_loss),
    ("region", region_partition),
    ("config", config_propagation),
];

fn main() -> anyhow::Result<()> {
    let mut sizes = Vec::new();
    let mut json = None;
    let mut scenario_filter = None;
    let mut seed = 1;
    let mut args = std::env::args().skip(1);
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--json" => json = Some(args.next().context("--json needs a file")?),
            "--seed" => seed = args.next().context("--seed needs a number")?.parse()?,
            "--only" => {
                scenario_filter = Some(args.next().context("--only needs the name of a scenario")?)
            }
            size => sizes.push(size.parse::<usize>().context("fleet sizes must be whole numbers")?),
        }
    }
    if sizes.is_empty() {
        sizes = vec![60, 180, 540];
    }
    let memory = measure_memory(&sizes, SERVERS_EACH, seed);
    let mut rows: Vec<Row> = Vec::new();
    for nodes in &sizes {
        let (settled, join_rows) = join_fleet(*nodes, SERVERS_EACH, seed);
        rows.extend(join_rows);
        for (name, scenario) in SCENARIOS {
            if scenario_filter.as_ref().is_none_or(|o| o == name) {
                rows.extend(scenario(&settled));
            }
        }
    }
    rows.sort_by(|a, b| a.scenario.cmp(&b.scenario).then(a.nodes.cmp(&b.nodes)));
    print_rows(&rows);
    for (nodes, bytes) in &memory {
        println!("memory of a node at {nodes:.0}: {:.0} KiB", bytes / 1024.0);
    }
    print_slopes(&rows, &memory);
    for row in &rows {
        for violation in Bounds::TARGET.exceeded_by(row) {
            println!("exceeds the bounds: {} at {} nodes, {violation}", row.scenario, row.nodes);
        }
    }
    if let Some(file) = json {
        let value = serde_json::json!({
            "seed": seed,
            "servers_each": SERVERS_EACH,
            "bounds": Bounds::TARGET,
            "rows": rows,
            "memory_bytes": memory,
        });
        std::fs::write(&file, serde_json::to_string_pretty(&value)?)?;
    }
    Ok(())
}
