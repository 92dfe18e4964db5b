//! Stand-in backend server with slots, a service time and switchable faults.
//!
//! It runs its own small runtime, so plain threads can start and stop it. It must not know
//! the daemon, apart from the announcement that it posts and the headers of the design page.

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

/// Answer header that names the stand-in server, so that a client knows that it can check the
/// echoed values.
pub const STAND_IN_HEADER: &str = "x-stand-in";
/// Request header whose value is echoed in the answer header and in the JSON body.
pub const TAG_HEADER: &str = "x-tag";
/// Request header that asks for an answer body of that many bytes.
pub const RESPONSE_BYTES_HEADER: &str = "x-answer-bytes";
