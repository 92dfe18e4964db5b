//! Checks the properties over a recorded history.

use super::record::{Event, HistoryEntry};
use fescuemux_core::base::{Generation, HashMap, HashSet, PlanId, Verdict};
use fescuemux_core::config::ConfirmOutcome;
use std::fmt;
use std::time::Duration;

/// Number of slots of each backend server.
pub(super) const SLOTS_PER_SERVER: u32 = 4;
/// Capacity floor of each service in slots; permits the ejection of one of a service's five
/// servers.
pub(super) const FLOOR_SLOTS: u32 = 16;
/// Number of instances.
pub(super) const INSTANCES: usize = 5;
/// Number of backend servers, two per instance.
pub(super) const SERVERS: usize = 2 * INSTANCES;

/// Longest time for which a server may receive new requests after it starts draining.
const DRAIN_DETECTION_BOUND: Duration = Duration::from_secs(2);
/// Longest time until a confirmed generation is active at all instances.
const PROPAGATION_BOUND: Duration = Duration::from_secs(6);
/// Time after the end of a fault during which the fault may still delay the propagation of a
/// generation. Members considered dead are contacted again every 20 s, and an unavailable store is
/// retried after up to 12 s.
const FAULT_RECOVERY_TIME: Duration = Duration::from_secs(35);
/// Time for which the servers of a lost instance still count as capacity: the longest time until
/// membership detects the loss. A probe starts within 1 s and a suspicion lasts 4 s; a member that
/// doubts its own health extends both by a factor of five.
const LOSS_DETECTION_BOUND: Duration = Duration::from_secs(25);

/// Safety property, named as in the design document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Property {
    /// An ejection never pushes healthy capacity below the floor.
    F,
    /// Each answer belongs to its request and is complete.
    A,
    /// A request answered with "not run" never runs.
    N,
    /// At-most-once execution on routes that are not idempotent.
    O,
    /// A draining server receives no new requests.
    D,
    /// A planned stop interrupts no request.
    G,
    /// Configuration generations are unique, never decrease and reach all instances in time.
    C,
}

/// A violation of a property.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The violated property.
    pub property: Property,
    /// Virtual time of the violation.
    pub at: Duration,
    /// Observation that violates the property.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.3} s: {}", self.property, self.at.as_secs_f64(), self.description)
    }
}

/// Checks all properties and returns the violations.
pub fn check(history: &[HistoryEntry]) -> Vec<Violation> {
    let checkers = [
        check_floor,
        check_answers,
        check_not_run,
        check_at_most_once,
        check_draining,
        check_stops,
        check_generations,
        check_propagation,
    ];
    checkers.iter().flat_map(|checker| checker(history)).collect()
}

fn violation(property: Property, at: Duration, description: String) -> Violation {
    Violation { property, at, description }
}

/// F: at each ejection, the healthy capacity stays at or above the floor. A lost or draining server
/// counts as capacity until [`LOSS_DETECTION_BOUND`] or [`DRAIN_DETECTION_BOUND`] has passed. A
/// server is ejected while the ledger has an entry for it or its guard refuses all requests; a
/// guard that refuses again while the entry remains removes no further capacity.
fn check_floor(history: &[HistoryEntry]) -> Vec<Violation> {
    let mut lost_at: [Option<Duration>; INSTANCES] = [Some(Duration::ZERO); INSTANCES];
    let mut draining_since: [Option<Duration>; SERVERS] = [None; SERVERS];
    let mut refusing = [false; SERVERS];
    let mut ledger_entries = [vec![], vec![]];
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
            Event::Ledger { service, held: entries } => {
                let is_new = |s: &usize| !ledger_entries[*service].contains(s) && !refusing[*s];
                let added = entries.iter().copied().find(is_new);
                ledger_entries[*service].clone_from(entries);
                added
            }
            Event::Refusing { server, all } => {
                let is_new =
                    *all && !refusing[*server] && !ledger_entries[*server % 2].contains(server);
                refusing[*server] = *all;
                is_new.then_some(*server)
            }
            _ => continue,
        };
        let Some(ejected) = ejected else { continue };
        let is_gone = |since: Option<Duration>, grace| since.is_some_and(|t| *at > t + grace);
        let counts_as_capacity = |server: usize| {
            !is_gone(lost_at[server / 2], LOSS_DETECTION_BOUND)
                && !is_gone(draining_since[server], DRAIN_DETECTION_BOUND)
        };
        let service = ejected % 2;
        let healthy_servers = (0..SERVERS)
            .filter(|s| s % 2 == service && counts_as_capacity(*s))
            .filter(|s| !refusing[*s] && !ledger_entries[service].contains(s))
            .count() as u32;
        if counts_as_capacity(ejected) && healthy_servers * SLOTS_PER_SERVER < FLOOR_SLOTS {
            let description = format!(
                "ejecting server {ejected} left {} slots",
                healthy_servers * SLOTS_PER_SERVER
            );
            violations.push(violation(Property::F, *at, description));
        }
    }
    violations
}

/// A: each backend server's answer names its request and is complete, and no request is answered
/// twice.
fn check_answers(history: &[HistoryEntry]) -> Vec<Violation> {
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
        if let Some((named_send, complete)) = body
            && (named_send != send || !complete)
        {
            let description =
                format!("request {send} got the answer of {named_send}, whole: {complete}");
            violations.push(violation(Property::A, *at, description));
        }
    }
    violations
}

