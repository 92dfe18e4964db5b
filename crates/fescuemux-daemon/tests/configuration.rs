//! Spread of configurations between daemons of one failure domain, each with a link of its own to the
//! store.

mod support;

use fescuemux_core::base::stable_hash;
use fescuemux_daemon::Daemon;
use fescuemux_standins::platform::{FaultProxy, ProxyFault};
use fescuemux_standins::store::StandInStore;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{TEST_TIMEOUT, get, intent, post, settings_in};

const DOMAIN: &str = "domain-0";

/// Time after a confirm in which a configuration is in force everywhere; see docs/design.md.
const APPLY: Duration = Duration::from_secs(6);

struct Instance {
    daemon: Daemon,
    /// Link from the daemon to the store.
    store_link: FaultProxy,
}

impl Instance {
    fn operators(&self) -> SocketAddr {
        self.daemon.addresses().operators
    }
}

fn wait_for(what: &str, timeout: Duration, done: impl Fn() -> bool) {
    let started = Instant::now();
    while !done() {
        assert!(started.elapsed() < timeout, "not within {timeout:?}: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn confirm(addr: SocketAddr, intent: &Value) -> u64 {
    let plan = post(addr, "/v1/plans", intent.to_string().as_bytes());
    let id = plan["id"].as_str().unwrap_or_else(|| panic!("{plan}"));
    let confirmed = post(addr, &format!("/v1/plans/{id}/confirm"), b"");
    confirmed["generation"].as_u64().unwrap_or_else(|| panic!("{confirmed}"))
}

/// Only two watchers of a failure domain wait for changes at the store. While the store turns them
/// away, or does not answer them at all, a change that it has confirmed must still get in force
/// everywhere.
#[test]
fn a_change_is_in_force_in_time_while_the_store_fails_the_watchers() {
    struct Case {
        name: &'static str,
        fault: ProxyFault,
        /// Number of daemons that the store fails, the watchers first.
        failed_count: usize,
    }
    let cases = [
        Case { name: "refused", fault: ProxyFault::Reset, failed_count: 2 },
        Case { name: "silent", fault: ProxyFault::StallBoth, failed_count: 2 },
        Case { name: "all but one refused", fault: ProxyFault::Reset, failed_count: 4 },
    ];
    for case in cases {
        let store = StandInStore::start("127.0.0.1:0").unwrap();
        let mut seeds = Vec::new();
        let mut instances = Vec::new();
        for number in 0..5 {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let store_link = FaultProxy::start(any, store.addr()).unwrap();
            let settings = settings_in(DOMAIN, number, store_link.addr(), &seeds);
            let daemon = Daemon::start(&settings, Arc::new(|_| Ok(()))).unwrap();
            seeds.push(daemon.addresses().rpc);
            instances.push(Instance { daemon, store_link });
        }
        let all_have = |generation: u64| {
            instances.iter().all(|instance| instance.daemon.generation() >= generation)
        };
        confirm(instances[0].operators(), &intent());
        wait_for("all daemons know each other", TEST_TIMEOUT, || {
            all_have(1)
                && instances.iter().all(|instance| {
                    let dump = get(instance.operators(), "/v1/dump");
                    dump["members"].as_array().is_some_and(|members| members.len() == 5)
                })
        });
        // A daemon that has just started takes itself for a watcher, and waits for a change.
        let without_callers = |id: &str| {
            let mut changed = intent();
            changed["content"]["callers"] = json!([]);
            changed["content"]["routes"][0]["id"] = json!(id);
            changed
        };
        confirm(instances[0].operators(), &without_callers("a"));
        wait_for("all daemons have the second generation", TEST_TIMEOUT, || all_have(2));
        std::thread::sleep(Duration::from_secs(1));
        // The watchers are the two with the lowest rank.
        let rank = |number: &usize| {
            stable_hash(&[DOMAIN.as_bytes(), format!("instance-{number}").as_bytes()])
        };
        let mut ranked: Vec<usize> = (0..5).collect();
        ranked.sort_by_key(rank);
        for number in &ranked[..case.failed_count] {
            instances[*number].store_link.set_fault(case.fault);
        }
        let generation = confirm(instances[ranked[4]].operators(), &without_callers("b"));
        assert_eq!(generation, 3, "{}", case.name);
        wait_for(case.name, APPLY, || all_have(generation));
        for instance in &instances {
            // A daemon waits for its calls to the store when it stops.
            instance.store_link.set_fault(ProxyFault::None);
        }
    }
}
