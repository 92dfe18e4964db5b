//! Reads and updates the ejection ledgers of the services in the store.
//!
//! Must not depend on why a server requests a permit.

use crate::guard::Guard;
use crate::ingress::Ingress;
use crate::peers::MembershipDriver;
use crate::stop::{StopPhase, StopSignal};
use fescuemux_core::base::{HashSet, Incarnation, ServerId, ServiceId};
use fescuemux_core::eject::{Ledger, LedgerRefusal, PermitAnswer, ServerCapacity, ServiceCapacity};
use fescuemux_core::member::MemberState;
use fescuemux_store::{Mutation, Precondition, Store, StoreError, SwapResult};
use fescuemux_wire::ledger::LedgerRecord;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum number of attempts of one ledger update; an attempt fails if it conflicts with an update
/// of another guard.
const MAX_UPDATE_ATTEMPTS: usize = 8;
/// Interval at which the ledgers of ejected servers are read, because an ejected server may have to
/// return to service when other servers fail.
const REVIEW_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum time to wait for a [`LedgerRequest`] before checking whether a review is due.
const REQUEST_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Ledger change requested on behalf of a server.
#[derive(Clone, Debug)]
pub(crate) struct LedgerRequest {
    pub(crate) service: ServiceId,
    pub(crate) server: ServerId,
    /// `true` adds the server to the ledger, `false` removes it.
    pub(crate) enter: bool,
}

/// Updates and reviews the ledgers on behalf of this instance's servers.
pub(crate) struct LedgerManager<S> {
    pub(crate) store: S,
    pub(crate) guard: Arc<Guard>,
    pub(crate) ingress: Arc<Ingress>,
    pub(crate) members: Arc<MembershipDriver>,
    pub(crate) incarnation: Incarnation,
}

