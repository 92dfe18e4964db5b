//! Arguments of the load generator.

use super::parse;
use super::schedule::ArrivalProcess;
use super::target::Target;
use clap::ValueEnum;
use http::{HeaderName, HeaderValue, Method};
use std::path::PathBuf;
use std::time::Duration;

/// Maximum size of the request body, in bytes. All requests share one copy in memory.
const MAX_BODY_BYTES: u64 = 1 << 30;

/// Arguments of the load generator.
#[derive(Clone, Debug, clap::Args)]
pub(crate) struct Args {
    /// Target to compare; each target gets the full rate, with interleaved requests
    #[arg(long = "target", value_name = "NAME=ADDR[,ADDR]", required = true)]
    pub(crate) targets: Vec<Target>,
    /// Requests per second to each target
    #[arg(long, default_value = "90", value_parser = parse::rate)]
    pub(crate) rate: f64,
    /// Duration of the measured part, with the unit ms, s or m
    #[arg(long, default_value = "30s", value_parser = parse::duration)]
    pub(crate) duration: Duration,
    /// Duration of the load before the measured part, which is not reported
    #[arg(long, default_value = "2s", value_parser = parse::duration)]
    pub(crate) warm_up: Duration,
    /// Distribution of the intended send times
    #[arg(long, value_enum, default_value_t = ArrivalProcess::Poisson)]
    pub(crate) schedule: ArrivalProcess,
    /// Seed of the intended send times
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Request method
    #[arg(long, default_value = "GET")]
    pub(crate) method: Method,
    /// Request path with an optional query
    #[arg(long, default_value = "/", value_parser = parse::path)]
    pub(crate) path: String,
    /// Request header; may be repeated
    #[arg(long = "header", value_name = "NAME:VALUE", value_parser = parse::header)]
    pub(crate) headers: Vec<(HeaderName, HeaderValue)>,
    /// Idempotency key of each request
    #[arg(long, value_enum, default_value_t = IdempotencyKey::None)]
    pub(crate) key: IdempotencyKey,
    /// Size of the request body, in bytes
    #[arg(long, default_value_t = 0,
          value_parser = clap::value_parser!(u64).range(0..=MAX_BODY_BYTES))]
    pub(crate) body_bytes: u64,
    /// Size of the response body requested from a stand-in server, in bytes
    #[arg(long)]
    pub(crate) answer_bytes: Option<u64>,
    /// Deadline sent with each request, in ms
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..=600_000))]
    pub(crate) deadline_ms: Option<u32>,
    /// Maximum time from the intended send time to the end of the response
    #[arg(long, default_value = "30s", value_parser = parse::duration)]
    pub(crate) timeout: Duration,
    /// Maximum number of connections to each target
    #[arg(long, default_value_t = 64, value_parser = clap::value_parser!(u32).range(1..=10_000))]
    pub(crate) connections: u32,
    /// Count a response with status 200 that cannot be checked as a failed check
    #[arg(long)]
    pub(crate) require_checks: bool,
    /// Write the report as JSON; - is standard output and replaces the table
    #[arg(long, value_name = "FILE")]
    pub(crate) json: Option<PathBuf>,
    /// Write a plot of the latency
    #[arg(long, value_name = "FILE")]
    pub(crate) svg: Option<PathBuf>,
}

/// Idempotency key of each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum IdempotencyKey {
    /// No key.
    None,
    /// A fresh UUIDv7.
    Uuidv7,
}

impl Args {
    /// Checks what the parsers of single arguments do not check.
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
