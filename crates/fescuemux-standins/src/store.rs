//! Stand-in store: compare-and-swap, leases, watches and versions in memory, in process or
//! served over HTTP, with faults that can be switched and counters of calls.

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
