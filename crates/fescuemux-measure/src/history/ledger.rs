//! Keeps the ejection ledgers of an instance's servers in the store.

use super::broken::InjectedBug;
use super::events::Then;
use super::instance::{Stop, server_id, service_id};
use super::store::{Answer, Key, Op, Value};
use super::world::World;
use fescuemux_core::eject::{Ledger, LedgerRefusal, PermitAnswer};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// As in the daemon.
const MAX_ATTEMPTS: u32 = 8;
const REVIEW_INTERVAL: Duration = Duration::from_secs(5);

/// State of the keeper: one change at a time.
#[derive(Debug)]
pub(super) struct LedgerKeeper {
    tasks: VecDeque<(usize, bool)>,
    job: Option<Job>,
    reviewed: Instant,
    /// What this guard wrote last, by service. Used by a broken version only.
    own: [Ledger; 2],
}

#[derive(Debug)]
struct Job {
    server: usize,
    enter: bool,
    attempts: u32,
    /// What was written, when its effect is unknown.
    doubt: Option<Ledger>,
    written: Ledger,
}

impl LedgerKeeper {
    pub(super) fn new(now: Instant) -> LedgerKeeper {
        LedgerKeeper { tasks: VecDeque::new(), job: None, reviewed: now, own: Default::default() }
    }
}

impl World {
    pub(super) fn ledger_task(&mut self, i: usize, server: usize, enter: bool) {
        self.instances[i].ledger.tasks.push_back((server, enter));
        self.next_ledger_task(i);
    }

    pub(super) fn tick_ledger(&mut self, i: usize) {
        let now = self.mono();
        let instance = &mut self.instances[i];
        let due = now.saturating_duration_since(instance.ledger.reviewed) >= REVIEW_INTERVAL;
        if instance.ledger.job.is_some() || !due {
            return;
        }
        instance.ledger.reviewed = now;
        for service in self.services_with_permit(i) {
            self.store(i, Op::Get(Key::Ledger(service)), Then::LedgerReviewed { service });
        }
    }

    fn next_ledger_task(&mut self, i: usize) {
        let instance = &mut self.instances[i];
        if instance.ledger.job.is_some() || instance.stop >= Stop::Closing {
            return;
        }
        let Some((server, enter)) = instance.ledger.tasks.pop_front() else { return };
        let written = Ledger::default();
        let job = Job { server, enter, attempts: 0, doubt: None, written };
        instance.ledger.job = Some(job);
        self.read_ledger(i, server);
    }

    fn read_ledger(&mut self, i: usize, server: usize) {
        self.store(i, Op::Get(Key::Ledger(server % 2)), Then::LedgerRead);
    }

    pub(super) fn on_ledger_read(&mut self, i: usize, answer: Answer) {
        let Answer::Got(version, value) = answer else {
            self.end_job(i, PermitAnswer::StoreUnavailable);
            return;
        };
        let blind = self.is(InjectedBug::BlindLedger);
        let known = &self.instances[i].ledger;
        let own = known.job.as_ref().map_or(0, |job| job.server % 2);
        let ledger = if blind { known.own[own].clone() } else { ledger_of(value) };
        let Some(job) = self.instances[i].ledger.job.as_mut() else { return };
        let (server, enter) = (job.server, job.enter);
        if job.doubt.take().is_some_and(|doubt| doubt == ledger) {
            self.end_job(i, done(enter));
            return;
        }
        job.attempts += 1;
        if job.attempts > MAX_ATTEMPTS {
            self.end_job(i, PermitAnswer::StoreUnavailable);
            return;
        }
        let incarnation = self.instances[i].incarnation;
        let id = server_id(server);
        let next = if enter {
            let capacity = self.capacity(i, server % 2);
            ledger.grant(&capacity, &id, capacity.ready_slots(&id), incarnation)
        } else {
            ledger.release(&id, incarnation)
        };
        match next {
            Ok(next) => {
                if let Some(job) = self.instances[i].ledger.job.as_mut() {
                    job.written = next.clone();
                }
                self.instances[i].ledger.own[server % 2] = next.clone();
                let op = Op::Swap(Key::Ledger(server % 2), version, Value::Ledger(next));
                self.store(i, op, Then::LedgerWritten);
            }
            Err(LedgerRefusal::NotEjected) => self.end_job(i, PermitAnswer::Released),
            Err(_) => self.end_job(i, PermitAnswer::Refused),
        }
    }

    pub(super) fn on_ledger_written(&mut self, i: usize, answer: Answer) {
        let Some(job) = self.instances[i].ledger.job.as_mut() else { return };
        let (server, enter) = (job.server, job.enter);
        match answer {
            Answer::Done => self.end_job(i, done(enter)),
            Answer::Failed => self.end_job(i, PermitAnswer::StoreUnavailable),
            // What the ledger holds now decides after an unknown effect.
            Answer::Unknown => {
                job.doubt = Some(job.written.clone());
                self.read_ledger(i, server);
            }
            Answer::Conflict(_) | Answer::Got(..) => self.read_ledger(i, server),
        }
    }

    fn end_job(&mut self, i: usize, answer: PermitAnswer) {
        let Some(job) = self.instances[i].ledger.job.take() else { return };
        let actions =
            self.decide(i, job.server, |cx, known| known.health.on_permit_answer(cx, answer));
        self.act(i, job.server, actions);
        self.next_ledger_task(i);
    }

    pub(super) fn on_ledger_reviewed(&mut self, i: usize, service: usize, answer: Answer) {
        let Answer::Got(_, value) = answer else { return };
        let ledger = ledger_of(value);
        let capacity = self.capacity(i, service);
        let returning = ledger.servers_to_return(&capacity, capacity.floor);
        let id = service_id(service);
        for server in [2 * i, 2 * i + 1] {
            if service_id(server % 2) != id {
                continue;
            }
            let name = server_id(server);
            let held = ledger.entry(&name).is_some();
            let actions = self.decide(i, server, |cx, known| known.health.on_ledger_read(cx, held));
            self.act(i, server, actions);
            if returning.contains(&name) {
                let actions = self.decide(i, server, |cx, known| known.health.return_early(cx));
                self.act(i, server, actions);
            }
        }
    }
}

fn done(enter: bool) -> PermitAnswer {
    if enter { PermitAnswer::Granted } else { PermitAnswer::Released }
}

fn ledger_of(value: Option<Value>) -> Ledger {
    match value {
        Some(Value::Ledger(ledger)) => ledger,
        _ => Ledger::default(),
    }
}
