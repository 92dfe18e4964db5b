//! Fleet of the demo, which runs in one process.

use crate::api::ApiArgs;
use anyhow::{Context, ensure};
use fescuemux_core::dedup::MAX_CLOCK_SKEW;
use fescuemux_daemon::{Daemon, StopReport};
use fescuemux_settings::Settings;
use fescuemux_standins::server::{Execution, ServerOptions, StandInServer};
use fescuemux_standins::store::StandInStore;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Token of the demo's operator.
pub(crate) const OPERATOR_TOKEN: &str = "demo-operator-token";
/// Cluster key of the demo. It needs no protection, because the demo listens on loopback only.
const CLUSTER_KEY: &str = "d6a1b0c45e7f82930415263748596a7b8c9dae0f1b2c3d4e5f60718293a4b5c6";
/// Services of the demo: reads, and bookings that must run at most once.
pub(super) const READ_SERVICE: &str = "slot-lookup";
pub(super) const BOOKING_SERVICE: &str = "order-desk";
/// Capacity floor of each service, in slots: two of its three servers with four slots each.
pub(super) const FLOOR_SLOTS: u32 = 8;
const DAEMON_COUNT: usize = 3;
/// Maximum time for each condition during the start of the fleet.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Store, daemons and backend servers.
pub(super) struct Fleet {
    store: StandInStore,
    daemons: Vec<Option<Daemon>>,
    caller_addrs: Vec<SocketAddr>,
    operator_addrs: Vec<SocketAddr>,
    pub(super) servers: Vec<(String, StandInServer)>,
}

impl Fleet {
    pub(super) fn start(seed: u64, service_time: Duration) -> anyhow::Result<Fleet> {
        let store = StandInStore::start("127.0.0.1:0")?;
        let mut fleet = Fleet {
            store,
            daemons: Vec::new(),
            caller_addrs: Vec::new(),
            operator_addrs: Vec::new(),
            servers: Vec::new(),
        };
        let mut seeds = Vec::new();
        for number in 1..=DAEMON_COUNT {
            let settings = settings(number, fleet.store.addr(), &seeds)?;
            let daemon = Daemon::start(&settings, Arc::new(|_| Ok(())))?;
            let addresses = daemon.addresses().clone();
            seeds.push(addresses.rpc);
            fleet.caller_addrs.push(addresses.callers);
            fleet.operator_addrs.push(addresses.operators);
            for service in [READ_SERVICE, BOOKING_SERVICE] {
                let name = format!("{service}-{number}");
                let server = StandInServer::start(ServerOptions {
                    server: name.clone(),
                    service: service.to_owned(),
                    service_time,
                    jitter: service_time * 2 / 3,
                    seed: seed + number as u64,
                    announce_to: Some(addresses.local),
                    ..ServerOptions::default()
                })?;
                fleet.servers.push((name, server));
            }
            fleet.daemons.push(Some(daemon));
        }
        fleet.wait_for("6 announced servers at each daemon", |fleet| {
            fleet.all_dumps(|dump| {
                let members = dump["members"].as_array().map(Vec::as_slice).unwrap_or_default();
                let servers = |m: &Value| m["servers"].as_array().map_or(0, Vec::len);
                members.iter().map(servers).sum::<usize>() == 2 * DAEMON_COUNT
            })
        })?;
        Ok(fleet)
    }

    /// Proposes the configuration, prints a summary of the plan, confirms it, and waits until it is
    /// in force at all daemons.
    pub(super) fn confirm_configuration(&self) -> anyhow::Result<()> {
        let plan =
            self.api(0).post("/v1/plans", serde_json::to_vec(&intent())?)?.into_success_body()?;
        let changes = plan["changes"].as_array().map_or(0, Vec::len);
        let id = plan["id"].as_str().context("the plan has no id")?;
        eprintln!("plan {id}: {changes} changes, floor {FLOOR_SLOTS} of 12 slots for each service");
        let confirmed = self
            .api(1)
            .post(&format!("/v1/plans/{id}/confirm"), Vec::new())?
            .into_success_body()?;
        ensure!(confirmed["result"] == "confirmed", "not confirmed: {confirmed}");
        let started = Instant::now();
        self.wait_for("the configuration in force everywhere", |fleet| {
            fleet.daemons.iter().flatten().all(|daemon| daemon.generation() >= 1)
        })?;
        eprintln!(
            "confirmed generation {}, in force at {DAEMON_COUNT} daemons after {} ms",
            confirmed["generation"],
            started.elapsed().as_millis()
        );
        self.wait_for("a settled roster of homes", |fleet| {
            fleet.all_dumps(|dump| dump["homes"]["settled"] == true)
        })?;
        // The home of an idempotency key is the daemon responsible for it. A home refuses keys that
        // were created before the home became responsible, with a margin for clock skew. Waits
        // until new keys are accepted.
        std::thread::sleep(MAX_CLOCK_SKEW);
        Ok(())
    }

