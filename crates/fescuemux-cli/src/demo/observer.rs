//! Observes the health of all backend servers in the dumps of the daemons.

use super::fleet::{FLOOR_SLOTS, api};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Pause between two rounds of dumps. A health change is observed only in the next round, so
/// reported times include up to one pause.
const DUMP_INTERVAL: Duration = Duration::from_millis(20);

/// A change of a backend server's health.
#[derive(Clone, Debug)]
pub(super) struct HealthChange {
    pub(super) server: String,
    pub(super) health: String,
    pub(super) at: Instant,
}

/// Observed health changes and capacities.
#[derive(Clone, Debug, Default)]
pub(super) struct Observations {
    pub(super) changes: Vec<HealthChange>,
    /// Smallest number of slots of all servers that were not ejected, by service. Only rounds of
    /// dumps in which all daemons responded count.
    pub(super) min_slots: BTreeMap<String, u32>,
    /// Latest observed health, by server.
    health: BTreeMap<String, String>,
}

impl Observations {
    /// Returns the latest observed health of a server.
    pub(super) fn health(&self, server: &str) -> Option<&str> {
        self.health.get(server).map(String::as_str)
    }

    /// Returns the services whose capacity fell below their capacity floor.
    pub(super) fn below_floor(&self) -> Vec<&str> {
        let services_below = self.min_slots.iter().filter(|(_, slots)| **slots < FLOOR_SLOTS);
        services_below.map(|(service, _)| service.as_str()).collect()
    }

    fn record_dumps(&mut self, dumps: &[Value], at: Instant, is_complete: bool) {
        let mut capacity: BTreeMap<String, u32> = BTreeMap::new();
        let servers = dumps.iter().flat_map(|dump| dump["servers"].as_array()).flatten();
        for server in servers {
            let name = server["server"].as_str().unwrap_or_default().to_owned();
            let health = server["health"].as_str().unwrap_or_default().to_owned();
            let service = server["service"].as_str().unwrap_or_default().to_owned();
            let slots = if health == "ejected" { 0 } else { server["slots"].as_u64().unwrap_or(0) };
            *capacity.entry(service).or_default() += slots as u32;
            if self.health.get(&name).map_or("serving", String::as_str) != health {
                self.changes.push(HealthChange {
                    server: name.clone(),
                    health: health.clone(),
                    at,
                });
            }
            self.health.insert(name, health);
        }
        if is_complete {
            for (service, slots) in capacity {
                let min_slots = self.min_slots.entry(service).or_insert(slots);
                *min_slots = slots.min(*min_slots);
            }
        }
    }
}

/// Running observer.
pub(super) struct Observer {
    stop_requested: Arc<AtomicBool>,
    observations: Arc<Mutex<Observations>>,
    thread: JoinHandle<()>,
}

impl Observer {
    pub(super) fn start(addrs: Vec<SocketAddr>) -> Observer {
        let stop_requested = Arc::new(AtomicBool::new(false));
        let observations = Arc::new(Mutex::new(Observations::default()));
        let (stop, shared) = (Arc::clone(&stop_requested), Arc::clone(&observations));
        let thread = std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let at = Instant::now();
                let dumps: Vec<Value> = addrs
                    .iter()
                    .filter_map(|addr| {
                        api(*addr)
                            .get("/v1/dump")
                            .and_then(|response| response.into_success_body())
                            .ok()
                    })
                    .collect();
                let is_complete = dumps.len() == addrs.len();
                shared.lock().unwrap_or_else(PoisonError::into_inner).record_dumps(
                    &dumps,
                    at,
                    is_complete,
                );
                std::thread::sleep(DUMP_INTERVAL);
            }
        });
        Observer { stop_requested, observations, thread }
    }

    pub(super) fn observations(&self) -> Observations {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(super) fn stop(self) -> Observations {
        self.stop_requested.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
        Arc::try_unwrap(self.observations).map_or_else(
            |shared| shared.lock().unwrap_or_else(PoisonError::into_inner).clone(),
            |observations| observations.into_inner().unwrap_or_else(PoisonError::into_inner),
        )
    }
}
