//! Start options of a stand-in backend server.

use std::net::SocketAddr;
use std::time::Duration;

/// Start options of a stand-in backend server.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Name of the backend server.
    pub server: String,
    /// Name of the service that the server belongs to.
    pub service: String,
    /// Maximum number of concurrent requests. Further requests are rejected with status 503.
    pub slots: u32,
    /// Minimum service time of a request.
    pub service_time: Duration,
    /// Upper bound of the random time that is added to `service_time`.
    pub jitter: Duration,
    /// Seed of the jitter and of faults with a ratio.
    pub seed: u64,
    /// Address that receives the announcements; `None` sends no announcements.
    pub announce_to: Option<SocketAddr>,
    /// Time after the start during which the server announces the phase `cold`.
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
