//! Operator API, metrics and state dumps.
//!
//! Must not depend on how plans are made; it only forwards them.

mod answers;
mod context;
mod dump;
mod plans;
mod status;

pub(crate) use context::OperatorContext;
pub use context::SetLogLevel;

use self::answers::{error, json};
use anyhow::Context;
use rouille::{Request, Response, Server};
use std::net::SocketAddr;
use std::sync::Arc;

/// Threads of the operator API. A slow connection occupies one thread.
const API_THREADS: usize = 8;

/// Binds the operator API. The calling code must poll the server until the daemon stops.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub(crate) fn serve_operators(
    addr: SocketAddr,
    cx: Arc<OperatorContext>,
) -> anyhow::Result<Server<impl Fn(&Request) -> Response + Send + Sync + 'static>> {
    let server = Server::new(addr, move |req| handle(&cx, req))
        .map_err(|e| anyhow::anyhow!("{e}"))
        .with_context(|| format!("cannot listen for operators on {addr}"))?;
    Ok(server.pool_size(API_THREADS))
}

fn handle(cx: &OperatorContext, req: &Request) -> Response {
    let url = req.url();
    if req.method() == "GET" && url == "/metrics" {
        return Response::text(cx.metrics.render());
    }
    if req.method() == "GET" && url == "/ready" {
        return readiness(cx);
    }
    let Some(operator) = cx.authenticate(req.header("Authorization")) else {
        return error(401, "send `Authorization: Bearer TOKEN` with a token of the settings");
    };
    let segments: Vec<&str> = url.trim_matches('/').split('/').collect();
    match (req.method(), segments.as_slice()) {
        ("GET", ["v1", "status"]) => json(&status::status(cx)),
        ("GET", ["v1", "dump"]) => json(&dump::dump(cx)),
        ("GET", ["v1", "config"]) => plans::config(cx),
        ("GET", ["v1", "history"]) => plans::history(cx),
        ("POST", ["v1", "plans"]) => plans::propose(cx, req, &operator),
        ("GET", ["v1", "plans", id]) => plans::show(cx, id),
        ("POST", ["v1", "plans", id, "confirm"]) => plans::confirm(cx, id, &operator),
        ("POST", ["v1", "restore"]) => plans::restore(cx),
        ("PUT", ["v1", "log", level]) => set_log_level(cx, level),
        _ => error(404, "no such operation"),
    }
}

/// Returns whether callers should be sent to this instance, for load balancers and deployment
/// tools.
fn readiness(cx: &OperatorContext) -> Response {
    match cx.unready_reason() {
        None => Response::text("ready\n"),
        Some(reason) => Response::text(format!("{reason}\n")).with_status_code(503),
    }
}

fn set_log_level(cx: &OperatorContext, level: &str) -> Response {
    match (cx.set_log_level)(level) {
        Ok(()) => Response::text("ok\n"),
        Err(e) => error(400, &e),
    }
}
