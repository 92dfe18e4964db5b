//! Reads of the store by followers, the members of a failure domain that do not watch it, in a
//! simulated network.

use super::net::{Net, name};
use rand::Rng as _;
use std::time::Duration;

/// Interval at which a driver asks whether it is its turn.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Largest difference of a wall clock from the true time, in milliseconds.
const MAX_CLOCK_ERROR_MS: i64 = 250;

/// Time in which some member must read a change, so that enough of the 6 s until it is in force
/// everywhere is left for its spread, which takes 2.83 s in `docs/requirements.md`.
const FOUND_WITHIN: Duration = Duration::from_secs(3);

/// State of a member at the time of the change.
#[derive(Clone, Copy, PartialEq)]
enum State {
    Sound,
    /// Killed or frozen just before.
    Silent,
    /// Running, but the store does not serve it.
    RefusedByStore,
}

/// Member as its driver sees it.
struct Driver {
    /// Time of the first check after the change.
    phase: Duration,
    /// Difference of the wall clock from the true time, in milliseconds.
    clock_error_ms: i64,
    /// Turn in which the driver has read the store last.
    last_turn: Option<u128>,
}

/// Returns the time from a change until a member other than a watcher reads it, or `None` if that
/// takes longer than [`FOUND_WITHIN`].
fn time_to_first_read(net: &mut Net, states: &[State]) -> Option<Duration> {
    let turn_at = |net: &Net, i: usize, driver: &Driver, at: Duration| {
        let domain = format!("d{}", i % 2).into();
        let wall_ms = at.as_millis() as i64 + driver.clock_error_ms;
        net.members[i].follower_turn(&domain, Duration::from_millis(wall_ms as u64))
    };
    let rng = &mut net.cx.rng;
    let change_at = Duration::from_millis(rng.random_range(1_790_000_000_000..1_790_000_060_000));
    let mut drivers = Vec::new();
    for i in 0..states.len() {
        let rng = &mut net.cx.rng;
        let phase = CHECK_INTERVAL.mul_f64(rng.random());
        let clock_error_ms = rng.random_range(-MAX_CLOCK_ERROR_MS..=MAX_CLOCK_ERROR_MS);
        let mut driver = Driver { phase, clock_error_ms, last_turn: None };
        // The check just before the change may have used the present turn.
        let last_check = change_at - (CHECK_INTERVAL - phase);
        driver.last_turn = turn_at(net, i, &driver, last_check);
        drivers.push(driver);
    }
    let mut elapsed = Duration::ZERO;
    while elapsed < FOUND_WITHIN {
        let mut reads = Vec::new();
        for (i, driver) in drivers.iter_mut().enumerate() {
            let checked_after = elapsed + driver.phase;
            let turn = turn_at(net, i, driver, change_at + checked_after);
            if turn.is_some() && turn != driver.last_turn {
                driver.last_turn = turn;
                reads.extend((states[i] == State::Sound).then_some(checked_after));
            }
        }
        if let Some(first) = reads.into_iter().min() {
            return Some(first);
        }
        elapsed += CHECK_INTERVAL;
        if elapsed.as_millis().is_multiple_of(1_000) {
            net.run(1);
        }
    }
    None
}

/// Guards against a change that no member reads because the watchers of all failure domains are
/// dead, frozen or refused by the store, also while the views of the others do not show it yet.
#[test]
fn followers_find_a_change_without_the_watchers() {
    struct Case {
        name: &'static str,
        watchers: State,
        others: State,
        /// Share of the other members that are in the state `others`.
        others_share: f64,
    }
    let cases = [
        Case {
            name: "watchers refused",
            watchers: State::RefusedByStore,
            others: State::Sound,
            others_share: 0.0,
        },
        Case {
            name: "watchers silent",
            watchers: State::Silent,
            others: State::Sound,
            others_share: 0.0,
        },
        Case {
            name: "a quarter of the others refused too",
            watchers: State::RefusedByStore,
            others: State::RefusedByStore,
            others_share: 0.25,
        },
        Case {
            name: "a quarter of the others silent too",
            watchers: State::RefusedByStore,
            others: State::Silent,
            others_share: 0.25,
        },
    ];
    let mut longest = Duration::ZERO;
    for case in cases {
        for count in [6, 7, 24, 60] {
            for seed in 0..12 {
                let mut net = Net::settled(seed, count);
                let mut states = vec![State::Sound; count];
                for (i, state) in states.iter_mut().enumerate() {
                    let domain = format!("d{}", i % 2).into();
                    if net.members[i].watchers(&domain).contains(&name(i)) {
                        *state = case.watchers;
                    } else if net.cx.rng.random_bool(case.others_share) {
                        *state = case.others;
                    }
                    net.is_running[i] = *state != State::Silent;
                }
                if states.iter().all(|state| *state != State::Sound) {
                    continue;
                }
                let found = time_to_first_read(&mut net, &states);
                let found = found.unwrap_or_else(|| panic!("{}, {count}, seed {seed}", case.name));
                longest = longest.max(found);
            }
        }
    }
    println!("found after {longest:?} at most");
}

/// Guards against followers that read the store too often: in a fleet whose clocks agree, one member
/// of a failure domain reads it in each turn of half a second.
#[test]
fn one_follower_reads_in_each_turn() {
    let net = Net::settled(3, 24);
    for turn in 0..40_u128 {
        let since_epoch = Duration::from_millis(turn as u64 * 500 + 250);
        let readers = (0..24).filter(|i| {
            let domain = format!("d{}", i % 2).into();
            net.members[*i].follower_turn(&domain, since_epoch) == Some(turn)
        });
        assert_eq!(readers.count(), 2, "one in each of the two domains");
    }
    for member in &net.members {
        let domain = &member.local_record().domain.clone();
        if member.watchers(domain).contains(member.local_instance()) {
            let turns = (0..40)
                .filter_map(|turn| member.follower_turn(domain, Duration::from_millis(turn * 500)));
            assert_eq!(turns.count(), 0, "a watcher has no turn");
        }
    }
}
