//! Share of the servers of one service in one domain that offer a free slot.

use std::time::{Duration, Instant};

/// Weight of one load report in the share; the last ten reports count, which is one to two seconds
/// of the measured deployments at home.
const REPORT_WEIGHT: f64 = 0.1;

/// Share assumed without reports, so that a domain whose reports are old is asked again.
const ASSUMED_SHARE: f64 = 0.5;

/// Time in which the share decays halfway to [`ASSUMED_SHARE`]. Loads of the measured deployments
/// change within seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Exponentially weighted share of load reports with a free slot at a probably healthy server.
#[derive(Clone, Copy, Debug)]
pub(super) struct FreeShare {
    share: f64,
    updated_at: Option<Instant>,
}

impl Default for FreeShare {
    fn default() -> FreeShare {
        FreeShare { share: ASSUMED_SHARE, updated_at: None }
    }
}

impl FreeShare {
    pub(super) fn add(&mut self, now: Instant, is_free: bool) {
        let share = self.get(now);
        self.share = share + REPORT_WEIGHT * (f64::from(u8::from(is_free)) - share);
        self.updated_at = Some(now);
    }

    pub(super) fn get(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else { return ASSUMED_SHARE };
        let age = now.saturating_duration_since(updated_at);
        let remaining = (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2();
        ASSUMED_SHARE + (self.share - ASSUMED_SHARE) * remaining
    }
}
