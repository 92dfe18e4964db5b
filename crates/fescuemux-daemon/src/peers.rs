//! Remote procedure calls between daemons: client connections, the server, and the membership
//! driver.
//!
//! Must not depend on how callers' requests are served.

mod clients;
mod members;
mod server;

pub(crate) use clients::PeerClients;
pub(crate) use members::{MembershipContext, MembershipDriver};
pub(crate) use server::{PeerServer, serve_peers};
