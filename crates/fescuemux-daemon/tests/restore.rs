//! Restoring the configuration from a daemon to a store that lost its content.

mod support;

use fescuemux_store::{Mutation, Precondition, Store};
use support::{Fleet, get, intent, post};

/// Fails if the store stays empty after a restore, or if a restore overwrites an existing
/// configuration.
#[test]
fn a_lost_configuration_is_written_back_and_an_existing_one_is_kept() {
    let fleet = Fleet::start(1);
    let addr = fleet.operators_addr(0);
    let kept = post(addr, "/v1/restore", b"");
    assert!(kept["error"].as_str().unwrap().contains("left as it is"), "{kept}");
    let store = fleet.store.memory_store();
    for listed_key in store.list("cfg/").unwrap() {
        let expect = Precondition::Version(listed_key.version);
        store.compare_and_swap(&listed_key.key, expect, Mutation::Delete).unwrap();
    }
    let refused = post(addr, "/v1/plans", intent().to_string().as_bytes());
    assert!(refused["error"].as_str().unwrap().contains("generation 1 is in force"), "{refused}");
    let restored = post(addr, "/v1/restore", b"");
    assert_eq!(restored["generation"], 1, "{restored}");
    assert_eq!(get(addr, "/v1/status")["store_generation"], 1);
}
