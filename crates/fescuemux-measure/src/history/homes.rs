//! Claims of idempotency keys at their home instances, and maintenance of the roster of homes.
//!
//! The home of a key is the instance that grants or refuses claims of the key. The roster, a record
//! in the store, lists the instances that can be homes.

use super::broken::InjectedBug;
use super::check::INSTANCES;
use super::events::{CallerRequest, Event, PeerMessage, Reply, StoreContinuation};
use super::instance::{
    AttestationRound, PendingCall, StopPhase, index_of, instance_id, service_id,
};
use super::store::{RecordKey, RecordValue, StoreAnswer, StoreOp};
use super::world::World;
use fescuemux_core::base::{InstanceId, RequestId, Verdict};
use fescuemux_core::dedup::{ClaimResponse, KeyOutcome, Permission, Roster, RosterChange};
use rand::Rng as _;
use rand::seq::IndexedRandom as _;
use std::time::{Duration, Instant};

// The values of the daemon.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
const SETTLE_ATTEMPTS: u32 = 5;
const SETTLE_RETRY_DELAY: Duration = Duration::from_millis(100);
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(5);
/// Time for which the number of live instances must be unchanged before a roster change.
const STABLE_VIEW_TIME: Duration = Duration::from_secs(2);
/// Mean time between two checks of an instance whether the roster must change.
const ROSTER_CHANGE_INTERVAL: Duration = Duration::from_secs(15);
const ROSTER_STEP_INTERVAL: Duration = Duration::from_millis(250);

impl World {
    /// Claims the key of a request at the home of the key.
    pub(super) fn claim(
        &mut self,
        i: usize,
        flight_id: u64,
        request: CallerRequest,
        holder: RequestId,
        deadline: Instant,
    ) {
        let fence = &self.instances[i].fence;
        let epoch = fence.epoch();
        let Some(home) = fence.roster().and_then(|roster| home_of(roster, &request)) else {
            self.answer_without_claim(i, flight_id, Verdict::NotRun);
            return;
        };
        if home == i {
            let claim = self.claim_locally(i, epoch, &request, holder);
            self.on_claim(i, flight_id, Reply::Claim(claim));
            return;
        }
        let timeout = CLAIM_TIMEOUT.min(deadline.saturating_duration_since(self.monotonic_now()));
        let pending = PendingCall::Claim { flight_id };
        self.call(i, home, timeout, pending, |call_id| PeerMessage::Claim {
            call_id,
            epoch,
            request,
            holder,
        });
    }

    /// Claims a key at this instance as its home; returns `None` when the claimant's epoch differs
    /// or the fence refuses.
    pub(super) fn claim_locally(
        &mut self,
        i: usize,
        epoch: u64,
        request: &CallerRequest,
        holder: RequestId,
    ) -> Option<ClaimResponse> {
        let wall_clock = self.wall_clock(i);
        let skips_fence = self.has_bug(InjectedBug::NoFence);
        let assumes_complete_registry = self.has_bug(InjectedBug::ForgottenRestart);
        let instance = self.instance(i);
        let now = instance.cx.now;
        let service = service_id(request.service);
        let key = request.key.as_deref().unwrap_or_default();
        let since = if skips_fence {
            instance.started
        } else {
            if epoch != instance.fence.epoch() {
                return None;
            }
            match instance.fence.permission(now, &instance.id, &service, key) {
                Permission::Grant { since } => since,
                Permission::Refuse(_) => return None,
            }
        };
        let since = if assumes_complete_registry { instance.registry_since } else { since };
        Some(instance.registry.claim(&instance.cx, wall_clock, since, &service, key, holder))
    }

