//! Stand-in store with compare-and-swap, versions, leases and watches. It keeps its data in
//! memory, can be used in process or over HTTP, injects faults and counts calls.

mod counters;
mod fault;
mod memory;
mod served;
mod state;
mod time;

pub use counters::StoreCounters;
pub use fault::StoreFault;
pub use memory::MemoryStore;
pub use served::StandInStore;
