//! Traces, which define how each backend server behaves over time.

use serde::Serialize;
use std::f64::consts::LN_2;

/// Earliest time of the fault in seconds after the start of the run. The detection methods have
/// warmed up by then.
const BASE_ONSET_SECS: f64 = 8.0;
/// Latency factor of a fail-slow server.
const FAIL_SLOW_FACTOR: f64 = 5.0;

/// Traces of design section 9.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Trace {
    /// All servers are healthy, with 2% of requests in a Pareto latency tail and with stalls of
    /// whole servers of 50 to 200 ms.
    LongTail,
    /// One server is five times slower.
    FailSlow,
    /// One server answers 30% of requests with an error.
    Errors30,
    /// One server accepts requests and never responds, while its health endpoint reports healthy.
    BlackHole,
    /// One server alternates between 2.5 s of fault and 2.5 s of health. Faulty, it is five times
    /// slower and answers half of the requests with an error.
    Flap02Hz,
    /// Like `Flap02Hz`, with alternation every 500 ms.
    Flap1Hz,
    /// Like `Flap02Hz`, with alternation every 100 ms.
    Flap5Hz,
    /// A healthy server restarts and is initially up to four times slower.
    ColdStart,
    /// A third of the ingresses lose the responses of one healthy server.
    OneWayLoss,
    /// All servers are five times slower for 20 s.
    AllSlow,
    /// Half of the servers become faulty at once, alternately slow and black holes.
    HalfSick,
    /// The observer of a healthy server, its guard and local ingress, is paused for 10 s.
    ObserverPaused,
    /// One server sends wrong responses to half of the requests.
    WrongAnswers,
}

/// Behavior of one server at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ServerBehavior {
    /// Factor of the latency of a healthy server.
    pub(super) slowdown: f64,
    /// Share of requests, from 0 to 1, that are answered with an error.
    pub(super) error_ratio: f64,
    /// Share of requests, from 0 to 1, that are answered wrongly.
    pub(super) wrong_ratio: f64,
    /// Whether the server never responds.
    pub(super) black_hole: bool,
}

impl ServerBehavior {
    pub(super) const HEALTHY: ServerBehavior =
        ServerBehavior { slowdown: 1.0, error_ratio: 0.002, wrong_ratio: 0.0, black_hole: false };
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

    /// Returns the name that tables and arguments use.
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

    /// Returns the length of the trace in seconds.
    pub(super) fn length_secs(self) -> f64 {
        match self {
            Trace::LongTail | Trace::AllSlow => 60.0,
            Trace::FailSlow | Trace::BlackHole | Trace::WrongAnswers => 20.0,
            Trace::Errors30 | Trace::HalfSick => 30.0,
            Trace::Flap02Hz | Trace::Flap1Hz | Trace::Flap5Hz => 120.0,
            Trace::ColdStart | Trace::OneWayLoss | Trace::ObserverPaused => 40.0,
        }
    }

    /// Returns the flapping frequency of the faulty server, or `None` if the server does not flap.
    pub(super) fn flap_frequency_hz(self) -> Option<f64> {
        match self {
            Trace::Flap02Hz => Some(0.2),
            Trace::Flap1Hz => Some(1.0),
            Trace::Flap5Hz => Some(5.0),
            _ => None,
        }
    }

    /// Returns whether the server is faulty at any time of the trace.
    pub(super) fn has_fault(self, server: usize, pool_size: usize) -> bool {
        match self {
            Trace::FailSlow
            | Trace::Errors30
            | Trace::BlackHole
            | Trace::Flap02Hz
            | Trace::Flap1Hz
            | Trace::Flap5Hz
            | Trace::WrongAnswers => server == 0,
            Trace::HalfSick => server < pool_size / 2,
            Trace::LongTail
            | Trace::ColdStart
            | Trace::OneWayLoss
            | Trace::AllSlow
            | Trace::ObserverPaused => false,
        }
    }
}

/// Trace with the fault onset of one seed.
#[derive(Clone, Copy, Debug)]
pub(super) struct SeededTrace {
    pub(super) trace: Trace,
    pub(super) pool_size: usize,
    pub(super) onset_secs: f64,
}

impl SeededTrace {
    /// Creates a trace for a pool of `pool_size` servers. `jitter_secs`, from 0 to 1, delays the
    /// onset so that the onset is not aligned with any timer.
    pub(super) fn new(trace: Trace, pool_size: usize, jitter_secs: f64) -> SeededTrace {
        SeededTrace { trace, pool_size, onset_secs: BASE_ONSET_SECS + jitter_secs }
    }

    /// Returns the behavior of a server at `at_secs`.
    pub(super) fn behavior(&self, server: usize, at_secs: f64) -> ServerBehavior {
        let mut behavior = ServerBehavior::HEALTHY;
        let elapsed = at_secs - self.onset_secs;
        if elapsed < 0.0 {
            return behavior;
        }
        match self.trace {
            Trace::AllSlow if elapsed < 20.0 => behavior.slowdown = FAIL_SLOW_FACTOR,
            Trace::ColdStart if server == 0 => {
                behavior.slowdown = 1.0 + 3.0 * (-elapsed * LN_2).exp()
            }
            _ if self.is_faulty_at(server, at_secs) => self.apply_fault(server, &mut behavior),
            _ => {}
        }
        behavior
    }

    /// Returns whether the server is faulty at `at_secs`.
    pub(super) fn is_faulty_at(&self, server: usize, at_secs: f64) -> bool {
        let elapsed = at_secs - self.onset_secs;
        if elapsed < 0.0 || !self.trace.has_fault(server, self.pool_size) {
            return false;
        }
        self.trace.flap_frequency_hz().is_none_or(|hertz| (elapsed * hertz).fract() < 0.5)
    }

    /// Returns the start and end in seconds of the pause of the observer of server 0, if any.
    pub(super) fn pause_window(&self) -> Option<(f64, f64)> {
        (self.trace == Trace::ObserverPaused).then_some((self.onset_secs, self.onset_secs + 10.0))
    }

    /// Returns whether responses of a server to an ingress are lost at `at_secs`.
    pub(super) fn response_lost(&self, server: usize, ingress: usize, at_secs: f64) -> bool {
        self.trace == Trace::OneWayLoss
            && server == 0
            && ingress < self.pool_size / 3
            && at_secs >= self.onset_secs
    }

    /// Returns whether a server announces the phase `cold` at `at_secs`.
    pub(super) fn announces_cold(&self, server: usize, at_secs: f64) -> bool {
        let elapsed = at_secs - self.onset_secs;
        self.trace == Trace::ColdStart && server == 0 && (0.0..10.0).contains(&elapsed)
    }

    fn apply_fault(&self, server: usize, behavior: &mut ServerBehavior) {
        match self.trace {
            Trace::FailSlow => behavior.slowdown = FAIL_SLOW_FACTOR,
            Trace::Errors30 => behavior.error_ratio = 0.3,
            Trace::BlackHole => behavior.black_hole = true,
            Trace::Flap02Hz | Trace::Flap1Hz | Trace::Flap5Hz => {
                behavior.slowdown = FAIL_SLOW_FACTOR;
                behavior.error_ratio = 0.5;
            }
            Trace::HalfSick if server % 2 == 1 => behavior.black_hole = true,
            Trace::HalfSick => behavior.slowdown = FAIL_SLOW_FACTOR,
            Trace::WrongAnswers => behavior.wrong_ratio = 0.5,
            _ => {}
        }
    }
}
