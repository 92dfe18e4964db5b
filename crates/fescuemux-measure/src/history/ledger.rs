//! Adds entries for the servers of an instance to the ejection ledgers in the store, and removes
//! these entries.

use super::broken::InjectedBug;
use super::events::StoreContinuation;
use super::instance::{StopPhase, server_id, service_id};
use super::store::{RecordKey, RecordValue, StoreAnswer, StoreOp};
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
    /// Server, and whether to acquire (true) or release (false) its permit.
    queued_changes: VecDeque<(usize, bool)>,
    current_change: Option<LedgerChange>,
    last_review: Instant,
    /// Last ledger that this guard tried to write for each service; read only with
    /// [`InjectedBug::BlindLedger`].
    last_written: [Ledger; 2],
}

/// A ledger change in progress.
#[derive(Debug)]
struct LedgerChange {
    server: usize,
    acquire: bool,
    attempts: u32,
    /// Ledger of a write whose effect is unknown.
    unconfirmed: Option<Ledger>,
    /// Ledger of the last write.
    written: Ledger,
}

impl LedgerWriter {
    pub(super) fn new(now: Instant) -> LedgerWriter {
        LedgerWriter {
            queued_changes: VecDeque::new(),
            current_change: None,
            last_review: now,
            last_written: Default::default(),
        }
    }
}

impl World {
    pub(super) fn queue_ledger_change(&mut self, i: usize, server: usize, acquire: bool) {
        self.instances[i].ledger_writer.queued_changes.push_back((server, acquire));
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
            self.call_store(
                i,
                StoreOp::Get(RecordKey::Ledger(service)),
                StoreContinuation::LedgerReviewed { service },
            );
        }
    }

    fn start_next_ledger_change(&mut self, i: usize) {
        let instance = &mut self.instances[i];
        if instance.ledger_writer.current_change.is_some()
            || instance.stop_phase >= StopPhase::Closing
        {
            return;
        }
        let Some((server, acquire)) = instance.ledger_writer.queued_changes.pop_front() else {
            return;
        };
        let written = Ledger::default();
        let change = LedgerChange { server, acquire, attempts: 0, unconfirmed: None, written };
        instance.ledger_writer.current_change = Some(change);
        self.read_ledger(i, server);
    }

    fn read_ledger(&mut self, i: usize, server: usize) {
        self.call_store(
            i,
            StoreOp::Get(RecordKey::Ledger(server % 2)),
            StoreContinuation::LedgerRead,
        );
    }

    pub(super) fn on_ledger_read(&mut self, i: usize, answer: StoreAnswer) {
        let StoreAnswer::Got(version, value) = answer else {
            self.finish_ledger_change(i, PermitAnswer::StoreUnavailable);
            return;
        };
        let uses_last_write = self.has_bug(InjectedBug::BlindLedger);
        let writer = &self.instances[i].ledger_writer;
        let service = writer.current_change.as_ref().map_or(0, |change| change.server % 2);
        let ledger = if uses_last_write {
            writer.last_written[service].clone()
        } else {
            ledger_or_empty(value)
        };
        let Some(change) = self.instances[i].ledger_writer.current_change.as_mut() else {
            return;
        };
        let (server, acquire) = (change.server, change.acquire);
        if change.unconfirmed.take().is_some_and(|written| written == ledger) {
            self.finish_ledger_change(i, success_answer(acquire));
            return;
        }
        change.attempts += 1;
        if change.attempts > MAX_ATTEMPTS {
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
                if let Some(change) = self.instances[i].ledger_writer.current_change.as_mut() {
                    change.written = next.clone();
                }
                self.instances[i].ledger_writer.last_written[server % 2] = next.clone();
                let op = StoreOp::Swap(
                    RecordKey::Ledger(server % 2),
                    version,
                    RecordValue::Ledger(next),
                );
                self.call_store(i, op, StoreContinuation::LedgerWritten);
            }
            Err(LedgerRefusal::NotEjected) => self.finish_ledger_change(i, PermitAnswer::Released),
            Err(_) => self.finish_ledger_change(i, PermitAnswer::Refused),
        }
    }

    pub(super) fn on_ledger_written(&mut self, i: usize, answer: StoreAnswer) {
        let Some(change) = self.instances[i].ledger_writer.current_change.as_mut() else {
            return;
        };
        let (server, acquire) = (change.server, change.acquire);
        match answer {
            StoreAnswer::Done => self.finish_ledger_change(i, success_answer(acquire)),
            StoreAnswer::Failed => self.finish_ledger_change(i, PermitAnswer::StoreUnavailable),
            // The effect of the write is unknown: read the ledger to see whether it succeeded.
            StoreAnswer::Unknown => {
                change.unconfirmed = Some(change.written.clone());
                self.read_ledger(i, server);
            }
            StoreAnswer::Conflict(_) | StoreAnswer::Got(..) => self.read_ledger(i, server),
        }
    }

    fn finish_ledger_change(&mut self, i: usize, answer: PermitAnswer) {
        let Some(change) = self.instances[i].ledger_writer.current_change.take() else {
            return;
        };
        let actions = self.with_server(i, change.server, |cx, guarded| {
            guarded.health.on_permit_answer(cx, answer)
        });
        self.apply_actions(i, change.server, actions);
        self.start_next_ledger_change(i);
    }

    pub(super) fn on_ledger_reviewed(&mut self, i: usize, service: usize, answer: StoreAnswer) {
        let StoreAnswer::Got(_, value) = answer else { return };
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

fn ledger_or_empty(value: Option<RecordValue>) -> Ledger {
    match value {
        Some(RecordValue::Ledger(ledger)) => ledger,
        _ => Ledger::default(),
    }
}
