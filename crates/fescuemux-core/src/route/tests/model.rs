//! Model test: after random events, a choice from the router's candidate lists is one that a scan
//! of all servers allows.

use super::support::{answer_with_load, cx, endpoint, router};
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
    Choose { idempotent: bool, excluded: Option<u8> },
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
            .prop_map(|(idempotent, excluded)| Event::Choose { idempotent, excluded }),
        1 => (0..5_000u64).prop_map(|ms| Event::Wait { ms }),
    ]
}

/// Phase and health of each known server, without the router's candidate lists.
#[derive(Default)]
struct Model {
    servers: HashMap<ServerId, (Phase, ServerHealth)>,
    incarnation: u64,
    /// Withholds records of draining servers from the router, to test that the check then fails.
    ignore_draining: bool,
}

impl Model {
    fn allows(&self, excluded: &[ServerId], choice: &Choice) -> bool {
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
                // Trials at a steered server happen only while the service has serving servers.
                RequestKind::Trial => self.has(&[], &[ServerHealth::Serving]),
                RequestKind::Normal => false,
            },
            ServerHealth::Probation => match choice.kind {
                RequestKind::Trial => true,
                // Servers in probation get last-resort requests only when no other server is left.
                RequestKind::LastResort => !self.has_server_outside_probation(excluded),
                RequestKind::Normal => false,
            },
            ServerHealth::Ejected => false,
        }
    }

    /// Returns whether a serving or steered server exists that may be chosen, whatever the state of
    /// its network path.
    fn has_server_outside_probation(&self, excluded: &[ServerId]) -> bool {
        self.has(excluded, &[ServerHealth::Serving, ServerHealth::Steered])
    }

    /// Returns whether any server may be chosen for the request, whatever the state of its network
    /// path.
    fn has_any_server(&self, excluded: &[ServerId]) -> bool {
        self.has_server_outside_probation(excluded)
            || self.has(excluded, &[ServerHealth::Probation])
    }

    fn has(&self, excluded: &[ServerId], healths: &[ServerHealth]) -> bool {
        self.servers.iter().any(|(server, (phase, health))| {
            healths.contains(health) && *phase != Phase::Draining && !excluded.contains(server)
        })
    }
}

fn run(ignore_draining: bool, events: &[Event]) -> Result<(), String> {
    let (mut cx, mut router) = (cx(), router());
    let mut model = Model { ignore_draining, ..Model::default() };
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
            // A new incarnation, so that the router accepts the record's health in any case.
            model.incarnation += 1;
            record.incarnation = model.incarnation;
            model.servers.insert(name(server), (record.phase, record.health));
            if !(model.ignore_draining && record.phase == Phase::Draining) {
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
        Event::Answer { server, busy } => {
            router.on_answer(cx, &name(server), answer_with_load(busy, 0))
        }
        Event::Wait { ms } => cx.now += Duration::from_millis(ms),
        Event::Choose { idempotent, excluded } => {
            let service: ServiceId = "s".into();
            let excluded: Vec<ServerId> = excluded.map(name).into_iter().collect();
            let query = RouteQuery {
                excluded_servers: &excluded,
                ..RouteQuery::first_attempt(&service, idempotent)
            };
            let choice = router.choose(cx, &query);
            check_choice(model, &excluded, choice)?;
        }
    }
    Ok(())
}

fn check_choice(
    model: &Model,
    excluded: &[ServerId],
    choice: Option<Choice>,
) -> Result<(), String> {
    match choice {
        Some(choice) if excluded.contains(&choice.server) => {
            Err(format!("chose an excluded server: {choice:?}"))
        }
        Some(choice) if !model.allows(excluded, &choice) => {
            Err(format!("chose an ineligible server or kind: {choice:?}"))
        }
        None if model.has_any_server(excluded) => {
            Err("no choice although a server is eligible".into())
        }
        _ => Ok(()),
    }
}

/// Returns whether every choice during random events is allowed. Panics on a forbidden choice
/// unless `ignore_draining` is set.
fn check(ignore_draining: bool) -> bool {
    let events = proptest::collection::vec(event(), 1..200);
    let config = Config { failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result =
        runner.run(&events, |events| run(ignore_draining, &events).map_err(TestCaseError::fail));
    if !ignore_draining && let Err(error) = &result {
        panic!("{error}");
    }
    result.is_ok()
}

#[test]
fn cached_lists_agree_with_a_scan() {
    assert!(check(false));
}

#[test]
fn the_check_catches_a_router_that_misses_draining() {
    assert!(!check(true));
}
