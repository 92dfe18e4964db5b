//! Local health score (as in Lifeguard): whether failures may be caused by this member itself.

/// Score that lengthens the timeouts of this member while the member itself is likely to be slow or
/// disconnected.
#[derive(Clone, Copy, Debug)]
pub(super) struct LocalHealth {
    score: u32,
    max: u32,
}

impl LocalHealth {
    pub(super) fn new(max: u32) -> LocalHealth {
        LocalHealth { score: 0, max }
    }

    /// Returns the factor for timeouts, which is one while the score is zero.
    pub(super) fn factor(&self) -> u32 {
        self.score + 1
    }

    pub(super) fn on_probe_answered(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Raises the score after a failed probe for which no helper responded, which suggests a local
    /// fault.
    pub(super) fn on_unconfirmed_failure(&mut self) {
        self.score = (self.score + 1).min(self.max);
    }

    pub(super) fn on_pause(&mut self) {
        self.score = self.max;
    }
}
