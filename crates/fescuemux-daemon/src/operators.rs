//! Operator API, metrics and state dumps.
//!
//! Must not depend on how plans are made; only forwards requests for plans.

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

/// Number of threads of the operator API. A slow connection occupies one thread.
const API_THREADS: usize = 8;

/// Binds the operator API and returns its HTTP server, which the calling code must poll until the
/// daemon stops.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub(crate) fn serve_operators(
    addr: SocketAddr,
    context: Arc<OperatorContext>,
) -> anyhow::Result<Server<impl Fn(&Request) -> Response + Send + Sync + 'static>> {
    let server = Server::new(addr, move |req| handle(&context, req))
        .map_err(|e| anyhow::anyhow!("{e}"))
        .with_context(|| format!("cannot listen for operators on {addr}"))?;
    Ok(server.pool_size(API_THREADS))
}

fn handle(context: &OperatorContext, req: &Request) -> Response {
    let url = req.url();
    if req.method() == "GET" && url == "/metrics" {
        return Response::text(context.metrics.render());
    }
    if req.method() == "GET" && url == "/ready" {
        return readiness(context);
    }
    let Some(operator) = context.authenticate(req.header("Authorization")) else {
        return error(401, "send `Authorization: Bearer TOKEN` with a token of the settings");
    };
    let segments: Vec<&str> = url.trim_matches('/').split('/').collect();
    match (req.method(), segments.as_slice()) {
        ("GET", ["v1", "status"]) => json(&status::status(context)),
        ("GET", ["v1", "dump"]) => json(&dump::dump(context)),
        ("GET", ["v1", "config"]) => plans::config(context),
        ("GET", ["v1", "history"]) => plans::history(context),
        ("POST", ["v1", "plans"]) => plans::propose(context, req, &operator),
        ("GET", ["v1", "plans", id]) => plans::show(context, id),
        ("POST", ["v1", "plans", id, "confirm"]) => plans::confirm(context, id, &operator),
        ("POST", ["v1", "restore"]) => plans::restore(context),
        ("PUT", ["v1", "log", level]) => set_log_level(context, level),
        _ => error(404, "no such operation"),
    }
}

/// Tells load balancers and deployment tools whether callers should be sent to this instance.
fn readiness(context: &OperatorContext) -> Response {
    match context.unready_reason() {
        None => Response::text("ready\n"),
        Some(reason) => Response::text(format!("{reason}\n")).with_status_code(503),
    }
}

fn set_log_level(context: &OperatorContext, level: &str) -> Response {
    match (context.set_log_level)(level) {
        Ok(()) => Response::text("ok\n"),
        Err(e) => error(400, &e),
    }
}
