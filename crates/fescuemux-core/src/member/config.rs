//! Timeouts and limits of membership.

use std::time::Duration;

/// Timeouts and limits of [`Membership`](super::Membership).
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// Interval between probes while the local health score is zero.
    pub probe_period: Duration,
    /// Time to wait for a direct ack before asking helpers for indirect probes.
    pub ack_timeout: Duration,
    /// Number of members asked for an indirect probe.
    pub helpers: usize,
    /// Suspicion timeout in probe periods, multiplied by log10 of the fleet size.
    pub suspicion_factor: f64,
    /// Transmissions of each update, multiplied by log10 of the fleet size (rounded up).
    pub retransmit_factor: u32,
    /// Maximum estimated bytes of updates piggybacked on one message.
    pub max_piggyback_bytes: usize,
    /// Number of members notified immediately of a new generation or a changed local record.
    pub fanout: usize,
    /// Minimum interval between digest repairs started by this member.
    pub min_sync_interval: Duration,
    /// Maximum estimated bytes of records in one repair message.
    pub max_sync_bytes: usize,
    /// Maximum number of record summaries in one repair response.
    pub max_sync_summaries: usize,
    /// Maximum burst of repair responses. One response per probe period is allowed on average.
    pub sync_burst: u32,
    /// Interval between attempts to reach a dead member.
    pub reconnect_interval: Duration,
    /// Time for which a dead record is kept. It exceeds the duration of a network partition
    /// between regions, so that both sides still know each other's addresses when it ends.
    pub dead_retention: Duration,
    /// Delay of a tick above which this process is considered to have been paused.
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
    pub(super) fn transmit_limit(&self, members: usize) -> u32 {
        let magnitude = (members as f64 + 1.0).log10().ceil().max(1.0);
        self.retransmit_factor * magnitude as u32
    }

    /// Returns the suspicion timeout in a fleet of `members`, without the local health factor.
    pub(super) fn suspicion_duration(&self, members: usize) -> Duration {
        let magnitude = (members as f64).log10().max(1.0);
        self.probe_period.mul_f64(self.suspicion_factor * magnitude)
    }
}
