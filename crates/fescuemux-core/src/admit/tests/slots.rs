//! Property test of slots with random sequences of acquisitions, releases, cancellations, stale
//! releases and ingress crashes.

use crate::admit::Slots;
use proptest::prelude::{Strategy, TestCaseError, prop_oneof};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SLOTS: u32 = 4;

#[derive(Clone, Debug)]
enum Event {
    Acquire {
        owner: u8,
    },
    /// Releases the slot of the running request with the index `position`, through
    /// [`Slots::release_canceled`] if `cancel` is true.
    Release {
        position: usize,
        cancel: bool,
    },
    /// Releases a permit that is already released or was never granted.
    StaleRelease {
        id: u64,
        cancel: bool,
    },
    Crash {
        owner: u8,
    },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..3u8).prop_map(|owner| Event::Acquire { owner }),
        2 => (0..4usize, proptest::bool::ANY)
            .prop_map(|(position, cancel)| Event::Release { position, cancel }),
        1 => (0..20u64, proptest::bool::ANY).prop_map(|(id, cancel)| Event::StaleRelease { id, cancel }),
        1 => (0..3u8).prop_map(|owner| Event::Crash { owner }),
    ]
}

/// Interface of [`Slots`] and of the broken variants.
trait SlotCounter {
    fn acquire(&mut self, owner: u8) -> Option<u64>;
    fn release(&mut self, id: u64, cancel: bool);
    fn permits_of(&self, owner: u8) -> Vec<u64>;
}

impl SlotCounter for Slots<u8> {
    fn acquire(&mut self, owner: u8) -> Option<u64> {
        Slots::acquire(self, owner)
    }

    fn release(&mut self, id: u64, cancel: bool) {
        match cancel {
            true => self.release_canceled(id),
            false => self.release(id),
        };
    }

    fn permits_of(&self, owner: u8) -> Vec<u64> {
        Slots::permits_of(self, &owner)
    }
}

/// Counts requests without distinguishing permits; holds the count and the last permit id.
struct CountOnly(u32, u64);

impl SlotCounter for CountOnly {
    fn acquire(&mut self, _owner: u8) -> Option<u64> {
        (self.0 < SLOTS).then(|| {
            self.0 += 1;
            self.1 += 1;
            self.1
        })
    }

    fn release(&mut self, _id: u64, _cancel: bool) {
        self.0 = self.0.saturating_sub(1);
    }

    fn permits_of(&self, _owner: u8) -> Vec<u64> {
        vec![]
    }
}

/// Leaks the slots of canceled requests.
struct LeaksCanceled(Slots<u8>);

impl SlotCounter for LeaksCanceled {
    fn acquire(&mut self, owner: u8) -> Option<u64> {
        self.0.acquire(owner)
    }

    fn release(&mut self, id: u64, cancel: bool) {
        if !cancel {
            self.0.release(id);
        }
    }

    fn permits_of(&self, owner: u8) -> Vec<u64> {
        self.0.permits_of(&owner)
    }
}

/// Leaks the slots of a crashed ingress.
struct LeaksCrashed(Slots<u8>);

impl SlotCounter for LeaksCrashed {
    fn acquire(&mut self, owner: u8) -> Option<u64> {
        self.0.acquire(owner)
    }

    fn release(&mut self, id: u64, _cancel: bool) {
        self.0.release(id);
    }

    fn permits_of(&self, _owner: u8) -> Vec<u64> {
        vec![]
    }
}

/// Replays `events` against a model of the backend server.
fn replay(slots: &mut impl SlotCounter, events: &[Event]) -> Result<(), String> {
    let mut running: Vec<(u64, u8)> = vec![];
    for event in events {
        match *event {
            Event::Acquire { owner } => acquire(slots, &mut running, owner)?,
            Event::Release { position, cancel } if position < running.len() => {
                let (id, _) = running.remove(position);
                slots.release(id, cancel);
            }
            Event::Release { .. } => {}
            Event::StaleRelease { id, cancel } => {
                if running.iter().all(|(other, _)| *other != id) {
                    slots.release(id, cancel);
                }
            }
            Event::Crash { owner } => {
                for id in slots.permits_of(owner) {
                    running.retain(|(other, _)| *other != id);
                    slots.release(id, true);
                }
                // The server cancels the requests of closed connections, even those missing in
                // `permits_of`.
                running.retain(|(_, other)| *other != owner);
            }
        }
    }
    for (id, _) in running.drain(..) {
        slots.release(id, false);
    }
    for _ in 0..SLOTS {
        acquire(slots, &mut running, 0)?;
    }
    Ok(())
}

fn acquire(
    slots: &mut impl SlotCounter,
    running: &mut Vec<(u64, u8)>,
    owner: u8,
) -> Result<(), String> {
    let free = running.len() < SLOTS as usize;
    match slots.acquire(owner) {
        Some(_) if !free => Err("more requests than slots".into()),
        None if free => Err("a slot is lost".into()),
        Some(id) => {
            running.push((id, owner));
            Ok(())
        }
        None => Ok(()),
    }
}

fn check<C: SlotCounter>(new: impl Fn() -> C) -> Result<(), String> {
    let events = proptest::collection::vec(event(), 1..120);
    let config = Config { failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&events, |events| replay(&mut new(), &events).map_err(TestCaseError::fail))
        .map_err(|error| error.to_string())
}

#[test]
fn concurrency_never_exceeds_the_limit_and_no_slot_is_lost() {
    assert_eq!(check(|| Slots::new(SLOTS)), Ok(()));
}

#[test]
fn the_check_catches_broken_counters() {
    assert!(check(|| CountOnly(0, 0)).is_err());
    assert!(check(|| LeaksCanceled(Slots::new(SLOTS))).is_err());
    assert!(check(|| LeaksCrashed(Slots::new(SLOTS))).is_err());
}

/// Guards against an underflow when the limit is set below the number of running requests.
#[test]
fn a_lower_limit_lets_running_requests_finish() {
    let mut slots = Slots::new(2);
    let ids: Vec<_> = (0..2).filter_map(|_| slots.acquire(())).collect();
    slots.set_limit(1);
    assert_eq!((slots.free(), slots.acquire(())), (0, None));
    slots.release(ids[0]);
    assert_eq!(slots.acquire(()), None);
    slots.release(ids[1]);
    assert!(slots.acquire(()).is_some());
}
