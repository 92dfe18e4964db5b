//! Runs routing decisions whose instructions `scripts/route-cost` counts with callgrind:
//! `route_cost <servers> <services> <routes> <decisions>`.

use anyhow::Context;
use fescuemux_measure::overload::route_cost::{Ingress, TableSizes};

fn main() -> anyhow::Result<()> {
    let args: Vec<usize> =
        std::env::args().skip(1).map(|text| text.parse()).collect::<Result<_, _>>()?;
    let [servers, services, routes, decisions] = args[..] else {
        anyhow::bail!("expected four numbers: servers, services, routes and decisions");
    };
    let mut ingress = Ingress::new(TableSizes { servers, services, routes }, 1);
    let found = ingress.run_decisions(decisions);
    (found == decisions).then_some(()).context("at least one routing decision found no server")
}
