//! Connections to the own backend server.

use crate::h1::Connection;
use crate::node::Node;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for opening a connection to the server on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest idle time after which a connection carries a request that must not run twice. A
/// server may drop an idle connection without notice, and whatever is sent next is lost.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_millis(1_000);

/// Longest idle time of a connection whose server states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time before a stated idle timeout at which a connection is no longer used, for timers that
/// fire late on either side.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Idle connections that are kept; a server runs few requests at once.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Returns a connection that is fit for the request.
///
/// # Errors
/// Fails when none can be opened; the server saw nothing then.
pub(super) async fn take(
    node: &Node,
    addr: SocketAddr,
    idempotent: bool,
) -> io::Result<Connection> {
    while let Some(mut connection) = pop(node, addr) {
        let idle = node.now().saturating_duration_since(connection.idle_since);
        let usable_for =
            connection.idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT).saturating_sub(IDLE_MARGIN);
        let max_idle =
            if idempotent { usable_for } else { usable_for.min(MAX_IDLE_NON_IDEMPOTENT) };
        if idle > usable_for || !connection.is_reusable() {
            continue;
        }
        if idle > max_idle {
            // Still good for requests that may be repeated.
            node.idle_server_connections.borrow_mut().insert(0, (addr, connection));
            break;
        }
        return Ok(connection);
    }
    Connection::open(addr, node.now(), CONNECT_TIMEOUT).await
}

/// Keeps a connection for later requests.
pub(super) fn put(node: &Node, addr: SocketAddr, mut connection: Connection) {
    connection.idle_since = node.now();
    let mut idle = node.idle_server_connections.borrow_mut();
    idle.push((addr, connection));
    if idle.len() > MAX_IDLE_CONNECTIONS {
        idle.remove(0);
    }
}

fn pop(node: &Node, addr: SocketAddr) -> Option<Connection> {
    let mut idle = node.idle_server_connections.borrow_mut();
    // A server that started elsewhere does not come back to its old address.
    idle.retain(|(other, _)| *other == addr);
    idle.pop().map(|(_, connection)| connection)
}

/// Returns whether a header concerns one connection only. Names are in lower case.
pub(crate) fn is_hop_by_hop(name: &str) -> bool {
    matches!(
        name,
        "connection"
            | "keep-alive"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "content-length"
            | "expect"
    )
}
