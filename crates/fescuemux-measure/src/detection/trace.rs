//! Traces: how each backend server behaves at each time.

use serde::Serialize;
use std::f64::consts::LN_2;

/// Time of the fault in seconds; the pool is warm by then.
const ONSET: f64 = 8.0;
/// Slowness of a fail-slow server.
const FAIL_SLOW: f64 = 5.0;

/// One kind of trace of design section 9.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Trace {
    /// Healthy, with 2% of requests in a Pareto tail and whole-server stalls of 50 to 200 ms.
    LongTail,
    /// One server five times slower.
    FailSlow,
    /// One server answers 30% of requests with an error.
    Errors30,
    /// One server takes requests and answers none, while its health endpoint is cheerful.
    BlackHole,
    /// One server alternates between good and bad every 2.5 s.
    Flap02Hz,
    /// One server alternates every 500 ms.
    Flap1Hz,
    /// One server alternates every 100 ms.
    Flap5Hz,
    /// A healthy server restarts and is up to four times slower at first.
    ColdStart,
    /// A third of the ingresses lose the answers of one healthy server.
    OneWayLoss,
    /// All servers are five times slower for 20 s.
    AllSlow,
    /// Half of the servers turn sick at once, some slow and some black holes.
    HalfSick,
    /// The observer of a healthy server is paused for 10 s.
    ObserverPaused,
    /// One server breaks half of its answers.
    WrongAnswers,
}

/// Behavior of one server at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Condition {
    pub(super) slow: f64,
    pub(super) error: f64,
    pub(super) wrong: f64,
    pub(super) black_hole: bool,
}

impl Condition {
    pub(super) const HEALTHY: Condition =
        Condition { slow: 1.0, error: 0.002, wrong: 0.0, black_hole: false };
}

impl Trace {
    /// All traces.
    pub const ALL: [Trace; 13] = [
        Trace::LongTail,
        Trace::FailSlow,
        Trace::Errors30,
        Trace::BlackHole,
        Trace::Flap02Hz,
        Trace::Flap1Hz,
        Trace::Flap5Hz,
        Trace::ColdStart,
        Trace::OneWayLoss,
        Trace::AllSlow,
        Trace::HalfSick,
        Trace::ObserverPaused,
        Trace::WrongAnswers,
    ];

    /// Returns the name used in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Trace::LongTail => "long_tail",
            Trace::FailSlow => "fail_slow",
            Trace::Errors30 => "errors_30",
            Trace::BlackHole => "black_hole",
            Trace::Flap02Hz => "flap_0.2hz",
            Trace::Flap1Hz => "flap_1hz",
            Trace::Flap5Hz => "flap_5hz",
            Trace::ColdStart => "cold_start",
            Trace::OneWayLoss => "one_way_loss",
            Trace::AllSlow => "all_slow",
            Trace::HalfSick => "half_sick",
            Trace::ObserverPaused => "observer_paused",
            Trace::WrongAnswers => "wrong_answers",
        }
    }

    /// Returns the length in seconds.
    pub(super) fn length(self) -> f64 {
        match self {
            Trace::LongTail | Trace::AllSlow => 60.0,
            Trace::FailSlow | Trace::BlackHole | Trace::WrongAnswers => 20.0,
            Trace::Errors30 | Trace::HalfSick => 30.0,
            Trace::Flap02Hz | Trace::Flap1Hz | Trace::Flap5Hz => 120.0,
            Trace::ColdStart | Trace::OneWayLoss | Trace::ObserverPaused => 40.0,
        }
    }

    /// Returns how often a second the faulty server changes, if it flaps.
    pub(super) fn flap_hertz(self) -> Option<f64> {
        match self {
            Trace::Flap02Hz => Some(0.2),
            Trace::Flap1Hz => Some(1.0),
            Trace::Flap5Hz => Some(5.0),
            _ => None,
        }
    }

    /// Returns whether the server is sick at some time of the trace.
    pub(super) fn sickens(self, server: usize, pool: usize) -> bool {
        match self {
            Trace::FailSlow
            | Trace::Errors30
            | Trace::BlackHole
            | Trace::Flap02Hz
            | Trace::Flap1Hz
            | Trace::Flap5Hz
            | Trace::WrongAnswers => server == 0,
            Trace::HalfSick => server < pool / 2,
            Trace::LongTail
            | Trace::ColdStart
            | Trace::OneWayLoss
            | Trace::AllSlow
            | Trace::ObserverPaused => false,
        }
    }
}

/// A trace with the onset of one seed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Script {
    pub(super) trace: Trace,
    pub(super) pool: usize,
    pub(super) onset: f64,
}

impl Script {
    /// `jitter` from 0 to 1 moves the onset, so that it falls at no fixed phase of any timer.
    pub(super) fn new(trace: Trace, pool: usize, jitter: f64) -> Script {
        Script { trace, pool, onset: ONSET + jitter }
    }

    /// Returns the behavior of a server at a time in seconds.
    pub(super) fn condition(&self, server: usize, at: f64) -> Condition {
        let mut condition = Condition::HEALTHY;
        let since = at - self.onset;
        if since < 0.0 {
            return condition;
        }
        match self.trace {
            Trace::AllSlow if since < 20.0 => condition.slow = FAIL_SLOW,
            Trace::ColdStart if server == 0 => condition.slow = 1.0 + 3.0 * (-since * LN_2).exp(),
            _ if self.bad(server, at) => self.sicken(server, &mut condition),
            _ => {}
        }
        condition
    }

    /// Returns whether the server is bad at a time.
    pub(super) fn bad(&self, server: usize, at: f64) -> bool {
        let since = at - self.onset;
        if since < 0.0 || !self.trace.sickens(server, self.pool) {
            return false;
        }
        self.trace.flap_hertz().is_none_or(|hertz| (since * hertz).fract() < 0.5)
    }

    /// Returns the time in which the observer of server 0 is paused.
    pub(super) fn pause(&self) -> Option<(f64, f64)> {
        (self.trace == Trace::ObserverPaused).then_some((self.onset, self.onset + 10.0))
    }

    /// Returns whether the answer of a server does not reach an ingress.
    pub(super) fn answer_lost(&self, server: usize, ingress: usize, at: f64) -> bool {
        self.trace == Trace::OneWayLoss
            && server == 0
            && ingress < self.pool / 3
            && at >= self.onset
    }

    /// Returns whether a server announces that it is cold.
    pub(super) fn cold(&self, server: usize, at: f64) -> bool {
        let since = at - self.onset;
        self.trace == Trace::ColdStart && server == 0 && (0.0..10.0).contains(&since)
    }

    fn sicken(&self, server: usize, condition: &mut Condition) {
        match self.trace {
            Trace::FailSlow => condition.slow = FAIL_SLOW,
            Trace::Errors30 => condition.error = 0.3,
            Trace::BlackHole => condition.black_hole = true,
            Trace::Flap02Hz | Trace::Flap1Hz | Trace::Flap5Hz => {
                condition.slow = FAIL_SLOW;
                condition.error = 0.5;
            }
            Trace::HalfSick if server % 2 == 1 => condition.black_hole = true,
            Trace::HalfSick => condition.slow = FAIL_SLOW,
            Trace::WrongAnswers => condition.wrong = 0.5,
            _ => {}
        }
    }
}
