//! Workload for measuring the cost of routing decisions with routing tables of a given size.

use fescuemux_core::base::{Cx, HashMap, Phase, RouteId, ServiceId, Verdict};
use fescuemux_core::route::{
    AttemptAnswer, Endpoint, RouteQuery, Router, RouterConfig, ServerHealth, ServerLoad,
};
use rand::Rng;
use std::time::{Duration, Instant};

/// Number of entries in the routing tables.
#[derive(Clone, Copy, Debug)]
pub struct TableSizes {
    /// Backend servers in total.
    pub servers: usize,
    /// Services to which the servers are distributed.
    pub services: usize,
    /// Routes that lead to the services.
    pub routes: usize,
}

/// Routing state of one ingress.
#[derive(Debug)]
pub struct Ingress {
    cx: Cx,
    router: Router,
    routes: HashMap<RouteId, ServiceId>,
    route_ids: Vec<RouteId>,
}

impl Ingress {
    /// Creates an ingress with routing tables of the given sizes.
    pub fn new(sizes: TableSizes, seed: u64) -> Ingress {
        const DOMAINS: usize = 7;
        let mut cx = Cx::new(Instant::now(), seed);
        let cfg = RouterConfig::new("instance-0".into(), "domain-0".into(), "region-0".into());
        let mut router = Router::new(cfg);
        for server in 0..sizes.servers {
            let domain = (server / sizes.services) % DOMAINS;
            let endpoint = Endpoint {
                server: format!("server-{server:05}").into(),
                service: format!("service-{:03}", server % sizes.services).into(),
                instance: format!("instance-{:03}", server / 8).into(),
                domain: format!("domain-{domain}").into(),
                region: format!("region-{}", domain / 4).into(),
                slots: 4,
                phase: Phase::Ready,
                incarnation: 1,
                health: ServerHealth::Serving,
            };
            router.upsert(&mut cx, endpoint);
        }
        let route_ids: Vec<RouteId> =
            (0..sizes.routes).map(|r| format!("route-{r:05}").into()).collect();
        let service_of_route = |r: usize| format!("service-{:03}", r % sizes.services).into();
        let routes =
            route_ids.iter().enumerate().map(|(r, name)| (name.clone(), service_of_route(r)));
        Ingress { cx, router, routes: routes.collect(), route_ids }
    }

    /// Simulates `n` requests: looks up the route, chooses a server and records the answer.
    /// Returns the number of decisions that found a server.
    pub fn run_decisions(&mut self, n: usize) -> usize {
        (0..n).filter(|_| self.run_decision().is_some()).count()
    }

    fn run_decision(&mut self) -> Option<()> {
        // Simulates 90 requests/s.
        self.cx.now += Duration::from_micros(11_111);
        let name = &self.route_ids[self.cx.rng.random_range(0..self.route_ids.len())];
        let service = self.routes.get(name)?;
        let choice = self.router.choose(&mut self.cx, &RouteQuery::first_attempt(service, true))?;
        self.router.on_sent(&mut self.cx, &choice);
        let busy = self.cx.rng.random_range(0..=4);
        let answered = AttemptAnswer {
            verdict: Verdict::Ran,
            latency: Duration::from_millis(25),
            load: Some(ServerLoad { busy, slots: 4, queued: 0 }),
            health: Some(ServerHealth::Serving),
        };
        self.router.on_answer(&mut self.cx, &choice.server, answered);
        Some(())
    }
}