impl<S: Store> LedgerManager<S> {
    /// Handles requests and reviews the ledgers until the daemon stops. Blocks.
    pub(crate) fn run(&self, requests: &flume::Receiver<LedgerRequest>, stop: &StopSignal) {
        let mut last_review = Instant::now();
        let mut known_servers = HashSet::default();
        while stop.phase() < StopPhase::Closing {
            match requests.recv_timeout(REQUEST_POLL_INTERVAL) {
                Ok(request) => self.handle(&request),
                Err(flume::RecvTimeoutError::Timeout) => {}
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
            if last_review.elapsed() >= REVIEW_INTERVAL {
                self.review(&mut known_servers);
                last_review = Instant::now();
            }
        }
    }

    fn handle(&self, request: &LedgerRequest) {
        let answer = match self.update(request) {
            Ok(answer) => answer,
            Err(e) => {
                tracing::warn!(
                    server = %request.server,
                    error = %e,
                    "failed to update the ledger"
                );
                PermitAnswer::StoreUnavailable
            }
        };
        tracing::info!(server = %request.server, service = %request.service, enter = request.enter,
            ?answer, "ledger request processed");
        self.guard.on_permit_answer(&request.server, answer);
    }

    fn update(&self, request: &LedgerRequest) -> Result<PermitAnswer, StoreError> {
        for _ in 0..MAX_UPDATE_ATTEMPTS {
            let (precondition, ledger) = self.read(&request.service)?;
            self.guard.on_ledger_entry(&request.server, ledger.entry(&request.server).is_some());
            let updated = if request.enter {
                let capacity = self.capacity(&request.service);
                let slots = capacity.ready_slots(&request.server);
                ledger.grant(&capacity, &request.server, slots, self.incarnation)
            } else {
                ledger.release(&request.server, self.incarnation)
            };
            let updated = match updated {
                Ok(updated) => updated,
                Err(LedgerRefusal::NotEjected) => return Ok(PermitAnswer::Released),
                Err(refusal) => {
                    tracing::info!(
                        server = %request.server,
                        reason = %refusal,
                        "ledger request rejected"
                    );
                    return Ok(PermitAnswer::Refused);
                }
            };
            // A write that failed with unknown effect is not retried here, because it may still
            // take effect. The server repeats its request, which starts with a new read.
            match self.write(&request.service, precondition, &updated)? {
                SwapResult::Applied(_) if request.enter => {
                    return Ok(self.confirm_grant(request, &updated));
                }
                SwapResult::Applied(_) => return Ok(PermitAnswer::Released),
                SwapResult::Conflict(_) => {}
            }
        }
        Ok(PermitAnswer::StoreUnavailable)
    }

    /// Checks a written grant against the current capacity, because the floor or the capacity may
    /// have changed between the read and the write. A grant that violates the floor is refused, and
    /// the server is told of its entry, so that it releases the entry.
    fn confirm_grant(&self, request: &LedgerRequest, ledger: &Ledger) -> PermitAnswer {
        if ledger.satisfies_floor(&self.capacity(&request.service)) {
            return PermitAnswer::Granted;
        }
        tracing::warn!(
            server = %request.server,
            "grant revoked: it would violate the capacity floor"
        );
        self.guard.on_permit_answer(&request.server, PermitAnswer::Refused);
        self.guard.on_ledger_entry(&request.server, true);
        PermitAnswer::Refused
    }

    /// Reads the ledgers of services with a server that may have an entry, and passes the ledgers
    /// to the guard, which returns servers to service if required. A server that was not seen
    /// before may have an entry of a previous guard; the entry counts as an ejection until it is
    /// released. Updates `known_servers`, the servers whose ledger was read or needed no read.
    fn review(&self, known_servers: &mut HashSet<ServerId>) {
        let snapshots = self.guard.snapshots();
        let services: HashSet<ServiceId> = snapshots
            .iter()
            .filter(|snapshot| {
                snapshot.may_hold_permit || !known_servers.contains(&snapshot.server)
            })
            .map(|snapshot| snapshot.service.clone())
            .collect();
        let mut unread_services = HashSet::default();
        for service in services {
            match self.read(&service) {
                Ok((_, ledger)) => {
                    self.guard.on_ledger(&service, &ledger, &self.capacity(&service));
                }
                Err(e) => {
                    tracing::debug!(%service, error = %e, "failed to read the ledger");
                    unread_services.insert(service);
                }
            }
        }
        let read_snapshots =
            snapshots.into_iter().filter(|snapshot| !unread_services.contains(&snapshot.service));
        *known_servers = read_snapshots.map(|snapshot| snapshot.server).collect();
    }

    fn read(&self, service: &ServiceId) -> Result<(Precondition, Ledger), StoreError> {
        let Some(entry) = self.store.get(&ledger_key(service))? else {
            return Ok((Precondition::Absent, Ledger::default()));
        };
        let record = LedgerRecord::from_json(&entry.value).and_then(Ledger::try_from);
        let ledger = record.map_err(|e| {
            StoreError::without_effect(
                fescuemux_store::FailureKind::InvalidResponse,
                format!("ledger {service}: {e}"),
            )
        })?;
        Ok((Precondition::Version(entry.version), ledger))
    }

    fn write(
        &self,
        service: &ServiceId,
        precondition: Precondition,
        ledger: &Ledger,
    ) -> Result<SwapResult, StoreError> {
        let value = LedgerRecord::from(ledger).to_json().map_err(|e| {
            StoreError::without_effect(fescuemux_store::FailureKind::Refused, e.to_string())
        })?;
        let change = Mutation::Put { value: &value, lease: None };
        self.store.compare_and_swap(&ledger_key(service), precondition, change)
    }

    /// Returns the capacity of a service according to the membership. The floor of a service that
    /// is not in the configuration is unknown and set to the maximum, which blocks ejections.
    fn capacity(&self, service: &ServiceId) -> ServiceCapacity {
        let effective_config = self.ingress.effective_config();
        let service_config = effective_config.as_ref().and_then(|e| e.config.services.get(service));
        let mut capacity = ServiceCapacity::new(service_config.map_or(u32::MAX, |s| s.floor_slots));
        for record in self.members.records() {
            for server in record.servers.iter().filter(|server| server.service == *service) {
                let alive = record.state == MemberState::Alive;
                let slots = u32::from(server.slots);
                let server_capacity = ServerCapacity { slots, phase: server.phase, alive };
                capacity.set(server.server.clone(), server_capacity);
            }
        }
        capacity
    }
}

fn ledger_key(service: &ServiceId) -> String {
    format!("eject/{service}")
}
