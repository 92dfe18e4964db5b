//! Guards against requests that are routed to the wrong service.

use fescuemux_core::config::{Change, Config, Route, RouteTable};
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::{ProptestConfig, Strategy, prop_assert_eq, proptest};
use proptest::sample::select;
use proptest::test_runner::RngSeed;

fn route(id: &str, method: Option<&str>, host: Option<&str>, path_prefix: &str) -> Route {
    Route {
        id: id.into(),
        method: method.map(Into::into),
        host: host.map(Into::into),
        path_prefix: path_prefix.into(),
        service: "s".into(),
        idempotent: false,
        deadline: None,
    }
}

fn table(routes: impl IntoIterator<Item = Route>) -> RouteTable {
    let mut config = Config::default();
    routes.into_iter().for_each(|route| config.apply_change(&Change::PutRoute(route)));
    RouteTable::new(&config)
}

struct Case {
    method: &'static str,
    host: &'static str,
    path: &'static str,
    /// Name of the route that the lookup must find.
    expected: Option<&'static str>,
}

#[test]
fn precedence_is_longest_prefix_then_host_then_method() {
    let table = table([
        route("orders", None, None, "/orders"),
        route("orders-post", Some("POST"), None, "/orders"),
        route("orders-host", None, Some("a.net"), "/orders"),
        route("orders-host-get", Some("GET"), Some("a.net"), "/orders"),
        route("order-lines", None, None, "/orders/lines"),
        route("deep", None, Some("a.net"), "/x/y/z"),
        route("root-host", None, Some("b.net"), "/"),
    ]);
    let case = |method, host, path, expected| Case { method, host, path, expected };
    let cases = [
        case("GET", "c.net", "/orders", Some("orders")),
        case("POST", "c.net", "/orders/7", Some("orders-post")),
        case("POST", "a.net", "/orders", Some("orders-host")),
        case("GET", "a.net", "/orders/7?x=/orders/lines", Some("orders-host-get")),
        case("GET", "A.Net:8080", "/orders", Some("orders-host-get")),
        case("GET", "a.net", "/orders/lines/1", Some("order-lines")),
        case("GET", "a.net", "/ordersX", None),
        case("GET", "a.net", "/orders/", Some("orders-host-get")),
        case("GET", "a.net", "//orders", None),
        case("GET", "b.net", "//orders", Some("root-host")),
        case("GET", "c.net", "/x/y/z", None),
        case("GET", "b.net", "/x/y/z", Some("root-host")),
        case("GET", "a.net", "/x/y", None),
        case("GET", "b.net", "/", Some("root-host")),
        case("GET", "b.net", "", None),
        case("OPTIONS", "b.net", "*", None),
        case("get", "a.net", "/orders", Some("orders-host")),
    ];
    for Case { method, host, path, expected } in cases {
        let found = table.lookup(method, host, path).map(|route| route.id.as_str());
        assert_eq!(found, expected, "{method} {host} {path}");
    }
}

/// Reference implementation of the lookup: a scan over all routes.
fn scan<'a>(routes: &'a [Route], method: &str, host: &str, path: &str) -> Option<&'a Route> {
    let is_prefix = |prefix: &str| match path.strip_prefix(prefix) {
        Some(rest) => prefix == "/" || rest.is_empty() || rest.starts_with('/'),
        None => false,
    };
    routes
        .iter()
        .filter(|r| is_prefix(&r.path_prefix))
        .filter(|r| r.host.as_deref().is_none_or(|h| h == host))
        .filter(|r| r.method.as_deref().is_none_or(|m| m == method))
        .max_by_key(|r| {
            let depth = r.path_prefix.split('/').filter(|s| !s.is_empty()).count();
            (depth, r.host.is_some(), r.method.is_some())
        })
}

fn path() -> impl Strategy<Value = String> {
    vec(select(vec!["a", "b", "ab"]), 0..4).prop_map(|segments| format!("/{}", segments.join("/")))
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(2), ..Default::default() })]

    #[test]
    fn table_agrees_with_a_scan(
        specs in vec(
            (option::of(select(vec!["GET", "PUT"])), option::of(select(vec!["x", "y"])), path()),
            0..30,
        ),
        method in select(vec!["GET", "PUT", "HEAD"]),
        host in select(vec!["x", "y", "z"]),
        path in path(),
    ) {
        let mut routes: Vec<Route> = Vec::new();
        for (i, (method, host, prefix)) in specs.iter().enumerate() {
            let new = route(&format!("r{i:02}"), *method, *host, prefix);
            let is_same = |r: &Route| {
                (&r.method, &r.host, &r.path_prefix) == (&new.method, &new.host, &new.path_prefix)
            };
            if !routes.iter().any(is_same) {
                routes.push(new);
            }
        }
        let table = table(routes.clone());
        prop_assert_eq!(table.lookup(method, host, &path), scan(&routes, method, host, &path));
    }
}
