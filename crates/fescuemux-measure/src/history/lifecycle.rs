//! Process starts, planned stops and crashes, and the start and end of faults.

use super::broken::InjectedBug;
use super::check::INSTANCES;
use super::events::{Event, Target};
use super::fault::{Fault, FaultKind};
use super::instance::{Instance, StopPhase};
use super::record::Event as HistoryEvent;
use super::world::World;
use fescuemux_core::base::Phase;
use fescuemux_core::dedup::ClockReading;
use rand::Rng as _;
use std::time::Duration;

/// Time between the announcement that an instance leaves and its refusal of new requests, as in the
/// daemon.
const LEAVE_DELAY: Duration = Duration::from_millis(1_500);
/// Longest wait for requests in flight; the default of the daemon's settings.
const STOP_GRACE: Duration = Duration::from_secs(30);

impl World {
    pub(super) fn new_process(&mut self, index: usize, process_id: u64) -> Instance {
        let now = self.clock_reading(index);
        let registry_since = if self.has_bug(InjectedBug::ForgottenRestart) && process_id > 0 {
            let age = Duration::from_secs(3_600);
            ClockReading { monotonic: now.monotonic - Duration::from_secs(1), wall: now.wall - age }
        } else {
            now
        };
        let seed = self.cx.rng.random();
        Instance::new(index, process_id, now, registry_since, seed)
    }

    /// Starts the current process of an instance.
    pub(super) fn start_process(&mut self, i: usize) {
        self.record(HistoryEvent::Up { instance: i });
        let offset = Duration::from_millis(self.cx.rng.random_range(1..100));
        self.schedule_for_process(i, offset, Event::Tick);
        for server in [2 * i, 2 * i + 1] {
            let delay = Duration::from_millis(self.cx.rng.random_range(0..1_000));
            self.schedule_for_process(i, delay, Event::Announce { server });
        }
        let seed_addresses = (0..INSTANCES).filter(|peer| *peer != i).map(super::instance::address);
        let instance = self.instance(i);
        let sends = instance.membership.join(&mut instance.cx, seed_addresses.collect());
        self.send_all(i, sends);
    }

    pub(super) fn restart_process(&mut self, i: usize) {
        if !self.instances[i].is_up {
            let process_id = self.instances[i].process_id + 1;
            self.instances[i] = self.new_process(i, process_id);
            self.start_process(i);
        }
    }

    /// Ends a process and records each connection in use as cut.
    pub(super) fn end_process(&mut self, i: usize, planned: bool) {
        let instance = &mut self.instances[i];
        instance.is_up = false;
        let callers = instance.in_flight.values().map(|flight| flight.request.send);
        let running = instance.running.values().filter(|request| request.open);
        let cut: Vec<u64> =
            callers.chain(running.map(|request| request.item.hop.request.send)).collect();
        for send in cut {
            self.record(HistoryEvent::Cut { instance: i, send });
        }
        self.record(HistoryEvent::Down { instance: i, planned });
    }

    pub(super) fn on_fault(&mut self, index: usize, fault: Fault) {
        self.record(HistoryEvent::FaultBegins { fault: index });
        let i = fault.instance();
        match fault.kind {
            FaultKind::Pause => self.paused_until[i] = self.paused_until[i].max(fault.end()),
            FaultKind::Crash if self.instances[i].is_up => self.end_process(i, false),
            FaultKind::PlannedStop
                if self.instances[i].is_up
                    && self.instances[i].stop_phase == StopPhase::Running =>
            {
                self.schedule_for_process(i, Duration::ZERO, Event::AdvanceStop);
            }
            FaultKind::ServerDrains => self.set_phase(fault.place, Phase::Draining),
            _ => {}
        }
    }

    pub(super) fn on_fault_end(&mut self, index: usize, fault: Fault) {
        self.record(HistoryEvent::FaultEnds { fault: index });
        match fault.kind {
            FaultKind::Crash => self.restart_process(fault.instance()),
            FaultKind::ServerDrains => self.set_phase(fault.place, Phase::Ready),
            _ => {}
        }
    }

    pub(super) fn set_phase(&mut self, server: usize, phase: Phase) {
        self.phases[server] = phase;
        self.record(HistoryEvent::Draining { server, draining: phase == Phase::Draining });
        let i = server / 2;
        if self.instances[i].is_up {
            self.schedule_for_process(i, Duration::from_millis(1), Event::Announce { server });
        }
    }

    /// Advances a planned stop: first the instance announces that it leaves, then it refuses new
    /// requests.
    pub(super) fn advance_stop(&mut self, i: usize) {
        if self.instances[i].stop_phase == StopPhase::Running {
            self.instances[i].stop_phase = StopPhase::Leaving;
            self.leave_fleet(i);
            self.leave_roster(i);
            self.schedule_for_process(i, LEAVE_DELAY, Event::AdvanceStop);
            return;
        }
        self.instances[i].stop_phase = StopPhase::Closing;
        let deadline = self.now + STOP_GRACE;
        self.schedule_for_process(i, Duration::ZERO, Event::PollStop { deadline });
    }

    /// Ends a stopping process once no request is in flight, or at the deadline, and schedules the
    /// restart.
    pub(super) fn poll_stop(&mut self, i: usize, deadline: Duration) {
        let instance = &self.instances[i];
        let queued = instance.servers.values().any(|server| !server.queue.is_empty());
        let running = instance.running.values().any(|request| request.open);
        let busy = !instance.in_flight.is_empty() || running || queued;
        if busy && self.now < deadline && !self.has_bug(InjectedBug::StopAtOnce) {
            self.schedule_for_process(i, Duration::from_millis(20), Event::PollStop { deadline });
            return;
        }
        self.end_process(i, true);
        let downtime = Duration::from_millis(self.cx.rng.random_range(1_000..30_000));
        self.schedule_after(downtime, Target::World, Event::StartInstance { instance: i });
    }
}
