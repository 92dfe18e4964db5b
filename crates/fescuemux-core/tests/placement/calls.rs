use crate::support::{ms, open_gate, report, work};
use fescuemux_core::base::{Cx, HashMap};
use fescuemux_core::placement::{
    Admission, AdmissionController, RefusalReason, RequestOutcome, SlotRequest, Ticket,
};
use rand::Rng;
use std::time::{Duration, Instant};

/// Expected time of a call.
const CALL: Duration = Duration::from_millis(160);

fn call(now: Instant, random_priority: u16) -> SlotRequest {
    let nested = SlotRequest {
        nested: true,
        idempotent: true,
        random_priority,
        route: 8,
        expected_running_time: CALL,
        ..work(now)
    };
    SlotRequest { objective: now + ms(600), deadline: now + ms(2_000), ..nested }
}

/// Guards with four slots each, and the calls that wait for them.
struct Guards {
    gates: Vec<AdmissionController>,
    ends: Vec<(Instant, usize, Ticket)>,
}

impl Guards {
    fn new(now: Instant, guards: usize) -> Guards {
        Guards { gates: (0..guards).map(|_| open_gate(now)).collect(), ends: Vec::new() }
    }

    /// Asks the guard with the shortest wait.
    fn ask(&mut self, cx: &mut Cx, now: Instant, ticket: Ticket, work: &SlotRequest) {
        let key = |gate: &mut AdmissionController| {
            gate.load_report(now, work.precedence(), work.route, work.expected_running_time)
                .expected_wait
        };
        let (at, _) = self.gates.iter_mut().map(key).enumerate().min_by_key(|(_, w)| *w).unwrap();
        let admission = self.gates[at].request_slot(now, ticket, work.clone());
        self.decided(cx, now, at, vec![(ticket, admission)]);
    }

    fn decided(&mut self, cx: &mut Cx, now: Instant, at: usize, decided: Vec<(Ticket, Admission)>) {
        for (ticket, _) in decided.into_iter().filter(|(_, a)| *a == Admission::Granted) {
            assert!(self.gates[at].start(now, ticket));
            self.ends.push((now + CALL.mul_f64(cx.rng.random_range(0.5..1.5)), at, ticket));
        }
    }

    /// Ends what has run its time, and returns the calls that were answered.
    fn advance(&mut self, cx: &mut Cx, now: Instant) -> Vec<Ticket> {
        let (over, rest) = self.ends.iter().partition(|(end, _, _)| *end <= now);
        let over: Vec<(Instant, usize, Ticket)> = over;
        self.ends = rest;
        for (_, at, ticket) in &over {
            self.gates[*at].finish(now, *ticket, RequestOutcome::Answered);
        }
        for at in 0..self.gates.len() {
            let decided = self.gates[at].advance(now);
            self.decided(cx, now, at, decided);
        }
        over.into_iter().map(|(_, _, ticket)| ticket).collect()
    }
}

/// Returns the share of requests for which both calls were answered, when callers ask for
/// `load` times what three servers can run.
fn served(seed: u64, load: f64, lots: bool) -> f64 {
    let start = Instant::now();
    let mut cx = Cx::new(start, seed);
    let mut guards = Guards::new(start, 3);
    let per_step = load * 12.0 / CALL.as_secs_f64() / 2.0 * 0.005;
    let (mut asked, mut done) = (0_u64, HashMap::<u64, u32>::default());
    for step in 0..6_000 {
        let now = start + ms(step * 5);
        for ticket in guards.advance(&mut cx, now) {
            *done.entry(ticket / 2).or_default() += 1;
        }
        if cx.rng.random_bool(per_step) {
            let random_priority = if lots { cx.rng.random() } else { 0 };
            for ticket in [asked * 2, asked * 2 + 1] {
                guards.ask(&mut cx, now, ticket, &call(now, random_priority));
            }
            asked += 1;
        }
    }
    done.values().filter(|calls| **calls == 2).count() as f64 / asked as f64
}

