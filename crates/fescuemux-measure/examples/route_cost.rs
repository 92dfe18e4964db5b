//! Runs routing decisions to be counted by callgrind, see `scripts/route-cost`:
//! `route_cost <servers> <services> <routes> <decisions>`.

use anyhow::Context;
use fescuemux_measure::overload::route_cost::{Ingress, TableSizes};

fn main() -> anyhow::Result<()> {
    let args: Vec<usize> =
        std::env::args().skip(1).map(|text| text.parse()).collect::<Result<_, _>>()?;
    let [servers, services, routes, decisions] = args[..] else {
        anyhow::bail!("expected servers, services, routes and decisions");
    };
    let mut ingress = Ingress::new(TableSizes { servers, services, routes }, 1);
    let found = ingress.run_decisions(decisions);
    (found == decisions).then_some(()).context("a decision found no server")
}
