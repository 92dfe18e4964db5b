//! Claims of idempotency keys at their homes, and the roster of homes.

use super::broken::InjectedBug;
use super::check::INSTANCES;
use super::events::{Event, Msg, Order, Reply, Then};
use super::instance::{Attest, Call, Stop, instance_id, number, service_id};
use super::store::{Answer, Key, Op, Value};
use super::world::World;
use fescuemux_core::base::{InstanceId, RequestId, Verdict};
use fescuemux_core::dedup::{ClaimResponse, KeyOutcome, Permission, Roster, RosterChange};
use rand::Rng as _;
use rand::seq::IndexedRandom as _;
use std::time::{Duration, Instant};

/// As in the daemon.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
const SETTLE_ATTEMPTS: u32 = 5;
const SETTLE_PAUSE: Duration = Duration::from_millis(100);
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(5);
const QUIET_TIME: Duration = Duration::from_secs(2);
const CHANGE_INTERVAL: Duration = Duration::from_secs(15);
const STEP: Duration = Duration::from_millis(250);

impl World {
    /// Claims the key of a request at its home.
    pub(super) fn claim(
        &mut self,
        i: usize,
        flight: u64,
        order: Order,
        holder: RequestId,
        deadline: Instant,
    ) {
        let fence = &self.instances[i].fence;
        let epoch = fence.epoch();
        let Some(home) = fence.roster().and_then(|roster| home_of(roster, &order)) else {
            self.refuse_claim(i, flight, Verdict::NotRun);
            return;
        };
        if home == i {
            let claim = self.claim_here(i, epoch, &order, holder);
            self.on_claim(i, flight, Reply::Claim(claim));
            return;
        }
        let limit = CLAIM_TIMEOUT.min(deadline.saturating_duration_since(self.mono()));
        let call = Call::Claim { flight };
        self.call(i, home, limit, call, |call| Msg::Claim { call, epoch, order, holder });
    }

