//! Decisions about memory and connections under the load patterns of clients that exhaust them.

use fescuemux_core::memory::{
    ConnectionKind, ConnectionSlots, ConnectionState, ConnectionVerdict, MemoryBudget, MemoryClass,
    ProcessLimits,
};
use std::time::{Duration, Instant};

const KB: u64 = 1024;

fn limits() -> ProcessLimits {
    ProcessLimits { memory_bytes: Some(96 << 20), max_descriptors: Some(400) }
}

/// Shares that add up to more than the limit would let several crowds together exceed it.
#[test]
fn shares_add_up_to_less_than_the_limits() {
    for (memory_mb, max_descriptors) in [(64, 300), (96, 400), (160, 1024), (512, 20_000)] {
        let memory_bytes = memory_mb << 20;
        let limits = ProcessLimits {
            memory_bytes: Some(memory_bytes),
            max_descriptors: Some(max_descriptors),
        };
        let kinds = [
            (ConnectionKind::Caller, 40 * KB),
            (ConnectionKind::Peer, 128 * KB),
            (ConnectionKind::Control, 40 * KB),
            (ConnectionKind::Ready, 40 * KB),
            (ConnectionKind::Metrics, 40 * KB),
        ];
        let counts = kinds.map(|(kind, bytes)| {
            let count = limits.max_connections(kind).expect("a limit");
            (count, count as u64 * bytes)
        });
        let classes = MemoryClass::ALL.map(|class| limits.class_bytes(class).expect("a limit"));
        let sockets: usize = counts.iter().map(|(count, _)| count).sum();
        let bytes = classes.iter().sum::<u64>() + counts.iter().map(|(_, b)| b).sum::<u64>();
        assert!(sockets < (max_descriptors - 200) * 3 / 4, "{sockets} of {max_descriptors}");
        assert!(
            bytes < memory_bytes - (memory_bytes - (24 << 20)) / 4,
            "{bytes} of {memory_mb} MB"
        );
    }
}

/// Without limits in the settings, nothing may be refused.
#[test]
fn without_limits_everything_is_granted() {
    let mut budget = MemoryBudget::new(ProcessLimits::default());
    let id = budget.insert(MemoryClass::Bulk, None);
    assert!(budget.grow_or_wait(Instant::now(), id, 1 << 40));
    let mut slots = ConnectionSlots::new(ProcessLimits::default());
    for _ in 0..1000 {
        assert_eq!(slots.check(Instant::now(), ConnectionKind::Caller), ConnectionVerdict::Accept);
        slots.insert(Instant::now(), ConnectionKind::Caller);
    }
}

/// Large bodies must not take the share of small ones and of the machine's own server.
#[test]
fn bulk_leaves_the_other_shares() {
    let now = Instant::now();
    let mut budget = MemoryBudget::new(limits());
    while {
        let id = budget.insert(MemoryClass::Bulk, Some(500 * KB));
        budget.grow_or_wait(now, id, 500 * KB)
    } {}
    for class in [MemoryClass::Small, MemoryClass::Own, MemoryClass::Response] {
        let id = budget.insert(class, Some(16 * KB));
        assert!(budget.grow_or_wait(now, id, 16 * KB), "{class:?}");
    }
}

/// Fills the share of large bodies and returns their ids. Each has `left` bytes left.
fn fill(budget: &mut MemoryBudget, left: Option<u64>) -> Vec<u64> {
    let mut ids = Vec::new();
    loop {
        let id = budget.insert(MemoryClass::Bulk, left);
        if !budget.try_grow(id, 500 * KB) {
            budget.remove(id);
            return ids;
        }
        ids.push(id);
    }
}

