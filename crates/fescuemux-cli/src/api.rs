//! Client of the operator API.

use anyhow::{Context, bail};
use clap::Args;
use fescuemux_http::blocking::{self, Limits, Request};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum time of a call. A confirm may wait for a slow store.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum size of a response body. The dump of a daemon in a large fleet must fit into it.
const MAX_RESPONSE_BYTES: u64 = 256 << 20;

/// Connection to the operator API.
#[derive(Clone, Debug, Args)]
pub(crate) struct ApiArgs {
    /// Operator address of any daemon
    #[arg(long, env = "FESCUEMUX_ADDR", value_name = "IP:PORT")]
    pub(crate) addr: SocketAddr,
    /// Token of an operator
    #[arg(long, env = "FESCUEMUX_TOKEN", hide_env_values = true)]
    pub(crate) token: String,
    /// Print JSON instead of text
    #[arg(long)]
    pub(crate) json: bool,
}

/// Response of the operator API.
#[derive(Debug)]
pub(crate) struct ApiResponse {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

impl ApiArgs {
    /// Sends a GET request.
    pub(crate) fn get(&self, path: &str) -> anyhow::Result<ApiResponse> {
        self.send("GET", path, &[])
    }

    /// Sends a PUT request without a body. The path holds the new value.
    pub(crate) fn put(&self, path: &str) -> anyhow::Result<ApiResponse> {
        self.send("PUT", path, &[])
    }

    /// Sends a POST request.
    pub(crate) fn post(&self, path: &str, body: Vec<u8>) -> anyhow::Result<ApiResponse> {
        self.send("POST", path, &body)
    }

    fn send(&self, method: &str, path: &str, body: &[u8]) -> anyhow::Result<ApiResponse> {
        let authorization = format!("Bearer {}", self.token);
        let headers = [("authorization", authorization.as_str())];
        let request = Request { method, path, headers: &headers, body };
        let limits = Limits {
            connect_timeout: CALL_TIMEOUT,
            timeout: CALL_TIMEOUT,
            max_body_len: MAX_RESPONSE_BYTES,
        };
        let response =
            blocking::call(self.addr, &request, &limits, Instant::now).with_context(|| {
                format!(
                    "the daemon at {} does not answer; name the `operators` address of another one",
                    self.addr
                )
            })?;
        let body = serde_json::from_slice(&response.body);
        // An error without a text is described by its status.
        let body = if (200..300).contains(&response.status) {
            body.with_context(|| format!("the answer of the daemon at {} is no JSON", self.addr))?
        } else {
            body.unwrap_or(Value::Null)
        };
        Ok(ApiResponse { status: response.status, body })
    }
}

impl ApiResponse {
    /// Returns the body of a successful response.
    ///
    /// # Errors
    ///
    /// For any other status, fails with the error text of the operator API.
    pub(crate) fn into_success_body(self) -> anyhow::Result<Value> {
        if (200..300).contains(&self.status) {
            return Ok(self.body);
        }
        match self.body.get("error").and_then(Value::as_str) {
            Some(text) => bail!("{text}"),
            None => bail!("the daemon answered with status {}", self.status),
        }
    }
}
