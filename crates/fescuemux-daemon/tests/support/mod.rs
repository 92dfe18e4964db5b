//! Test fleet: real daemons on loopback with a stand-in store and stand-in backend servers.

#![allow(dead_code, reason = "each test file uses only some of these helpers")]

pub(crate) mod process;

use fescuemux_daemon::Daemon;
use fescuemux_settings::Settings;
use fescuemux_standins::server::{ServerOptions, StandInServer};
use fescuemux_standins::store::StandInStore;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub(crate) const TOKEN: &str = "test-operator-token";
pub(crate) const CLUSTER_KEY: &str =
    "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
/// Timeout of every wait in tests, long enough that only a hang reaches it.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(60);

pub(crate) struct Fleet {
    pub(crate) store: StandInStore,
    /// Daemons by index; `None` for a daemon that was stopped.
    pub(crate) daemons: Vec<Option<Daemon>>,
    pub(crate) servers: Vec<StandInServer>,
    /// Addresses of the daemons for remote procedure calls.
    seeds: Vec<SocketAddr>,
}

impl Fleet {
    /// Starts `daemon_count` daemons, each with one server of the service `orders`, confirms the
    /// routes `/orders` (not idempotent) and `/slots` (idempotent), and waits until all daemons
    /// have the configuration and know all servers.
    pub(crate) fn start(daemon_count: usize) -> Fleet {
        let store = StandInStore::start("127.0.0.1:0").unwrap();
        let (daemons, servers, seeds) = (Vec::new(), Vec::new(), Vec::new());
        let mut fleet = Fleet { store, daemons, servers, seeds };
        for _ in 0..daemon_count {
            fleet.add_daemon();
        }
        fleet.confirm(&intent());
        fleet.wait_for("all servers known", |fleet| {
            fleet.live_daemons().all(|(_, daemon)| {
                let dump = get(daemon.addresses().operators, "/v1/dump");
                let members = dump["members"].as_array().unwrap().clone();
                let server_count = |m: &Value| m["servers"].as_array().unwrap().len();
                dump["generation"] == 1
                    && dump["homes"]["settled"] == true
                    && members.iter().map(server_count).sum::<usize>() == daemon_count
            })
        });
        fleet
    }

    /// Adds a daemon with a server and returns its index.
    pub(crate) fn add_daemon(&mut self) -> usize {
        let number = self.daemons.len();
        let settings = settings(number, self.store.addr(), &self.seeds);
        let daemon = Daemon::start(&settings, Arc::new(|_| Ok(()))).unwrap();
        self.seeds.push(daemon.addresses().rpc);
        self.servers.push(start_server(number, daemon.addresses().local));
        self.daemons.push(Some(daemon));
        number
    }

    /// Returns the daemons that were not stopped, with their indexes.
    pub(crate) fn live_daemons(&self) -> impl Iterator<Item = (usize, &Daemon)> {
        self.daemons.iter().enumerate().filter_map(|(at, d)| d.as_ref().map(|d| (at, d)))
    }

    /// Returns the address of a daemon for requests of callers.
    pub(crate) fn callers_addr(&self, daemon: usize) -> SocketAddr {
        self.daemons[daemon].as_ref().unwrap().addresses().callers
    }

    /// Returns the address of a daemon's operator API.
    pub(crate) fn operators_addr(&self, daemon: usize) -> SocketAddr {
        self.daemons[daemon].as_ref().unwrap().addresses().operators
    }

    /// Creates and confirms a plan and returns the new generation.
    pub(crate) fn confirm(&self, intent: &Value) -> u64 {
        let (_, daemon) = self.live_daemons().next().unwrap();
        let addr = daemon.addresses().operators;
        let plan = post(addr, "/v1/plans", intent.to_string().as_bytes());
        let id = plan["id"].as_str().unwrap_or_else(|| panic!("{plan}"));
        let confirmed = post(addr, &format!("/v1/plans/{id}/confirm"), b"");
        confirmed["generation"].as_u64().unwrap_or_else(|| panic!("{confirmed}"))
    }

