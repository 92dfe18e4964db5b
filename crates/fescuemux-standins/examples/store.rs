//! Runs a stand-in store until standard input ends, and prints its address. Its content is lost
//! with the process, so it serves for a try-out only.
//!
//! Argument: address to listen on; a free port of the loopback address without one.

use fescuemux_standins::store::StandInStore;
use std::env;
use std::io::{self, Read};

/// Listens on a free port.
const ANY_PORT: &str = "127.0.0.1:0";

fn main() -> anyhow::Result<()> {
    let addr = env::args().nth(1).unwrap_or_else(|| ANY_PORT.to_owned());
    let store = StandInStore::start(addr)?;
    println!("{}", store.addr());
    io::stdin().read_to_end(&mut Vec::new())?;
    Ok(())
}
