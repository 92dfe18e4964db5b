//! Compares the cached lists with a plain scan over random sequences of events.

use super::support::{answered, cx, endpoint, router};
use crate::base::{Cx, HashMap, Phase, ServerId, ServiceId};
use crate::route::{Choice, RequestKind, RouteQuery, Router, ServerHealth};
use proptest::prelude::{Strategy, TestCaseError, any, prop_oneof};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::time::Duration;

#[derive(Clone, Debug)]
enum Event {
    Upsert { server: u8, phase: u8, health: u8, domain: u8 },
    Remove { server: u8 },
    Fail { server: u8 },
    Answer { server: u8, busy: u32 },
    Choose { idempotent: bool, excluded_servers: Option<u8> },
    Wait { ms: u64 },
}

const PHASES: [Phase; 3] = [Phase::Cold, Phase::Ready, Phase::Draining];
const HEALTHS: [ServerHealth; 4] =
    [ServerHealth::Serving, ServerHealth::Steered, ServerHealth::Ejected, ServerHealth::Probation];
const DOMAINS: [&str; 3] = ["d1", "d2", "x1"];

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0..6u8, 0..3u8, 0..4u8, 0..3u8).prop_map(|(server, phase, health, domain)| {
            Event::Upsert { server, phase, health, domain }
        }),
        1 => (0..6u8).prop_map(|server| Event::Remove { server }),
        3 => (0..6u8).prop_map(|server| Event::Fail { server }),
        2 => (0..6u8, 0..9u32).prop_map(|(server, busy)| Event::Answer { server, busy }),
        6 => (any::<bool>(), proptest::option::of(0..6u8))
            .prop_map(|(idempotent, excluded_servers)| Event::Choose { idempotent, excluded_servers }),
        1 => (0..5_000u64).prop_map(|ms| Event::Wait { ms }),
    ]
}

/// Known servers with phase and health, kept without any index.
#[derive(Default)]
struct Model {
    servers: HashMap<ServerId, (Phase, ServerHealth)>,
    incarnation: u64,
    /// Makes the router a broken one that is not told of draining.
    lose_drains: bool,
}

impl Model {
    fn allows(&self, excluded_servers: &[ServerId], choice: &Choice) -> bool {
        let Some((phase, health)) = self.servers.get(&choice.server) else {
            return false;
        };
        if *phase == Phase::Draining {
            return false;
        }
        match health {
            ServerHealth::Serving => choice.kind == RequestKind::Normal,
            ServerHealth::Steered => match choice.kind {
                RequestKind::LastResort => true,
                // Checks whether the evidence was a passing stall, beside ready servers only.
                RequestKind::Trial => self.has(&[], &[ServerHealth::Serving]),
                RequestKind::Normal => false,
            },
            ServerHealth::Probation => match choice.kind {
                RequestKind::Trial => true,
                // Its guard takes other requests only while the service has nothing else.
                RequestKind::LastResort => !self.has_server(excluded_servers),
                RequestKind::Normal => false,
            },
            ServerHealth::Ejected => false,
        }
    }

    /// Returns true when some server may take an ordinary request, whatever its path.
    fn has_server(&self, excluded_servers: &[ServerId]) -> bool {
        self.has(excluded_servers, &[ServerHealth::Serving, ServerHealth::Steered])
    }

    /// Returns true when some server may take a request of last resort, whatever its path.
    fn has_last_resort(&self, excluded_servers: &[ServerId]) -> bool {
        self.has_server(excluded_servers) || self.has(excluded_servers, &[ServerHealth::Probation])
    }

    fn has(&self, excluded_servers: &[ServerId], healths: &[ServerHealth]) -> bool {
        self.servers.iter().any(|(server, (phase, health))| {
            healths.contains(health)
                && *phase != Phase::Draining
                && !excluded_servers.contains(server)
        })
    }
}

fn run(lose_drains: bool, events: &[Event]) -> Result<(), String> {
    let (mut cx, mut router) = (cx(), router());
    let mut model = Model { lose_drains, ..Model::default() };
    for event in events {
        step(&mut router, &mut cx, &mut model, event)?;
    }
    Ok(())
}

fn step(router: &mut Router, cx: &mut Cx, model: &mut Model, event: &Event) -> Result<(), String> {
    let name = |server: u8| ServerId::from(format!("s{server}"));
    match *event {
        Event::Upsert { server, phase, health, domain } => {
            let mut record = endpoint(&name(server), DOMAINS[domain as usize]);
            record.phase = PHASES[phase as usize];
            record.health = HEALTHS[health as usize];
            // Each record is new, so that its health always counts.
            model.incarnation += 1;
            record.incarnation = model.incarnation;
            model.servers.insert(name(server), (record.phase, record.health));
            if !(model.lose_drains && record.phase == Phase::Draining) {
                router.upsert(cx, record);
            }
        }
        Event::Remove { server } => {
            model.servers.remove(&name(server));
            router.remove(&name(server));
        }
        Event::Fail { server } => {
            let instance = format!("i-s{server}").into();
            router.on_path_failure(cx, &instance, &name(server));
        }
        Event::Answer { server, busy } => router.on_answer(cx, &name(server), answered(busy, 0)),
        Event::Wait { ms } => cx.now += Duration::from_millis(ms),
        Event::Choose { idempotent, excluded_servers } => {
            let service: ServiceId = "s".into();
            let excluded_servers: Vec<ServerId> = excluded_servers.map(name).into_iter().collect();
            let query = RouteQuery {
                excluded_servers: &excluded_servers,
                ..RouteQuery::first_attempt(&service, idempotent)
            };
            let choice = router.choose(cx, &query);
            judge(model, &excluded_servers, choice)?;
        }
    }
    Ok(())
}

fn judge(
    model: &Model,
    excluded_servers: &[ServerId],
    choice: Option<Choice>,
) -> Result<(), String> {
    match choice {
        Some(choice) if excluded_servers.contains(&choice.server) => {
            Err(format!("excluded: {choice:?}"))
        }
        Some(choice) if !model.allows(excluded_servers, &choice) => {
            Err(format!("not allowed: {choice:?}"))
        }
        None if model.has_last_resort(excluded_servers) => {
            Err("no choice although a server may take it".into())
        }
        _ => Ok(()),
    }
}

fn check(lose_drains: bool) -> bool {
    let events = proptest::collection::vec(event(), 1..200);
    let config = Config { failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result =
        runner.run(&events, |events| run(lose_drains, &events).map_err(TestCaseError::fail));
    if !lose_drains && let Err(error) = &result {
        panic!("{error}");
    }
    result.is_ok()
}

#[test]
fn lists_agree_with_a_scan() {
    assert!(check(false));
}

#[test]
fn the_check_catches_a_router_that_misses_draining() {
    assert!(!check(true));
}
