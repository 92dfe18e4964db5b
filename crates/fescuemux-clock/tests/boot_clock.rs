//! The clock keeps up with the monotonic time of the standard library while nothing suspends the
//! machine.

use fescuemux_clock::BootClock;
use fescuemux_core::base::Clock;
use std::time::{Duration, Instant};

#[test]
fn time_passes_at_least_as_fast_as_monotonic_time() {
    let clock = BootClock::new();
    let (clock_start, start) = (clock.now(), Instant::now());
    std::thread::sleep(Duration::from_millis(20));
    let elapsed = start.elapsed();
    assert!(clock.now() - clock_start >= elapsed);
}
