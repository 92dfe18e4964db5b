//! Order, rejections and expiry of the deadline queue.

use crate::admit::{DeadlineQueue, PushOutcome, QueueConfig, QueueRejectReason, QueuedRequest};
use crate::base::Cx;
use std::time::{Duration, Instant};

const SLOTS: u32 = 1;

struct Push {
    caller: &'static str,
    priority: u8,
    cost: u32,
    deadline_ms: u64,
}

const fn push(caller: &'static str) -> Push {
    Push { caller, priority: 1, cost: 1, deadline_ms: 60_000 }
}

struct Case {
    name: &'static str,
    max_len: usize,
    pushes: &'static [Push],
    /// Indices of the rejected pushes, with the reason.
    rejected: &'static [(usize, QueueRejectReason)],
    /// Indices of the displaced pushes.
    displaced: &'static [usize],
    /// Indices of the pushes in the order in which they start.
    order: &'static [usize],
}

// The service time is 100 ms.
const CASES: &[Case] = &[
    Case {
        name: "round robin over callers",
        max_len: 9,
        pushes: &[push("a"), push("a"), push("a"), push("b"), push("c")],
        rejected: &[],
        displaced: &[],
        order: &[0, 3, 4, 1, 2],
    },
    Case {
        name: "higher priority first",
        max_len: 9,
        pushes: &[push("a"), Push { priority: 0, ..push("b") }, push("c")],
        rejected: &[],
        displaced: &[],
        order: &[1, 0, 2],
    },
    Case {
        name: "costly requests use more rounds",
        max_len: 9,
        pushes: &[
            Push { cost: 2, ..push("a") },
            Push { cost: 2, ..push("a") },
            push("b"),
            push("b"),
            push("b"),
        ],
        rejected: &[],
        displaced: &[],
        order: &[2, 0, 3, 4, 1],
    },
    Case {
        name: "a full queue rejects the caller that fills it",
        max_len: 2,
        pushes: &[push("a"), push("a"), push("a")],
        rejected: &[(2, QueueRejectReason::Full)],
        displaced: &[],
        order: &[0, 1],
    },
    Case {
        name: "a full queue displaces for a caller with fewer requests",
        max_len: 3,
        pushes: &[push("a"), push("a"), push("a"), push("b")],
        rejected: &[],
        displaced: &[2],
        order: &[0, 3, 1],
    },
    Case {
        name: "a full queue displaces for a higher priority",
        max_len: 1,
        pushes: &[push("a"), Push { priority: 0, ..push("a") }],
        rejected: &[],
        displaced: &[0],
        order: &[1],
    },
    Case {
        name: "a full queue keeps a higher priority",
        max_len: 1,
        pushes: &[Push { priority: 0, ..push("a") }, push("b")],
        rejected: &[(1, QueueRejectReason::Full)],
        displaced: &[],
        order: &[0],
    },
    Case {
        name: "a deadline below the service time is rejected",
        max_len: 9,
        pushes: &[Push { deadline_ms: 99, ..push("a") }, Push { deadline_ms: 100, ..push("a") }],
        rejected: &[(0, QueueRejectReason::CannotFinish)],
        displaced: &[],
        order: &[1],
    },
    Case {
        name: "a deadline below the expected wait is rejected",
        max_len: 9,
        pushes: &[push("a"), push("a"), Push { deadline_ms: 250, ..push("b") }],
        rejected: &[(2, QueueRejectReason::CannotFinish)],
        displaced: &[],
        order: &[0, 1],
    },
];

fn queue(max_len: usize) -> DeadlineQueue<()> {
    let initial_service_time = Duration::from_millis(100);
    DeadlineQueue::new(QueueConfig { max_len, initial_service_time, quantum: 1 })
}

fn queued_request(cx: &Cx, id: u128, push: &Push) -> QueuedRequest<()> {
    let deadline = cx.now + Duration::from_millis(push.deadline_ms);
    let caller = push.caller.into();
    QueuedRequest { id, caller, priority: push.priority, cost: push.cost, deadline, item: () }
}

#[test]
fn order_refusals_and_displacement() {
    for case in CASES {
        check(case);
    }
}

fn check(case: &Case) {
    let mut cx = Cx::new(Instant::now(), 1);
    let mut queue = queue(case.max_len);
    let (mut rejected, mut displaced) = (vec![], vec![]);
    for (index, push) in case.pushes.iter().enumerate() {
        let request = queued_request(&cx, index as u128, push);
        match queue.push(&mut cx, SLOTS, request) {
            Ok(PushOutcome::Queued) => {}
            Ok(PushOutcome::Displaced(other)) => displaced.push(other.id as usize),
            Err(error) => rejected.push((index, error.reason)),
        }
    }
    let mut expired = vec![];
    let started = std::iter::from_fn(|| queue.pop(&mut cx, &mut expired));
    let order: Vec<_> = started.map(|w| w.id as usize).collect();
    assert_eq!(rejected, case.rejected, "{}", case.name);
    assert_eq!(displaced, case.displaced, "{}", case.name);
    assert_eq!(order, case.order, "{}", case.name);
}

/// Guards against requests that start although their callers no longer wait for the answer.
#[test]
fn late_requests_expire() {
    let mut cx = Cx::new(Instant::now(), 1);
    let mut queue = queue(9);
    for (id, deadline_ms) in [(1, 150), (2, 1_000), (3, 300)] {
        let request = queued_request(&cx, id, &Push { deadline_ms, ..push("a") });
        assert!(queue.push(&mut cx, 4, request).is_ok(), "{id}");
    }
    assert_eq!(queue.next_expiry(), Some(cx.now + Duration::from_millis(50)));
    cx.now += Duration::from_millis(51);
    assert_eq!(queue.expire(&mut cx).iter().map(|w| w.id).collect::<Vec<_>>(), [1]);
    cx.now += Duration::from_millis(200);
    let mut expired = vec![];
    assert_eq!(queue.pop(&mut cx, &mut expired).map(|w| w.id), Some(2));
    assert!(queue.pop(&mut cx, &mut expired).is_none());
    assert_eq!(expired.iter().map(|w| w.id).collect::<Vec<_>>(), [3]);
}

/// Guards against a lowered limit that drops waiting requests, or still admits new requests.
#[test]
fn a_lower_limit_keeps_waiting_requests() {
    let mut cx = Cx::new(Instant::now(), 1);
    let mut queue = queue(2);
    for id in 0..2 {
        let request = queued_request(&cx, id, &push("a"));
        assert!(queue.push(&mut cx, SLOTS, request).is_ok());
    }
    queue.set_max_len(1);
    let request = queued_request(&cx, 2, &push("a"));
    assert_eq!(
        queue.push(&mut cx, SLOTS, request).err().map(|r| r.reason),
        Some(QueueRejectReason::Full)
    );
    assert_eq!(queue.len(), 2);
}
