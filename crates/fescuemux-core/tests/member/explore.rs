//! Exhaustive exploration of three members: every interleaving of deliver, drop, duplicate and
//! tick up to a depth.

use crate::net::{name, record, server};
use crate::view::{AcceptsOlder, Real, RefutesOthers, View};
use fescuemux_core::base::Cx;
use fescuemux_core::member::{
    Body, ConfigVersion, MemberState, Message, Output, RecordPrecedence, RecordSummary, Update,
};
use std::time::{Duration, Instant};

const MEMBERS: usize = 3;
const DEPTH: usize = 5;
/// Messages in flight at the same time; a further one counts as dropped.
const IN_FLIGHT: usize = 5;

#[derive(Clone)]
struct World<V> {
    now: Instant,
    views: Vec<V>,
    flight: Vec<(usize, usize, Message)>,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    Tick,
}

/// Three members that know each other. Member 2 has just gone to version 2, and messages of
/// before, claims about both versions and the new record are under way.
fn initial<V: View>() -> World<V> {
    let now = Instant::now();
    let mut cx = Cx::new(now, 1);
    let mut views: Vec<V> = (0..MEMBERS).map(|i| V::new(record(i, 1, 1), &cx)).collect();
    for (at, view) in views.iter_mut().enumerate() {
        let others = (0..MEMBERS).filter(|i| *i != at);
        let updates =
            others.map(|i| Update::Full { record: record(i, 1, 1), dead_for_secs: 0 }).collect();
        view.inner().on_message(&mut cx, name((at + 1) % MEMBERS), plain(updates));
    }
    views[2].inner().set_servers(&mut cx, vec![server(2)]);
    let old = Update::Full { record: record(2, 1, 1), dead_for_secs: 0 };
    let new = Update::Full { record: record(2, 1, 2), dead_for_secs: 0 };
    let flight = vec![
        (2, 0, plain(vec![new])),
        (1, 0, plain(vec![old])),
        (0, 1, plain(vec![claim(1, MemberState::Suspect)])),
        (0, 2, plain(vec![claim(2, MemberState::Dead)])),
    ];
    World { now, views, flight }
}

fn plain(updates: Vec<Update>) -> Message {
    Message { config: ConfigVersion::default(), digest: 0, updates, body: Body::Notify }
}

fn claim(version: u64, state: MemberState) -> Update {
    let precedence = RecordPrecedence { incarnation: 1, version, refutation: 0, state };
    Update::Summary(RecordSummary { instance: name(2), precedence, dead_for_secs: 0 })
}

impl<V: View> World<V> {
    fn actions(&self) -> impl Iterator<Item = Action> + use<V> {
        let count = self.flight.len();
        let messages =
            (0..count).flat_map(|i| [Action::Deliver(i), Action::Duplicate(i), Action::Drop(i)]);
        messages.chain([Action::Tick])
    }

    fn step(&mut self, action: Action, seed: u64) {
        let mut cx = Cx::new(self.now, seed);
        match action {
            Action::Deliver(i) => {
                let (from, to, message) = self.flight.remove(i);
                self.receive(&mut cx, from, to, message);
            }
            Action::Duplicate(i) => {
                let (from, to, message) = self.flight[i].clone();
                self.receive(&mut cx, from, to, message);
            }
            Action::Drop(i) => {
                self.flight.remove(i);
            }
            Action::Tick => {
                self.now += Duration::from_millis(900);
                cx.now = self.now;
                for i in 0..MEMBERS {
                    let outputs = self.views[i].inner().tick(&mut cx);
                    self.post(i, outputs);
                }
            }
        }
    }

    fn receive(&mut self, cx: &mut Cx, from: usize, to: usize, message: Message) {
        let outputs = self.views[to].on_message(cx, name(from), message);
        self.post(to, outputs);
    }

    fn post(&mut self, from: usize, outputs: Vec<Output>) {
        for output in outputs {
            let Output::Send(send) = output else { continue };
            let to = (0..MEMBERS).find(|i| name(*i) == send.to);
            if let Some(to) = to.filter(|_| self.flight.len() < IN_FLIGHT) {
                self.flight.push((from, to, send.message));
            }
        }
    }

    fn keys(&mut self) -> Vec<Option<RecordPrecedence>> {
        let pairs = (0..MEMBERS).flat_map(|at| (0..MEMBERS).map(move |of| (at, of)));
        pairs
            .map(|(at, of)| self.views[at].inner().record(&name(of)).map(|r| r.precedence()))
            .collect()
    }

    /// Returns what is wrong after a step that started from the keys `before`.
    fn fault(&mut self, before: &[Option<RecordPrecedence>]) -> Option<String> {
        let keys = self.keys();
        for (i, key) in keys.iter().enumerate() {
            let (at, of) = (i / MEMBERS, i % MEMBERS);
            if *key < before[i] {
                return Some(format!("{of} at {at} went back from {:?} to {key:?}", before[i]));
            }
            let owner = keys[of * MEMBERS + of].map(|k| (k.content_version(), k.refutation));
            if key.map(|k| (k.content_version(), k.refutation)) > owner {
                return Some(format!("{of} at {at} is ahead of its owner: {key:?}"));
            }
            let Some(record) = self.views[at].inner().record(&name(of)) else { continue };
            if record.servers[0].slots != record.version as u16 {
                return Some(format!("{of} at {at} has the content of another version"));
            }
            if at == of && record.state != MemberState::Alive {
                return Some(format!("{of} holds itself for {:?}", record.state));
            }
        }
        None
    }
}

/// Explores every sequence of actions up to `depth` and returns the first fault with its steps.
fn explore<V: View>(world: &mut World<V>, depth: usize, steps: &mut u64) -> Result<(), String> {
    if depth == 0 {
        return Ok(());
    }
    let before = world.keys();
    for action in world.actions() {
        let mut next = world.clone();
        *steps += 1;
        next.step(action, depth as u64);
        if let Some(fault) = next.fault(&before) {
            return Err(format!("{action:?}: {fault}"));
        }
        explore(&mut next, depth - 1, steps).map_err(|e| format!("{action:?}, {e}"))?;
    }
    Ok(())
}

/// Guards against a record that steps back, a claim ahead of its owner, mixed content and a
/// member that believes its own death, in any order of few messages.
#[test]
fn no_interleaving_breaks_the_order() {
    let mut steps = 0;
    explore(&mut initial::<Real>(), DEPTH, &mut steps).unwrap();
    println!("explored {steps} steps");
    assert!(steps > 100_000, "explored only {steps} steps");
}

/// Guards against an exploration that finds nothing.
#[test]
fn broken_members_are_caught() {
    let older = explore(&mut initial::<AcceptsOlder>(), DEPTH, &mut 0);
    assert!(older.unwrap_err().contains("went back"));
    let ahead = explore(&mut initial::<RefutesOthers>(), DEPTH, &mut 0);
    assert!(ahead.unwrap_err().contains("ahead of its owner"));
}