    pub(crate) fn wait_for(&self, what: &str, done: impl Fn(&Fleet) -> bool) {
        let started = Instant::now();
        while !done(self) {
            assert!(started.elapsed() < TEST_TIMEOUT, "timed out waiting for {what}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns how often requests with this tag were executed.
    pub(crate) fn execution_count(&self, tag: &str) -> usize {
        let executions = self.servers.iter().flat_map(|server| server.executions());
        executions.filter(|execution| execution.tag.as_deref() == Some(tag)).count()
    }
}

pub(crate) fn start_server(number: usize, announce_to: SocketAddr) -> StandInServer {
    StandInServer::start(ServerOptions {
        server: format!("orders-{number}"),
        service: "orders".to_owned(),
        service_time: Duration::from_millis(2),
        announce_to: Some(announce_to),
        ..ServerOptions::default()
    })
    .unwrap()
}

pub(crate) fn settings(number: usize, store: SocketAddr, seeds: &[SocketAddr]) -> Settings {
    settings_in(&format!("domain-{}", number % 3), number, store, seeds)
}

/// Returns the settings of a daemon in the failure domain `domain`.
pub(crate) fn settings_in(
    domain: &str,
    number: usize,
    store: SocketAddr,
    seeds: &[SocketAddr],
) -> Settings {
    let any = "127.0.0.1:0";
    let text = json!({
        "instance": format!("instance-{number}"),
        "domain": domain,
        "region": "test",
        "listen": { "callers": any, "hop": any, "rpc": any, "local": any, "operators": any },
        "store": { "addresses": [store.to_string()] },
        "cluster_keys": [CLUSTER_KEY],
        "operators": [{ "name": "test", "token": TOKEN }],
        "seeds": seeds.iter().map(ToString::to_string).collect::<Vec<_>>(),
        "limits": { "idle_timeout_ms": 5000 },
    });
    Settings::parse("test settings", &text.to_string()).unwrap()
}

pub(crate) fn intent() -> Value {
    json!({ "content": {
        "services": [{ "id": "orders", "floor_slots": 4, "default_deadline_ms": 20000 }],
        "routes": [
            { "id": "o", "path_prefix": "/orders", "service": "orders", "idempotent": false },
            { "id": "s", "path_prefix": "/slots", "service": "orders", "idempotent": true },
        ],
        "callers": [{ "caller": "limited", "rate_per_s": 1, "burst": 2 }],
    }})
}

fn call(method: attohttpc::Method, addr: SocketAddr, path: &str, body: &[u8]) -> Value {
    let response = attohttpc::RequestBuilder::new(method, format!("http://{addr}{path}"))
        .header("Authorization", format!("Bearer {TOKEN}"))
        .bytes(body)
        .send()
        .unwrap();
    serde_json::from_slice(&response.bytes().unwrap()).unwrap()
}

pub(crate) fn get(addr: SocketAddr, path: &str) -> Value {
    call(attohttpc::Method::GET, addr, path, b"")
}

pub(crate) fn post(addr: SocketAddr, path: &str, body: &[u8]) -> Value {
    call(attohttpc::Method::POST, addr, path, body)
}

/// Response as received from the socket.
#[derive(Debug)]
pub(crate) struct RawResponse {
    pub(crate) status: Option<u16>,
    pub(crate) verdict: Option<String>,
    pub(crate) text: String,
}

/// Sends `bytes` unchanged and reads until the daemon closes the connection.
pub(crate) fn send_raw(addr: SocketAddr, bytes: &[u8]) -> RawResponse {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    // The daemon may close the connection before it has read everything.
    let _ = stream.write_all(bytes);
    let mut content = Vec::new();
    let _ = stream.read_to_end(&mut content);
    let text = String::from_utf8_lossy(&content).into_owned();
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
    let verdict = text
        .lines()
        .find_map(|line| line.strip_prefix("fescuemux-verdict: "))
        .map(|verdict| verdict.trim().to_owned());
    RawResponse { status, verdict, text }
}
