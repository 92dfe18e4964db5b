use crate::support::{controller_with_server, ms, report, slot_request};
use fescuemux_core::base::{Cx, HashMap};
use fescuemux_core::placement::{
    Admission, AdmissionController, RequestOutcome, SlotRefusalReason, SlotRequest, Ticket,
};
use rand::Rng;
use std::time::{Duration, Instant};

/// Expected running time of a nested request.
const NESTED_RUNNING_TIME: Duration = Duration::from_millis(160);

fn nested_request(now: Instant, tie_breaker: u16) -> SlotRequest {
    let nested = SlotRequest {
        nested: true,
        idempotent: true,
        tie_breaker,
        route_hash: 8,
        expected_running_time: NESTED_RUNNING_TIME,
        ..slot_request(now)
    };
    SlotRequest { objective: now + ms(600), deadline: now + ms(2_000), ..nested }
}

/// Instances with four slots each, and the nested requests that run on them.
struct Instances {
    controllers: Vec<AdmissionController>,
    /// End time, index of the instance and ticket of each running request.
    ends: Vec<(Instant, usize, Ticket)>,
}

impl Instances {
    fn new(now: Instant, instances: usize) -> Instances {
        Instances {
            controllers: (0..instances).map(|_| controller_with_server(now)).collect(),
            ends: Vec::new(),
        }
    }

    /// Requests a slot from the instance with the shortest expected wait.
    fn request_slot(
        &mut self,
        cx: &mut Cx,
        now: Instant,
        ticket: Ticket,
        slot_request: &SlotRequest,
    ) {
        let key = |controller: &mut AdmissionController| {
            controller
                .load_report(
                    now,
                    slot_request.precedence(),
                    slot_request.route_hash,
                    slot_request.expected_running_time,
                )
                .expected_wait
        };
        let (index, _) =
            self.controllers.iter_mut().map(key).enumerate().min_by_key(|(_, w)| *w).unwrap();
        let admission = self.controllers[index].request_slot(now, ticket, slot_request.clone());
        self.on_decisions(cx, now, index, vec![(ticket, admission)]);
    }

    fn on_decisions(
        &mut self,
        cx: &mut Cx,
        now: Instant,
        index: usize,
        decisions: Vec<(Ticket, Admission)>,
    ) {
        for (ticket, _) in decisions.into_iter().filter(|(_, a)| *a == Admission::Granted) {
            assert!(self.controllers[index].start(now, ticket));
            self.ends.push((
                now + NESTED_RUNNING_TIME.mul_f64(cx.rng.random_range(0.5..1.5)),
                index,
                ticket,
            ));
        }
    }

    /// Finishes requests whose running time is over, and returns their tickets.
    fn advance(&mut self, cx: &mut Cx, now: Instant) -> Vec<Ticket> {
        let (ended, rest) = self.ends.iter().partition(|(end, _, _)| *end <= now);
        let ended: Vec<(Instant, usize, Ticket)> = ended;
        self.ends = rest;
        for (_, index, ticket) in &ended {
            self.controllers[*index].finish(now, *ticket, RequestOutcome::Answered);
        }
        for index in 0..self.controllers.len() {
            let decisions = self.controllers[index].advance(now);
            self.on_decisions(cx, now, index, decisions);
        }
        ended.into_iter().map(|(_, _, ticket)| ticket).collect()
    }
}

/// Returns the share of parents for which both nested requests were answered, when the load is
/// `load` times the capacity of three servers.
fn served_share(seed: u64, load: f64, distinct_tie_breakers: bool) -> f64 {
    let start = Instant::now();
    let mut cx = Cx::new(start, seed);
    let mut instances = Instances::new(start, 3);
    let arrival_probability = load * 12.0 / NESTED_RUNNING_TIME.as_secs_f64() / 2.0 * 0.005;
    let (mut parent_count, mut answered) = (0_u64, HashMap::<u64, u32>::default());
    for step in 0..6_000 {
        let now = start + ms(step * 5);
        for ticket in instances.advance(&mut cx, now) {
            *answered.entry(ticket / 2).or_default() += 1;
        }
        if cx.rng.random_bool(arrival_probability) {
            let tie_breaker = if distinct_tie_breakers { cx.rng.random() } else { 0 };
            for ticket in [parent_count * 2, parent_count * 2 + 1] {
                instances.request_slot(&mut cx, now, ticket, &nested_request(now, tie_breaker));
            }
            parent_count += 1;
        }
    }
    answered.values().filter(|answers| **answers == 2).count() as f64 / parent_count as f64
}

