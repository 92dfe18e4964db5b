//! Replays a service whose servers shed all requests, on a fleet whose instances know different
//! numbers of each other.

use crate::support::{LIMITS, ms, report, slot_request};
use fescuemux_core::base::Cx;
use fescuemux_core::placement::{
    Admission, AdmissionController, AttemptKind, RequestOutcome, SlotRequest, Ticket,
};
use rand::Rng;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Length of a step of the replay.
const STEP: Duration = Duration::from_millis(10);

/// Time until a fresh instance has read the list of all instances, and so may use slack.
const LIST_DELAY: Duration = Duration::from_secs(3);

/// Maximum number of servers that receive a request.
const MAX_ATTEMPTS: usize = 4;

struct Case {
    name: &'static str,
    instance_count: usize,
    requests_per_s: f64,
    /// Kind of the first attempt of each request.
    first: AttemptKind,
    nested: bool,
    /// Share of the instances that restart in each second.
    restarts_per_s: f64,
    /// Whether all instances restart together in the middle of the replay.
    restarts_together: bool,
    /// Share of the instances that an instance knows while its view is partial.
    partial_view: f64,
}

const CALM: Case = Case {
    name: "",
    instance_count: 24,
    requests_per_s: 3.0,
    first: AttemptKind::First,
    nested: true,
    restarts_per_s: 0.0,
    restarts_together: false,
    partial_view: 1.0,
};

struct Instance {
    controller: AdmissionController,
    started_at: Instant,
    has_partial_view: bool,
}

/// A request on its way to a server.
struct Arrival {
    at: Instant,
    instance: usize,
    ticket: Ticket,
    attempts: usize,
}

fn instance(now: Instant) -> Instance {
    let mut controller = AdmissionController::new(now, LIMITS);
    controller.on_report(now, report("server-1", 1, 1));
    Instance { controller, started_at: now, has_partial_view: false }
}

/// Returns the times of all requests and of all arrivals beyond the first of a request.
fn replay(case: &Case, seed: u64) -> (Vec<Instant>, Vec<Instant>) {
    let start = Instant::now();
    let mut cx = Cx::new(start, seed);
    let mut instances: Vec<_> = (0..case.instance_count).map(|_| instance(start)).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let mut arrivals: VecDeque<Arrival> = VecDeque::new();
    let mut next_ticket = 0;
    // Traffic starts once all instances have run for a window.
    for step in 0..3_500_u32 {
        let now = start + STEP * step;
        let mut unplaced: Vec<usize> = Vec::new();
        if step >= 1_000 {
            let per_step = case.requests_per_s * case.instance_count as f64 * STEP.as_secs_f64();
            let count = per_step as usize + usize::from(cx.rng.random_bool(per_step.fract()));
            unplaced.resize(count, 0);
            requests.resize(requests.len() + count, now);
        }
        for this in &mut instances {
            let restarts = cx.rng.random_bool(case.restarts_per_s * STEP.as_secs_f64());
            if restarts || (case.restarts_together && step == 2_000) {
                *this = instance(now);
            }
            if step % 200 == 0 {
                this.has_partial_view = cx.rng.random_bool(0.5);
            }
            if now.saturating_duration_since(this.started_at) >= LIST_DELAY {
                let known_share = if this.has_partial_view { case.partial_view } else { 1.0 };
                let known = (case.instance_count as f64 * known_share) as usize;
                this.controller.set_instance_count(now, known);
            }
        }
        let (due, later): (VecDeque<_>, VecDeque<_>) =
            arrivals.into_iter().partition(|arrival| arrival.at <= now);
        arrivals = later;
        for arrival in due {
            let controller = &mut instances[arrival.instance].controller;
            if !controller.start(now, arrival.ticket) {
                continue;
            }
            if arrival.attempts > 0 || case.first == AttemptKind::NestedInRetry {
                retries.push(now);
            }
            controller.finish(now, arrival.ticket, RequestOutcome::Shed);
            if arrival.attempts + 1 < MAX_ATTEMPTS {
                unplaced.push(arrival.attempts + 1);
            }
        }
        for attempts in unplaced {
            // A refused attempt is tried at two more instances, as an ingress does.
            for _ in 0..3 {
                let index = cx.rng.random_range(0..case.instance_count);
                let controller = &mut instances[index].controller;
                next_ticket += 1;
                let attempt = if attempts > 0 { AttemptKind::Retry } else { case.first };
                let request = SlotRequest { attempt, nested: case.nested, ..slot_request(now) };
                if controller.request_slot(now, next_ticket, request) == Admission::Granted {
                    let at = now + ms(cx.rng.random_range(0..200));
                    arrivals.push_back(Arrival {
                        at,
                        instance: index,
                        ticket: next_ticket,
                        attempts,
                    });
                    break;
                }
                controller.cancel(now, next_ticket);
            }
        }
    }
    (requests, retries)
}

/// The limit of retries holds for the whole fleet in any window, also while all servers shed all
/// requests, instances restart and forget what they counted, and views of the fleet differ.
#[test]
fn the_limit_of_retries_holds_while_all_servers_shed() {
    let cases = [
        Case { name: "three instances", instance_count: 3, ..CALM },
        Case { name: "24 instances", ..CALM },
        Case { name: "24, top-level", nested: false, ..CALM },
        Case { name: "24, few requests", requests_per_s: 0.3, ..CALM },
        Case { name: "24, nested in retries", first: AttemptKind::NestedInRetry, ..CALM },
        Case { name: "24, partial views", partial_view: 0.34, ..CALM },
        Case { name: "24, restarts", restarts_per_s: 0.2, requests_per_s: 1.0, ..CALM },
        Case { name: "24, all restart", restarts_together: true, ..CALM },
        Case {
            name: "108, partial views and restarts",
            instance_count: 108,
            requests_per_s: 0.5,
            restarts_per_s: 0.1,
            partial_view: 0.34,
            ..CALM
        },
        Case {
            name: "353, partial views and restarts",
            instance_count: 353,
            requests_per_s: 0.5,
            restarts_per_s: 0.05,
            partial_view: 0.34,
            ..CALM
        },
    ];
    let mut exceeded = Vec::new();
    for (case, seed) in cases.iter().zip(1..) {
        let (requests, retries) = replay(case, seed);
        let count_within = |times: &[Instant], end: Instant| {
            let begin = end - LIMITS.window;
            times.partition_point(|at| *at <= end) - times.partition_point(|at| *at <= begin)
        };
        let worst_excess = retries.iter().map(|end| {
            // The users count requests in the window, the one before it or half a window before.
            let windows = [Duration::ZERO, LIMITS.window / 2, LIMITS.window];
            let first_attempts =
                windows.iter().map(|earlier| count_within(&requests, *end - *earlier)).max();
            let bound = LIMITS.ratio * first_attempts.unwrap_or(0) as f64 + LIMITS.slack;
            count_within(&retries, *end) as f64 - bound
        });
        let worst_excess = worst_excess.fold(f64::NEG_INFINITY, f64::max);
        if worst_excess > 0.0 {
            exceeded.push(format!("{}, seed {seed}: {worst_excess:.0} above", case.name));
        }
    }
    assert!(exceeded.is_empty(), "limit exceeded: {exceeded:#?}");
}
