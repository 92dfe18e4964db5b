//! Checkers: pure functions over a history.

use super::record::{Event, HistoryEntry};
use fescuemux_core::base::{Generation, HashMap, HashSet, PlanId, Verdict};
use fescuemux_core::config::ConfirmOutcome;
use std::fmt;
use std::time::Duration;

/// Slots of each backend server.
pub(super) const SLOTS_PER_SERVER: u32 = 4;
/// Floor of each service, in slots: one of five servers may be ejected.
pub(super) const FLOOR_SLOTS: u32 = 16;
/// Number of instances.
pub(super) const INSTANCES: usize = 5;
/// Number of backend servers, two to an instance.
pub(super) const SERVERS: usize = 2 * INSTANCES;

/// Time within which a draining server gets its last new work.
const DRAIN_DETECTION_BOUND: Duration = Duration::from_secs(2);
/// Time within which a confirmed generation is in force everywhere.
const PROPAGATION_BOUND: Duration = Duration::from_secs(6);
/// A fault hinders the spread for this long after its end: members held for dead are tried again
/// each 20 s, and a store that was away is tried again after up to 12 s.
const FAULT_RECOVERY_TIME: Duration = Duration::from_secs(35);
/// A lost instance counts as capacity until membership can know of the loss. A probe takes up to
/// a second to begin and a suspicion 4 s; doubt of a member about itself lengthens both five
/// times.
const LOSS_DETECTION_BOUND: Duration = Duration::from_secs(25);

/// Property of the design page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Property {
    /// An ejection never pushes healthy capacity below the floor.
    F,
    /// Answers belong to their request and are whole.
    A,
    /// What was "not run" did not run.
    N,
    /// At-most-once execution on routes that are not idempotent.
    O,
    /// No new work for a draining server.
    D,
    /// A planned stop cuts nothing.
    G,
    /// Confirmed configurations.
    C,
}

/// A violated property.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The property.
    pub property: Property,
    /// Time at which it was violated.
    pub at: Duration,
    /// What was seen.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.3} s: {}", self.property, self.at.as_secs_f64(), self.description)
    }
}

/// Returns all violations in a history.
pub fn check(history: &[HistoryEntry]) -> Vec<Violation> {
    let checkers =
        [floor, answers, not_run, at_most_once, draining, stops, configurations, propagation];
    checkers.iter().flat_map(|checker| checker(history)).collect()
}

fn violation(property: Property, at: Duration, description: String) -> Violation {
    Violation { property, at, description }
}

/// F: at each ejection, the capacity that was announced and not lost for long stays at or above
/// the floor. A server is ejected while the ledger holds it or its guard refuses all work; a
/// relapse under an entry that is still held takes no further capacity.
fn floor(history: &[HistoryEntry]) -> Vec<Violation> {
    let mut lost_at: [Option<Duration>; INSTANCES] = [Some(Duration::ZERO); INSTANCES];
    let mut draining_since: [Option<Duration>; SERVERS] = [None; SERVERS];
    let mut refusing = [false; SERVERS];
    let mut held = [vec![], vec![]];
    let mut violations = vec![];
    for HistoryEntry { at, event } in history {
        let ejected = match event {
            Event::Up { instance } => {
                lost_at[*instance] = None;
                continue;
            }
            Event::Down { instance, .. } => {
                lost_at[*instance] = Some(*at);
                refusing[2 * instance] = false;
                refusing[2 * instance + 1] = false;
                continue;
            }
            Event::Draining { server, draining } => {
                draining_since[*server] = draining.then_some(*at);
                continue;
            }
            Event::Ledger { service, held: now } => {
                let is_new = |s: &usize| !held[*service].contains(s) && !refusing[*s];
                let added = now.iter().copied().find(is_new);
                held[*service].clone_from(now);
                added
            }
            Event::Refusing { server, all } => {
                let is_new = *all && !refusing[*server] && !held[*server % 2].contains(server);
                refusing[*server] = *all;
                is_new.then_some(*server)
            }
            _ => continue,
        };
        let Some(ejected) = ejected else { continue };
        let is_gone = |since: Option<Duration>, grace| since.is_some_and(|t| *at > t + grace);
        let counts = |server: usize| {
            !is_gone(lost_at[server / 2], LOSS_DETECTION_BOUND)
                && !is_gone(draining_since[server], DRAIN_DETECTION_BOUND)
        };
        let service = ejected % 2;
        let healthy = (0..SERVERS)
            .filter(|s| s % 2 == service && counts(*s))
            .filter(|s| !refusing[*s] && !held[service].contains(s))
            .count() as u32;
        if counts(ejected) && healthy * SLOTS_PER_SERVER < FLOOR_SLOTS {
            let description =
                format!("ejecting server {ejected} left {} slots", healthy * SLOTS_PER_SERVER);
            violations.push(violation(Property::F, *at, description));
        }
    }
    violations
}

