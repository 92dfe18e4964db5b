//! Runs a stand-in store until standard input ends, and prints its address. Its content is lost
//! when the process ends, so use it only for experiments.
//!
//! Argument: address to listen on. The default is a free port of the loopback address.

use fescuemux_standins::store::StandInStore;
use std::env;
use std::io::{self, Read};

/// Address with a port that the operating system chooses.
const DEFAULT_ADDR: &str = "127.0.0.1:0";

fn main() -> anyhow::Result<()> {
    let addr = env::args().nth(1).unwrap_or_else(|| DEFAULT_ADDR.to_owned());
    let store = StandInStore::start(addr)?;
    println!("{}", store.addr());
    io::stdin().read_to_end(&mut Vec::new())?;
    Ok(())
}
