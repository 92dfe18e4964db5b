//! Watches the health of all backend servers through the dumps of the daemons.

use super::fleet::{FLOOR_SLOTS, api};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Interval of the dumps. It adds to each time that is reported.
const INTERVAL: Duration = Duration::from_millis(20);

/// A change of a backend server's health.
#[derive(Clone, Debug)]
pub(super) struct HealthChange {
    pub(super) server: String,
    pub(super) health: String,
    pub(super) at: Instant,
}

/// What was seen.
#[derive(Clone, Debug, Default)]
pub(super) struct Seen {
    pub(super) changes: Vec<HealthChange>,
    /// Lowest number of slots that were not ejected, by service, while all daemons answered.
    pub(super) lowest: BTreeMap<String, u32>,
    health: BTreeMap<String, String>,
}

impl Seen {
    /// Returns the present health of a server.
    pub(super) fn health(&self, server: &str) -> Option<&str> {
        self.health.get(server).map(String::as_str)
    }

    /// Returns the services whose capacity went below the floor.
    pub(super) fn below_floor(&self) -> Vec<&str> {
        let below = self.lowest.iter().filter(|(_, slots)| **slots < FLOOR_SLOTS);
        below.map(|(service, _)| service.as_str()).collect()
    }

    fn take(&mut self, dumps: &[Value], at: Instant, whole: bool) {
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
        if whole {
            for (service, slots) in capacity {
                let lowest = self.lowest.entry(service).or_insert(slots);
                *lowest = slots.min(*lowest);
            }
        }
    }
}

/// Running observer.
pub(super) struct Observer {
    stop: Arc<AtomicBool>,
    seen: Arc<Mutex<Seen>>,
    thread: JoinHandle<()>,
}

impl Observer {
    pub(super) fn start(addrs: Vec<SocketAddr>) -> Observer {
        let stop = Arc::new(AtomicBool::new(false));
        let seen = Arc::new(Mutex::new(Seen::default()));
        let (stopped, shared) = (Arc::clone(&stop), Arc::clone(&seen));
        let thread = std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                let at = Instant::now();
                let dumps: Vec<Value> = addrs
                    .iter()
                    .filter_map(|addr| api(*addr).get("/v1/dump").and_then(|a| a.ok()).ok())
                    .collect();
                let whole = dumps.len() == addrs.len();
                shared.lock().unwrap_or_else(PoisonError::into_inner).take(&dumps, at, whole);
                std::thread::sleep(INTERVAL);
            }
        });
        Observer { stop, seen, thread }
    }

    pub(super) fn seen(&self) -> Seen {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(super) fn stop(self) -> Seen {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
        Arc::try_unwrap(self.seen).map_or_else(
            |shared| shared.lock().unwrap_or_else(PoisonError::into_inner).clone(),
            |seen| seen.into_inner().unwrap_or_else(PoisonError::into_inner),
        )
    }
}