    pub(super) fn on_claim(&mut self, i: usize, flight_id: u64, reply: Reply) {
        let claim = match reply {
            Reply::Claim(Some(claim)) => claim,
            Reply::Claim(None) | Reply::ConnectFailed => {
                self.answer_without_claim(i, flight_id, Verdict::NotRun);
                return;
            }
            // The claim may have been granted, but the request will not run: release the claim.
            _ => {
                let in_flight = self.instances[i].in_flight.get(&flight_id);
                if let Some((request, id)) =
                    in_flight.map(|flight| (flight.request.clone(), flight.id))
                {
                    self.settle(i, request, id, None, 0);
                }
                self.answer_without_claim(i, flight_id, Verdict::NotRun);
                return;
            }
        };
        match claim {
            ClaimResponse::Granted => self.start_attempts(i, flight_id),
            ClaimResponse::Duplicate { outcome } => {
                self.refuse_duplicate(i, flight_id, outcome.verdict())
            }
            ClaimResponse::PossiblyClaimed => {
                self.refuse_duplicate(i, flight_id, Verdict::MayHaveRun)
            }
            ClaimResponse::FromFuture | ClaimResponse::Full => {
                self.answer_without_claim(i, flight_id, Verdict::NotRun)
            }
        }
    }

    /// Answers a duplicate, which never runs, with the verdict on the request that holds the claim.
    /// Checkers must not apply this verdict to the duplicate.
    fn refuse_duplicate(&mut self, i: usize, flight_id: u64, verdict: Verdict) {
        self.answer_without_claim(i, flight_id, verdict);
    }

    /// Reports the outcome of a claimed request to the home of its key; `None` releases the claim,
    /// because the request did not run.
    pub(super) fn settle(
        &mut self,
        i: usize,
        request: CallerRequest,
        holder: RequestId,
        outcome: Option<KeyOutcome>,
        attempt: u32,
    ) {
        let roster = self.instances[i].fence.roster();
        let Some(home) = roster.and_then(|roster| home_of(roster, &request)) else { return };
        if home == i {
            self.settle_locally(i, &request, holder, outcome);
            return;
        }
        let pending = PendingCall::Settle { request: request.clone(), holder, outcome, attempt };
        let new_message = |call_id| PeerMessage::Settle { call_id, request, holder, outcome };
        self.call(i, home, CLAIM_TIMEOUT, pending, new_message);
    }

    pub(super) fn retry_settle(
        &mut self,
        i: usize,
        request: CallerRequest,
        holder: RequestId,
        outcome: Option<KeyOutcome>,
        attempt: u32,
    ) {
        if attempt + 1 < SETTLE_ATTEMPTS {
            let delay = SETTLE_RETRY_DELAY * (1 << attempt);
            let attempt = attempt + 1;
            self.schedule_for_process(
                i,
                delay,
                Event::Settle { request, holder, outcome, attempt },
            );
        }
    }

    pub(super) fn settle_locally(
        &mut self,
        i: usize,
        request: &CallerRequest,
        holder: RequestId,
        outcome: Option<KeyOutcome>,
    ) {
        let instance = self.instance(i);
        let service = service_id(request.service);
        let key = request.key.as_deref().unwrap_or_default();
        match outcome {
            Some(outcome) => {
                instance.registry.settle(&instance.cx, &service, key, holder, outcome);
            }
            None => instance.registry.release(&service, key, holder),
        }
    }

    /// Answers an exchange of roster epochs. Also reports the time since the last contact with
    /// `silent_home`, or since the start of this instance if there was none.
    pub(super) fn answer_exchange(
        &mut self,
        i: usize,
        from: usize,
        epoch: u64,
        unsettled: Option<Roster>,
        silent_home: Option<usize>,
    ) -> Reply {
        let now = self.clock_reading(i);
        let instance = self.instance(i);
        if let Some(roster) = unsettled {
            instance.fence.adopt(now, roster);
        }
        instance.fence.on_exchange_request(&instance_id(from), now.monotonic, epoch);
        let started = instance.started.monotonic;
        let last = silent_home.and_then(|home| instance.fence.last_contact(&instance_id(home)));
        let since_last_contact = now.monotonic.saturating_duration_since(last.unwrap_or(started));
        let newer = instance.fence.roster().filter(|roster| roster.epoch > epoch).cloned();
        Reply::Exchange {
            epoch: instance.fence.epoch(),
            settled: instance.fence.is_settled(),
            roster: newer,
            since_last_contact,
        }
    }

