//! Start options of a stand-in backend server.

use std::net::SocketAddr;
use std::time::Duration;

/// Start options of a stand-in backend server.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Name of the backend server.
    pub server: String,
    /// Name of the service it belongs to.
    pub service: String,
    /// Number of requests it runs at a time; more are refused with 503.
    pub slots: u32,
    /// Shortest time one request takes.
    pub service_time: Duration,
    /// Upper bound of the random time added to `service_time`.
    pub jitter: Duration,
    /// Seed of the jitter and of the faults with a ratio.
    pub seed: u64,
    /// Address that receives the announcements; none are sent without it.
    pub announce_to: Option<SocketAddr>,
    /// Time after the start during which the server announces itself as cold.
    pub warm_up: Duration,
}

impl Default for ServerOptions {
    fn default() -> ServerOptions {
        ServerOptions {
            server: "server-1".to_owned(),
            service: "service-1".to_owned(),
            slots: 4,
            service_time: Duration::from_millis(10),
            jitter: Duration::ZERO,
            seed: 1,
            announce_to: None,
            warm_up: Duration::ZERO,
        }
    }
}
