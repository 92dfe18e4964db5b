//! Known instances, and the state of the network path to each.

use crate::base::{Cx, DomainId, HashMap, HashSet, Incarnation, InstanceId, ServiceId};
use crate::placement::config_readers::{STANDBY_COUNT, config_rank};
use crate::placement::departures::{CANDIDATE_COUNT, holder_rank};
use crate::placement::{ConfigRole, ConfirmationQuery, config_role};
use rand::seq::SliceRandom;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Backoff after the first timeout on a path; doubles with each further consecutive timeout.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Maximum number of doublings of the backoff; a path that works again is used within about two
/// seconds.
const MAX_DOUBLINGS: u32 = 3;

/// Minimum time for which an instance stays known after its entry left the store. Entries that
/// expired during an outage of the store are back about two seconds after the outage.
const UNLISTED_TTL: Duration = Duration::from_millis(2500);

/// Time since the last response within which an unlisted instance is considered alive. An instance
/// that is cut off from the store may still serve requests.
const RESPONSE_TTL: Duration = Duration::from_secs(3);

/// Number of consecutive timeouts from which an instance is not expected to read the configuration.
/// A single datagram may be lost.
const UNRESPONSIVE_TIMEOUTS: u32 = 2;

/// Assumed maximum age of a list of instances, which the store may answer from an old state.
const MAX_LIST_AGE: Duration = Duration::from_secs(10);

/// An instance of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the instance.
    pub id: InstanceId,
    /// Address for requests from other instances.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Service of the instance's backend server.
    pub service: ServiceId,
    /// Incarnation of the instance's process.
    pub incarnation: Incarnation,
}

#[derive(Clone, Debug)]
struct Entry {
    peer: Peer,
    learned_at: Instant,
    unlisted_since: Option<Instant>,
    last_response: Instant,
    consecutive_timeouts: u32,
    backoff_until: Instant,
}

/// Known instances by name and by service.
#[derive(Debug, Default)]
pub struct PeerDirectory {
    entries: HashMap<InstanceId, Entry>,
    by_service: HashMap<ServiceId, Vec<InstanceId>>,
}

impl PeerDirectory {
    /// Adds or updates an instance and returns whether it is new or changed. An entry of an earlier
    /// incarnation is ignored.
    pub fn insert(&mut self, now: Instant, peer: Peer) -> bool {
        if let Some(entry) = self.entries.get_mut(&peer.id) {
            if peer.incarnation < entry.peer.incarnation {
                return false;
            }
            entry.unlisted_since = None;
            if entry.peer == peer {
                return false;
            }
        }
        self.remove(&peer.id.clone());
        self.by_service.entry(peer.service.clone()).or_default().push(peer.id.clone());
        let entry = Entry {
            learned_at: now,
            unlisted_since: None,
            last_response: now,
            consecutive_timeouts: 0,
            backoff_until: now,
            peer: peer.clone(),
        };
        self.entries.insert(peer.id, entry);
        true
    }

