//! Stand-in backend server with slots, a service time and injectable faults.
//!
//! Each server runs its own Tokio runtime, so that synchronous code can start and stop the server.
//! This module must not depend on the daemon, apart from the announcements that the servers post
//! and the headers that the design page defines.

mod accept;
mod announce;
mod answer;
mod content;
mod execution;
mod fault;
mod faults;
mod handler;
mod options;
mod shared;
mod stand_in;
mod work;

pub use content::{content_seed, response_byte};
pub use execution::Execution;
pub use fault::ServerFault;
pub use options::ServerOptions;
pub use stand_in::StandInServer;

/// Response header with the name of the stand-in server. It tells a client that the response
/// echoes the request and can be verified.
pub const STAND_IN_HEADER: &str = "x-stand-in";
/// Request header whose value is echoed in a response header and in the JSON body.
pub const TAG_HEADER: &str = "x-tag";
/// Request header with the requested size of the response body, in bytes.
pub const RESPONSE_BYTES_HEADER: &str = "x-answer-bytes";
