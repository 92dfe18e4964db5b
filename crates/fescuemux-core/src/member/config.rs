//! Timeouts and limits of membership.

use std::time::Duration;

/// Timeouts and limits of [`Membership`](super::Membership).
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// Interval between probes while the local health score is zero.
    pub probe_period: Duration,
    /// Time to wait for a direct ack before asking helpers for indirect probes, and time that a
    /// helper waits for the ack of the target.
    pub ack_timeout: Duration,
    /// Number of members asked for an indirect probe.
    pub helpers: usize,
    /// Factor of the suspicion timeout: the timeout is this number of probe periods, times log10 of
    /// the fleet size (at least one).
    pub suspicion_factor: f64,
    /// Factor of the transmissions of each update: an update is sent this number of times, times
    /// log10 of one more than the fleet size (rounded up).
    pub retransmit_factor: u32,
    /// Maximum estimated bytes of updates piggybacked on one message.
    pub max_piggyback_bytes: usize,
    /// Number of members notified immediately of a new configuration generation or a changed local
    /// record.
    pub fanout: usize,
    /// Mean of the jittered minimum interval between syncs started by this member. A sync that
    /// omitted records is continued earlier.
    pub min_sync_interval: Duration,
    /// Maximum estimated bytes of records in one sync message.
    pub max_sync_bytes: usize,
    /// Maximum number of record summaries in one sync response.
    pub max_sync_summaries: usize,
    /// Maximum burst of sync responses. One response per probe period is allowed on average.
    pub sync_burst: u32,
    /// Mean interval between attempts to reach a dead member and a seed that is not a member.
    pub reconnect_interval: Duration,
    /// Time for which the record of a dead instance is kept. Should exceed the duration of a
    /// network partition between regions, so that both sides still know each other's addresses when
    /// the partition ends. After a longer partition, only seeds reconnect the regions.
    pub dead_retention: Duration,
    /// Minimum time between the due time of a tick and the next tick or message for which this
    /// process is considered to have been paused.
    pub pause_threshold: Duration,
    /// Maximum local health score. Timeouts are multiplied by the score plus one.
    pub max_health_score: u32,
    /// Maximum number of records, including dead ones.
    pub max_members: usize,
}

impl Default for MemberConfig {
    fn default() -> MemberConfig {
        MemberConfig {
            probe_period: Duration::from_secs(1),
            ack_timeout: Duration::from_millis(300),
            helpers: 3,
            suspicion_factor: 4.0,
            retransmit_factor: 3,
            max_piggyback_bytes: 1000,
            fanout: 3,
            min_sync_interval: Duration::from_secs(10),
            max_sync_bytes: 10 * 1024,
            max_sync_summaries: 80,
            sync_burst: 3,
            reconnect_interval: Duration::from_secs(20),
            dead_retention: Duration::from_secs(6 * 3600),
            pause_threshold: Duration::from_secs(1),
            max_health_score: 4,
            max_members: 2048,
        }
    }
}

impl MemberConfig {
    /// Returns the number of transmissions of one update in a fleet of `members`.
    pub(super) fn max_transmissions(&self, members: usize) -> u32 {
        let magnitude = (members as f64 + 1.0).log10().ceil().max(1.0);
        self.retransmit_factor * magnitude as u32
    }

    /// Returns the suspicion timeout in a fleet of `members`, without the local health factor.
    pub(super) fn suspicion_duration(&self, members: usize) -> Duration {
        let magnitude = (members as f64).log10().max(1.0);
        self.probe_period.mul_f64(self.suspicion_factor * magnitude)
    }
}
