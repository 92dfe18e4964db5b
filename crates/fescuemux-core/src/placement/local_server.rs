//! State of the backend server of this instance, from the server's own reports.

use crate::base::{Incarnation, ServerId, ServiceId};
use crate::placement::rate_limiter::RateLimiter;
use crate::placement::{NamedLimit, NoticeChange, RelayedNotice, ServerNotice};
use std::time::{Duration, Instant};

/// Phase that a backend server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerPhase {
    /// Accepts requests.
    Ready,
    /// Accepts no new requests and will leave soon.
    Draining,
}

/// Status report of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// Id of the server; a later process may reuse it.
    pub id: ServerId,
    /// Start time in milliseconds since 1970; distinguishes processes with the same id.
    pub incarnation: Incarnation,
    /// Service that the server provides.
    pub service: ServiceId,
    /// Address that accepts requests.
    pub addr: std::net::SocketAddr,
    /// Number of requests that the server runs concurrently.
    pub slots: usize,
    /// Whether the server accepts new requests.
    pub phase: ServerPhase,
    /// Remaining time of the slow period after a start.
    pub cold_left: Duration,
    /// Sequence number; increases within one incarnation.
    pub seq: u64,
}

/// The current backend server of this instance.
#[derive(Clone, Debug)]
pub struct LocalServer {
    /// Latest report.
    pub report: ServerReport,
    /// End of the slow period after a start.
    pub cold_until: Instant,
    /// Whether the server has left; only a new incarnation resets this.
    pub gone: bool,
    /// Set as long as the server's responses name a limit of requests.
    pub(super) limiter: Option<RateLimiter>,
    /// Whether this process has seen a response of the server.
    has_responded: bool,
}

impl LocalServer {
    /// Returns the state after a first report.
    pub fn new(now: Instant, report: ServerReport) -> LocalServer {
        LocalServer {
            cold_until: now + report.cold_left,
            report,
            gone: false,
            limiter: None,
            has_responded: false,
        }
    }

    /// Returns whether this is the server `id` in this incarnation.
    pub fn is(&self, id: &str, incarnation: Incarnation) -> bool {
        self.report.id == id && self.report.incarnation == incarnation
    }

    /// Returns whether new requests may be sent to the server.
    pub fn accepts_requests(&self) -> bool {
        !self.gone && self.report.phase == ServerPhase::Ready
    }

    /// Returns the limit that the server names, in requests per second.
    pub fn limit(&self) -> Option<f64> {
        self.limiter.map(|limiter| limiter.limit())
    }

    /// Returns what the server says about itself, or `None` if it says nothing.
    pub fn relayed_notice(&self) -> Option<RelayedNotice> {
        let (limit, leaving) = (self.limit(), !self.accepts_requests());
        (limit.is_some() || leaving).then(|| RelayedNotice {
            server: self.report.id.clone(),
            incarnation: self.report.incarnation,
            limit,
            leaving,
        })
    }

    /// Applies what a response says, and returns what changed.
    pub(super) fn on_notice(&mut self, now: Instant, notice: ServerNotice) -> NoticeChange {
        let limit = self.on_named_limit(now, notice.limit);
        NoticeChange { limit, leaving: notice.leaving && self.on_leaving() }
    }

    /// Applies what an ingress has relayed, and returns what changed. Once the server has responded
    /// to this process, only its responses tell the limit. A server that leaves does not come back.
    pub(super) fn on_relayed_notice(
        &mut self,
        now: Instant,
        notice: &RelayedNotice,
    ) -> NoticeChange {
        let limit = self.on_relayed_limit(now, notice.limit);
        NoticeChange { limit, leaving: notice.leaving && self.on_leaving() }
    }

    /// Marks the server as leaving, and returns whether it was not known to leave.
    fn on_leaving(&mut self) -> bool {
        let accepted_requests = self.accepts_requests();
        self.report.phase = ServerPhase::Draining;
        accepted_requests
    }

    fn on_named_limit(&mut self, now: Instant, named: NamedLimit) -> bool {
        self.has_responded = true;
        match named {
            NamedLimit::None => self.limiter.take().is_some(),
            NamedLimit::PerSecond(limit) => self.set_limit(now, limit),
            NamedLimit::Unreadable => false,
        }
    }

    fn on_relayed_limit(&mut self, now: Instant, limit: Option<f64>) -> bool {
        !self.has_responded && limit.is_some_and(|limit| self.set_limit(now, limit))
    }

    fn set_limit(&mut self, now: Instant, limit: f64) -> bool {
        match &mut self.limiter {
            Some(limiter) => limiter.set_limit(now, limit),
            None => {
                self.limiter = Some(RateLimiter::new(now, limit));
                true
            }
        }
    }

    /// Applies a newer report of the same or of a later incarnation, and returns whether the
    /// incarnation, the phase or the number of slots changed. Reports that arrive out of order are
    /// ignored, and a server that has announced that it is leaving does not become ready again in
    /// the same incarnation.
    pub fn update(&mut self, now: Instant, report: ServerReport) -> bool {
        let current = (self.report.incarnation, self.report.seq);
        if (report.incarnation, report.seq) <= current {
            return false;
        }
        if report.incarnation > self.report.incarnation {
            *self = LocalServer::new(now, report);
            return true;
        }
        let has_announced_leaving = self.gone || self.report.phase == ServerPhase::Draining;
        if has_announced_leaving && report.phase == ServerPhase::Ready {
            self.report.seq = report.seq;
            return false;
        }
        let changed = report.phase != self.report.phase || report.slots != self.report.slots;
        self.cold_until = now + report.cold_left;
        self.report = report;
        changed
    }
}
