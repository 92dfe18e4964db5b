//! Which instances read the configuration from the store. All others learn it from instances.

use crate::base::stable_hash;
use std::time::{Duration, Instant};

/// Number of instances of each failure domain that take over when the reader fails.
pub(super) const STANDBY_COUNT: usize = 4;

/// Age of the last confirmation from which the first standby reads the store. Readers get an answer
/// of the store every 750 ms, and standbys query their reader every 250 ms. With the time in which a
/// version spreads, it is still known everywhere two seconds after the change.
const STANDBY_READS_AFTER: Duration = Duration::from_millis(1_200);

/// Additional age for each further standby, so that usually one of them reads.
const STANDBY_STAGGER: Duration = Duration::from_millis(100);

/// Age of the last confirmation from which a follower queries the reader of its failure domain. In a
/// fleet with traffic, replies to load queries confirm the configuration more often.
const FOLLOWER_QUERIES_AFTER: Duration = Duration::from_millis(900);

/// Age of the last confirmation from which a follower queries the standbys as well, because the
/// reader does not respond or has no answer of the store either.
const FOLLOWER_QUERIES_ALL_AFTER: Duration = Duration::from_millis(980);

/// Age of the last confirmation from which any instance reads the store, whatever has become of the
/// others. A change is later than the last confirmation, so that each instance that reaches the
/// store knows it less than two seconds after the change.
const FOLLOWER_READS_AFTER: Duration = Duration::from_millis(1_350);

/// Maximum additional age, so that not all followers read at the same time.
const FOLLOWER_JITTER: Duration = Duration::from_millis(150);

/// Interval between checks of the age while it is below all limits.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between the queries of a follower whose confirmation is late.
const LATE_CHECK_INTERVAL: Duration = Duration::from_millis(80);

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

/// Which instances of its failure domain an instance queries for a confirmation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmationQuery {
    /// None.
    Nobody,
    /// The reader.
    Reader,
    /// The reader and the standbys.
    ReaderAndStandbys,
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
        let follower_reads_after =
            FOLLOWER_READS_AFTER + FOLLOWER_JITTER.mul_f64(jitter.clamp(0.0, 1.0));
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
        role == ConfigRole::Reader
            || is_outdated
            || self.age(now).is_none_or(|age| age >= self.max_age(role))
    }

    /// Returns which instances an instance with this role queries now.
    pub fn query(&self, now: Instant, role: ConfigRole) -> ConfirmationQuery {
        let age = self.age(now).unwrap_or(Duration::MAX);
        match role {
            ConfigRole::Reader => ConfirmationQuery::Nobody,
            ConfigRole::Standby(_) => ConfirmationQuery::Reader,
            ConfigRole::Follower if age >= FOLLOWER_QUERIES_ALL_AFTER => {
                ConfirmationQuery::ReaderAndStandbys
            }
            ConfigRole::Follower if age >= FOLLOWER_QUERIES_AFTER => ConfirmationQuery::Reader,
            ConfigRole::Follower => ConfirmationQuery::Nobody,
        }
    }

    /// Returns the time until an instance with this role checks [`ConfigFreshness::must_read`] and
    /// [`ConfigFreshness::query`] again.
    pub fn next_check_in(&self, now: Instant, role: ConfigRole) -> Duration {
        let Some(age) = self.age(now) else { return CHECK_INTERVAL };
        let until_read = self.max_age(role).saturating_sub(age);
        let until_query = match role {
            ConfigRole::Follower if age < FOLLOWER_QUERIES_AFTER => FOLLOWER_QUERIES_AFTER - age,
            ConfigRole::Follower => LATE_CHECK_INTERVAL,
            ConfigRole::Reader | ConfigRole::Standby(_) => CHECK_INTERVAL,
        };
        CHECK_INTERVAL.min(until_query).min(until_read)
    }

    /// Returns the age of the last confirmation from which an instance with this role reads the
    /// store. A reader reads all the time.
    fn max_age(&self, role: ConfigRole) -> Duration {
        match role {
            ConfigRole::Reader => Duration::MAX,
            ConfigRole::Standby(rank) => {
                STANDBY_READS_AFTER + STANDBY_STAGGER * rank.saturating_sub(1)
            }
            ConfigRole::Follower => self.follower_reads_after,
        }
    }
}
