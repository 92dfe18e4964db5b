//! Exhaustive exploration of three members: all sequences of deliveries, duplicates, drops and
//! ticks up to a fixed depth.

use crate::net::{name, record, server};
use crate::view::{AcceptsOlderRecords, ExploredMember, RefutesOthers, UnmodifiedMember};
use fescuemux_core::base::Cx;
use fescuemux_core::member::{
    Body, ConfigVersion, MemberState, Message, Output, RecordPrecedence, RecordSummary, Update,
};
use std::time::{Duration, Instant};

const MEMBER_COUNT: usize = 3;
const MAX_DEPTH: usize = 5;
/// Maximum number of messages in flight; further messages are dropped.
const MAX_IN_FLIGHT: usize = 5;

#[derive(Clone)]
struct World<M> {
    now: Instant,
    members: Vec<M>,
    /// Sender, receiver and message.
    in_flight: Vec<(usize, usize, Message)>,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    Tick,
}

/// Returns three members that know each other. Member 2 has just changed its record to version 2;
/// the old and the new record of member 2 are in flight, as are reports of its state in both
/// versions.
fn initial<M: ExploredMember>() -> World<M> {
    let now = Instant::now();
    let mut cx = Cx::new(now, 1);
    let mut members: Vec<M> = (0..MEMBER_COUNT).map(|i| M::new(record(i, 1, 1), &cx)).collect();
    for (at, member) in members.iter_mut().enumerate() {
        let others = (0..MEMBER_COUNT).filter(|i| *i != at);
        let updates =
            others.map(|i| Update::Full { record: record(i, 1, 1), dead_for_secs: 0 }).collect();
        member.membership().on_message(
            &mut cx,
            name((at + 1) % MEMBER_COUNT),
            update_message(updates),
        );
    }
    members[2].membership().set_servers(&mut cx, vec![server(2)]);
    let old = Update::Full { record: record(2, 1, 1), dead_for_secs: 0 };
    let new = Update::Full { record: record(2, 1, 2), dead_for_secs: 0 };
    let in_flight = vec![
        (2, 0, update_message(vec![new])),
        (1, 0, update_message(vec![old])),
        (0, 1, update_message(vec![state_report(1, MemberState::Suspect)])),
        (0, 2, update_message(vec![state_report(2, MemberState::Dead)])),
    ];
    World { now, members, in_flight }
}

fn update_message(updates: Vec<Update>) -> Message {
    Message { config: ConfigVersion::default(), digest: 0, updates, body: Body::Notify }
}

fn state_report(version: u64, state: MemberState) -> Update {
    let precedence = RecordPrecedence { incarnation: 1, version, refutation: 0, state };
    Update::Summary(RecordSummary { instance: name(2), precedence, dead_for_secs: 0 })
}

impl<M: ExploredMember> World<M> {
    fn actions(&self) -> impl Iterator<Item = Action> + use<M> {
        let count = self.in_flight.len();
        let messages =
            (0..count).flat_map(|i| [Action::Deliver(i), Action::Duplicate(i), Action::Drop(i)]);
        messages.chain([Action::Tick])
    }

    fn apply(&mut self, action: Action, seed: u64) {
        let mut cx = Cx::new(self.now, seed);
        match action {
            Action::Deliver(i) => {
                let (from, to, message) = self.in_flight.remove(i);
                self.receive(&mut cx, from, to, message);
            }
            Action::Duplicate(i) => {
                let (from, to, message) = self.in_flight[i].clone();
                self.receive(&mut cx, from, to, message);
            }
            Action::Drop(i) => {
                self.in_flight.remove(i);
            }
            Action::Tick => {
                self.now += Duration::from_millis(900);
                cx.now = self.now;
                for i in 0..MEMBER_COUNT {
                    let outputs = self.members[i].membership().tick(&mut cx);
                    self.send(i, outputs);
                }
            }
        }
    }

