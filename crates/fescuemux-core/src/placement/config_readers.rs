//! Which instances read the configuration from the store. All others learn it from instances.

use crate::base::stable_hash;
use std::time::{Duration, Instant};

/// Number of instances of each failure domain that take over when the reader fails.
const STANDBY_COUNT: usize = 4;

/// Age of the last confirmation from which the first standby reads the store. Readers get an answer
/// of the store every 750 ms, and standbys query their reader every 250 ms. With the time in which a
/// version spreads, it is still known everywhere two seconds after the change.
const STANDBY_READS_AFTER: Duration = Duration::from_millis(1_200);

/// Additional age for each further standby, so that usually one of them reads.
const STANDBY_STAGGER: Duration = Duration::from_millis(100);

/// Age of the last confirmation from which any instance reads the store. All standbys of all failure
/// domains that are in contact have failed by then.
const FOLLOWER_READS_AFTER: Duration = Duration::from_secs(5);

/// Time from which an instance reads the store after it heard of a newer version that it could not
/// get from the instance that has it, for example because a link is cut one way.
const NEWER_VERSION_READS_AFTER: Duration = Duration::from_millis(400);

/// Age of a confirmation, as an instance reports it to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedAge {
    /// Milliseconds, rounded up.
    Millis(u32),
    /// There was no confirmation.
    Unconfirmed,
}

/// Part of an instance in reading the configuration for its failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigRole {
    /// Watches the store.
    Reader,
    /// Takes over from the reader, in the order of the number, which starts at one.
    Standby(u32),
    /// Learns the configuration from other instances.
    Follower,
}

/// Returns the role of the instance `own_id`, which knows the responsive instances `others` of its
/// failure domain. Instances are ranked by rendezvous hashing, so those with the same view agree,
/// and an instance that comes or goes moves few roles. An instance with a smaller view may be one
/// reader too many, which costs only calls.
pub fn config_role<'a>(own_id: &str, others: impl IntoIterator<Item = &'a str>) -> ConfigRole {
    let own_rank = config_rank(own_id);
    let before = others.into_iter().filter(|id| *id != own_id && config_rank(id) < own_rank);
    match before.take(STANDBY_COUNT + 1).count() {
        0 => ConfigRole::Reader,
        rank if rank <= STANDBY_COUNT => ConfigRole::Standby(rank as u32),
        _ => ConfigRole::Follower,
    }
}

/// Returns the rank of an instance; the lowest of a failure domain is its reader.
pub(super) fn config_rank(id: &str) -> (u64, &str) {
    (stable_hash(&[b"config-reader", id.as_bytes()]), id)
}

/// Age of the knowledge that the configuration of this instance is the latest.
///
/// Readers confirm it at each answer of the store, and instances pass the age on with their version.
/// When the readers fail, the age grows until other instances read the store themselves. No age is
/// ever below the time since the store's answer, however often and slowly it is passed on: each
/// receiver counts it from before it asked.
#[derive(Clone, Copy, Debug)]
pub struct ConfigFreshness {
    confirmed_at: Option<Instant>,
    /// Time since which another instance is known to have a newer version.
    outdated_since: Option<Instant>,
    follower_reads_after: Duration,
}

impl ConfigFreshness {
    /// Returns the state before the first confirmation. `jitter`, from zero to one, spreads the
    /// times at which followers turn to the store.
    pub fn new(jitter: f64) -> ConfigFreshness {
        let follower_reads_after = FOLLOWER_READS_AFTER.mul_f64(1.0 + jitter.clamp(0.0, 1.0) / 2.0);
        ConfigFreshness { confirmed_at: None, outdated_since: None, follower_reads_after }
    }

    /// Records an answer of the store that shows its state at the time `as_of` or later.
    pub fn confirm(&mut self, as_of: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(as_of));
    }

    /// Records that an instance replied to a query sent at `query_sent_at`: it has the same version,
    /// and its own confirmation has the age `reported`.
    pub fn confirm_by_reply(&mut self, query_sent_at: Instant, reported: ReportedAge) {
        let ReportedAge::Millis(ms) = reported else { return };
        let as_of = query_sent_at.checked_sub(Duration::from_millis(u64::from(ms)));
        self.confirmed_at = self.confirmed_at.max(as_of);
    }

    /// Records that another instance has a newer version.
    pub fn on_newer_version(&mut self, now: Instant) {
        self.outdated_since.get_or_insert(now);
    }

    /// Records that a newer version was installed, or that the store has none.
    pub fn on_up_to_date(&mut self) {
        self.outdated_since = None;
    }

    /// Returns the age of the last confirmation, or `None` without one.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns the age of the last confirmation as other instances are told.
    pub fn reported_age(&self, now: Instant) -> ReportedAge {
        let millis = self.age(now).map(|age| age.as_nanos().div_ceil(1_000_000));
        match millis.map(u32::try_from) {
            Some(Ok(ms)) => ReportedAge::Millis(ms),
            Some(Err(_)) | None => ReportedAge::Unconfirmed,
        }
    }

    /// Returns whether an instance with this role must read the store now.
    pub fn must_read(&self, now: Instant, role: ConfigRole) -> bool {
        let is_outdated = self
            .outdated_since
            .is_some_and(|since| now.saturating_duration_since(since) > NEWER_VERSION_READS_AFTER);
        let max_age = match role {
            ConfigRole::Reader => return true,
            ConfigRole::Standby(rank) => {
                STANDBY_READS_AFTER + STANDBY_STAGGER * rank.saturating_sub(1)
            }
            ConfigRole::Follower => self.follower_reads_after,
        };
        is_outdated || self.age(now).is_none_or(|age| age > max_age)
    }
}