/// A: each answer of a backend server names the request that it answers and is whole, and no
/// request is answered twice.
fn answers(history: &[HistoryEntry]) -> Vec<Violation> {
    let mut answered = HashSet::default();
    let mut violations = vec![];
    for HistoryEntry { at, event } in history {
        let Event::Answered { send, body, .. } = event else { continue };
        if !answered.insert(*send) {
            violations.push(violation(
                Property::A,
                *at,
                format!("request {send} was answered twice"),
            ));
        }
        if let Some((named, whole)) = body
            && (named != send || !whole)
        {
            let description = format!("request {send} got the answer of {named}, whole: {whole}");
            violations.push(violation(Property::A, *at, description));
        }
    }
    violations
}

/// N: no request that was answered with "not run" has been executed, before or after.
fn not_run(history: &[HistoryEntry]) -> Vec<Violation> {
    let confirmed: HashSet<u64> = history
        .iter()
        .filter_map(|entry| match entry.event {
            Event::Answered { send, verdict: Verdict::NotRun, .. } => Some(send),
            _ => None,
        })
        .collect();
    let mut violations = vec![];
    for HistoryEntry { at, event } in history {
        if let Event::Executed { send, server, .. } = event
            && confirmed.contains(send)
        {
            let description = format!("request {send} was \"not run\" but ran on server {server}");
            violations.push(violation(Property::N, *at, description));
        }
    }
    violations
}

/// O: on a route that is not idempotent, an operation with a key executes at most once and each
/// request at most once.
fn at_most_once(history: &[HistoryEntry]) -> Vec<Violation> {
    let mut keyed_by_send: HashMap<u64, bool> = HashMap::default();
    let mut executions = HashSet::default();
    let mut violations = vec![];
    for HistoryEntry { at, event } in history {
        match event {
            Event::Sent { send, idempotent: false, keyed, .. } => {
                keyed_by_send.insert(*send, *keyed);
            }
            Event::Executed { op, send, server } => {
                let Some(keyed) = keyed_by_send.get(send) else { continue };
                let execution_key = if *keyed { (Some(*op), 0) } else { (None, *send) };
                if !executions.insert(execution_key) {
                    let description =
                        format!("operation {op} ran again, as {send} on server {server}");
                    violations.push(violation(Property::O, *at, description));
                }
            }
            _ => {}
        }
    }
    violations
}

/// D: no request begins on a server that has been draining for longer than the bound.
fn draining(history: &[HistoryEntry]) -> Vec<Violation> {
    let mut since: HashMap<usize, Duration> = HashMap::default();
    let mut violations = vec![];
    for HistoryEntry { at, event } in history {
        match event {
            Event::Draining { server, draining: true } => {
                since.insert(*server, *at);
            }
            Event::Draining { server, draining: false } => {
                since.remove(server);
            }
            Event::Executed { server, send, .. } => {
                let age = since.get(server).map(|since| *at - *since);
                if let Some(age) = age.filter(|age| *age > DRAIN_DETECTION_BOUND) {
                    let description =
                        format!("{send} began on server {server} after {age:?} of draining");
                    violations.push(violation(Property::D, *at, description));
                }
            }
            _ => {}
        }
    }
    violations
}