/// Bodies that stop short must not hold memory that others wait for; nor may they be released
/// without need.
#[test]
fn stalled_bodies_are_released_under_pressure_only() {
    let start = Instant::now();
    let mut budget = MemoryBudget::new(limits());
    let ids = fill(&mut budget, Some(1));
    ids.iter().for_each(|id| budget.on_read_start(start, *id));
    let later = start + Duration::from_secs(3);
    assert!(budget.advance(later).released.is_empty());
    let waiting = budget.insert(MemoryClass::Bulk, Some(500 * KB));
    assert!(!budget.grow_or_wait(later, waiting, 500 * KB));
    let released = budget.advance(later).released;
    assert_eq!(released, [ids[0]]);
    budget.remove(ids[0]);
    assert_eq!(budget.advance(later).granted, [waiting]);
}

/// A body whose client sends must not be released in place of one that has stopped.
#[test]
fn bodies_that_arrive_are_kept() {
    let start = Instant::now();
    let mut budget = MemoryBudget::new(limits());
    let ids = fill(&mut budget, Some(100 * KB));
    let later = start + Duration::from_millis(600);
    for id in &ids {
        budget.on_read_start(start, *id);
    }
    for id in &ids[1..] {
        budget.on_read(*id, KB);
        budget.on_read_start(later, *id);
    }
    let waiting = budget.insert(MemoryClass::Bulk, None);
    assert!(!budget.grow_or_wait(later, waiting, 500 * KB));
    assert_eq!(budget.advance(later).released, [ids[0]]);
    assert!(budget.advance(later).released.is_empty());
}

/// If all bodies wait for memory, none would ever end. The one furthest from its end yields, and the
/// one closest to it proceeds first.
#[test]
fn waiting_bodies_do_not_block_each_other() {
    let start = Instant::now();
    let mut budget = MemoryBudget::new(limits());
    let ids = fill(&mut budget, Some(400 * KB));
    let (near, far) = (ids[1], ids[2]);
    budget.on_read(near, 399 * KB);
    ids.iter().for_each(|id| assert!(!budget.grow_or_wait(start, *id, 500 * KB)));
    let unknown = budget.insert(MemoryClass::Bulk, None);
    assert!(!budget.grow_or_wait(start, unknown, 500 * KB));
    assert!(budget.advance(start).released.is_empty());
    let later = start + Duration::from_millis(250);
    assert_eq!(budget.advance(later).released, [unknown]);
    budget.remove(unknown);
    let later = later + Duration::from_millis(250);
    let released = budget.advance(later).released;
    assert!(released.len() == 1 && released[0] != near, "{released:?}, {far}");
    budget.remove(released[0]);
    assert_eq!(budget.advance(later).granted, [near]);
}

/// A full process closes the connection that is idle the longest, or else one whose client does not
/// read, and none that is in use.
#[test]
fn the_longest_idle_connection_is_closed() {
    let start = Instant::now();
    let mut slots = ConnectionSlots::new(limits());
    let max = limits().max_connections(ConnectionKind::Caller).expect("a limit");
    let ids: Vec<_> = (0..max)
        .map(|age| slots.insert(start + Duration::from_millis(age as u64), ConnectionKind::Caller))
        .collect();
    slots.set_state(ids[0], ConnectionState::Handling);
    assert_eq!(slots.check(start, ConnectionKind::Caller), ConnectionVerdict::CloseFirst(ids[1]));
    assert_eq!(slots.check(start, ConnectionKind::Control), ConnectionVerdict::Accept);
    ids.iter().for_each(|id| slots.set_state(*id, ConnectionState::Handling));
    assert_eq!(slots.check(start, ConnectionKind::Caller), ConnectionVerdict::Wait);
    slots.set_state(ids[5], ConnectionState::Sending(start));
    assert_eq!(slots.check(start, ConnectionKind::Caller), ConnectionVerdict::Wait);
    let later = start + Duration::from_secs(2);
    assert_eq!(slots.check(later, ConnectionKind::Caller), ConnectionVerdict::CloseFirst(ids[5]));
    slots.remove(ids[3]);
    assert_eq!(slots.check(start, ConnectionKind::Caller), ConnectionVerdict::Accept);
}
