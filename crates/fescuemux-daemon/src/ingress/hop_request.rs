//! Requests to guards.

use super::attempt::header_text;
use super::caller_body::CallerBody;
use super::incoming::IncomingRequest;
use super::service_parts::ServiceState;
use super::{Ingress, PeerEndpoint};
use crate::http::{OutgoingBody, strip_connection_headers, strip_fleet_headers};
use fescuemux_core::route::Choice;
use fescuemux_wire::headers;
use fescuemux_wire::hop::{HopRequest, sign_request};
use http::{HeaderValue, Request, StatusCode, Uri, header};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

/// Time subtracted from the deadline passed to the guard, at most half of the remaining time, so
/// that the guard's timeout response with its verdict still reaches the ingress.
const HOP_DEADLINE_MARGIN: Duration = Duration::from_millis(10);

impl Ingress {
    /// Builds the hop request and returns it with its MAC.
    pub(super) fn build_hop_request(
        &self,
        req: &IncomingRequest,
        body: &CallerBody,
        service: &ServiceState,
        choice: &Choice,
        peer: PeerEndpoint,
        attempt: u8,
    ) -> (Request<OutgoingBody>, String) {
        let mut header_map = req.parts.headers.clone();
        let caller = header_map.get(headers::CALLER).cloned();
        strip_connection_headers(&mut header_map);
        strip_fleet_headers(&mut header_map);
        if let Some(caller) = caller {
            header_map.insert(headers::CALLER, caller);
        }
        let remaining = req.deadline.saturating_duration_since(self.context.clock.now());
        let hop = HopRequest {
            id: req.id,
            attempt,
            server: choice.server.clone(),
            incarnation: peer.incarnation,
            deadline: remaining.saturating_sub(HOP_DEADLINE_MARGIN.min(remaining / 2)),
            kind: choice.kind.into(),
            idempotent: req.idempotent,
            priority: req.service.priority,
            baseline: service.baseline(),
        };
        hop.write(&mut header_map);
        let (body, continue_tx) = body.outgoing_body();
        let wall = self.context.clock.wall();
        sign_request(&self.context.keys, wall, &req.parts.method, req.target(), &mut header_map);
        let mac = header_text(&header_map, headers::MAC);
        let mut hop_request = Request::new(body);
        *hop_request.method_mut() = req.parts.method.clone();
        *hop_request.uri_mut() = Uri::try_from(req.target()).unwrap_or_default();
        *hop_request.headers_mut() = header_map;
        if let Some(continue_tx) = continue_tx {
            expect_continue(&mut hop_request, continue_tx);
        }
        (hop_request, mac)
    }
}

/// Sends `Expect: 100-continue` (RFC 9110, section 10.1.1) and signals `continue_tx` on the interim
/// response, so that the body of a refused upload is not consumed and can go to another server.
fn expect_continue(req: &mut Request<OutgoingBody>, continue_tx: oneshot::Sender<()>) {
    req.headers_mut().insert(header::EXPECT, HeaderValue::from_static("100-continue"));
    let continue_tx = Mutex::new(Some(continue_tx));
    hyper::ext::on_informational(req, move |informational| {
        if informational.status() != StatusCode::CONTINUE {
            return;
        }
        let mut continue_tx = continue_tx.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(continue_tx) = continue_tx.take() {
            let _ = continue_tx.send(());
        }
    });
}