    /// Exchanges roster epochs with a peer and, if given, asks for its last contact with
    /// `silent_home`.
    fn exchange(&mut self, i: usize, to: usize, silent_home: Option<usize>) {
        let fence = &self.instances[i].fence;
        let unsettled = fence.roster().filter(|_| !fence.is_settled()).cloned();
        let (epoch, sent) = (fence.epoch(), self.monotonic_now());
        if !self.instances[i].directory.contains_key(&to) {
            return;
        }
        let new_message =
            |call_id| PeerMessage::Exchange { call_id, epoch, unsettled, silent_home };
        self.call(
            i,
            to,
            EXCHANGE_TIMEOUT,
            PendingCall::Exchange { sent, silent_home },
            new_message,
        );
    }

    pub(super) fn on_exchange(
        &mut self,
        i: usize,
        peer: usize,
        sent: Instant,
        silent_home: Option<usize>,
        reply: Reply,
    ) {
        let Reply::Exchange { epoch, settled, roster, since_last_contact } = reply else { return };
        let now = self.clock_reading(i);
        let instance = self.instance(i);
        if let Some(roster) = roster {
            instance.fence.adopt(now, roster);
        }
        instance.fence.on_exchange(&instance_id(peer), sent, epoch, settled);
        if let Some(round) = &mut instance.roster_task.attestation_round
            && silent_home == Some(round.silent_home)
        {
            round.attestations.push((instance_id(peer), since_last_contact));
        }
    }

    /// Maintains the roster: exchanges epochs with peers and proposes roster changes.
    pub(super) fn tick_roster(&mut self, i: usize) {
        let now = self.clock_reading(i);
        let instance = self.instance(i);
        let elapsed_since = |at: Instant| now.monotonic.saturating_duration_since(at);
        if instance.stop_phase >= StopPhase::Leaving
            || elapsed_since(instance.roster_task.last_step) < ROSTER_STEP_INTERVAL
        {
            return;
        }
        instance.roster_task.last_step = now.monotonic;
        instance.fence.tick(now, &instance.id);
        let live_count = instance.live_instances().len();
        let roster_task = &mut instance.roster_task;
        if live_count != roster_task.live_count.0 {
            roster_task.live_count = (live_count, now.monotonic);
        }
        let epoch = instance.fence.epoch();
        if epoch != roster_task.epoch {
            roster_task.epoch = epoch;
            roster_task.last_exchange = None;
        }
        let view_stable = elapsed_since(roster_task.live_count.1) >= STABLE_VIEW_TIME;
        let exchange_due =
            roster_task.last_exchange.is_none_or(|at| elapsed_since(at) >= EXCHANGE_INTERVAL);
        let round_over = roster_task
            .attestation_round
            .as_ref()
            .is_some_and(|round| now.monotonic >= round.deadline);
        let idle = roster_task.attestation_round.is_none() && !roster_task.store_call_pending;
        let change_due = view_stable
            && idle
            && elapsed_since(roster_task.last_change) >= roster_task.change_delay;
        if change_due {
            roster_task.last_change = now.monotonic;
            roster_task.store_call_pending = true;
            let jitter_factor = instance.cx.rng.random_range(0.5..1.5);
            instance.roster_task.change_delay = ROSTER_CHANGE_INTERVAL.mul_f64(jitter_factor);
        }
        if exchange_due {
            instance.roster_task.last_exchange = Some(now.monotonic);
            self.exchange_all(i);
        }
        if round_over {
            self.expel_silent_home(i);
        }
        if change_due {
            self.call_store(
                i,
                StoreOp::Get(RecordKey::Roster),
                StoreContinuation::RosterRead { leave: false },
            );
        }
    }

    /// Exchanges epochs with all other homes, or with one random home if this instance is not a
    /// home. Without a roster, exchanges with one random live instance.
    fn exchange_all(&mut self, i: usize) {
        let instance = self.instance(i);
        let roster = instance.fence.roster();
        let mut peers = roster.map_or_else(|| instance.live_instances(), |r| r.instances.clone());
        let is_home = roster.is_some() && peers.contains(&instance.id);
        peers.retain(|peer| *peer != instance.id);
        if !is_home {
            peers = peers.choose(&mut instance.cx.rng).into_iter().cloned().collect();
        }
        for peer in peers {
            self.exchange(i, index_of(&peer), None);
        }
    }

    pub(super) fn leave_roster(&mut self, i: usize) {
        self.call_store(
            i,
            StoreOp::Get(RecordKey::Roster),
            StoreContinuation::RosterRead { leave: true },
        );
    }

