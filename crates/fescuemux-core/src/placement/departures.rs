//! Announced departures of backend servers, and who keeps them while their instance restarts.
//!
//! An acknowledged departure binds the instance also after a restart: a delayed report must not
//! bring the server back. A departure is therefore acknowledged only once it outlasts the process,
//! in the store or, while the store is away, at other instances that hold it.

use crate::base::{HashMap, Incarnation, InstanceId, ServerId, stable_hash};
use crate::placement::Peer;
use std::time::{Duration, Instant};

/// Maximum number of departures of one instance that are kept. The oldest go first.
pub const MAX_DEPARTURES: usize = 8;

/// Number of instances that hold the departures of another one.
const HOLDER_COUNT: usize = 4;

/// Number of holders that must have confirmed a departure before it is acknowledged without the
/// store. One of them may be lost.
const MIN_HOLDERS: usize = 2;

/// Number of instances from which the holders are chosen, and which a restarted instance queries. It
/// is twice the number of holders, because some do not respond, and instances that come or go change
/// the ranks.
pub(super) const CANDIDATE_COUNT: usize = 2 * HOLDER_COUNT;

/// Time for which departures are held. Reports arrive seconds late, not minutes.
pub const DEPARTURE_TTL: Duration = Duration::from_secs(60);

/// Maximum number of instances whose departures are held.
const MAX_HELD_INSTANCES: usize = 1_024;

/// Announced departure of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Departure {
    /// Id of the server.
    pub server: ServerId,
    /// Last incarnation that has left; a later one may be used.
    pub incarnation: Incarnation,
}

/// Counts changes of the own departures, so that a confirmation tells which of them it covers.
pub type DepartureVersion = u64;

/// Departures that were announced to this instance, also to its earlier processes.
#[derive(Clone, Debug)]
pub struct OwnDepartures {
    departures: Vec<Departure>,
    version: DepartureVersion,
    stored_version: DepartureVersion,
    /// Version that each holder has confirmed, and the holder's incarnation: a process that has
    /// started since holds nothing.
    held_versions: HashMap<InstanceId, (DepartureVersion, Incarnation)>,
    is_store_read: bool,
    has_store_failed: bool,
    is_first_start: bool,
    started_at: Instant,
    changed_at: Option<Instant>,
}

impl OwnDepartures {
    /// Returns the state of a process that has just started. `is_first_start` is whether no earlier
    /// process of the instance can have acknowledged a departure.
    pub fn new(now: Instant, is_first_start: bool) -> OwnDepartures {
        OwnDepartures {
            departures: Vec::new(),
            version: 0,
            stored_version: 0,
            held_versions: HashMap::default(),
            is_store_read: false,
            has_store_failed: false,
            is_first_start,
            started_at: now,
            changed_at: None,
        }
    }

    /// Adds a departure and returns whether it was unknown.
    pub fn add(&mut self, now: Instant, departure: Departure) -> bool {
        let known = self.departures.iter_mut().find(|known| known.server == departure.server);
        match known {
            Some(known) if known.incarnation >= departure.incarnation => return false,
            Some(known) => known.incarnation = departure.incarnation,
            None => {
                if self.departures.len() >= MAX_DEPARTURES {
                    self.departures.remove(0);
                }
                self.departures.push(departure);
            }
        }
        self.version += 1;
        self.changed_at = Some(now);
        true
    }

    /// Returns the departures, oldest first, and their version.
    pub fn current(&self) -> (Vec<Departure>, DepartureVersion) {
        (self.departures.clone(), self.version)
    }

    /// Records that the store's record was read.
    pub fn on_store_read(&mut self) {
        self.is_store_read = true;
    }

    /// Records that the store did not answer.
    pub fn on_store_failed(&mut self) {
        self.has_store_failed = true;
    }

    /// Records that the store has acknowledged `version`.
    pub fn on_stored(&mut self, version: DepartureVersion) {
        self.stored_version = self.stored_version.max(version);
    }

    /// Records that an instance holds `version` and has told what it held before.
    pub fn on_held(&mut self, holder: &Peer, version: DepartureVersion) {
        self.held_versions.insert(holder.id.clone(), (version, holder.incarnation));
    }

    /// Returns whether the store's record must be read.
    pub fn must_read_store(&self) -> bool {
        !self.is_first_start && !self.is_store_read
    }