/// A parent fails when one of its nested requests does. Rejecting nested requests independently
/// fails more parents than necessary: if each parent has two nested requests and the capacity is
/// two thirds of the load, four ninths of the parents succeed instead of two thirds.
#[test]
fn overload_rejects_all_nested_requests_of_a_parent() {
    struct Case {
        load: f64,
        /// Minimum share of parents with both nested requests answered, with distinct tie breakers.
        min_served_share: f64,
    }
    let cases =
        [Case { load: 1.5, min_served_share: 0.55 }, Case { load: 2.0, min_served_share: 0.4 }];
    for Case { load, min_served_share } in cases {
        let seeds = 1..=5;
        let mean_share = |distinct_tie_breakers| {
            seeds.clone().map(|s| served_share(s, load, distinct_tie_breakers)).sum::<f64>() / 5.0
        };
        let (share_equal, share_distinct) = (mean_share(false), mean_share(true));
        assert!(share_distinct >= min_served_share, "load {load}: {share_distinct:.3}");
        assert!(
            share_distinct > share_equal,
            "load {load}: distinct tie breakers {share_distinct:.3}, equal ones {share_equal:.3}"
        );
    }
}

/// Nested requests go first, but a service overloaded with them must not refuse all
/// top-level requests.
#[test]
fn top_level_requests_get_their_share_of_slots() {
    let start = Instant::now();
    let mut cx = Cx::new(start, 3);
    let mut controller = controller_with_server(start);
    let mut ends: Vec<(Instant, Ticket)> = Vec::new();
    let mut top_level_time = Duration::ZERO;
    for step in 0..4_000_u64 {
        let now = start + ms(step * 5);
        ends.sort_unstable();
        while ends.first().is_some_and(|(end, _)| *end <= now) {
            let (end, ticket) = ends.remove(0);
            controller.finish(end, ticket, RequestOutcome::Answered);
        }
        // Twice as many nested requests as the slots can run, and four top-level requests a second.
        let mut decisions = Vec::new();
        if step % 4 == 0 {
            decisions.push((
                step * 2,
                controller.request_slot(now, step * 2, nested_request(now, cx.rng.random())),
            ));
        }
        if step % 50 == 0 {
            let patient = SlotRequest {
                objective: now + ms(3_000),
                deadline: now + ms(6_000),
                ..slot_request(now)
            };
            decisions.push((step * 2 + 1, controller.request_slot(now, step * 2 + 1, patient)));
        }
        decisions.extend(controller.advance(now));
        for (ticket, _) in decisions.iter().filter(|(_, a)| *a == Admission::Granted) {
            assert!(controller.start(now, *ticket));
            let elapsed = if ticket % 2 == 1 { ms(400) } else { NESTED_RUNNING_TIME };
            top_level_time += if ticket % 2 == 1 { elapsed } else { Duration::ZERO };
            ends.push((now + elapsed, *ticket));
        }
    }
    let share = top_level_time.as_secs_f64() / 80.0;
    assert!((0.07..0.2).contains(&share), "{share:.3}");
}

/// A queue full of nested requests of low precedence must not reject a nested request that goes
/// before them.
#[test]
fn a_full_queue_displaces_the_last_nested_request() {
    struct Case {
        name: &'static str,
        tie_breaker: u16,
        queued: bool,
    }
    let cases = [
        Case { name: "earlier than the last", tie_breaker: 1, queued: true },
        Case { name: "later than all", tie_breaker: u16::MAX, queued: false },
    ];
    for case in cases {
        let now = Instant::now();
        let mut controller = controller_with_server(now);
        controller.on_report(now, report("server-1", 1, 2));
        let patient_request = |tie_breaker| SlotRequest {
            deadline: now + ms(60_000),
            ..nested_request(now, tie_breaker)
        };
        let mut ticket = 0;
        while !matches!(
            controller.request_slot(now, ticket, patient_request(500)),
            Admission::Refused(_)
        ) {
            ticket += 1;
        }
        let queued_before = controller.queued();
        let admission = controller.request_slot(now, 1_000, patient_request(case.tie_breaker));
        let queued = matches!(admission, Admission::Queued(_));
        assert_eq!(queued, case.queued, "{}: {admission:?}", case.name);
        let refused = controller.advance(now).into_iter().filter(
            |(_, a)| matches!(a, Admission::Refused(r) if r.reason == SlotRefusalReason::Full),
        );
        assert_eq!(refused.count(), usize::from(case.queued), "{}", case.name);
        assert_eq!(controller.queued(), queued_before, "{}", case.name);
    }
}
