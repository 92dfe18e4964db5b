//! Pool of connections to the local backend server.

use crate::h1::Connection;
use crate::node::Node;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Connect timeout; the server runs on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum idle time of a connection that is reused for a request that must not run twice. A
/// server may drop an idle connection without notice, and the next request on that connection is
/// then lost.
const NON_IDEMPOTENT_MAX_IDLE_TIME: Duration = Duration::from_millis(1_000);

/// Idle timeout if the server states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Safety margin before the idle timeout of a connection, for timers that fire late on either
/// side.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Maximum number of idle connections; a server runs few requests at once.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Returns an idle connection that may carry the request, or opens a new connection.
///
/// # Errors
/// Fails if no connection can be opened. In this case nothing was sent to the server.
pub(super) async fn take(
    node: &Node,
    addr: SocketAddr,
    idempotent: bool,
) -> io::Result<Connection> {
    while let Some(mut connection) = pop(node, addr) {
        let idle_time = node.now().saturating_duration_since(connection.idle_since);
        let usable_time =
            connection.idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT).saturating_sub(IDLE_MARGIN);
        let max_idle_time =
            if idempotent { usable_time } else { usable_time.min(NON_IDEMPOTENT_MAX_IDLE_TIME) };
        if idle_time > usable_time || !connection.is_reusable() {
            continue;
        }
        if idle_time > max_idle_time {
            // The connection is still usable for idempotent requests.
            node.idle_server_connections.borrow_mut().insert(0, (addr, connection));
            break;
        }
        return Ok(connection);
    }
    Connection::open(addr, node.now(), CONNECT_TIMEOUT).await
}

/// Puts a connection back into the pool.
pub(super) fn put(node: &Node, addr: SocketAddr, mut connection: Connection) {
    connection.idle_since = node.now();
    let mut idle = node.idle_server_connections.borrow_mut();
    idle.push((addr, connection));
    if idle.len() > MAX_IDLE_CONNECTIONS {
        idle.remove(0);
    }
}

/// Closes idle connections on which the server has sent bytes or closed. Bytes that belong to no
/// request would otherwise stay buffered until the next request.
pub(super) fn close_unusable(node: &Node) {
    let mut idle = node.idle_server_connections.borrow_mut();
    idle.retain_mut(|(_, connection)| connection.is_reusable());
}

fn pop(node: &Node, addr: SocketAddr) -> Option<Connection> {
    let mut idle = node.idle_server_connections.borrow_mut();
    // Drop connections to former addresses of the server; it does not return to them.
    idle.retain(|(other, _)| *other == addr);
    idle.pop().map(|(_, connection)| connection)
}

/// Returns whether a header, given in lower case, is not forwarded: it concerns a single connection
/// or the framing of a message, which each sender sets itself.
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
