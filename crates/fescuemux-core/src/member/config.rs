//! Timing and size bounds of membership.

use std::time::Duration;

/// Timing and size bounds of [`Membership`](super::Membership).
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// Time between two probes of a healthy member.
    pub probe_period: Duration,
    /// Time a direct probe may take before helpers are asked.
    pub ack_timeout: Duration,
    /// Members asked to probe on behalf of this one.
    pub helpers: usize,
    /// Suspicion lasts this many probe periods for each decimal order of the fleet's size.
    pub suspicion_factor: f64,
    /// Each update is sent this many times for each decimal order of the fleet's size.
    pub retransmit_factor: u32,
    /// Estimated bytes of updates that ride on one message.
    pub max_piggyback_bytes: usize,
    /// Members told at once about a new generation or a change of the own record.
    pub fanout: usize,
    /// Shortest time between two digest repairs that this member starts.
    pub min_sync_interval: Duration,
    /// Estimated bytes of records in one repair message.
    pub max_sync_bytes: usize,
    /// Standings in one answer to a repair.
    pub max_sync_summaries: usize,
    /// Answers to repairs that may follow at once; one more is allowed each probe period.
    pub sync_burst: u32,
    /// Time between two attempts to reach a member held for dead.
    pub reconnect_interval: Duration,
    /// Time a dead record is kept. It exceeds a region cut, so that both sides still know each
    /// other's addresses when the cut ends.
    pub dead_retention: Duration,
    /// Lateness of a tick from which the member takes itself as paused.
    pub pause_threshold: Duration,
    /// Highest value of the local health score; timeouts grow by a factor of the score plus one.
    pub max_health_score: u32,
    /// Highest number of records held, dead ones included.
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
    /// Returns how often one update is sent in a fleet of `members`.
    pub(super) fn transmits(&self, members: usize) -> u32 {
        let orders = (members as f64 + 1.0).log10().ceil().max(1.0);
        self.retransmit_factor * orders as u32
    }

    /// Returns how long a member stays suspect in a fleet of `members`, before the local health
    /// score lengthens it.
    pub(super) fn suspicion(&self, members: usize) -> Duration {
        let orders = (members as f64).log10().max(1.0);
        self.probe_period.mul_f64(self.suspicion_factor * orders)
    }
}
