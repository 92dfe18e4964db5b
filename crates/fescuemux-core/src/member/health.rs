//! Local health: how far this member trusts its own view.

/// Score that lengthens the timeouts of a member whose own view is doubtful.
#[derive(Clone, Copy, Debug)]
pub(super) struct LocalHealth {
    score: u32,
    max: u32,
}

impl LocalHealth {
    pub(super) fn new(max: u32) -> LocalHealth {
        LocalHealth { score: 0, max }
    }

    /// Returns the factor for timeouts; one for a healthy member.
    pub(super) fn factor(&self) -> u32 {
        self.score + 1
    }

    pub(super) fn on_probe_answered(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// A probe failed and no helper answered either, so the fault may be here.
    pub(super) fn on_silence(&mut self) {
        self.score = (self.score + 1).min(self.max);
    }

    pub(super) fn on_pause(&mut self) {
        self.score = self.max;
    }
}
