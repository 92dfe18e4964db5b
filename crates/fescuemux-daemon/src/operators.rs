//! The operator API, metrics and state dumps.
//!
//! Must not know how plans are made; it passes them on.

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

/// Threads of the operator API. A slow operator connection holds one.
const THREADS: usize = 8;

/// Binds the operator API. The caller polls the server until the daemon stops.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub(crate) fn serve_operators(
    addr: SocketAddr,
    cx: Arc<OperatorContext>,
) -> anyhow::Result<Server<impl Fn(&Request) -> Response + Send + Sync + 'static>> {
    let server = Server::new(addr, move |req| answer(&cx, req))
        .map_err(|e| anyhow::anyhow!("{e}"))
        .with_context(|| format!("cannot listen for operators on {addr}"))?;
    Ok(server.pool_size(THREADS))
}

fn answer(cx: &OperatorContext, req: &Request) -> Response {
    let url = req.url();
    if req.method() == "GET" && url == "/metrics" {
        return Response::text(cx.metrics.render());
    }
    if req.method() == "GET" && url == "/ready" {
        return ready(cx);
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
        ("PUT", ["v1", "log", level]) => set_level(cx, level),
        _ => error(404, "no such operation"),
    }
}

/// Tells load balancers and deployment tools whether callers should be sent here.
fn ready(cx: &OperatorContext) -> Response {
    match cx.unready_reason() {
        None => Response::text("ready\n"),
        Some(reason) => Response::text(format!("{reason}\n")).with_status_code(503),
    }
}

fn set_level(cx: &OperatorContext, level: &str) -> Response {
    match (cx.set_log_level)(level) {
        Ok(()) => Response::text("ok\n"),
        Err(e) => error(400, &e),
    }
}
