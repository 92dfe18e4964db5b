//! Configuration: operators that confirm plans, and how generations reach an instance.

use super::broken::InjectedBug;
use super::check::FLOOR;
use super::events::{Confirming, Event, Reply, Then};
use super::fault::FaultKind;
use super::instance::{domain_of, service_id};
use super::record::Event as Seen;
use super::store::{Answer, Key, Op, Value};
use super::world::World;
use fescuemux_core::base::Generation;
use fescuemux_core::config::{
    Config, ConfirmRequest, ConfirmStep, Head, HeadComparison, PendingConfirm, Service,
    StepResult as Told,
};
use rand::Rng as _;
use std::time::Duration;

/// Interval at which a watcher reads the head in place of a watch that waits.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);
/// As in the daemon.
const ALONE_AFTER: Duration = Duration::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(250);
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(8);
/// Mean time between two plans.
const PLAN_INTERVAL: u64 = 8_000;

impl World {
    pub(super) fn on_operator_due(&mut self) {
        let next = Duration::from_millis(self.cx.rng.random_range(0..2 * PLAN_INTERVAL));
        self.after(next, super::events::Target::World, Event::Operator);
        let stale = self.fault(FaultKind::StalePlans).is_some();
        let operators = if stale { 3 } else { 1 };
        for _ in 0..operators {
            let i = self.cx.rng.random_range(0..super::check::INSTANCES);
            if self.instances[i].up {
                self.after_in(i, Duration::from_millis(10), Event::Propose { stale });
            }
        }
    }

    /// Makes a plan on the head that was read and confirms it, sometimes much later, sometimes
    /// twice.
    pub(super) fn on_plan_base(&mut self, i: usize, stale: bool, answer: Answer) {
        let Answer::Got(_, value) = answer else { return };
        let base = head_of(value).map_or(0, |(head, _)| head.generation());
        let plan = u128::from(self.number());
        let time = self.wall(i);
        let update = ConfirmRequest { plan, base, author: "operator".into(), time };
        let confirm = PendingConfirm::new(update);
        let config = World::content(base + 1);
        let confirming = Confirming { plan, confirm, config, pause: RETRY_PAUSE };
        let think = if stale { 20_000 } else { 500 };
        let delay = Duration::from_millis(self.cx.rng.random_range(0..think));
        self.begin_confirm(i, delay, confirming.clone());
        if self.cx.rng.random_bool(0.2) {
            let again = delay + Duration::from_millis(self.cx.rng.random_range(0..5_000));
            let other = self.cx.rng.random_range(0..super::check::INSTANCES);
            if self.instances[other].up {
                self.begin_confirm(other, again, confirming);
            }
        }
    }

    pub(super) fn step_confirm(&mut self, i: usize, mut confirming: Confirming) {
        let op = match confirming.confirm.step() {
            ConfirmStep::Done(outcome) => {
                let (plan, outcome) = (confirming.plan, *outcome);
                self.record(Seen::Told { plan, outcome });
                return;
            }
            ConfirmStep::ReadHead => Op::Get(Key::Head),
            // Chunks are immutable and stand beside the head here.
            ConfirmStep::WriteChunks(_) => {
                confirming.confirm.on_reply(Told::Chunks(vec![]));
                self.step_confirm(i, confirming);
                return;
            }
            ConfirmStep::SwapHead(version, head) => {
                let value = (head.as_ref().clone(), confirming.config.clone());
                Op::Swap(Key::Head, version.unwrap_or(0), Value::Head(Box::new(value)))
            }
        };
        self.store(i, op, Then::Confirm(Box::new(confirming)));
    }

