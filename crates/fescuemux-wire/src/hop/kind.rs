//! Enumerated values of hop headers.

use fescuemux_core::base::{RequestKind, ServerHealth};

/// Kind of an attempt, as determined by the ingress; see [`RequestKind`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HopKind {
    /// An ordinary attempt.
    #[default]
    Normal,
    /// An attempt for which the ingress found no serving backend server below the load limit.
    LastResort,
    /// An attempt that tests whether a steered backend server or one in probation has recovered.
    Trial,
}

/// Health of a backend server, as reported by its guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopHealth {
    /// Takes requests of every kind.
    Serving,
    /// Takes last-resort requests and a limited number of trial requests.
    Steered,
    /// Takes no requests.
    Ejected,
    /// Takes trial requests, a growing share of normal requests, and all or the same share of
    /// last-resort requests.
    Probation,
}

impl HopKind {
    const ALL: [HopKind; 3] = [HopKind::Normal, HopKind::LastResort, HopKind::Trial];

    /// Returns the header value.
    pub fn as_str(self) -> &'static str {
        match self {
            HopKind::Normal => "normal",
            HopKind::LastResort => "last-resort",
            HopKind::Trial => "trial",
        }
    }

    /// Parses a header value.
    pub fn parse(text: &str) -> Option<HopKind> {
        HopKind::ALL.into_iter().find(|kind| kind.as_str() == text)
    }
}

impl HopHealth {
    const ALL: [HopHealth; 4] =
        [HopHealth::Serving, HopHealth::Steered, HopHealth::Ejected, HopHealth::Probation];

    /// Returns the header value.
    pub fn as_str(self) -> &'static str {
        match self {
            HopHealth::Serving => "serving",
            HopHealth::Steered => "steered",
            HopHealth::Ejected => "ejected",
            HopHealth::Probation => "probation",
        }
    }

    /// Parses a header value.
    pub fn parse(text: &str) -> Option<HopHealth> {
        HopHealth::ALL.into_iter().find(|health| health.as_str() == text)
    }
}

impl From<RequestKind> for HopKind {
    fn from(kind: RequestKind) -> HopKind {
        match kind {
            RequestKind::Normal => HopKind::Normal,
            RequestKind::LastResort => HopKind::LastResort,
            RequestKind::Trial => HopKind::Trial,
        }
    }
}

impl From<HopKind> for RequestKind {
    fn from(kind: HopKind) -> RequestKind {
        match kind {
            HopKind::Normal => RequestKind::Normal,
            HopKind::LastResort => RequestKind::LastResort,
            HopKind::Trial => RequestKind::Trial,
        }
    }
}

impl From<ServerHealth> for HopHealth {
    fn from(health: ServerHealth) -> HopHealth {
        match health {
            ServerHealth::Serving => HopHealth::Serving,
            ServerHealth::Steered => HopHealth::Steered,
            ServerHealth::Ejected => HopHealth::Ejected,
            ServerHealth::Probation => HopHealth::Probation,
        }
    }
}

impl From<HopHealth> for ServerHealth {
    fn from(health: HopHealth) -> ServerHealth {
        match health {
            HopHealth::Serving => ServerHealth::Serving,
            HopHealth::Steered => ServerHealth::Steered,
            HopHealth::Ejected => ServerHealth::Ejected,
            HopHealth::Probation => ServerHealth::Probation,
        }
    }
}
