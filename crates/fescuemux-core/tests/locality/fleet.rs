//! Backend servers, instances and requests of a replay.

use fescuemux_core::base::{Cx, DomainId};
use fescuemux_core::placement::{LoadReport, Peer, PeerDirectory, Readiness};
use rand::Rng;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

pub(crate) const SERVICE: &str = "orders";

/// Fault of a server that its guard has not detected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// Takes requests and never answers.
    Hangs,
    /// Runs requests this many times slower than expected.
    Slow(f64),
    /// Refuses all requests and replies to no query.
    Gone,
}

/// Fault of the servers of a domain during a part of the replay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DomainFault {
    pub(crate) domain: usize,
    /// Number of affected servers.
    pub(crate) server_count: usize,
    pub(crate) fault: Fault,
    pub(crate) from_s: f64,
    pub(crate) to_s: f64,
}

/// Load of a replay.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) name: &'static str,
    /// Servers by domain.
    pub(crate) servers: [usize; 3],
    /// Arrivals a second by domain.
    pub(crate) rates: [f64; 3],
    /// Multiple of the rates by domain and time in seconds.
    pub(crate) rate_factor: fn(usize, f64) -> f64,
    pub(crate) faults: Vec<DomainFault>,
    /// Share of requests with a large body.
    pub(crate) large_share: f64,
    /// One-way time between domains.
    pub(crate) path: Duration,
    /// Share of load queries between domains that are lost.
    pub(crate) loss: f64,
}

/// Server with its guard.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) domain: usize,
    /// Index among the servers of its domain.
    pub(crate) index: usize,
    pub(crate) used_slots: u32,
    pub(crate) queue: VecDeque<usize>,
    pub(crate) running_mean: f64,
}

pub(crate) const SLOTS: u32 = 8;

impl Server {
    /// Returns the load report as a guard estimates it. The guard has not noticed any fault yet.
    pub(crate) fn report(&self, running: Duration) -> LoadReport {
        let is_full = self.used_slots >= SLOTS;
        let ahead = if is_full { self.queue.len() as f64 + 1.0 } else { 0.0 };
        LoadReport {
            readiness: Readiness::Open,
            slots: SLOTS,
            used_slots: self.used_slots,
            queued: self.queue.len() as u32,
            expected_wait: Duration::from_secs_f64(ahead * self.running_mean / f64::from(SLOTS)),
            expected_running_time: running,
            failure_probability: 0.02,
            shed_probability: 0.0,
        }
    }
}

/// Kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) is_large: bool,
    pub(crate) kilobytes: f64,
    pub(crate) running: Duration,
    pub(crate) objective: Duration,
    pub(crate) timeout: Duration,
}

/// An ordinary request as measured: an answer of 5 KB, an objective of four running times.
pub(crate) const SMALL: Kind = Kind {
    is_large: false,
    kilobytes: 6.0,
    running: Duration::from_millis(400),
    objective: Duration::from_millis(1_600),
    timeout: Duration::from_millis(3_200),
};

/// An upload.
pub(crate) const LARGE: Kind = Kind {
    is_large: true,
    kilobytes: 300.0,
    running: Duration::from_millis(600),
    objective: Duration::from_millis(2_400),
    timeout: Duration::from_millis(4_800),
};

/// Draws a running time as a multiple of its mean, log-logistic as the fault estimator assumes.
pub(crate) fn running_factor(cx: &mut Cx) -> f64 {
    let u: f64 = cx.rng.random_range(0.01..1.0);
    ((1.0 / u - 1.0) / 1.97).powf(1.0 / 2.13)
}

pub(crate) fn domain_id(domain: usize) -> DomainId {
    ["a", "b", "c"][domain].into()
}

/// Returns the servers of a load and the directory that lists their instances by index.
pub(crate) fn new_fleet(now: Instant, load: &Load) -> (Vec<Server>, PeerDirectory) {
    let mut directory = PeerDirectory::default();
    let mut servers = Vec::new();
    for (domain, count) in load.servers.iter().enumerate() {
        for index in 0..*count {
            directory.insert(
                now,
                Peer {
                    id: servers.len().to_string().into(),
                    addr: ([127, 0, 0, 1], 9000).into(),
                    domain: domain_id(domain),
                    service: SERVICE.into(),
                    incarnation: 1,
                },
            );
            servers.push(Server {
                domain,
                index,
                used_slots: 0,
                queue: VecDeque::new(),
                running_mean: SMALL.running.as_secs_f64(),
            });
        }
    }
    (servers, directory)
}
