//! Property test of the deadline queue with random sequences of events.

use crate::admit::{DeadlineQueue, PushOutcome, QueueConfig, QueuedRequest};
use crate::base::Cx;
use proptest::prelude::{Strategy, TestCaseError, prop_oneof};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

const MAX_LEN: usize = 8;
const SERVICE_TIME: Duration = Duration::from_millis(20);

#[derive(Clone, Debug)]
enum Event {
    Push { caller: u8, priority: u8, cost: u32, deadline_ms: u64 },
    Pop,
    Expire,
    Remove { id: u128 },
    Wait { ms: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        5 => (0..4u8, 0..2u8, 1..4u32, 0..400u64).prop_map(
            |(caller, priority, cost, deadline_ms)| {
                Event::Push { caller, priority, cost, deadline_ms }
            }
        ),
        3 => proptest::strategy::Just(Event::Pop),
        1 => proptest::strategy::Just(Event::Expire),
        1 => (0..60u128).prop_map(|id| Event::Remove { id }),
        1 => (0..100u64).prop_map(|ms| Event::Wait { ms }),
    ]
}

/// Interface of the queues under test. `push` and `expire` return the ids that left the queue;
/// `pop` returns the id that starts, and the ids that expired.
trait Queue {
    fn push(&mut self, cx: &mut Cx, waiting: QueuedRequest<()>) -> Option<u128>;
    fn pop(&mut self, cx: &mut Cx) -> (Option<u128>, Vec<u128>);
    fn expire(&mut self, cx: &mut Cx) -> Vec<u128>;
    fn remove(&mut self, id: u128) -> bool;
}

impl Queue for DeadlineQueue<()> {
    fn push(&mut self, cx: &mut Cx, waiting: QueuedRequest<()>) -> Option<u128> {
        match DeadlineQueue::push(self, cx, 4, waiting) {
            Ok(PushOutcome::Queued) => None,
            Ok(PushOutcome::Displaced(other)) => Some(other.id),
            Err(rejected) => Some(rejected.request.id),
        }
    }

    fn pop(&mut self, cx: &mut Cx) -> (Option<u128>, Vec<u128>) {
        let mut expired = vec![];
        let next = DeadlineQueue::pop(self, cx, &mut expired);
        (next.map(|w| w.id), expired.iter().map(|w| w.id).collect())
    }

    fn expire(&mut self, cx: &mut Cx) -> Vec<u128> {
        DeadlineQueue::expire(self, cx).iter().map(|w| w.id).collect()
    }

    fn remove(&mut self, id: u128) -> bool {
        DeadlineQueue::remove(self, id).is_some()
    }
}

/// Plain FIFO queue with an optional limit and without deadlines.
struct Fifo {
    max_len: usize,
    waiting: VecDeque<u128>,
}

impl Queue for Fifo {
    fn push(&mut self, _cx: &mut Cx, waiting: QueuedRequest<()>) -> Option<u128> {
        if self.waiting.len() >= self.max_len {
            return Some(waiting.id);
        }
        self.waiting.push_back(waiting.id);
        None
    }

    fn pop(&mut self, _cx: &mut Cx) -> (Option<u128>, Vec<u128>) {
        (self.waiting.pop_front(), vec![])
    }

    fn expire(&mut self, _cx: &mut Cx) -> Vec<u128> {
        vec![]
    }

    fn remove(&mut self, id: u128) -> bool {
        let len = self.waiting.len();
        self.waiting.retain(|other| *other != id);
        self.waiting.len() < len
    }
}

fn replay(queue: &mut impl Queue, events: &[Event]) -> Result<(), String> {
    let mut cx = Cx::new(Instant::now(), 1);
    let mut waiting: BTreeMap<u128, (u8, Instant)> = BTreeMap::new();
    for (id, event) in (0..).zip(events) {
        match *event {
            Event::Push { caller, priority, cost, deadline_ms } => {
                let deadline = cx.now + Duration::from_millis(deadline_ms);
                let caller = format!("c{caller}").into();
                waiting.insert(id, (priority, deadline));
                let request = QueuedRequest { id, caller, priority, cost, deadline, item: () };
                let removed = queue.push(&mut cx, request);
                remove_all(&mut waiting, removed)?;
            }
            Event::Pop => pop(queue, &mut cx, &mut waiting)?,
            Event::Expire => remove_all(&mut waiting, queue.expire(&mut cx))?,
            Event::Remove { id } if queue.remove(id) => remove_all(&mut waiting, Some(id))?,
            Event::Remove { id } if waiting.contains_key(&id) => return Err("not found".into()),
            Event::Remove { .. } => {}
            Event::Wait { ms } => cx.now += Duration::from_millis(ms),
        }
        if waiting.len() > MAX_LEN {
            return Err("longer than its limit".into());
        }
    }
    while !waiting.is_empty() {
        let before = waiting.len();
        pop(queue, &mut cx, &mut waiting)?;
        if waiting.len() == before {
            return Err("requests are lost".into());
        }
    }
    Ok(())
}

fn pop(
    queue: &mut impl Queue,
    cx: &mut Cx,
    waiting: &mut BTreeMap<u128, (u8, Instant)>,
) -> Result<(), String> {
    let (next, expired) = queue.pop(cx);
    remove_all(waiting, expired)?;
    let Some(id) = next else {
        return Ok(());
    };
    let (priority, deadline) = waiting.remove(&id).ok_or("started twice")?;
    if cx.now + SERVICE_TIME > deadline {
        return Err("started although it cannot finish".into());
    }
    if waiting.values().any(|(other, _)| *other < priority) {
        return Err("overtook a request of higher priority".into());
    }
    Ok(())
}

fn remove_all(
    waiting: &mut BTreeMap<u128, (u8, Instant)>,
    ids: impl IntoIterator<Item = u128>,
) -> Result<(), String> {
    for id in ids {
        waiting.remove(&id).ok_or("removed twice")?;
    }
    Ok(())
}

fn check<Q: Queue>(new: impl Fn() -> Q) -> Result<(), String> {
    let events = proptest::collection::vec(event(), 1..60);
    let config = Config { failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&events, |events| replay(&mut new(), &events).map_err(TestCaseError::fail))
        .map_err(|error| error.to_string())
}

#[test]
fn bounded_in_time_and_each_request_leaves_once() {
    let cfg = QueueConfig { max_len: MAX_LEN, initial_service_time: SERVICE_TIME, quantum: 1 };
    assert_eq!(check(|| DeadlineQueue::new(cfg.clone())), Ok(()));
}

#[test]
fn the_check_catches_plain_queues() {
    for max_len in [MAX_LEN, usize::MAX] {
        assert!(check(|| Fifo { max_len, waiting: VecDeque::new() }).is_err());
    }
}
