//! Explains where a request would be sent.

use anyhow::{Context, bail};
use clap::Args as ClapArgs;
use fescuemux_http::blocking::{self, Limits, Request};
use serde_json::{Value, json};
use std::fmt::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Maximum time of a call; an instance asks at most three batches of guards.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of an explanation, which has at most 15 offers.
const MAX_RESPONSE_BYTES: u64 = 1 << 20;

/// Request to explain.
#[derive(Debug, ClapArgs)]
pub(crate) struct Args {
    /// Metrics address of the instance that would receive the request
    #[arg(long, value_name = "IP:PORT")]
    addr: SocketAddr,
    /// Host of the request
    #[arg(long)]
    host: String,
    /// Path of the request
    #[arg(long, default_value = "/")]
    path: String,
    /// Key of the customer
    #[arg(long, env = "FESCUEMUX_KEY", hide_env_values = true)]
    key: Option<String>,
    /// Size of the body in bytes
    #[arg(long, default_value_t = 0)]
    size: u64,
    /// Print JSON instead of text
    #[arg(long)]
    json: bool,
}

/// Prints where a request would be sent.
pub(crate) fn explain(args: &Args) -> anyhow::Result<ExitCode> {
    let Args { addr, host, path, key, size, json } = args;
    let body = json!({"host": host, "path": path, "key": key, "bytes": size}).to_string();
    let request = Request { method: "POST", path: "/explain", headers: &[], body: body.as_bytes() };
    let limits = Limits {
        connect_timeout: CALL_TIMEOUT,
        timeout: CALL_TIMEOUT,
        max_body_len: MAX_RESPONSE_BYTES,
    };
    let response = blocking::call(*addr, &request, &limits, Instant::now)
        .with_context(|| format!("the instance at {addr} does not answer"))?;
    let body: Value = serde_json::from_slice(&response.body)
        .with_context(|| format!("the answer of {addr} is no explanation"))?;
    if response.status != 200 {
        bail!("{}", body["error"].as_str().unwrap_or("the instance gave no reason"));
    }
    match json {
        true => println!("{body:#}"),
        false => print!("{}", to_text(&body)),
    }
    Ok(ExitCode::SUCCESS)
}

fn to_text(body: &Value) -> String {
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let mut out = String::new();
    for name in [
        "instance",
        "domain",
        "config_version",
        "route",
        "service",
        "caller",
        "allowance_rate",
        "allowance_burst",
        "priority",
        "idempotent",
        "objective_ms",
        "deadline_ms",
        "expected_running_ms",
        "kilobytes",
        "locality",
        "chosen",
        "left_home",
        "refused",
    ] {
        if !body[name].is_null() {
            let _ = writeln!(out, "{name:20} {}", text(&body[name]));
        }
    }
    for offer in body["offers"].as_array().into_iter().flatten() {
        let fields: Vec<_> = offer
            .as_object()
            .into_iter()
            .flatten()
            .map(|(name, value)| format!("{name}={}", text(value)))
            .collect();
        let _ = writeln!(out, "offer                {}", fields.join(" "));
    }
    for instance in body["silent"].as_array().into_iter().flatten() {
        let _ = writeln!(out, "silent               {}", text(instance));
    }
    out
}