    /// Claims a key at this home; `None` when the fence refuses.
    pub(super) fn claim_here(
        &mut self,
        i: usize,
        epoch: u64,
        order: &Order,
        holder: RequestId,
    ) -> Option<ClaimResponse> {
        let wall = self.wall(i);
        let unfenced = self.is(InjectedBug::NoFence);
        let forgotten = self.is(InjectedBug::ForgottenRestart);
        let instance = self.instance(i);
        let now = instance.cx.now;
        let service = service_id(order.service);
        let key = order.key.as_deref().unwrap_or_default();
        let since = if unfenced {
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
        let since = if forgotten { instance.memory } else { since };
        Some(instance.registry.claim(&instance.cx, wall, since, &service, key, holder))
    }

    pub(super) fn on_claim(&mut self, i: usize, flight: u64, reply: Reply) {
        let claim = match reply {
            Reply::Claim(Some(claim)) => claim,
            Reply::Claim(None) | Reply::Unreached => {
                self.refuse_claim(i, flight, Verdict::NotRun);
                return;
            }
            // The claim may have been granted; nothing will run under it.
            _ => {
                let known = self.instances[i].flights.get(&flight);
                if let Some((order, id)) = known.map(|known| (known.order.clone(), known.id)) {
                    self.settle(i, order, id, None, 0);
                }
                self.refuse_claim(i, flight, Verdict::NotRun);
                return;
            }
        };
        match claim {
            ClaimResponse::Granted => self.begin_attempts(i, flight),
            ClaimResponse::Duplicate { outcome } => {
                self.refuse_duplicate(i, flight, outcome.verdict())
            }
            ClaimResponse::Unknown => self.refuse_duplicate(i, flight, Verdict::MayHaveRun),
            ClaimResponse::FromFuture | ClaimResponse::Full => {
                self.refuse_claim(i, flight, Verdict::NotRun)
            }
        }
    }

    /// The verdict of a duplicate is that of the first request. A checker must not take it for a
    /// statement about the duplicate, which never runs.
    fn refuse_duplicate(&mut self, i: usize, flight: u64, verdict: Verdict) {
        self.refuse_claim(i, flight, verdict);
    }

    /// Settles a claim at its home; `None` releases it as not run.
    pub(super) fn settle(
        &mut self,
        i: usize,
        order: Order,
        holder: RequestId,
        outcome: Option<KeyOutcome>,
        attempt: u32,
    ) {
        let roster = self.instances[i].fence.roster();
        let Some(home) = roster.and_then(|roster| home_of(roster, &order)) else { return };
        if home == i {
            self.settle_here(i, &order, holder, outcome);
            return;
        }
        let call = Call::Settle { order: order.clone(), holder, outcome, attempt };
        let msg = |call| Msg::Settle { call, order, holder, outcome };
        self.call(i, home, CLAIM_TIMEOUT, call, msg);
    }

    pub(super) fn repeat_settle(
        &mut self,
        i: usize,
        order: Order,
        holder: RequestId,
        outcome: Option<KeyOutcome>,
        attempt: u32,
    ) {
        if attempt + 1 < SETTLE_ATTEMPTS {
            let pause = SETTLE_PAUSE * (1 << attempt);
            let attempt = attempt + 1;
            self.after_in(i, pause, Event::Settle { order, holder, outcome, attempt });
        }
    }

    pub(super) fn settle_here(
        &mut self,
        i: usize,
        order: &Order,
        holder: RequestId,
        outcome: Option<KeyOutcome>,
    ) {
        let instance = self.instance(i);
        let service = service_id(order.service);
        let key = order.key.as_deref().unwrap_or_default();
        match outcome {
            Some(outcome) => {
                instance.registry.settle(&instance.cx, &service, key, holder, outcome);
            }
            None => instance.registry.release(&service, key, holder),
        }
    }

    pub(super) fn answer_exchange(
        &mut self,
        i: usize,
        from: usize,
        epoch: u64,
        young: Option<Roster>,
        about: Option<usize>,
    ) -> Reply {
        let now = self.since(i);
        let instance = self.instance(i);
        if let Some(roster) = young {
            instance.fence.adopt(now, roster);
        }
        instance.fence.on_exchange_request(&instance_id(from), now.monotonic, epoch);
        let started = instance.started.monotonic;
        let last = about.and_then(|about| instance.fence.last_contact(&instance_id(about)));
        let silence = now.monotonic.saturating_duration_since(last.unwrap_or(started));
        let newer = instance.fence.roster().filter(|roster| roster.epoch > epoch).cloned();
        Reply::Exchange {
            epoch: instance.fence.epoch(),
            settled: instance.fence.is_settled(),
            roster: newer,
            silence,
        }
    }

    fn exchange(&mut self, i: usize, to: usize, about: Option<usize>) {
        let fence = &self.instances[i].fence;
        let young = fence.roster().filter(|_| !fence.is_settled()).cloned();
        let (epoch, sent) = (fence.epoch(), self.mono());
        if !self.instances[i].directory.contains_key(&to) {
            return;
        }
        let msg = |call| Msg::Exchange { call, epoch, young, about };
        self.call(i, to, EXCHANGE_TIMEOUT, Call::Exchange { sent, about }, msg);
    }

    pub(super) fn on_exchange(
        &mut self,
        i: usize,
        peer: usize,
        sent: Instant,
        about: Option<usize>,
        reply: Reply,
    ) {
        let Reply::Exchange { epoch, settled, roster, silence } = reply else { return };
        let now = self.since(i);
        let instance = self.instance(i);
        if let Some(roster) = roster {
            instance.fence.adopt(now, roster);
        }
        instance.fence.on_exchange(&instance_id(peer), sent, epoch, settled);
        if let Some(attest) = &mut instance.keeper.attest
            && about == Some(attest.silent)
        {
            attest.given.push((instance_id(peer), silence));
        }
    }

    /// One step of the keeper of the roster.
    pub(super) fn tick_roster(&mut self, i: usize) {
        let now = self.since(i);
        let instance = self.instance(i);
        let since = |at: Instant| now.monotonic.saturating_duration_since(at);
        if instance.stop >= Stop::Leaving || since(instance.keeper.stepped) < STEP {
            return;
        }
        instance.keeper.stepped = now.monotonic;
        instance.fence.tick(now, &instance.id);
        let live = instance.live().len();
        let keeper = &mut instance.keeper;
        if live != keeper.view.0 {
            keeper.view = (live, now.monotonic);
        }
        let epoch = instance.fence.epoch();
        if epoch != keeper.epoch {
            keeper.epoch = epoch;
            keeper.exchanged = None;
        }
        let quiet = since(keeper.view.1) >= QUIET_TIME;
        let exchanges = keeper.exchanged.is_none_or(|at| since(at) >= EXCHANGE_INTERVAL);
        let collected = keeper.attest.as_ref().is_some_and(|attest| now.monotonic >= attest.until);
        let idle = keeper.attest.is_none() && !keeper.in_store;
        let improves = quiet && idle && since(keeper.changed) >= keeper.wait;
        if improves {
            keeper.changed = now.monotonic;
            keeper.in_store = true;
            let factor = instance.cx.rng.random_range(0.5..1.5);
            instance.keeper.wait = CHANGE_INTERVAL.mul_f64(factor);
        }
        if exchanges {
            instance.keeper.exchanged = Some(now.monotonic);
            self.exchange_all(i);
        }
        if collected {
            self.expel(i);
        }
        if improves {
            self.store(i, Op::Get(Key::Roster), Then::RosterRead { leave: false });
        }
    }

    fn exchange_all(&mut self, i: usize) {
        let instance = self.instance(i);
        let roster = instance.fence.roster();
        let mut peers = roster.map_or_else(|| instance.live(), |r| r.instances.clone());
        let is_home = roster.is_some() && peers.contains(&instance.id);
        peers.retain(|peer| *peer != instance.id);
        if !is_home {
            peers = peers.choose(&mut instance.cx.rng).into_iter().cloned().collect();
        }
        for peer in peers {
            self.exchange(i, number(&peer), None);
        }
    }

    pub(super) fn leave_roster(&mut self, i: usize) {
        self.store(i, Op::Get(Key::Roster), Then::RosterRead { leave: true });
    }

    pub(super) fn on_roster_read(&mut self, i: usize, leave: bool, answer: Answer) {
        let now = self.since(i);
        let instance = self.instance(i);
        instance.keeper.in_store = false;
        let Answer::Got(version, value) = answer else {
            instance.keeper.wait = instance.keeper.wait.min(CHANGE_INTERVAL / 5);
            return;
        };
        let Some(Value::Roster(roster)) = value else {
            if !leave {
                let instances = instance.live();
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
        self.look_for_silent(i, roster, version);
    }

    fn look_for_silent(&mut self, i: usize, roster: Roster, version: u64) {
        let live = self.instances[i].live();
        let first = roster.instances.iter().find(|home| live.contains(home));
        if first != Some(&self.instances[i].id) {
            return;
        }
        let silent = roster.instances.iter().find(|home| !live.contains(home));
        let Some(silent) = silent.map(|silent| number(silent)) else { return };
        let own = self.answer_exchange(i, i, roster.epoch, None, Some(silent));
        let Reply::Exchange { silence, .. } = own else { return };
        let given = vec![(instance_id(i), silence)];
        let until = self.mono() + EXCHANGE_TIMEOUT;
        let peers: Vec<InstanceId> = roster.instances.clone();
        self.instances[i].keeper.attest = Some(Attest { silent, roster, version, until, given });
        for peer in peers.iter().map(|peer| number(peer)) {
            if peer != i && peer != silent && peer < INSTANCES {
                self.exchange(i, peer, Some(silent));
            }
        }
    }

    fn expel(&mut self, i: usize) {
        let Some(attest) = self.instances[i].keeper.attest.take() else { return };
        let change = RosterChange::Expel {
            instance: instance_id(attest.silent),
            attestations: attest.given,
        };
        if let Ok(next) = attest.roster.apply(&change) {
            self.write_roster(i, attest.version, next);
        }
    }

    fn write_roster(&mut self, i: usize, version: u64, roster: Roster) {
        self.instances[i].keeper.in_store = true;
        let op = Op::Swap(Key::Roster, version, Value::Roster(roster.clone()));
        self.store(i, op, Then::RosterWritten { roster: Box::new(roster) });
    }

    pub(super) fn on_roster_written(&mut self, i: usize, roster: Roster, answer: Answer) {
        let now = self.since(i);
        let instance = self.instance(i);
        instance.keeper.in_store = false;
        if !matches!(answer, Answer::Done) {
            return;
        }
        let leaves = instance.stop >= Stop::Leaving;
        let peers = roster.instances.clone();
        instance.fence.adopt(now, roster);
        if leaves {
            for peer in peers {
                self.exchange(i, number(&peer), None);
            }
        }
    }
}

fn home_of(roster: &Roster, order: &Order) -> Option<usize> {
    let key = order.key.as_deref().unwrap_or_default();
    roster.home(&service_id(order.service), key).map(|home| number(home))
}
