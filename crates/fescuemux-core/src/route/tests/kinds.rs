//! Eligible servers and request kinds for mixes of health, phase and load.

use super::support::{answer_with_load, choose, cx, endpoint, router};
use crate::base::Phase;
use crate::route::{RequestKind, ServerHealth};
use ServerHealth::{Ejected, Probation, Serving, Steered};
use std::collections::BTreeSet;

struct Server {
    name: &'static str,
    domain: &'static str,
    health: ServerHealth,
    phase: Phase,
    /// Requests of other ingresses, running or queued.
    load: u32,
}

const fn server(name: &'static str, domain: &'static str, health: ServerHealth) -> Server {
    Server { name, domain, health, phase: Phase::Ready, load: 0 }
}

const fn loaded(name: &'static str, domain: &'static str, load: u32) -> Server {
    Server { name, domain, health: Serving, phase: Phase::Ready, load }
}

struct Case {
    name: &'static str,
    servers: &'static [Server],
    idempotent: bool,
    expected: &'static [(&'static str, RequestKind)],
}

const CASES: &[Case] = &[
    Case {
        name: "own failure domain is preferred",
        servers: &[server("a", "d1", Serving), server("b", "d2", Serving)],
        idempotent: true,
        expected: &[("a", RequestKind::Normal)],
    },
    Case {
        name: "own region is preferred over other regions",
        servers: &[server("a", "x1", Serving), server("b", "d2", Serving)],
        idempotent: true,
        expected: &[("b", RequestKind::Normal)],
    },
    Case {
        name: "a full failure domain spills over to its region",
        servers: &[loaded("a", "d1", 4), loaded("b", "d2", 0), loaded("c", "x1", 0)],
        idempotent: true,
        expected: &[("b", RequestKind::Normal)],
    },
    Case {
        name: "a full region spills over to other regions",
        servers: &[loaded("a", "d1", 4), loaded("b", "d2", 5), loaded("c", "x1", 0)],
        idempotent: true,
        expected: &[("c", RequestKind::Normal)],
    },
    Case {
        name: "the least loaded server is chosen when all are full",
        servers: &[loaded("a", "d1", 9), loaded("b", "d2", 5), loaded("c", "x1", 7)],
        idempotent: true,
        expected: &[("b", RequestKind::Normal)],
    },
    Case {
        name: "steered servers get nothing while a serving one has free slots",
        servers: &[server("a", "d1", Steered), server("b", "x1", Serving)],
        idempotent: false,
        expected: &[("b", RequestKind::Normal)],
    },
    Case {
        name: "a steered server gets trials from idempotent requests only",
        servers: &[server("a", "d1", Steered), server("b", "x1", Serving)],
        idempotent: true,
        expected: &[("a", RequestKind::Trial), ("b", RequestKind::Normal)],
    },
    Case {
        name: "steered servers are the last resort when the serving ones are full",
        servers: &[server("a", "d1", Steered), loaded("b", "d1", 6)],
        idempotent: false,
        expected: &[("a", RequestKind::LastResort)],
    },
    Case {
        name: "load is spread when all servers are steered",
        servers: &[server("a", "d1", Steered), server("b", "d2", Steered)],
        idempotent: false,
        expected: &[("a", RequestKind::LastResort), ("b", RequestKind::LastResort)],
    },
    Case {
        name: "ejected servers get nothing",
        servers: &[server("a", "d1", Ejected)],
        idempotent: true,
        expected: &[],
    },
    Case {
        name: "draining servers get nothing, whatever their health",
        servers: &[
            Server { phase: Phase::Draining, ..server("a", "d1", Serving) },
            Server { phase: Phase::Draining, ..server("b", "d1", Steered) },
            Server { phase: Phase::Draining, ..server("c", "d1", Probation) },
            server("d", "x1", Serving),
        ],
        idempotent: true,
        expected: &[("d", RequestKind::Normal)],
    },
    Case {
        name: "a server in probation gets trials while others get normal requests",
        servers: &[server("a", "d1", Probation), server("b", "d1", Serving)],
        idempotent: true,
        expected: &[("a", RequestKind::Trial), ("b", RequestKind::Normal)],
    },
    Case {
        name: "a request that is not idempotent does not become an early trial",
        servers: &[server("a", "d1", Probation), server("b", "d1", Serving)],
        idempotent: false,
        expected: &[("b", RequestKind::Normal)],
    },
];

#[test]
fn chooses_only_eligible_servers_and_kinds() {
    for case in CASES {
        check_case(case);
    }
}

fn check_case(case: &Case) {
    let mut cx = cx();
    let mut router = router();
    for server in case.servers {
        let mut record = endpoint(server.name, server.domain);
        record.health = server.health;
        record.phase = server.phase;
        router.upsert(&mut cx, record);
        router.on_answer(&mut cx, &server.name.into(), answer_with_load(server.load, 0));
    }
    let mut seen = BTreeSet::new();
    for _ in 0..200 {
        let Some(choice) = choose(&mut router, &mut cx, case.idempotent) else {
            continue;
        };
        seen.insert((choice.server.to_string(), format!("{:?}", choice.kind)));
        router.on_canceled(&mut cx, &choice.server);
    }
    let expected: BTreeSet<_> =
        case.expected.iter().map(|(name, kind)| (name.to_string(), format!("{kind:?}"))).collect();
    assert_eq!(seen, expected, "{}", case.name);
}
