//! Pool of client connections to other daemons.

use fescuemux_core::base::HashMap;
use fescuemux_wire::auth::KeyRing;
use fescuemux_wire::rpc::{PeerClient, connect_transport};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tarpc::client::Config;
use tarpc::context::{self, Context};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout for opening a connection, including its handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of connections kept open. A probe each second to a random member rarely
/// reuses a connection, so more connections would only use memory.
const MAX_CLIENTS: usize = 32;

/// Failure to open a connection; no call was made.
#[derive(Clone, Debug, Error)]
#[error("cannot connect to {addr}: {reason}")]
pub(crate) struct ConnectError {
    addr: SocketAddr,
    reason: String,
}

/// Pool of client connections by address.
#[derive(Debug)]
pub(crate) struct PeerClients {
    keys: KeyRing,
    open_clients: Mutex<HashMap<SocketAddr, OpenClient>>,
}

#[derive(Debug)]
struct OpenClient {
    client: PeerClient,
    last_used: Instant,
}

impl PeerClients {
    pub(crate) fn new(keys: KeyRing) -> Arc<PeerClients> {
        Arc::new(PeerClients { keys, open_clients: Mutex::default() })
    }

    /// Returns the context of a call with a timeout.
    pub(crate) fn context(timeout: Duration) -> Context {
        let mut rpc_context = context::current();
        rpc_context.deadline = Instant::now() + timeout;
        rpc_context
    }

    /// Returns a connection to `addr`, opening one if needed.
    pub(crate) async fn get(&self, addr: SocketAddr) -> Result<PeerClient, ConnectError> {
        if let Some(client) = self.get_open(addr) {
            return Ok(client);
        }
        let failed = |reason: String| ConnectError { addr, reason };
        let client = match timeout(CONNECT_TIMEOUT, self.connect(addr)).await {
            Ok(connected) => connected.map_err(failed)?,
            Err(_) => return Err(failed("timed out".to_owned())),
        };
        self.insert(addr, client.clone());
        Ok(client)
    }

    /// Removes the connection to `addr` after a failed call.
    pub(crate) fn disconnect(&self, addr: SocketAddr) {
        self.open_clients.lock().unwrap_or_else(PoisonError::into_inner).remove(&addr);
    }

    async fn connect(&self, addr: SocketAddr) -> Result<PeerClient, String> {
        let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let transport = connect_transport(stream, &self.keys).await.map_err(|e| e.to_string())?;
        Ok(PeerClient::new(Config::default(), transport).spawn())
    }

    fn get_open(&self, addr: SocketAddr) -> Option<PeerClient> {
        let mut open_clients = self.open_clients.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = open_clients.get_mut(&addr)?;
        entry.last_used = Instant::now();
        Some(entry.client.clone())
    }

    fn insert(&self, addr: SocketAddr, client: PeerClient) {
        let mut open_clients = self.open_clients.lock().unwrap_or_else(PoisonError::into_inner);
        if open_clients.len() >= MAX_CLIENTS {
            let least_recently_used =
                open_clients.iter().min_by_key(|(_, entry)| entry.last_used).map(|(addr, _)| *addr);
            if let Some(least_recently_used) = least_recently_used {
                open_clients.remove(&least_recently_used);
            }
        }
        open_clients.insert(addr, OpenClient { client, last_used: Instant::now() });
    }
}
