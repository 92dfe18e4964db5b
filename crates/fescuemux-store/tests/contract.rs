//! Fails if the stand-in store or the HTTP client breaks the contract of the store interface.

use fescuemux_standins::store::{MemoryStore, StandInStore};
use fescuemux_store::{HttpStore, HttpStoreSettings, contract};
use std::sync::Arc;

#[test]
fn memory_store_keeps_contract() {
    let store = MemoryStore::with_virtual_clock();
    contract::check(&store, "contract", &|time| store.advance_time(time));
}

#[test]
fn http_store_keeps_contract() {
    let memory = Arc::new(MemoryStore::with_virtual_clock());
    let server = StandInStore::serve("127.0.0.1:0", Arc::clone(&memory)).unwrap();
    let client = HttpStore::new(HttpStoreSettings::new(vec![server.addr()])).unwrap();
    contract::check(&client, "contract", &|time| memory.advance_time(time));
    server.stop();
}
