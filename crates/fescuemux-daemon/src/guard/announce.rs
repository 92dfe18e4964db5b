//! HTTP endpoint for announcements of the backend servers on this instance.

use super::Guard;
use crate::http::{OutgoingBody, full};
use anyhow::Context;
use fescuemux_wire::announce::{Announcement, AnnouncementWire};
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use std::sync::Arc;

/// Maximum size of an announcement in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 4_096;

/// Handles a request to the endpoint.
pub(crate) async fn handle_announcement(
    guard: Arc<Guard>,
    req: Request<Incoming>,
) -> Response<OutgoingBody> {
    if req.method() != Method::POST || req.uri().path() != "/announce" {
        return text_response(StatusCode::NOT_FOUND, String::new());
    }
    match receive(req.into_body()).await {
        Ok(announcement) => {
            guard.on_announcement(announcement);
            text_response(StatusCode::OK, "ok\n".to_owned())
        }
        Err(e) => text_response(StatusCode::BAD_REQUEST, format!("{e:#}\n")),
    }
}

async fn receive(body: Incoming) -> anyhow::Result<Announcement> {
    let body = Limited::new(body, MAX_ANNOUNCEMENT_BYTES).collect().await;
    // The error tells whether the limit was exceeded or the body is broken.
    let content = body.map_err(|e| anyhow::anyhow!("{e}")).with_context(|| {
        format!("no whole announcement of at most {MAX_ANNOUNCEMENT_BYTES} bytes")
    })?;
    let wire: AnnouncementWire = serde_json::from_slice(&content.to_bytes())?;
    Ok(Announcement::try_from(wire)?)
}

fn text_response(status: StatusCode, text: String) -> Response<OutgoingBody> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    let text_type = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, text_type);
    response
}
