//! Runs stand-in backend servers until standard input ends, and prints their addresses.
//!
//! Arguments: number of servers, service time in ms, jitter in ms, slots per server.

use anyhow::Context;
use fescuemux_standins::server::{ServerOptions, StandInServer};
use std::env;
use std::io::{self, Read};
use std::time::Duration;

fn main() -> anyhow::Result<()> {
    let arguments: Vec<u32> = env::args()
        .skip(1)
        .map(|text| text.parse().with_context(|| format!("{text:?} is not a whole number")))
        .collect::<anyhow::Result<_>>()?;
    let argument = |index: usize, default| arguments.get(index).copied().unwrap_or(default);
    let servers = (1..=argument(0, 1))
        .map(|index| {
            StandInServer::start(ServerOptions {
                server: format!("server-{index}"),
                service_time: Duration::from_millis(argument(1, 10).into()),
                jitter: Duration::from_millis(argument(2, 0).into()),
                slots: argument(3, 4),
                seed: index.into(),
                ..ServerOptions::default()
            })
        })
        .collect::<anyhow::Result<Vec<StandInServer>>>()?;
    for server in &servers {
        println!("{}", server.addr());
    }
    io::stdin().read_to_end(&mut Vec::new())?;
    Ok(())
}