    pub(super) fn on_confirm_reply(
        &mut self,
        i: usize,
        mut confirming: Confirming,
        answer: Answer,
    ) {
        let told = match answer {
            Answer::Got(version, value) => {
                Told::Head(head_of(value).map(|(head, _)| (version, Box::new(head))))
            }
            Answer::Done => Told::Swapped,
            Answer::Conflict(version) => Told::Conflict((version > 0).then_some(version)),
            Answer::Unknown if self.is(InjectedBug::UnknownIsConfirmed) => Told::Swapped,
            Answer::Unknown => Told::SwapUnknown,
            Answer::Failed => Told::ReadFailed,
        };
        let is_setback = !matches!(told, Told::Head(_) | Told::Swapped);
        confirming.confirm.on_reply(told);
        if is_setback && !matches!(confirming.confirm.step(), ConfirmStep::Done(_)) {
            let pause = confirming.pause;
            confirming.pause *= 2;
            self.begin_confirm(i, pause, confirming);
            return;
        }
        self.step_confirm(i, confirming);
    }

    fn is_watcher(&self, i: usize) -> bool {
        let instance = &self.instances[i];
        instance.membership.watchers(&domain_of(i)).contains(&instance.id)
    }

    /// Returns the content of a generation: two services with their floors.
    fn content(generation: Generation) -> Config {
        let mut config = Config::default();
        for index in 0..2 {
            let mut service = Service::new(service_id(index));
            service.floor_slots = FLOOR;
            service.default_deadline = Duration::from_secs(3) + Duration::from_millis(generation);
            config.services.insert(service.id.clone(), service);
        }
        config
    }

    /// Starts a confirm of a plan at an instance.
    fn begin_confirm(&mut self, i: usize, delay: Duration, confirming: Confirming) {
        self.after_in(i, delay, Event::Confirm(Box::new(confirming)));
    }

    pub(super) fn tick_watch(&mut self, i: usize) {
        let now = self.mono();
        let watches = self.is_watcher(i);
        let instance = &mut self.instances[i];
        let age = now.saturating_duration_since(instance.started.monotonic);
        let alone = instance.current.generation() == 0 && age >= ALONE_AFTER;
        if instance.watch.in_store || now < instance.watch.next || !(watches || alone) {
            return;
        }
        instance.watch.in_store = true;
        self.store(i, Op::Get(Key::Head), Then::HeadSeen);
    }

    pub(super) fn on_head_seen(&mut self, i: usize, answer: Answer) {
        let now = self.mono();
        let factor = self.cx.rng.random_range(0.5..1.5);
        let watch = &mut self.instances[i].watch;
        watch.in_store = false;
        let Answer::Got(_, value) = answer else {
            watch.next = now + watch.pause.mul_f64(factor);
            watch.pause = (watch.pause * 2).min(MAX_RETRY_PAUSE);
            return;
        };
        watch.pause = RETRY_PAUSE;
        watch.next = now + WATCH_INTERVAL;
        if let Some((head, config)) = head_of(value) {
            self.install(i, head, config);
        }
    }

    pub(super) fn on_pulled(&mut self, i: usize, reply: Reply) {
        self.instances[i].watch.pulling = false;
        if let Reply::Config(Some(newer)) = reply {
            let (head, config) = *newer;
            self.install(i, head, config);
        }
    }

    pub(super) fn newer_config(
        &self,
        i: usize,
        generation: Generation,
    ) -> Option<Box<(Head, Config)>> {
        let instance = &self.instances[i];
        let head = instance.current.head().filter(|head| head.generation() > generation)?;
        Some(Box::new((head.clone(), instance.config.clone()?)))
    }

    fn install(&mut self, i: usize, head: Head, config: Config) {
        let any = self.is(InjectedBug::InstallAny);
        let instance = self.instance(i);
        let (generation, plan) = (head.generation(), head.plan());
        if any && generation != instance.current.generation() {
            instance.current = fescuemux_core::config::CurrentHead::new();
        }
        if instance.current.install(head) != HeadComparison::Newer {
            return;
        }
        instance.config = Some(config);
        self.record(Seen::InForce { instance: i, generation, plan });
        self.publish_generation(i, generation);
    }
}

fn head_of(value: Option<Value>) -> Option<(Head, Config)> {
    match value {
        Some(Value::Head(content)) => Some(*content),
        _ => None,
    }
}
