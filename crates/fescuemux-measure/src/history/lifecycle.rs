//! Starts, stops and crashes of processes, and the begin and end of faults.

use super::broken::InjectedBug;
use super::check::INSTANCES;
use super::events::{Event, Target};
use super::fault::{Fault, FaultKind};
use super::instance::{Instance, Stop};
use super::record::Event as Seen;
use super::world::World;
use fescuemux_core::base::Phase;
use fescuemux_core::dedup::ClockReading;
use rand::Rng as _;
use std::time::Duration;

/// Time between the phases of a planned stop, as in the daemon.
const LEAVE_TIME: Duration = Duration::from_millis(1_500);
/// Longest wait for work under way, as the settings of the daemon have it.
const GRACE: Duration = Duration::from_secs(30);

impl World {
    pub(super) fn process(&mut self, index: usize, life: u64) -> Instance {
        let now = self.since(index);
        let memory = if self.is(InjectedBug::ForgottenRestart) && life > 0 {
            let long = Duration::from_secs(3_600);
            ClockReading {
                monotonic: now.monotonic - Duration::from_secs(1),
                wall: now.wall - long,
            }
        } else {
            now
        };
        let seed = self.cx.rng.random();
        Instance::new(index, life, now, memory, seed)
    }

    /// Starts the present process of an instance.
    pub(super) fn begin(&mut self, i: usize) {
        self.record(Seen::Up { instance: i });
        let offset = Duration::from_millis(self.cx.rng.random_range(1..100));
        self.after_in(i, offset, Event::Tick);
        for server in [2 * i, 2 * i + 1] {
            let delay = Duration::from_millis(self.cx.rng.random_range(0..1_000));
            self.after_in(i, delay, Event::Announce { server });
        }
        let seeds = (0..INSTANCES).filter(|seed| *seed != i).map(super::instance::address);
        let instance = self.instance(i);
        let sends = instance.membership.join(&mut instance.cx, seeds.collect());
        self.carry_sends(i, sends);
    }

    pub(super) fn start_again(&mut self, i: usize) {
        if !self.instances[i].up {
            let life = self.instances[i].life + 1;
            self.instances[i] = self.process(i, life);
            self.begin(i);
        }
    }

    /// Ends a process. Connections in use are cut.
    pub(super) fn end(&mut self, i: usize, planned: bool) {
        let instance = &mut self.instances[i];
        instance.up = false;
        let callers = instance.flights.values().map(|flight| flight.order.send);
        let works = instance.works.values().filter(|work| work.open);
        let cut: Vec<u64> = callers.chain(works.map(|work| work.item.hop.order.send)).collect();
        for send in cut {
            self.record(Seen::Cut { instance: i, send });
        }
        self.record(Seen::Down { instance: i, planned });
    }

    pub(super) fn on_fault(&mut self, index: usize, fault: Fault) {
        self.record(Seen::FaultBegins { fault: index });
        let i = fault.instance();
        match fault.kind {
            FaultKind::Pause => self.paused[i] = self.paused[i].max(fault.end()),
            FaultKind::Crash if self.instances[i].up => self.end(i, false),
            FaultKind::PlannedStop
                if self.instances[i].up && self.instances[i].stop == Stop::Running =>
            {
                self.after_in(i, Duration::ZERO, Event::StopCloses);
            }
            FaultKind::ServerDrains => self.set_phase(fault.place, Phase::Draining),
            _ => {}
        }
    }

    pub(super) fn on_fault_end(&mut self, index: usize, fault: Fault) {
        self.record(Seen::FaultEnds { fault: index });
        match fault.kind {
            FaultKind::Crash => self.start_again(fault.instance()),
            FaultKind::ServerDrains => self.set_phase(fault.place, Phase::Ready),
            _ => {}
        }
    }

    pub(super) fn set_phase(&mut self, server: usize, phase: Phase) {
        self.phases[server] = phase;
        self.record(Seen::Draining { server, draining: phase == Phase::Draining });
        let i = server / 2;
        if self.instances[i].up {
            self.after_in(i, Duration::from_millis(1), Event::Announce { server });
        }
    }

    /// Advances a planned stop: first peers are told, then new work is refused.
    pub(super) fn advance_stop(&mut self, i: usize) {
        if self.instances[i].stop == Stop::Running {
            self.instances[i].stop = Stop::Leaving;
            self.leave_fleet(i);
            self.leave_roster(i);
            self.after_in(i, LEAVE_TIME, Event::StopCloses);
            return;
        }
        self.instances[i].stop = Stop::Closing;
        let by = self.now + GRACE;
        self.after_in(i, Duration::ZERO, Event::StopEnds { by });
    }

    pub(super) fn end_stop(&mut self, i: usize, by: Duration) {
        let instance = &self.instances[i];
        let waiting = instance.servers.values().any(|server| !server.queue.is_empty());
        let works = instance.works.values().any(|work| work.open);
        let busy = !instance.flights.is_empty() || works || waiting;
        if busy && self.now < by && !self.is(InjectedBug::StopAtOnce) {
            self.after_in(i, Duration::from_millis(20), Event::StopEnds { by });
            return;
        }
        self.end(i, true);
        let rest = Duration::from_millis(self.cx.rng.random_range(1_000..30_000));
        self.after(rest, Target::World, Event::Start { instance: i });
    }
}
