//! Keeps the ejection ledgers of the services in the store.
//!
//! Must not know why a server asks for a permit.

use crate::guard::Guard;
use crate::ingress::Ingress;
use crate::peers::MembershipDriver;
use crate::stop::{StopPhase, StopSignal};
use fescuemux_core::base::{HashSet, Incarnation, ServerId, ServiceId};
use fescuemux_core::eject::{Ledger, LedgerRefusal, PermitAnswer, ServerCapacity, ServiceCapacity};
use fescuemux_core::member::MemberState;
use fescuemux_store::{Change, Expect, Store, StoreError, Swap};
use fescuemux_wire::ledger::LedgerRecord;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Attempts of one change against changes of other guards.
const MAX_ATTEMPTS: usize = 8;
/// Interval at which a guard with an entry reads the ledger: losses elsewhere may require that
/// its server returns.
const REVIEW_INTERVAL: Duration = Duration::from_secs(5);
/// Longest wait for a task before the review.
const TASK_WAIT: Duration = Duration::from_millis(200);

/// Change that a server asks for.
#[derive(Clone, Debug)]
pub(crate) struct LedgerRequest {
    pub(crate) service: ServiceId,
    pub(crate) server: ServerId,
    /// Whether to enter or to leave the ledger.
    pub(crate) enter: bool,
}

/// Keeper of the ledgers.
pub(crate) struct LedgerManager<S> {
    pub(crate) store: S,
    pub(crate) guard: Arc<Guard>,
    pub(crate) ingress: Arc<Ingress>,
    pub(crate) members: Arc<MembershipDriver>,
    pub(crate) incarnation: Incarnation,
}

impl<S: Store> LedgerManager<S> {
    /// Carries out tasks until the daemon stops. Blocks.
    pub(crate) fn run(&self, tasks: &flume::Receiver<LedgerRequest>, stop: &StopSignal) {
        let mut reviewed = Instant::now();
        let mut known = HashSet::default();
        while stop.phase() < StopPhase::Closing {
            match tasks.recv_timeout(TASK_WAIT) {
                Ok(task) => self.carry_out(&task),
                Err(flume::RecvTimeoutError::Timeout) => {}
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
            if reviewed.elapsed() >= REVIEW_INTERVAL {
                self.review(&mut known);
                reviewed = Instant::now();
            }
        }
    }

    fn carry_out(&self, task: &LedgerRequest) {
        let answer = match self.change(task) {
            Ok(answer) => answer,
            Err(e) => {
                tracing::warn!(server = %task.server, error = %e, "the ledger cannot be changed");
                PermitAnswer::StoreUnavailable
            }
        };
        tracing::info!(server = %task.server, service = %task.service, enter = task.enter,
            ?answer, "ledger answered");
        self.guard.on_permit(&task.server, answer);
    }

    fn change(&self, task: &LedgerRequest) -> Result<PermitAnswer, StoreError> {
        for _ in 0..MAX_ATTEMPTS {
            let (expect, ledger) = self.read(&task.service)?;
            self.guard.on_ledger_entry(&task.server, ledger.entry(&task.server).is_some());
            let next = if task.enter {
                let capacity = self.capacity(&task.service);
                let slots = capacity.ready_slots(&task.server);
                ledger.grant(&capacity, &task.server, slots, self.incarnation)
            } else {
                ledger.release(&task.server, self.incarnation)
            };
            let next = match next {
                Ok(next) => next,
                Err(LedgerRefusal::NotEjected) => return Ok(PermitAnswer::Released),
                Err(refusal) => {
                    tracing::info!(server = %task.server, reason = %refusal, "ledger refused");
                    return Ok(PermitAnswer::Refused);
                }
            };
            // After a lost reply nothing is written again: the write may yet take effect. The
            // server's state asks again and starts with a read.
            match self.write(&task.service, expect, &next)? {
                Swap::Done(_) if task.enter => return Ok(self.confirm_grant(task, &next)),
                Swap::Done(_) => return Ok(PermitAnswer::Released),
                Swap::Conflict(_) => {}
            }
        }
        Ok(PermitAnswer::StoreUnavailable)
    }

    /// Checks a written grant against the newest capacity: floor or capacity may have changed
    /// between its read and its write.
    fn confirm_grant(&self, task: &LedgerRequest, ledger: &Ledger) -> PermitAnswer {
        if ledger.satisfies_floor(&self.capacity(&task.service)) {
            return PermitAnswer::Granted;
        }
        tracing::warn!(server = %task.server, "a grant is taken back, the floor would be broken");
        self.guard.on_permit(&task.server, PermitAnswer::Refused);
        self.guard.on_ledger_entry(&task.server, true);
        PermitAnswer::Refused
    }

    /// Reads the ledgers of servers that may have an entry and returns those that must return.
    /// A server that is new here may have an entry of an earlier guard, which takes away from
    /// the service's margin for ejections until it is released.
    fn review(&self, known: &mut HashSet<ServerId>) {
        let snapshots = self.guard.snapshots();
        let services: HashSet<ServiceId> = snapshots
            .iter()
            .filter(|snapshot| snapshot.may_hold_permit || !known.contains(&snapshot.server))
            .map(|snapshot| snapshot.service.clone())
            .collect();
        let mut unread = HashSet::default();
        for service in services {
            match self.read(&service) {
                Ok((_, ledger)) => {
                    self.guard.on_ledger(&service, &ledger, &self.capacity(&service));
                }
                Err(e) => {
                    tracing::debug!(%service, error = %e, "the ledger cannot be read");
                    unread.insert(service);
                }
            }
        }
        let read = snapshots.into_iter().filter(|snapshot| !unread.contains(&snapshot.service));
        *known = read.map(|snapshot| snapshot.server).collect();
    }

    fn read(&self, service: &ServiceId) -> Result<(Expect, Ledger), StoreError> {
        let Some(entry) = self.store.get(&key(service))? else {
            return Ok((Expect::Absent, Ledger::default()));
        };
        let record = LedgerRecord::from_json(&entry.value).and_then(Ledger::try_from);
        let ledger = record.map_err(|e| {
            StoreError::none(fescuemux_store::Failure::BadAnswer, format!("ledger {service}: {e}"))
        })?;
        Ok((Expect::Version(entry.version), ledger))
    }

    fn write(
        &self,
        service: &ServiceId,
        expect: Expect,
        ledger: &Ledger,
    ) -> Result<Swap, StoreError> {
        let value = LedgerRecord::from(ledger)
            .to_json()
            .map_err(|e| StoreError::none(fescuemux_store::Failure::Refused, e.to_string()))?;
        let change = Change::Put { value: &value, lease: None };
        self.store.compare_and_swap(&key(service), expect, change)
    }

    /// Returns the capacity of a service as the membership shows it. A service that is not in
    /// the configuration has no floor to keep, so nothing of it may be ejected.
    fn capacity(&self, service: &ServiceId) -> ServiceCapacity {
        let effective = self.ingress.effective_config();
        let known = effective.as_ref().and_then(|e| e.config.services.get(service));
        let mut capacity = ServiceCapacity::new(known.map_or(u32::MAX, |s| s.floor_slots));
        for record in self.members.records() {
            for server in record.servers.iter().filter(|server| server.service == *service) {
                let alive = record.state == MemberState::Alive;
                let slots = u32::from(server.slots);
                let of_server = ServerCapacity { slots, phase: server.phase, alive };
                capacity.set(server.server.clone(), of_server);
            }
        }
        capacity
    }
}

fn key(service: &ServiceId) -> String {
    format!("eject/{service}")
}