    /// Stops a daemon gracefully.
    pub(super) fn stop_daemon(&mut self, index: usize) -> Option<StopReport> {
        self.daemons.get_mut(index)?.take().map(|daemon| daemon.stop(|| false))
    }

    pub(super) fn caller_addrs(&self) -> Vec<SocketAddr> {
        self.caller_addrs.clone()
    }

    pub(super) fn operator_addrs(&self) -> Vec<SocketAddr> {
        self.operator_addrs.clone()
    }

    pub(super) fn api(&self, index: usize) -> ApiArgs {
        api(self.operator_addrs[index])
    }

    pub(super) fn executions(&self) -> Vec<Execution> {
        self.servers.iter().flat_map(|(_, server)| server.executions()).collect()
    }

    pub(super) fn server(&self, name: &str) -> anyhow::Result<&StandInServer> {
        let found = self.servers.iter().find(|(known, _)| known == name);
        found.map(|(_, server)| server).with_context(|| format!("no server {name}"))
    }

    fn all_dumps(&self, holds: impl Fn(&Value) -> bool) -> bool {
        (0..DAEMON_COUNT).filter(|index| self.daemons[*index].is_some()).all(|index| {
            let dump =
                self.api(index).get("/v1/dump").and_then(|response| response.into_success_body());
            dump.is_ok_and(|dump| holds(&dump))
        })
    }

    fn wait_for(&self, condition: &str, is_met: impl Fn(&Fleet) -> bool) -> anyhow::Result<()> {
        let started = Instant::now();
        while !is_met(self) {
            ensure!(started.elapsed() < START_TIMEOUT, "waited {START_TIMEOUT:?} for {condition}");
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }
}

/// Returns a client of the operator API at `addr`.
pub(super) fn api(addr: SocketAddr) -> ApiArgs {
    ApiArgs { addr, token: OPERATOR_TOKEN.to_owned(), json: false }
}

fn settings(
    number: usize,
    store_addr: SocketAddr,
    seeds: &[SocketAddr],
) -> anyhow::Result<Settings> {
    let loopback = "127.0.0.1:0";
    let text = json!({
        "instance": format!("instance-{number}"),
        "domain": format!("domain-{number}"),
        "region": "demo",
        "listen": {
            "callers": loopback,
            "hop": loopback,
            "rpc": loopback,
            "local": loopback,
            "operators": loopback,
        },
        "store": { "addresses": [store_addr.to_string()] },
        "cluster_keys": [CLUSTER_KEY],
        "operators": [{ "name": "demo", "token": OPERATOR_TOKEN }],
        "seeds": seeds.iter().map(ToString::to_string).collect::<Vec<_>>(),
    });
    Ok(Settings::parse("demo settings", &text.to_string())?)
}

fn intent() -> Value {
    let service = |id: &str, favor: &str| json!({ "id": id, "floor_slots": FLOOR_SLOTS, "favor": favor, "default_deadline_ms": 3000 });
    let route = |id: &str, path: &str, service: &str, idempotent: bool| json!({ "id": id, "path_prefix": path, "service": service, "idempotent": idempotent });
    json!({ "content": {
        "services": [
            service(READ_SERVICE, "fast_detection"),
            service(BOOKING_SERVICE, "few_false_ejections"),
        ],
        "routes": [
            route("slots", "/slots", READ_SERVICE, true),
            route("orders", "/orders", BOOKING_SERVICE, false),
        ],
        "callers": [{ "caller": "office", "rate_per_s": 10000, "burst": 10000 }],
    }})
}