    /// Returns whether the store's record is older than the departures.
    pub fn must_write_store(&self) -> bool {
        self.stored_version < self.version
    }

    /// Returns whether all departures outlast this process.
    pub fn is_durable(&self) -> bool {
        let holders = self.held_versions.values().filter(|(held, _)| *held == self.version);
        !self.must_write_store() || holders.count() >= MIN_HOLDERS
    }

    /// Returns whether reports of the server may be believed: the departures that earlier processes
    /// acknowledged are known from the store or, while the store does not answer, from other
    /// instances, of which `known_instances` are known.
    pub fn is_complete(&self, known_instances: usize) -> bool {
        let others = known_instances.saturating_sub(1);
        // Some may be dead. What the rest tells later is still applied.
        let answers_needed = HOLDER_COUNT.min(others.div_ceil(2)).max(1);
        let has_asked = self.held_versions.len() >= answers_needed;
        self.is_first_start || self.is_store_read || (self.has_store_failed && has_asked)
    }

    /// Returns whether departures are exchanged with other instances: after a start, and after a
    /// departure, for as long as they are held.
    pub fn is_exchanging(&self, now: Instant) -> bool {
        self.may_learn(now) || self.must_announce(now)
    }

    fn may_learn(&self, now: Instant) -> bool {
        !self.is_first_start && now < self.started_at + DEPARTURE_TTL
    }

    fn must_announce(&self, now: Instant) -> bool {
        self.changed_at.is_some_and(|at| now < at + DEPARTURE_TTL)
    }

    /// Returns the instances to exchange departures with now, of
    /// [`PeerDirectory::departure_holders`](crate::placement::PeerDirectory::departure_holders). A
    /// process that has recently started queries each candidate until it answers; departures go to
    /// the first of them.
    pub fn next_exchanges(&self, now: Instant, candidates: &[Peer]) -> Vec<Peer> {
        let may_learn = self.may_learn(now);
        let holders = if self.must_announce(now) { HOLDER_COUNT } else { 0 };
        let is_due = |index: usize, peer: &Peer| match self.held_versions.get(&peer.id) {
            Some((held, incarnation)) => {
                index < holders && (*held < self.version || *incarnation < peer.incarnation)
            }
            None => index < holders || may_learn,
        };
        let due = candidates.iter().enumerate().filter(|(index, peer)| is_due(*index, peer));
        due.map(|(_, peer)| peer.clone()).collect()
    }
}

/// Departures that this instance holds for others.
#[derive(Clone, Debug, Default)]
pub struct HeldDepartures {
    by_instance: HashMap<InstanceId, Held>,
}

#[derive(Clone, Debug)]
struct Held {
    departures: Vec<Departure>,
    updated_at: Instant,
}

impl HeldDepartures {
    /// Adds departures that `owner` announces, and returns all that are held for it, so that a
    /// restarted process of the owner learns what its predecessor acknowledged.
    pub fn exchange(
        &mut self,
        now: Instant,
        owner: &InstanceId,
        announced: Vec<Departure>,
    ) -> Vec<Departure> {
        self.by_instance.retain(|_, held| now < held.updated_at + DEPARTURE_TTL);
        if announced.is_empty() {
            return self.by_instance.get(owner).map_or(Vec::new(), |held| held.departures.clone());
        }
        if !self.by_instance.contains_key(owner) && self.by_instance.len() >= MAX_HELD_INSTANCES {
            let oldest = self.by_instance.iter().min_by_key(|(_, held)| held.updated_at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.by_instance.remove(&oldest);
            }
        }
        let held = self
            .by_instance
            .entry(owner.clone())
            .or_insert_with(|| Held { departures: Vec::new(), updated_at: now });
        held.updated_at = now;
        for departure in announced {
            match held.departures.iter_mut().find(|known| known.server == departure.server) {
                Some(known) => known.incarnation = known.incarnation.max(departure.incarnation),
                None => held.departures.push(departure),
            }
        }
        let excess = held.departures.len().saturating_sub(MAX_DEPARTURES);
        held.departures.drain(..excess);
        held.departures.clone()
    }
}

/// Returns the rank of an instance as holder of the departures of `owner`; lower ranks come first.
/// All instances agree on it, and one that comes or goes moves few ranks.
pub(super) fn holder_rank(owner: &str, id: &str) -> u64 {
    stable_hash(&[b"departure-holder", owner.as_bytes(), id.as_bytes()])
}
