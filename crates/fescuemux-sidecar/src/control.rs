//! Endpoints for reports of the local backend server, readiness checks and metrics.

use crate::ControlCall;
use crate::ingress;
use crate::node::Node;
use crate::serve::{SimpleResponse, text_response};
use bytes::Bytes;
use fescuemux_core::placement::{Departure, ServerPhase, ServerReport};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use std::cell::Cell;
use std::time::Duration;
use tracing::{info, warn};

/// Time for which a call that announces a departure waits until the departure is durable. Servers
/// wait a second for the response.
const DURABILITY_TIMEOUT: Duration = Duration::from_millis(800);

/// Handles a report or leave call of a backend server.
pub(crate) async fn handle_control(node: &Node, req: &Request<()>, body: &[u8]) -> SimpleResponse {
    let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
    match node.dialect.decode_control(path, body) {
        Ok(ControlCall::Report(report)) if !may_be_configured(node, &report.service) => {
            warn!(event = "report_refused", server = %report.id, service = %report.service);
            text_response(StatusCode::BAD_REQUEST, "unknown service")
        }
        // Until the departures are known, the report might be a late one of a server that left.
        Ok(ControlCall::Report(report))
            if report.phase == ServerPhase::Ready && !node.knows_departures() =>
        {
            info!(event = "report_deferred", server = %report.id);
            *node.deferred_report.borrow_mut() = Some(report);
            ack_response(node)
        }
        Ok(ControlCall::Report(report)) => {
            let phase = report.phase;
            apply_report(node, report);
            match phase {
                ServerPhase::Ready => ack_response(node),
                ServerPhase::Draining => ack_departure(node).await,
            }
        }
        Ok(ControlCall::Leave { server, incarnation }) => {
            let departure = {
                let mut admission = node.admission.borrow_mut();
                let now_ms = node.unix_millis();
                let incarnation = admission.departing_incarnation(now_ms, &server, incarnation);
                let departure = Departure { server, incarnation };
                let current = admission.on_departure(departure.clone());
                info!(event = "server_left", server = %departure.server, incarnation, current);
                departure
            };
            node.record_departure(departure);
            node.advance_admission();
            ack_departure(node).await
        }
        Err(e) => {
            warn!(event = "control_call_refused", path, error = %e);
            text_response(StatusCode::BAD_REQUEST, "not understood")
        }
    }
}

/// Applies a report of the local backend server.
pub(crate) fn apply_report(node: &Node, report: ServerReport) {
    let (id, phase, incarnation) = (report.id.clone(), report.phase, report.incarnation);
    let changed = node.admission.borrow_mut().on_report(node.now(), report);
    if changed {
        info!(event = "server_report", server = %id, phase = ?phase, incarnation);
        node.advance_admission();
    }
    if phase == ServerPhase::Draining {
        node.record_departure(Departure { server: id, incarnation });
    }
}

/// Acknowledges a departure once it outlasts this process. Without an acknowledgement the server
/// repeats its call, and gets no requests meanwhile.
async fn ack_departure(node: &Node) -> SimpleResponse {
    let mut changes = node.departures_changed.subscribe();
    let durable = async {
        while !node.departures_are_durable() {
            // The sender lives as long as the node.
            let _ = changes.changed().await;
        }
    };
    match tokio::time::timeout(DURABILITY_TIMEOUT, durable).await {
        Ok(()) => ack_response(node),
        Err(_) => {
            warn!(event = "departure_not_acknowledged");
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not recorded")
        }
    }
}

/// Returns whether a service is configured, or there is no configuration yet. A report with an
/// unknown service does not come from a server of the fleet, and must not replace the known server.
fn may_be_configured(node: &Node, service: &str) -> bool {
    let config = node.config.borrow();
    config.as_ref().is_none_or(|config| config.services.contains(service))
}

fn ack_response(node: &Node) -> SimpleResponse {
    let mut response = text_response(StatusCode::OK, node.dialect.control_ack());
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Responds whether callers should send requests to the process.
pub(crate) async fn handle_ready(node: &Node, _: &Request<()>, _: &[u8]) -> SimpleResponse {
    let stopping = *node.stopping.borrow();
    if stopping || node.config.borrow().is_none() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready");
    }
    text_response(StatusCode::OK, "ready")
}

/// Handles a call of an operator: an explanation of a request, or else all metrics.
pub(crate) async fn handle_operator(node: &Node, req: &Request<()>, body: &[u8]) -> SimpleResponse {
    match req.uri().path() {
        "/explain" => handle_explain(node, body).await,
        _ => handle_metrics(node),
    }
}

/// Responds where the request that `body` describes would be sent. Only one explanation is made at a
/// time, because each asks up to 15 guards.
async fn handle_explain(node: &Node, body: &[u8]) -> SimpleResponse {
    let Ok(query) = serde_json::from_slice(body) else {
        return error_response(400, "expected JSON with host and path");
    };
    if node.is_explaining.replace(true) {
        return error_response(429, "another explanation is being made");
    }
    let _reset = ResetOnDrop(&node.is_explaining);
    match ingress::explain(node, query).await {
        Ok(explanation) => match serde_json::to_vec(&explanation) {
            Ok(buf) => json_response(StatusCode::OK, buf),
            Err(e) => {
                warn!(event = "explanation_not_encoded", error = %e);
                error_response(500, "the explanation cannot be encoded")
            }
        },
        Err(not_placed) => error_response(not_placed.status, &not_placed.error),
    }
}

/// Resets a flag when it is dropped, also if the operator disconnects.
struct ResetOnDrop<'a>(&'a Cell<bool>);

impl Drop for ResetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

fn error_response(status: u16, error: &str) -> SimpleResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    json_response(status, serde_json::json!({ "error": error }).to_string().into_bytes())
}

fn json_response(status: StatusCode, buf: Vec<u8>) -> SimpleResponse {
    let mut response = Response::new(Full::new(Bytes::from(buf)));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Responds with all metrics.
fn handle_metrics(node: &Node) -> SimpleResponse {
    let age_ms = node.config_age().map_or(i64::MAX, |age| age.as_millis() as i64);
    node.metrics.config_age_ms.set(age_ms);
    node.memory.update_metrics();
    match node.metrics.encode_text() {
        Ok(buf) => Response::new(Full::new(Bytes::from(buf))),
        Err(e) => {
            warn!(event = "metrics_failed", error = %e);
            text_response(StatusCode::INTERNAL_SERVER_ERROR, "metrics")
        }
    }
}
