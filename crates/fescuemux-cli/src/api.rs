//! Client of the operator API.

use anyhow::{Context, bail};
use attohttpc::{Method, RequestBuilder};
use clap::Args;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum time of a call. A confirm may wait for a slow store.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

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
        self.send(self.request(Method::GET, path), Vec::new())
    }

    /// Sends a PUT request without a body. The path holds the new value.
    pub(crate) fn put(&self, path: &str) -> anyhow::Result<ApiResponse> {
        self.send(self.request(Method::PUT, path), Vec::new())
    }

    /// Sends a POST request.
    pub(crate) fn post(&self, path: &str, body: Vec<u8>) -> anyhow::Result<ApiResponse> {
        self.send(self.request(Method::POST, path), body)
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", self.addr);
        RequestBuilder::new(method, url)
            .header("Authorization", format!("Bearer {}", self.token))
            .timeout(CALL_TIMEOUT)
    }

    fn send(&self, req: RequestBuilder, body: Vec<u8>) -> anyhow::Result<ApiResponse> {
        let no_response = || {
            format!(
                "the daemon at {} does not answer; name the `operators` address of another one",
                self.addr
            )
        };
        let response = req.bytes(body).send().with_context(no_response)?;
        let status = response.status().as_u16();
        let content = response.bytes().with_context(no_response)?;
        let body = serde_json::from_slice(&content).unwrap_or(Value::Null);
        Ok(ApiResponse { status, body })
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
