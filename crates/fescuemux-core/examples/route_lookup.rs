//! Looks up routes, to count instructions per lookup. Arguments: number of routes, number of
//! lookups. The cost of one lookup is the difference in instructions between two runs, divided by
//! the difference in their numbers of lookups.
//!
//! `valgrind --tool=callgrind target/release/examples/route_lookup 8100 100000`

use fescuemux_core::config::{Change, Config, Route, RouteTable};

fn route(i: usize) -> Route {
    Route {
        id: format!("route-{i}").into(),
        method: i.is_multiple_of(3).then(|| "POST".into()),
        host: Some(format!("api{}.example.net", i % 7).into()),
        path_prefix: format!("/v1/team-{}/resource-{i}", i % 90).into(),
        service: format!("service-{:02}", i % 75).into(),
        idempotent: false,
        deadline: None,
    }
}

fn main() {
    let mut args = std::env::args().skip(1).map(|arg| arg.parse::<usize>().unwrap_or(0));
    let route_count = args.next().unwrap_or(8_100).max(1);
    let lookups = args.next().unwrap_or(100_000);
    let mut config = Config::default();
    (0..route_count).for_each(|i| config.apply_change(&Change::PutRoute(route(i))));
    let table = RouteTable::new(&config);
    let queries: Vec<(String, String)> = (0..1_000)
        .map(|i| i * 7_919 % route_count)
        .map(|i| (format!("api{}.example.net", i % 7), route(i).path_prefix.to_string() + "/42"))
        .collect();
    let found = queries
        .iter()
        .cycle()
        .take(lookups)
        .filter(|(host, path)| table.lookup("POST", host, path).is_some())
        .count();
    println!("{found} of {lookups} lookups found a route among {}", table.len());
}
