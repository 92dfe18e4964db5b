//! Enters the servers of an instance in the ejection ledgers in the store and removes them.

use super::broken::InjectedBug;
use super::events::StoreContinuation;
use super::instance::{StopPhase, server_id, service_id};
use super::store::{Answer, Key, Op, Value};
use super::world::World;
use fescuemux_core::eject::{Ledger, LedgerRefusal, PermitAnswer};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

// The values of the daemon.
const MAX_ATTEMPTS: u32 = 8;
const REVIEW_INTERVAL: Duration = Duration::from_secs(5);

/// State of the ledger changes of an instance, which are made one at a time.
#[derive(Debug)]
pub(super) struct LedgerWriter {
    /// Server, and whether to acquire (true) or release its permit.
    pending: VecDeque<(usize, bool)>,
    current_change: Option<LedgerChange>,
    last_review: Instant,
    /// Last ledger that this guard wrote for each service; used by an injected bug only.
    last_written: [Ledger; 2],
}

#[derive(Debug)]
struct LedgerChange {
    server: usize,
    acquire: bool,
    attempts: u32,
    /// Ledger of a write whose effect is unknown.
    unconfirmed: Option<Ledger>,
    written: Ledger,
}

impl LedgerWriter {
    pub(super) fn new(now: Instant) -> LedgerWriter {
        LedgerWriter {
            pending: VecDeque::new(),
            current_change: None,
            last_review: now,
            last_written: Default::default(),
        }
    }
}

impl World {
    pub(super) fn queue_ledger_change(&mut self, i: usize, server: usize, acquire: bool) {
        self.instances[i].ledger_writer.pending.push_back((server, acquire));
        self.start_next_ledger_change(i);
    }

    pub(super) fn tick_ledger(&mut self, i: usize) {
        let now = self.monotonic_now();
        let instance = &mut self.instances[i];
        let due =
            now.saturating_duration_since(instance.ledger_writer.last_review) >= REVIEW_INTERVAL;
        if instance.ledger_writer.current_change.is_some() || !due {
            return;
        }
        instance.ledger_writer.last_review = now;
        for service in self.services_with_permit(i) {
            self.store(
                i,
                Op::Get(Key::Ledger(service)),
                StoreContinuation::LedgerReviewed { service },
            );
        }
    }

    fn start_next_ledger_change(&mut self, i: usize) {
        let instance = &mut self.instances[i];
        if instance.ledger_writer.current_change.is_some() || instance.stop >= StopPhase::Closing {
            return;
        }
        let Some((server, acquire)) = instance.ledger_writer.pending.pop_front() else { return };
        let written = Ledger::default();
        let current_change =
            LedgerChange { server, acquire, attempts: 0, unconfirmed: None, written };
        instance.ledger_writer.current_change = Some(current_change);
        self.read_ledger(i, server);
    }

    fn read_ledger(&mut self, i: usize, server: usize) {
        self.store(i, Op::Get(Key::Ledger(server % 2)), StoreContinuation::LedgerRead);
    }

    pub(super) fn on_ledger_read(&mut self, i: usize, answer: Answer) {
        let Answer::Got(version, value) = answer else {
            self.finish_ledger_change(i, PermitAnswer::StoreUnavailable);
            return;
        };
        let uses_last_write = self.has_bug(InjectedBug::BlindLedger);
        let writer = &self.instances[i].ledger_writer;
        let service =
            writer.current_change.as_ref().map_or(0, |current_change| current_change.server % 2);
        let ledger = if uses_last_write {
            writer.last_written[service].clone()
        } else {
            ledger_or_empty(value)
        };
        let Some(current_change) = self.instances[i].ledger_writer.current_change.as_mut() else {
            return;
        };
        let (server, acquire) = (current_change.server, current_change.acquire);
        if current_change.unconfirmed.take().is_some_and(|written| written == ledger) {
            self.finish_ledger_change(i, success_answer(acquire));
            return;
        }
        current_change.attempts += 1;
        if current_change.attempts > MAX_ATTEMPTS {
            self.finish_ledger_change(i, PermitAnswer::StoreUnavailable);
            return;
        }
        let incarnation = self.instances[i].incarnation;
        let id = server_id(server);
        let next = if acquire {
            let capacity = self.capacity(i, server % 2);
            ledger.grant(&capacity, &id, capacity.ready_slots(&id), incarnation)
        } else {
            ledger.release(&id, incarnation)
        };
        match next {
            Ok(next) => {
                if let Some(current_change) =
                    self.instances[i].ledger_writer.current_change.as_mut()
                {
                    current_change.written = next.clone();
                }
                self.instances[i].ledger_writer.last_written[server % 2] = next.clone();
                let op = Op::Swap(Key::Ledger(server % 2), version, Value::Ledger(next));
                self.store(i, op, StoreContinuation::LedgerWritten);
            }
            Err(LedgerRefusal::NotEjected) => self.finish_ledger_change(i, PermitAnswer::Released),
            Err(_) => self.finish_ledger_change(i, PermitAnswer::Refused),
        }
    }

    pub(super) fn on_ledger_written(&mut self, i: usize, answer: Answer) {
        let Some(current_change) = self.instances[i].ledger_writer.current_change.as_mut() else {
            return;
        };
        let (server, acquire) = (current_change.server, current_change.acquire);
        match answer {
            Answer::Done => self.finish_ledger_change(i, success_answer(acquire)),
            Answer::Failed => self.finish_ledger_change(i, PermitAnswer::StoreUnavailable),
            // The effect of the write is unknown: read the ledger to see whether it succeeded.
            Answer::Unknown => {
                current_change.unconfirmed = Some(current_change.written.clone());
                self.read_ledger(i, server);
            }
            Answer::Conflict(_) | Answer::Got(..) => self.read_ledger(i, server),
        }
    }

    fn finish_ledger_change(&mut self, i: usize, answer: PermitAnswer) {
        let Some(current_change) = self.instances[i].ledger_writer.current_change.take() else {
            return;
        };
        let actions = self.with_server(i, current_change.server, |cx, guarded| {
            guarded.health.on_permit_answer(cx, answer)
        });
        self.apply_actions(i, current_change.server, actions);
        self.start_next_ledger_change(i);
    }

    pub(super) fn on_ledger_reviewed(&mut self, i: usize, service: usize, answer: Answer) {
        let Answer::Got(_, value) = answer else { return };
        let ledger = ledger_or_empty(value);
        let capacity = self.capacity(i, service);
        let early_returns = ledger.servers_to_return(&capacity, capacity.floor);
        let id = service_id(service);
        for server in [2 * i, 2 * i + 1] {
            if service_id(server % 2) != id {
                continue;
            }
            let name = server_id(server);
            let held = ledger.entry(&name).is_some();
            let actions =
                self.with_server(i, server, |cx, guarded| guarded.health.on_ledger_read(cx, held));
            self.apply_actions(i, server, actions);
            if early_returns.contains(&name) {
                let actions =
                    self.with_server(i, server, |cx, guarded| guarded.health.return_early(cx));
                self.apply_actions(i, server, actions);
            }
        }
    }
}

fn success_answer(acquire: bool) -> PermitAnswer {
    if acquire { PermitAnswer::Granted } else { PermitAnswer::Released }
}

fn ledger_or_empty(value: Option<Value>) -> Ledger {
    match value {
        Some(Value::Ledger(ledger)) => ledger,
        _ => Ledger::default(),
    }
}
