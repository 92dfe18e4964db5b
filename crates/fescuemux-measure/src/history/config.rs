//! Configuration: operators confirm plans, and generations reach the instances.

use super::broken::InjectedBug;
use super::check::FLOOR_SLOTS;
use super::events::{ConfirmTask, Event, Reply, StoreContinuation};
use super::fault::FaultKind;
use super::instance::{domain_of, service_id};
use super::record::Event as HistoryEvent;
use super::store::{RecordKey, RecordValue, StoreAnswer, StoreOp};
use super::world::World;
use fescuemux_core::base::Generation;
use fescuemux_core::config::{
    Config, ConfirmRequest, ConfirmStep, Head, HeadComparison, PendingConfirm, Service, StepResult,
};
use rand::Rng as _;
use std::time::{Duration, UNIX_EPOCH};

/// Interval at which a watcher reads the configuration head from the store. The watchers of a
/// failure domain do so for all its instances. The daemon uses a long poll instead.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);
/// Time after its start from which an instance without configuration reads the head even if it is
/// not a watcher, as in the daemon.
const DIRECT_READ_DELAY: Duration = Duration::from_secs(2);
// The retry delays are those of the daemon.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(250);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);
/// Mean time between two requests of operators for plans, in milliseconds.
const PLAN_INTERVAL_MS: u64 = 8_000;

impl World {
    pub(super) fn on_operator_due(&mut self) {
        let delay = Duration::from_millis(self.cx.rng.random_range(0..2 * PLAN_INTERVAL_MS));
        self.schedule_after(delay, super::events::Target::World, Event::OperatorDue);
        let confirm_late = self.active_fault(FaultKind::StalePlans).is_some();
        let operator_count = if confirm_late { 3 } else { 1 };
        for _ in 0..operator_count {
            let i = self.cx.rng.random_range(0..super::check::INSTANCES);
            if self.instances[i].is_up {
                self.schedule_for_process(
                    i,
                    Duration::from_millis(10),
                    Event::RequestPlan { confirm_late },
                );
            }
        }
    }

    /// Creates a plan based on the head that was read and confirms the plan after a delay,
    /// sometimes also a second time at another instance.
    pub(super) fn on_plan_base(&mut self, i: usize, confirm_late: bool, answer: StoreAnswer) {
        let StoreAnswer::Got(_, value) = answer else { return };
        let base = head_of(value).map_or(0, |(head, _)| head.generation());
        let plan = u128::from(self.next_id());
        let time = self.wall_clock(i);
        let request = ConfirmRequest { plan, base, author: "operator".into(), time };
        let confirm = PendingConfirm::new(request);
        let config = World::config_of_generation(base + 1);
        let task = ConfirmTask { plan, confirm, config, retry_delay: INITIAL_RETRY_DELAY };
        let max_delay_ms = if confirm_late { 20_000 } else { 500 };
        let delay = Duration::from_millis(self.cx.rng.random_range(0..max_delay_ms));
        self.schedule_confirm(i, delay, task.clone());
        if self.cx.rng.random_bool(0.2) {
            let second_delay = delay + Duration::from_millis(self.cx.rng.random_range(0..5_000));
            let other = self.cx.rng.random_range(0..super::check::INSTANCES);
            if self.instances[other].is_up {
                self.schedule_confirm(other, second_delay, task);
            }
        }
    }

    pub(super) fn step_confirm(&mut self, i: usize, mut task: ConfirmTask) {
        let op = match task.confirm.step() {
            ConfirmStep::Done(outcome) => {
                let (plan, outcome) = (task.plan, *outcome);
                self.record(HistoryEvent::Told { plan, outcome });
                return;
            }
            ConfirmStep::ReadHead => StoreOp::Get(RecordKey::Head),
            // This store keeps the configuration with the head, so there are no chunks to write.
            ConfirmStep::WriteChunks(_) => {
                task.confirm.on_result(StepResult::ChunksWritten(vec![]));
                self.step_confirm(i, task);
                return;
            }
            ConfirmStep::SwapHead(version, head) => {
                let value = (head.as_ref().clone(), task.config.clone());
                StoreOp::Swap(
                    RecordKey::Head,
                    version.unwrap_or(0),
                    RecordValue::Head(Box::new(value)),
                )
            }
        };
        self.call_store(i, op, StoreContinuation::Confirm(Box::new(task)));
    }

