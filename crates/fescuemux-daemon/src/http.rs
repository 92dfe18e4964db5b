//! HTTP/1.1 transport: connection pool, strict parsing of request heads, bounded streaming of
//! bodies, and servers.
//!
//! Must not depend on routes, backend servers or the state machines of `fescuemux-core`.

mod body;
mod limits;
mod pool;
mod pump;
mod serve;
mod strict_head;
mod strict_io;
mod strip;

#[cfg(test)]
mod tests;

pub(crate) use body::{BodyError, OutgoingBody, UnsentBody, deferred, empty, full, is_replayable};
pub(crate) use limits::HttpLimits;
pub(crate) use pool::{ConnectionReuse, Pool, PooledResponse, SendError};
pub(crate) use pump::{RelayLimits, RelayedBody, read_all, relay};
pub(crate) use serve::{Listener, ServeOptions};
pub(crate) use strip::{strip_connection_headers, strip_fleet_headers};