/// G: no connection is in use when a process ends as planned.
fn stops(history: &[HistoryEntry]) -> Vec<Violation> {
    let mut violations = vec![];
    let mut cuts: Vec<(usize, u64)> = vec![];
    for HistoryEntry { at, event } in history {
        match event {
            Event::Cut { instance, send } => cuts.push((*instance, *send)),
            Event::Down { instance, planned } => {
                let cut = cuts.iter().filter(|(of, _)| *planned && of == instance);
                violations.extend(cut.map(|(of, send)| {
                    violation(Property::G, *at, format!("instance {of} cut request {send}"))
                }));
                cuts.clear();
            }
            _ => {}
        }
    }
    violations
}

/// C: the generation in force of a process never decreases, and a generation has one plan.
fn configurations(history: &[HistoryEntry]) -> Vec<Violation> {
    let mut current = [0; INSTANCES];
    let mut plans: HashMap<Generation, PlanId> = HashMap::default();
    let mut violations = vec![];
    for HistoryEntry { at, event } in history {
        let (generation, plan) = match event {
            Event::Up { instance } => {
                current[*instance] = 0;
                continue;
            }
            Event::InForce { instance, generation, plan } => {
                if *generation < current[*instance] {
                    let description = format!(
                        "instance {instance} went from {} to {generation}",
                        current[*instance]
                    );
                    violations.push(violation(Property::C, *at, description));
                }
                current[*instance] = *generation;
                (*generation, *plan)
            }
            Event::Told { plan, outcome: ConfirmOutcome::Confirmed(generation) } => {
                (*generation, *plan)
            }
            _ => continue,
        };
        let known = *plans.entry(generation).or_insert(plan);
        if known != plan {
            let description = format!("plans {known:x} and {plan:x} share generation {generation}");
            violations.push(violation(Property::C, *at, description));
        }
    }
    violations
}

/// C: a generation that an operator was told of is in force at all instances within the bound,
/// unless a fault hinders it.
fn propagation(history: &[HistoryEntry]) -> Vec<Violation> {
    let confirmed = history.iter().filter_map(|entry| match entry.event {
        Event::Told { outcome: ConfirmOutcome::Confirmed(generation), .. } => {
            Some((entry.at, generation))
        }
        _ => None,
    });
    let last = history.last().map_or(Duration::ZERO, |entry| entry.at);
    confirmed
        .filter(|(at, _)| *at + PROPAGATION_BOUND <= last && !overlaps_fault(history, *at))
        .flat_map(|(at, generation)| {
            let due = at + PROPAGATION_BOUND;
            (0..INSTANCES).filter(move |i| in_force(history, *i, due) < generation).map(move |i| {
                let description =
                    format!("generation {generation} of {at:?} is not in force at {i}");
                violation(Property::C, due, description)
            })
        })
        .collect()
}

fn overlaps_fault(history: &[HistoryEntry], at: Duration) -> bool {
    let mut open: HashMap<usize, Duration> = HashMap::default();
    for entry in history.iter().take_while(|entry| entry.at <= at + PROPAGATION_BOUND) {
        match &entry.event {
            Event::FaultBegins { fault } => {
                open.insert(*fault, Duration::MAX);
            }
            Event::FaultEnds { fault } => {
                open.insert(*fault, entry.at + FAULT_RECOVERY_TIME);
            }
            _ => {}
        }
    }
    open.values().any(|until| *until > at)
}

fn in_force(history: &[HistoryEntry], of: usize, by: Duration) -> Generation {
    let mut generation = 0;
    for entry in history.iter().take_while(|entry| entry.at <= by) {
        match &entry.event {
            Event::InForce { instance, generation: now, .. } if *instance == of => {
                generation = *now;
            }
            Event::Up { instance } if *instance == of => generation = 0,
            _ => {}
        }
    }
    generation
}
