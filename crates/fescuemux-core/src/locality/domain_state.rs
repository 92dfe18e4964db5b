//! What an ingress has observed of one failure domain: the path, the outcomes, and the requests in
//! flight there.

use crate::base::HashMap;
use std::time::{Duration, Instant};

/// Weight of one reply in the mean round-trip time.
const RTT_WEIGHT: f64 = 0.1;

/// Weight of one load query in the share of queries that are answered.
const REPLY_WEIGHT: f64 = 0.1;

/// Time in which counted outcomes lose half their weight. Faults of servers last a few seconds.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// Number of assumed outcomes with the failure share of the home domain. A third of the servers go
/// through phases in which most requests hang, so one or two failures say little about a domain.
const ASSUMED_OUTCOMES: f64 = 4.0;

/// Multiple of the expected running time from which a request in flight counts as failed. About one
/// request in twenty runs that long on a healthy server.
const OVERDUE_RATIO: u32 = 3;

/// Initial limit of the requests in flight in a domain. It is above the usual number at one ingress
/// (3 requests a second that run for half a second), so it delays only a sudden change.
const INITIAL_WINDOW: f64 = 4.0;

/// Maximum limit of the requests in flight in a domain.
const MAX_WINDOW: f64 = 64.0;

/// Time without requests after which the limit returns to [`INITIAL_WINDOW`].
const WINDOW_TTL: Duration = Duration::from_secs(10);

/// Outcome of a request at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemoteOutcome {
    /// The server answered without an error.
    Answered,
    /// The server or the path failed the request.
    Failed,
    /// The request was canceled or not run. It counts as failed if it was overdue.
    Canceled,
}

#[derive(Clone, Copy, Debug)]
struct InFlight {
    sent_at: Instant,
    running_time: Duration,
}

impl InFlight {
    fn is_overdue(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.sent_at) > self.running_time * OVERDUE_RATIO
    }
}

/// Observations of one failure domain.
#[derive(Clone, Debug)]
pub(super) struct DomainState {
    rtt: Option<f64>,
    reply_share: f64,
    answered: f64,
    failed: f64,
    counted_at: Instant,
    window: f64,
    last_sent_at: Instant,
    in_flight: HashMap<u64, InFlight>,
}

impl DomainState {
    pub(super) fn new(now: Instant) -> DomainState {
        DomainState {
            rtt: None,
            reply_share: 1.0,
            answered: 0.0,
            failed: 0.0,
            counted_at: now,
            window: INITIAL_WINDOW,
            last_sent_at: now,
            in_flight: HashMap::default(),
        }
    }

    pub(super) fn on_reply(&mut self, rtt: Duration) {
        let seconds = rtt.as_secs_f64();
        let mean = self.rtt.get_or_insert(seconds);
        *mean += RTT_WEIGHT * (seconds - *mean);
        self.reply_share += REPLY_WEIGHT * (1.0 - self.reply_share);
    }

    pub(super) fn on_no_reply(&mut self) {
        self.reply_share -= REPLY_WEIGHT * self.reply_share;
    }

    /// Returns the mean time from a load query to its reply.
    pub(super) fn rtt(&self) -> Option<Duration> {
        self.rtt.map(Duration::from_secs_f64)
    }

    /// Returns the share of load queries that were answered in time.
    pub(super) fn reply_share(&self) -> f64 {
        self.reply_share
    }

    pub(super) fn on_sent(&mut self, now: Instant, id: u64, running_time: Duration) {
        if now.saturating_duration_since(self.last_sent_at) > WINDOW_TTL {
            self.window = INITIAL_WINDOW;
        }
        self.last_sent_at = now;
        self.in_flight.insert(id, InFlight { sent_at: now, running_time });
    }

    pub(super) fn on_ended(&mut self, now: Instant, id: u64, outcome: RemoteOutcome) {
        let Some(request) = self.in_flight.remove(&id) else { return };
        let decay = self.decay(now);
        self.answered *= decay;
        self.failed *= decay;
        self.counted_at = now;
        match outcome {
            RemoteOutcome::Answered => {
                self.answered += 1.0;
                self.window = (self.window + 1.0).min(MAX_WINDOW);
            }
            RemoteOutcome::Canceled if !request.is_overdue(now) => {}
            RemoteOutcome::Failed | RemoteOutcome::Canceled => {
                self.failed += 1.0;
                self.window = (self.window / 2.0).max(1.0);
            }
        }
    }

    /// Returns whether another request may be sent to the domain now. Overdue requests count twice,
    /// so that a domain that hangs gets no more until some have ended.
    pub(super) fn has_room(&self, now: Instant) -> bool {
        let overdue = self.overdue_count(now);
        ((self.in_flight.len() + overdue) as f64) < self.window
    }

    /// Returns the share of failed requests, where [`ASSUMED_OUTCOMES`] have the share `assumed`.
    pub(super) fn failure_share(&self, now: Instant, assumed: f64) -> f64 {
        let decay = self.decay(now);
        let failed = self.failed * decay + self.overdue_count(now) as f64;
        let count = failed + self.answered * decay + ASSUMED_OUTCOMES;
        (failed + ASSUMED_OUTCOMES * assumed) / count
    }

    fn overdue_count(&self, now: Instant) -> usize {
        self.in_flight.values().filter(|request| request.is_overdue(now)).count()
    }

    fn decay(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.counted_at);
        (-age.as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }
}
