use fescuemux_core::base::{Cx, HashMap};
use fescuemux_core::placement::{
    RequestClass, RouteMap, RoutePolicy, TrafficSplitter, WeightedService,
};
use std::time::{Duration, Instant};

fn policy(id: &str, weights: &[(&str, u32)]) -> RoutePolicy {
    let to_weighted = |(service, weight): &(&str, u32)| WeightedService {
        service: (*service).into(),
        weight: *weight,
    };
    RoutePolicy {
        id: id.into(),
        class: RequestClass::Idempotent,
        objective: Duration::from_secs(1),
        priority: 1,
        timeout: Duration::from_secs(3),
        max_attempts: 2,
        services: weights.iter().map(to_weighted).collect(),
        public: false,
    }
}

/// The route with the longest matching prefix serves a request, and only for its own host.
#[test]
fn the_longest_prefix_wins() {
    struct Case {
        host: &'static str,
        path: &'static str,
        route: Option<&'static str>,
    }
    let mut routes = RouteMap::default();
    routes.insert("a.example", "/x/", policy("short", &[("s", 1)]));
    routes.insert("a.example", "/x/y/", policy("long", &[("s", 1)]));
    routes.insert("b.example", "/", policy("all", &[("s", 1)]));
    let cases = [
        Case { host: "a.example", path: "/x/1", route: Some("short") },
        Case { host: "a.example", path: "/x/y/1", route: Some("long") },
        Case { host: "a.example", path: "/x/y", route: Some("short") },
        Case { host: "a.example", path: "/x/yy/1", route: Some("short") },
        Case { host: "a.example", path: "/xy/1", route: None },
        Case { host: "a.example", path: "/", route: None },
        Case { host: "A.Example", path: "/x/", route: Some("short") },
        Case { host: "b.example", path: "/any", route: Some("all") },
        Case { host: "c.example", path: "/x/1", route: None },
        Case { host: "a.example", path: "", route: None },
    ];
    for case in cases {
        let found = routes.lookup(case.host, case.path).map(|policy| policy.id.as_str());
        assert_eq!(found, case.route, "{}{}", case.host, case.path);
    }
}

/// Many ingresses with few requests each must meet the weights together.
#[test]
fn parts_get_their_weights() {
    struct Case {
        weights: &'static [(&'static str, u32)],
        ingresses: u64,
        requests: usize,
    }
    let cases = [
        Case { weights: &[("a", 90), ("b", 10)], ingresses: 24, requests: 10 },
        Case { weights: &[("a", 50), ("b", 50)], ingresses: 24, requests: 9 },
        Case { weights: &[("a", 1), ("b", 1), ("c", 2)], ingresses: 1, requests: 400 },
        Case { weights: &[("a", 0), ("b", 5)], ingresses: 3, requests: 50 },
    ];
    for case in cases {
        let policy = policy("split", case.weights);
        let mut counts: HashMap<String, usize> = HashMap::default();
        for seed in 0..case.ingresses {
            let mut cx = Cx::new(Instant::now(), seed);
            let mut splitter = TrafficSplitter::default();
            for _ in 0..case.requests {
                let service =
                    splitter.choose_service(&mut cx, &policy).expect("a service has a weight");
                *counts.entry(service.to_string()).or_default() += 1;
            }
        }
        let total: u32 = case.weights.iter().map(|(_, weight)| weight).sum();
        let sent = case.ingresses as f64 * case.requests as f64;
        for (service, weight) in case.weights {
            let share = *counts.get(*service).unwrap_or(&0) as f64 / sent;
            let expected = f64::from(*weight) / f64::from(total);
            assert!((share - expected).abs() < 0.1, "{:?}: {service} got {share}", case.weights);
        }
    }
}

/// A route whose services all have weight zero serves no request.
#[test]
fn zero_weights_choose_no_service() {
    let mut cx = Cx::new(Instant::now(), 1);
    let policy = policy("off", &[("a", 0), ("b", 0)]);
    assert_eq!(TrafficSplitter::default().choose_service(&mut cx, &policy), None);
}

/// Hundreds of routes are added and removed in a day; the positions of removed routes must not
/// accumulate.
#[test]
fn positions_of_removed_routes_are_dropped() {
    let mut cx = Cx::new(Instant::now(), 1);
    let mut splitter = TrafficSplitter::default();
    let mut routes = RouteMap::default();
    for id in ["stays", "goes"] {
        let policy = policy(id, &[("a", 1), ("b", 1)]);
        assert!(splitter.choose_service(&mut cx, &policy).is_some());
        if id == "stays" {
            routes.insert("a.example", "/", policy);
        }
    }
    assert_eq!(splitter.len(), 2);
    splitter.retain(|id| routes.contains(id));
    assert_eq!(splitter.len(), 1);
}
