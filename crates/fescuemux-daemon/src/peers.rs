//! Remote procedures between daemons: connections, the server, and the membership driver.
//!
//! Must not know how callers' requests are answered.

mod clients;
mod members;
mod server;

pub(crate) use clients::PeerClients;
pub(crate) use members::{MembershipContext, MembershipDriver};
pub(crate) use server::{PeerServer, serve_peers};
