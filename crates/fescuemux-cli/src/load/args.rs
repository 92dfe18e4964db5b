//! Arguments of the load generator.

use super::parse;
use super::schedule::Shape;
use super::target::Target;
use clap::ValueEnum;
use http::{HeaderName, HeaderValue, Method};
use std::path::PathBuf;
use std::time::Duration;

/// Largest request body, in bytes. The body is held in memory once.
const MAX_BODY_BYTES: u64 = 1 << 30;

/// Arguments of the load generator.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct Args {
    /// Target; each one gets the full rate, interleaved in time
    #[arg(long = "target", value_name = "NAME=ADDR[,ADDR]", required = true)]
    pub(crate) targets: Vec<Target>,
    /// Requests a second to each target
    #[arg(long, default_value = "90", value_parser = parse::rate)]
    pub(crate) rate: f64,
    /// Length of the measured part, with the unit ms, s or m
    #[arg(long, default_value = "30s", value_parser = parse::duration)]
    pub(crate) duration: Duration,
    /// Load before the measured part, which is not reported
    #[arg(long, default_value = "2s", value_parser = parse::duration)]
    pub(crate) warm_up: Duration,
    /// Distribution of the intended send times
    #[arg(long, value_enum, default_value_t = Shape::Poisson)]
    pub(crate) schedule: Shape,
    /// Seed of the intended send times
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Request method
    #[arg(long, default_value = "GET")]
    pub(crate) method: Method,
    /// Request path with an optional query
    #[arg(long, default_value = "/", value_parser = parse::path)]
    pub(crate) path: String,
    /// Request header; may be given several times
    #[arg(long = "header", value_name = "NAME:VALUE", value_parser = parse::header)]
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
    /// Idempotency key of each request
    #[arg(long, value_enum, default_value_t = Key::None)]
    pub(crate) key: Key,
    /// Size of the request body
    #[arg(long, default_value_t = 0,
          value_parser = clap::value_parser!(u64).range(0..=MAX_BODY_BYTES))]
    pub(crate) body_bytes: u64,
    /// Size of the answer body that a stand-in server is asked for
    #[arg(long)]
    pub(crate) answer_bytes: Option<u64>,
    /// Deadline sent with each request, in ms
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=600_000))]
    pub(crate) deadline_ms: Option<u32>,
    /// Longest time from the intended send time to the end of the answer
    #[arg(long, default_value = "30s", value_parser = parse::duration)]
    pub(crate) timeout: Duration,
    /// Largest number of connections to each target
    #[arg(long, default_value_t = 64, value_parser = clap::value_parser!(u32).range(1..=10_000))]
    pub(crate) connections: u32,
    /// Counts an answer with status 200 that cannot be checked as a failed check
    #[arg(long)]
    pub(crate) require_checks: bool,
    /// Writes the report as JSON; - is standard output and replaces the table
    #[arg(long, value_name = "FILE")]
    pub(crate) json: Option<PathBuf>,
    /// Writes a plot of the latency
    #[arg(long, value_name = "FILE")]
    pub(crate) svg: Option<PathBuf>,
}

/// Idempotency key of each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Key {
    /// No key.
    None,
    /// A fresh UUIDv7.
    Uuidv7,
}

impl Args {
    /// Checks what concerns several arguments.
    pub(crate) fn check(&self) -> Result<(), String> {
        if self.duration.is_zero() {
            return Err("--duration must not be 0".to_owned());
        }
        if self.timeout.is_zero() {
            return Err("--timeout must not be 0".to_owned());
        }
        for (index, target) in self.targets.iter().enumerate() {
            if self.targets[..index].iter().any(|other| other.name == target.name) {
                return Err(format!("--target {} is given twice", target.name));
            }
        }
        Ok(())
    }
}
