//! Idle connections to other instances.

use crate::hop::{HopConnection, HopError};
use fescuemux_core::base::HashMap;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Idle connections kept for one instance. A daemon has a few requests at once for each other.
const MAX_IDLE_PER_PEER: usize = 4;

/// Time after which an idle connection is dropped; a silent one is found by its next use, which
/// is a question that may be repeated elsewhere.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for opening a connection: a few round trips between instances, or one retransmission.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Idle connections by address.
#[derive(Debug, Default)]
pub(crate) struct HopPool {
    idle: RefCell<HashMap<SocketAddr, Vec<HopConnection>>>,
}

impl HopPool {
    /// Returns an idle connection, or opens one.
    ///
    /// # Errors
    /// Fails when none can be opened.
    pub(crate) async fn take(
        &self,
        addr: SocketAddr,
        now: Instant,
    ) -> Result<HopConnection, HopError> {
        if let Some(hop) = self.idle(addr, now) {
            return Ok(hop);
        }
        HopConnection::open(addr, now, CONNECT_TIMEOUT).await
    }

    /// Keeps a connection after a whole exchange.
    pub(crate) fn put(&self, addr: SocketAddr, now: Instant, mut hop: HopConnection) {
        hop.idle_since = now;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(addr).or_default();
        if connections.len() < MAX_IDLE_PER_PEER {
            connections.push(hop);
        }
    }

    /// Drops connections to an address, after one of them was found silent.
    pub(crate) fn drop_all(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// Drops connections that are idle for too long.
    pub(crate) fn sweep(&self, now: Instant) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|hop| now < hop.idle_since + IDLE_TIMEOUT);
            !connections.is_empty()
        });
    }

    fn idle(&self, addr: SocketAddr, now: Instant) -> Option<HopConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&addr)?;
        while let Some(hop) = connections.pop() {
            if now < hop.idle_since + IDLE_TIMEOUT && hop.is_reusable() {
                return Some(hop);
            }
        }
        None
    }
}
