//! The backend server beside a daemon, as its own reports tell.

use crate::base::{Incarnation, ServerId, ServiceId};
use std::time::{Duration, Instant};

/// Phase that a server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerPhase {
    /// Takes work.
    Ready,
    /// Leaves soon and takes no new work.
    Draining,
}

/// One report of a server about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// Id, which a later start may reuse.
    pub id: ServerId,
    /// Start time in milliseconds since 1970; tells starts with the same id apart.
    pub incarnation: Incarnation,
    /// Service of the server.
    pub service: ServiceId,
    /// Address for work.
    pub addr: std::net::SocketAddr,
    /// Requests that it runs at once.
    pub slots: usize,
    /// Phase.
    pub phase: ServerPhase,
    /// Time for which it stays slow after its start.
    pub cold_left: Duration,
    /// Number of the report, growing within one start.
    pub seq: u64,
}

/// The server that takes work now.
#[derive(Clone, Debug)]
pub struct LocalServer {
    /// Newest report.
    pub report: ServerReport,
    /// End of the slow time after the start.
    pub cold_until: Instant,
    /// Whether the server has left or was found dead; only a new start changes that.
    pub gone: bool,
}

impl LocalServer {
    /// Returns the server of a first report.
    pub fn new(now: Instant, report: ServerReport) -> LocalServer {
        LocalServer { cold_until: now + report.cold_left, report, gone: false }
    }

    /// Returns whether new work may go to the server.
    pub fn accepts_requests(&self) -> bool {
        !self.gone && self.report.phase == ServerPhase::Ready
    }

    /// Takes a newer report of the same or of a later start and returns whether it changed what
    /// is believed. A report that was delayed behind a newer one changes nothing; a server that
    /// announced its leaving does not come back under the same start.
    pub fn update(&mut self, now: Instant, report: ServerReport) -> bool {
        let held = (self.report.incarnation, self.report.seq);
        if (report.incarnation, report.seq) <= held {
            return false;
        }
        if report.incarnation > self.report.incarnation {
            *self = LocalServer::new(now, report);
            return true;
        }
        let leaving = self.gone || self.report.phase == ServerPhase::Draining;
        if leaving && report.phase == ServerPhase::Ready {
            self.report.seq = report.seq;
            return false;
        }
        let changed = report.phase != self.report.phase || report.slots != self.report.slots;
        self.cold_until = now + report.cold_left;
        self.report = report;
        changed
    }
}