    /// Marks an instance as unlisted because its entry left the store.
    pub fn mark_unlisted(&mut self, now: Instant, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.unlisted_since.get_or_insert(now);
        }
    }

    /// Marks all instances as unlisted that are not in `listed`, the full list from the store, and
    /// were known before the list, which may be old by [`MAX_LIST_AGE`].
    pub fn mark_others_unlisted(&mut self, now: Instant, listed: &HashSet<InstanceId>) {
        let is_unlisted = |entry: &&mut Entry| {
            now >= entry.learned_at + MAX_LIST_AGE && !listed.contains(&entry.peer.id)
        };
        for entry in self.entries.values_mut().filter(is_unlisted) {
            entry.unlisted_since.get_or_insert(now);
        }
    }

    /// Removes unlisted instances that have not responded recently, and returns their names.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<InstanceId> {
        let is_expired = |entry: &&Entry| {
            let unlisted = entry.unlisted_since.is_some_and(|since| now >= since + UNLISTED_TTL);
            unlisted && now >= entry.last_response + RESPONSE_TTL
        };
        let expired: Vec<_> =
            self.entries.values().filter(is_expired).map(|entry| entry.peer.id.clone()).collect();
        expired.iter().for_each(|id| self.remove(id));
        expired
    }

    /// Records a response from an instance.
    pub fn on_response(&mut self, now: Instant, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.last_response = now;
            entry.consecutive_timeouts = 0;
            entry.backoff_until = now;
        }
    }

    /// Records a message that an instance did not answer in time, and starts the backoff of its
    /// path.
    pub fn on_timeout(&mut self, now: Instant, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.backoff_until =
                now + INITIAL_BACKOFF * (1 << entry.consecutive_timeouts.min(MAX_DOUBLINGS));
            entry.consecutive_timeouts += 1;
        }
    }

    /// Returns up to `limit` random instances of `service` that are not in `excluded`. At most two
    /// thirds come from `domain` if the other domains have enough instances. Instances in backoff
    /// are used only when there are too few others.
    pub fn sample(
        &self,
        cx: &mut Cx,
        service: &str,
        domain: &str,
        limit: usize,
        excluded: &[InstanceId],
    ) -> Vec<Peer> {
        let [local, remote, backing_off] = self.shuffled(cx, service, domain, excluded);
        let remote_count = remote.len().min(limit - (limit * 2 / 3).min(local.len()));
        let local_count = limit - remote_count;
        let preferred =
            local.into_iter().take(local_count).chain(remote.into_iter().take(remote_count));
        preferred.chain(backing_off).take(limit).map(|entry| entry.peer.clone()).collect()
    }

    /// Returns up to `limit` random instances of `service` that are not in `excluded`, of which up to
    /// `remote_limit` are in other domains than `domain`. Instances in backoff are used only when
    /// there are too few others.
    pub fn sample_domains(
        &self,
        cx: &mut Cx,
        service: &str,
        domain: &str,
        limit: usize,
        remote_limit: usize,
        excluded: &[InstanceId],
    ) -> Vec<Peer> {
        let [local, remote, backing_off] = self.shuffled(cx, service, domain, excluded);
        let (local_off, remote_off): (Vec<_>, Vec<_>) =
            backing_off.into_iter().partition(|entry| entry.peer.domain == domain);
        let remote: Vec<_> =
            remote.into_iter().chain(remote_off).take(remote_limit.min(limit)).collect();
        let local_count = limit - remote.len();
        let local = local.into_iter().chain(local_off).take(local_count);
        local.chain(remote).map(|entry| entry.peer.clone()).collect()
    }

    /// Returns the instances of `service` that are not in `excluded` in random order: those of
    /// `domain`, those of other domains, and those in backoff.
    fn shuffled(
        &self,
        cx: &mut Cx,
        service: &str,
        domain: &str,
        excluded: &[InstanceId],
    ) -> [Vec<&Entry>; 3] {
        let mut all: Vec<&Entry> = self.by_service.get(service).map_or(Vec::new(), |ids| {
            let usable = ids.iter().filter(|id| !excluded.contains(id));
            usable.filter_map(|id| self.entries.get(id)).collect()
        });
        all.shuffle(&mut cx.rng);
        let (available, backing_off): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|entry| entry.backoff_until <= cx.now);
        let (local, remote) = available.into_iter().partition(|entry| entry.peer.domain == domain);
        [local, remote, backing_off]
    }

    /// Returns up to `limit` random instances other than `own_id`, regardless of backoff.
    pub fn random_peers(&self, cx: &mut Cx, own_id: &str, limit: usize) -> Vec<Peer> {
        let mut others: Vec<_> = self.peers().filter(|peer| peer.id != own_id).collect();
        others.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        let (chosen, _) = others.partial_shuffle(&mut cx.rng, limit);
        chosen.iter().map(|peer| (*peer).clone()).collect()
    }

    /// Returns the role of the instance `own_id` in reading the configuration for its failure
    /// domain.
    pub fn config_role(&self, own_id: &str, domain: &str) -> ConfigRole {
        config_role(own_id, self.responsive_in(domain).map(|peer| peer.id.as_str()))
    }

    /// Returns the instances of a failure domain that the instance `own_id` queries for a confirmation
    /// of its configuration.
    pub fn confirmation_peers(
        &self,
        own_id: &str,
        domain: &str,
        query: ConfirmationQuery,
    ) -> Vec<Peer> {
        let limit = match query {
            ConfirmationQuery::Nobody => return Vec::new(),
            ConfirmationQuery::Reader => 1,
            ConfirmationQuery::ReaderAndStandbys => 1 + STANDBY_COUNT,
        };
        let mut peers: Vec<_> =
            self.responsive_in(domain).filter(|peer| peer.id != own_id).collect();
        peers.sort_unstable_by_key(|peer| config_rank(&peer.id));
        peers.into_iter().take(limit).cloned().collect()
    }

    /// Returns the candidates to hold the departures of `own_id`, those that respond first. The
    /// candidates depend on the known instances only, so that a restarted process queries the same.
    pub fn departure_holders(&self, own_id: &str) -> Vec<Peer> {
        let mut others: Vec<_> =
            self.entries.values().filter(|entry| entry.peer.id != own_id).collect();
        others.sort_unstable_by_key(|entry| holder_rank(own_id, &entry.peer.id));
        others.truncate(CANDIDATE_COUNT);
        others.sort_by_key(|entry| entry.consecutive_timeouts.min(UNRESPONSIVE_TIMEOUTS));
        others.into_iter().map(|entry| entry.peer.clone()).collect()
    }

    fn responsive_in(&self, domain: &str) -> impl Iterator<Item = &Peer> {
        self.entries
            .values()
            .filter(move |entry| {
                entry.peer.domain == domain && entry.consecutive_timeouts < UNRESPONSIVE_TIMEOUTS
            })
            .map(|entry| &entry.peer)
    }

    /// Returns the instance with this name.
    pub fn get(&self, id: &str) -> Option<&Peer> {
        self.entries.get(id).map(|entry| &entry.peer)
    }

    /// Returns the number of instances of a service.
    pub fn instance_count(&self, service: &str) -> usize {
        self.by_service.get(service).map_or(0, Vec::len)
    }

    /// Returns all instances.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.entries.values().map(|entry| &entry.peer)
    }

    /// Returns the number of instances.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove(&mut self, id: &InstanceId) {
        let Some(entry) = self.entries.remove(id) else { return };
        if let Some(ids) = self.by_service.get_mut(&entry.peer.service) {
            ids.retain(|other| other != id);
        }
    }
}
