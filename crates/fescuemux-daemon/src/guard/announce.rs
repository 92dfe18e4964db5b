//! HTTP endpoint for announcements of the backend servers on this instance.

use super::Guard;
use anyhow::Context;
use fescuemux_wire::announce::{Announcement, AnnouncementWire};
use rouille::{Request, Response, Server};
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum size of an announcement in bytes.
const MAX_ANNOUNCEMENT_BYTES: u64 = 4_096;
/// Number of threads of the announcement endpoint. An instance has one backend server today and
/// eight in the target deployment.
const ANNOUNCE_THREADS: usize = 2;

/// Binds the endpoint and returns its HTTP server, which the calling code must poll until the
/// daemon stops.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub(crate) fn serve_announcements(
    addr: SocketAddr,
    guard: Arc<Guard>,
) -> anyhow::Result<Server<impl Fn(&Request) -> Response + Send + Sync + 'static>> {
    let server = Server::new(addr, move |req| handle(&guard, req))
        .map_err(|e| anyhow::anyhow!("{e}"))
        .with_context(|| format!("cannot listen for announcements on {addr}"))?;
    Ok(server.pool_size(ANNOUNCE_THREADS))
}

fn handle(guard: &Guard, req: &Request) -> Response {
    if req.method() != "POST" || req.url() != "/announce" {
        return Response::empty_404();
    }
    match parse(req) {
        Ok(announcement) => {
            guard.on_announcement(announcement);
            Response::text("ok\n")
        }
        Err(e) => Response::text(format!("{e:#}\n")).with_status_code(400),
    }
}

fn parse(req: &Request) -> anyhow::Result<Announcement> {
    let body = req.data().context("the body was read before")?;
    let mut content = Vec::new();
    body.take(MAX_ANNOUNCEMENT_BYTES + 1).read_to_end(&mut content)?;
    anyhow::ensure!(
        content.len() as u64 <= MAX_ANNOUNCEMENT_BYTES,
        "an announcement has at most {MAX_ANNOUNCEMENT_BYTES} bytes"
    );
    let wire: AnnouncementWire = serde_json::from_slice(&content)?;
    Ok(Announcement::try_from(wire)?)
}