    pub(super) fn on_roster_read(&mut self, i: usize, leave: bool, answer: StoreAnswer) {
        let now = self.clock_reading(i);
        let instance = self.instance(i);
        instance.roster_task.store_call_pending = false;
        let StoreAnswer::Got(version, value) = answer else {
            instance.roster_task.change_delay =
                instance.roster_task.change_delay.min(ROSTER_CHANGE_INTERVAL / 5);
            return;
        };
        let Some(RecordValue::Roster(roster)) = value else {
            if !leave {
                let instances = instance.live_instances();
                self.write_roster(i, 0, Roster { epoch: 1, instances });
            }
            return;
        };
        if leave {
            let next = roster.apply(&RosterChange::Leave(instance.id.clone()));
            if let Some(next) = next.ok().filter(|next| !next.instances.is_empty()) {
                self.write_roster(i, version, next);
            }
            return;
        }
        instance.fence.adopt(now, roster.clone());
        if !roster.instances.contains(&instance.id) {
            if let Ok(next) = roster.apply(&RosterChange::Join(instance.id.clone())) {
                self.write_roster(i, version, next);
            }
            return;
        }
        self.start_attestation_round(i, roster, version);
    }

    /// Starts to collect attestations of the silence of a home that is not live, if there is one.
    /// Only the first live home of the roster does so.
    fn start_attestation_round(&mut self, i: usize, roster: Roster, version: u64) {
        let live = self.instances[i].live_instances();
        let first = roster.instances.iter().find(|home| live.contains(home));
        if first != Some(&self.instances[i].id) {
            return;
        }
        let silent_home = roster.instances.iter().find(|home| !live.contains(home));
        let Some(silent_home) = silent_home.map(|home| index_of(home)) else {
            return;
        };
        let reply = self.answer_exchange(i, i, roster.epoch, None, Some(silent_home));
        let Reply::Exchange { since_last_contact, .. } = reply else { return };
        let attestations = vec![(instance_id(i), since_last_contact)];
        let deadline = self.monotonic_now() + EXCHANGE_TIMEOUT;
        let peers: Vec<InstanceId> = roster.instances.clone();
        self.instances[i].roster_task.attestation_round =
            Some(AttestationRound { silent_home, roster, version, deadline, attestations });
        for peer in peers.iter().map(|peer| index_of(peer)) {
            if peer != i && peer != silent_home && peer < INSTANCES {
                self.exchange(i, peer, Some(silent_home));
            }
        }
    }

    /// Ends the attestation round and writes a roster without the silent home if a majority of the
    /// roster attests enough silence.
    fn expel_silent_home(&mut self, i: usize) {
        let Some(round) = self.instances[i].roster_task.attestation_round.take() else { return };
        let change = RosterChange::Expel {
            instance: instance_id(round.silent_home),
            attestations: round.attestations,
        };
        if let Ok(next) = round.roster.apply(&change) {
            self.write_roster(i, round.version, next);
        }
    }

    fn write_roster(&mut self, i: usize, version: u64, roster: Roster) {
        self.instances[i].roster_task.store_call_pending = true;
        let op = StoreOp::Swap(RecordKey::Roster, version, RecordValue::Roster(roster.clone()));
        self.call_store(i, op, StoreContinuation::RosterWritten { roster: Box::new(roster) });
    }

    pub(super) fn on_roster_written(&mut self, i: usize, roster: Roster, answer: StoreAnswer) {
        let now = self.clock_reading(i);
        let instance = self.instance(i);
        instance.roster_task.store_call_pending = false;
        if !matches!(answer, StoreAnswer::Done) {
            return;
        }
        let is_leaving = instance.stop_phase >= StopPhase::Leaving;
        let peers = roster.instances.clone();
        instance.fence.adopt(now, roster);
        if is_leaving {
            for peer in peers {
                self.exchange(i, index_of(&peer), None);
            }
        }
    }
}

fn home_of(roster: &Roster, request: &CallerRequest) -> Option<usize> {
    let key = request.key.as_deref().unwrap_or_default();
    roster.home(&service_id(request.service), key).map(|home| index_of(home))
}