/// A request fails when one of its calls does. When calls are turned away one by one, far more
/// requests fail than need be: with two calls and room for two thirds, the square of that is
/// served instead of two thirds.
#[test]
fn overload_by_calls_fails_whole_requests() {
    struct Case {
        load: f64,
        /// Least share of requests with both calls.
        with_lots: f64,
    }
    let cases = [Case { load: 1.5, with_lots: 0.55 }, Case { load: 2.0, with_lots: 0.4 }];
    for Case { load, with_lots } in cases {
        let seeds = 1..=5;
        let mean = |lots| seeds.clone().map(|s| served(s, load, lots)).sum::<f64>() / 5.0;
        let (equal, drawn) = (mean(false), mean(true));
        assert!(drawn >= with_lots, "load {load}: {drawn:.3}");
        assert!(drawn > equal, "load {load}: {drawn:.3} with lots, {equal:.3} without");
    }
}

/// Calls go first, but a service that is full of them must not turn all callers away.
#[test]
fn callers_get_a_share_of_slots_that_calls_fill() {
    let start = Instant::now();
    let mut cx = Cx::new(start, 3);
    let mut gate = open_gate(start);
    let mut ends: Vec<(Instant, Ticket)> = Vec::new();
    let mut callers_time = Duration::ZERO;
    for step in 0..4_000_u64 {
        let now = start + ms(step * 5);
        ends.sort_unstable();
        while ends.first().is_some_and(|(end, _)| *end <= now) {
            let (end, ticket) = ends.remove(0);
            gate.finish(end, ticket, RequestOutcome::Answered);
        }
        // Twice as many calls as the slots can run, and a caller four times a second.
        let mut decided = Vec::new();
        if step % 4 == 0 {
            decided.push((step * 2, gate.request_slot(now, step * 2, call(now, cx.rng.random()))));
        }
        if step % 50 == 0 {
            let patient =
                SlotRequest { objective: now + ms(3_000), deadline: now + ms(6_000), ..work(now) };
            decided.push((step * 2 + 1, gate.request_slot(now, step * 2 + 1, patient)));
        }
        decided.extend(gate.advance(now));
        for (ticket, _) in decided.iter().filter(|(_, a)| *a == Admission::Granted) {
            assert!(gate.start(now, *ticket));
            let elapsed = if ticket % 2 == 1 { ms(400) } else { CALL };
            callers_time += if ticket % 2 == 1 { elapsed } else { Duration::ZERO };
            ends.push((now + elapsed, *ticket));
        }
    }
    let share = callers_time.as_secs_f64() / 80.0;
    assert!((0.07..0.2).contains(&share), "{share:.3}");
}

/// A queue full of calls that will hardly get a slot must not turn away one that goes first.
#[test]
fn a_full_queue_gives_way_to_an_earlier_call() {
    struct Case {
        name: &'static str,
        random_priority: u16,
        queued: bool,
    }
    let cases = [
        Case { name: "earlier than the last", random_priority: 1, queued: true },
        Case { name: "later than all", random_priority: u16::MAX, queued: false },
    ];
    for case in cases {
        let now = Instant::now();
        let mut gate = open_gate(now);
        gate.on_report(now, report("server-1", 1, 2));
        let patient = |random_priority| SlotRequest {
            deadline: now + ms(60_000),
            ..call(now, random_priority)
        };
        let mut ticket = 0;
        while !matches!(gate.request_slot(now, ticket, patient(500)), Admission::Refused(_)) {
            ticket += 1;
        }
        let waiting = gate.queued();
        let admission = gate.request_slot(now, 1_000, patient(case.random_priority));
        let queued = matches!(admission, Admission::Queued(_));
        assert_eq!(queued, case.queued, "{}: {admission:?}", case.name);
        let refused = gate
            .advance(now)
            .into_iter()
            .filter(|(_, a)| matches!(a, Admission::Refused(r) if r.reason == RefusalReason::Full));
        assert_eq!(refused.count(), usize::from(case.queued), "{}", case.name);
        assert_eq!(gate.queued(), waiting, "{}", case.name);
    }
}