    pub(super) fn on_confirm_reply(
        &mut self,
        i: usize,
        mut task: ConfirmTask,
        answer: StoreAnswer,
    ) {
        let result = match answer {
            StoreAnswer::Got(version, value) => {
                StepResult::HeadRead(head_of(value).map(|(head, _)| (version, Box::new(head))))
            }
            StoreAnswer::Done => StepResult::Swapped,
            StoreAnswer::Conflict(version) => {
                StepResult::Conflict((version > 0).then_some(version))
            }
            StoreAnswer::Unknown if self.has_bug(InjectedBug::UnknownIsConfirmed) => {
                StepResult::Swapped
            }
            StoreAnswer::Unknown => StepResult::SwapUnknown,
            StoreAnswer::Failed => StepResult::ReadFailed,
        };
        let needs_retry = !matches!(result, StepResult::HeadRead(_) | StepResult::Swapped);
        task.confirm.on_result(result);
        if needs_retry && !matches!(task.confirm.step(), ConfirmStep::Done(_)) {
            let delay = task.retry_delay;
            task.retry_delay *= 2;
            self.schedule_confirm(i, delay, task);
            return;
        }
        self.step_confirm(i, task);
    }

    fn is_watcher(&self, i: usize) -> bool {
        let instance = &self.instances[i];
        instance.membership.watchers(&domain_of(i)).contains(&instance.id)
    }

    /// Returns the configuration of a generation: two services with their floors and with default
    /// deadlines that differ between generations.
    fn config_of_generation(generation: Generation) -> Config {
        let mut config = Config::default();
        for index in 0..2 {
            let mut service = Service::new(service_id(index));
            service.floor_slots = FLOOR_SLOTS;
            service.default_deadline = Duration::from_secs(3) + Duration::from_millis(generation);
            config.services.insert(service.id.clone(), service);
        }
        config
    }

    /// Schedules the next step of a confirmation at an instance.
    fn schedule_confirm(&mut self, i: usize, delay: Duration, task: ConfirmTask) {
        self.schedule_for_process(i, delay, Event::Confirm(Box::new(task)));
    }

    pub(super) fn tick_watch(&mut self, i: usize) {
        let now = self.monotonic_now();
        let is_watcher = self.is_watcher(i);
        let lacks_spread = self.has_bug(InjectedBug::NoSpread);
        let since_epoch = self.wall_clock(i).duration_since(UNIX_EPOCH).unwrap_or_default();
        let instance = &mut self.instances[i];
        let turn = instance.membership.follower_turn(&domain_of(i), since_epoch);
        let is_turn = turn.is_some() && turn != instance.watch.last_turn && !lacks_spread;
        let uptime = now.saturating_duration_since(instance.started.monotonic);
        let reads_directly = instance.current_head.generation() == 0 && uptime >= DIRECT_READ_DELAY;
        if instance.watch.read_pending
            || now < instance.watch.next_read
            || !(is_watcher || reads_directly || is_turn)
        {
            return;
        }
        instance.watch.last_turn = turn.or(instance.watch.last_turn);
        instance.watch.read_pending = true;
        self.call_store(i, StoreOp::Get(RecordKey::Head), StoreContinuation::HeadRead);
    }

    pub(super) fn on_head_read(&mut self, i: usize, answer: StoreAnswer) {
        let now = self.monotonic_now();
        let jitter_factor = self.cx.rng.random_range(0.5..1.5);
        let watch = &mut self.instances[i].watch;
        watch.read_pending = false;
        let StoreAnswer::Got(_, value) = answer else {
            watch.next_read = now + watch.retry_delay.mul_f64(jitter_factor);
            watch.retry_delay = (watch.retry_delay * 2).min(MAX_RETRY_DELAY);
            return;
        };
        watch.retry_delay = INITIAL_RETRY_DELAY;
        watch.next_read = now + WATCH_INTERVAL;
        if let Some((head, config)) = head_of(value) {
            self.install(i, head, config);
        }
    }

    pub(super) fn on_pulled(&mut self, i: usize, reply: Reply) {
        self.instances[i].watch.pull_pending = false;
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
        let head = instance.current_head.head().filter(|head| head.generation() > generation)?;
        Some(Box::new((head.clone(), instance.config.clone()?)))
    }

    fn install(&mut self, i: usize, head: Head, config: Config) {
        let installs_any = self.has_bug(InjectedBug::InstallAny);
        let instance = self.instance(i);
        let (generation, plan) = (head.generation(), head.plan());
        if installs_any && generation != instance.current_head.generation() {
            instance.current_head = fescuemux_core::config::CurrentHead::new();
        }
        if instance.current_head.install(head) != HeadComparison::Newer {
            return;
        }
        instance.config = Some(config);
        self.record(HistoryEvent::InForce { instance: i, generation, plan });
        self.publish_generation(i, generation);
    }
}

fn head_of(value: Option<RecordValue>) -> Option<(Head, Config)> {
    match value {
        Some(RecordValue::Head(head_and_config)) => Some(*head_and_config),
        _ => None,
    }
}