/// N: no request that was answered with "not run" is executed, before or after the answer.
fn check_not_run(history: &[HistoryEntry]) -> Vec<Violation> {
    let reported_not_run: HashSet<u64> = history
        .iter()
        .filter_map(|entry| match entry.event {
            Event::Answered { send, verdict: Verdict::NotRun, .. } => Some(send),
            _ => None,
        })
        .collect();
    let mut violations = vec![];
    for HistoryEntry { at, event } in history {
        if let Event::Executed { send, server, .. } = event
            && reported_not_run.contains(send)
        {
            let description = format!("request {send} was \"not run\" but ran on server {server}");
            violations.push(violation(Property::N, *at, description));
        }
    }
    violations
}

/// O: on a route that is not idempotent, an operation with a key executes at most once, and a
/// request without a key executes at most once.
fn check_at_most_once(history: &[HistoryEntry]) -> Vec<Violation> {
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

/// D: no request starts on a server that has been draining for longer than
/// [`DRAIN_DETECTION_BOUND`].
fn check_draining(history: &[HistoryEntry]) -> Vec<Violation> {
    let mut draining_since: HashMap<usize, Duration> = HashMap::default();
    let mut violations = vec![];
    for HistoryEntry { at, event } in history {
        match event {
            Event::Draining { server, draining: true } => {
                draining_since.insert(*server, *at);
            }
            Event::Draining { server, draining: false } => {
                draining_since.remove(server);
            }
            Event::Executed { server, send, .. } => {
                let age = draining_since.get(server).map(|since| *at - *since);
                if let Some(age) = age.filter(|age| *age > DRAIN_DETECTION_BOUND) {
                    let description = format!(
                        "request {send} began on server {server} after {age:?} of draining"
                    );
                    violations.push(violation(Property::D, *at, description));
                }
            }
            _ => {}
        }
    }
    violations
}

/// G: no connection is in use when a process ends by a planned stop.
fn check_stops(history: &[HistoryEntry]) -> Vec<Violation> {
    let mut violations = vec![];
    let mut interrupted: Vec<(usize, u64)> = vec![];
    for HistoryEntry { at, event } in history {
        match event {
            Event::Cut { instance, send } => interrupted.push((*instance, *send)),
            Event::Down { instance, planned } => {
                let of_instance = interrupted.iter().filter(|(of, _)| *planned && of == instance);
                violations.extend(of_instance.map(|(of, send)| {
                    violation(Property::G, *at, format!("instance {of} cut request {send}"))
                }));
                interrupted.clear();
            }
            _ => {}
        }
    }
    violations
}

/// C: the active generation of a process never decreases, and each generation has one plan.
fn check_generations(history: &[HistoryEntry]) -> Vec<Violation> {
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

/// C: within [`PROPAGATION_BOUND`] after an operator receives the confirmation of a generation,
/// this or a later generation is active at all instances, unless a fault may delay the propagation.
fn check_propagation(history: &[HistoryEntry]) -> Vec<Violation> {
    let confirmed = history.iter().filter_map(|entry| match entry.event {
        Event::Told { outcome: ConfirmOutcome::Confirmed(generation), .. } => {
            Some((entry.at, generation))
        }
        _ => None,
    });
    let history_end = history.last().map_or(Duration::ZERO, |entry| entry.at);
    confirmed
        .filter(|(at, _)| *at + PROPAGATION_BOUND <= history_end && !overlaps_fault(history, *at))
        .flat_map(|(at, generation)| {
            let deadline = at + PROPAGATION_BOUND;
            (0..INSTANCES)
                .filter(move |i| active_generation(history, *i, deadline) < generation)
                .map(move |i| {
                    let description =
                        format!("generation {generation} of {at:?} is not in force at {i}");
                    violation(Property::C, deadline, description)
                })
        })
        .collect()
}

/// Returns true if a fault, or the recovery from a fault, overlaps the propagation of a generation
/// that was confirmed at `at`.
fn overlaps_fault(history: &[HistoryEntry], at: Duration) -> bool {
    let mut affected_until: HashMap<usize, Duration> = HashMap::default();
    for entry in history.iter().take_while(|entry| entry.at <= at + PROPAGATION_BOUND) {
        match &entry.event {
            Event::FaultBegins { fault } => {
                affected_until.insert(*fault, Duration::MAX);
            }
            Event::FaultEnds { fault } => {
                affected_until.insert(*fault, entry.at + FAULT_RECOVERY_TIME);
            }
            _ => {}
        }
    }
    affected_until.values().any(|until| *until > at)
}

/// Returns the generation that is active at instance `of` at time `at`, or zero if there is none.
fn active_generation(history: &[HistoryEntry], of: usize, at: Duration) -> Generation {
    let mut generation = 0;
    for entry in history.iter().take_while(|entry| entry.at <= at) {
        match &entry.event {
            Event::InForce { instance, generation: activated, .. } if *instance == of => {
                generation = *activated;
            }
            Event::Up { instance } if *instance == of => generation = 0,
            _ => {}
        }
    }
    generation
}
