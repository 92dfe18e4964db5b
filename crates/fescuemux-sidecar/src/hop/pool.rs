//! Pool of hop connections.

use crate::hop::{HopConnection, HopError};
use fescuemux_core::base::HashMap;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum number of idle connections to an instance. An instance rarely has more than a few
/// requests in flight to any other instance.
const MAX_IDLE_PER_PEER: usize = 4;

/// Idle timeout of a connection. A broken connection is detected on its next use, which is a
/// reservation or a pull and can be retried elsewhere.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Connect timeout: a few round trips between instances, or one retransmission.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Idle connections by address.
#[derive(Debug, Default)]
pub(crate) struct HopPool {
    idle: RefCell<HashMap<SocketAddr, Vec<HopConnection>>>,
}

impl HopPool {
    /// Returns an idle connection, or opens a new connection.
    ///
    /// # Errors
    /// Fails if no connection can be opened.
    pub(crate) async fn take(
        &self,
        addr: SocketAddr,
        now: Instant,
    ) -> Result<HopConnection, HopError> {
        if let Some(hop) = self.take_idle(addr, now) {
            return Ok(hop);
        }
        HopConnection::open(addr, now, CONNECT_TIMEOUT).await
    }

    /// Puts a connection back into the pool after a complete exchange.
    pub(crate) fn put(&self, addr: SocketAddr, now: Instant, mut hop: HopConnection) {
        hop.idle_since = now;
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(addr).or_default();
        if connections.len() < MAX_IDLE_PER_PEER {
            connections.push(hop);
        }
    }

    /// Drops all idle connections to an address, after one of them has failed.
    pub(crate) fn drop_all(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// Drops connections that exceed the idle timeout.
    pub(crate) fn remove_expired(&self, now: Instant) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|hop| now < hop.idle_since + IDLE_TIMEOUT);
            !connections.is_empty()
        });
    }

    fn take_idle(&self, addr: SocketAddr, now: Instant) -> Option<HopConnection> {
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