    fn receive(&mut self, cx: &mut Cx, from: usize, to: usize, message: Message) {
        let outputs = self.members[to].on_message(cx, name(from), message);
        self.send(to, outputs);
    }

    fn send(&mut self, from: usize, outputs: Vec<Output>) {
        for output in outputs {
            let Output::Send(send) = output else { continue };
            let to = (0..MEMBER_COUNT).find(|i| name(*i) == send.to);
            if let Some(to) = to.filter(|_| self.in_flight.len() < MAX_IN_FLIGHT) {
                self.in_flight.push((from, to, send.message));
            }
        }
    }

    /// Returns the precedence of each member's record at each member, ordered by the member that
    /// has the record and then by the member that the record is about.
    fn precedences(&mut self) -> Vec<Option<RecordPrecedence>> {
        let pairs = (0..MEMBER_COUNT).flat_map(|at| (0..MEMBER_COUNT).map(move |of| (at, of)));
        pairs
            .map(|(at, of)| self.members[at].membership().record(&name(of)).map(|r| r.precedence()))
            .collect()
    }

    /// Returns a description of an invariant that a step violated, or `None`. `before` contains the
    /// precedences before the step.
    fn check_step(&mut self, before: &[Option<RecordPrecedence>]) -> Option<String> {
        let precedences = self.precedences();
        for (i, precedence) in precedences.iter().enumerate() {
            let (at, of) = (i / MEMBER_COUNT, i % MEMBER_COUNT);
            if *precedence < before[i] {
                return Some(format!(
                    "{of} at {at} went back from {:?} to {precedence:?}",
                    before[i]
                ));
            }
            let precedence_at_owner =
                precedences[of * MEMBER_COUNT + of].map(|k| (k.content_version(), k.refutation));
            if precedence.map(|k| (k.content_version(), k.refutation)) > precedence_at_owner {
                return Some(format!("{of} at {at} is ahead of its owner: {precedence:?}"));
            }
            let Some(record) = self.members[at].membership().record(&name(of)) else { continue };
            if record.servers[0].slots != record.version as u16 {
                return Some(format!("{of} at {at} has the content of another version"));
            }
            if at == of && record.state != MemberState::Alive {
                return Some(format!("{of} considers itself {:?}", record.state));
            }
        }
        None
    }
}

/// Explores every sequence of actions up to `depth`. Fails with the first violation and the
/// actions that led to it.
fn explore<M: ExploredMember>(
    world: &mut World<M>,
    depth: usize,
    steps: &mut u64,
) -> Result<(), String> {
    if depth == 0 {
        return Ok(());
    }
    let before = world.precedences();
    for action in world.actions() {
        let mut next = world.clone();
        *steps += 1;
        next.apply(action, depth as u64);
        if let Some(violation) = next.check_step(&before) {
            return Err(format!("{action:?}: {violation}"));
        }
        explore(&mut next, depth - 1, steps).map_err(|e| format!("{action:?}, {e}"))?;
    }
    Ok(())
}

/// Guards against records that are replaced by records of lower precedence, records ahead of the
/// record at the member that they are about, content of another version, and members that consider
/// themselves dead, for any short sequence of message deliveries.
#[test]
fn no_interleaving_violates_precedence() {
    let mut steps = 0;
    explore(&mut initial::<UnmodifiedMember>(), MAX_DEPTH, &mut steps).unwrap();
    println!("explored {steps} steps");
    assert!(steps > 100_000, "explored only {steps} steps");
}

/// Guards against an exploration that cannot detect violations.
#[test]
fn exploration_detects_broken_members() {
    let accepts_older = explore(&mut initial::<AcceptsOlderRecords>(), MAX_DEPTH, &mut 0);
    assert!(accepts_older.unwrap_err().contains("went back"));
    let refutes_others = explore(&mut initial::<RefutesOthers>(), MAX_DEPTH, &mut 0);
    assert!(refutes_others.unwrap_err().contains("ahead of its owner"));
}
