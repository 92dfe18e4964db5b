//! Endpoints for reports of the local backend server, readiness checks and metrics.

use crate::ControlCall;
use crate::node::Node;
use crate::serve::{SimpleResponse, text_response};
use bytes::Bytes;
use fescuemux_core::placement::{ServerPhase, ServerReport};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use tracing::{info, warn};

/// Handles a report or leave call of a backend server.
pub(crate) fn handle_control(node: &Node, req: &Request<()>, body: &[u8]) -> SimpleResponse {
    let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
    match node.dialect.decode_control(path, body) {
        Ok(ControlCall::Report(report)) if !may_be_configured(node, &report.service) => {
            warn!(event = "report_refused", server = %report.id, service = %report.service);
            text_response(StatusCode::BAD_REQUEST, "unknown service")
        }
        // Until the record of departures is read, the report might be a late one of a server that
        // left.
        Ok(ControlCall::Report(report))
            if report.phase == ServerPhase::Ready && !node.departures_known.get() =>
        {
            info!(event = "report_deferred", server = %report.id);
            *node.deferred_report.borrow_mut() = Some(report);
            ack_response(node)
        }
        Ok(ControlCall::Report(report)) => {
            apply_report(node, report);
            ack_response(node)
        }
        Ok(ControlCall::Leave(id)) => {
            let current = node.admission.borrow_mut().on_server_left(node.unix_millis(), &id);
            info!(event = "server_left", server = %id, current);
            if current {
                node.record_departure();
            }
            node.advance_admission();
            ack_response(node)
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
        if phase == ServerPhase::Draining {
            node.record_departure();
        }
        node.advance_admission();
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
pub(crate) fn handle_ready(node: &Node, _: &Request<()>, _: &[u8]) -> SimpleResponse {
    let stopping = *node.stopping.borrow();
    if stopping || node.config.borrow().is_none() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready");
    }
    text_response(StatusCode::OK, "ready")
}

/// Responds with all metrics.
pub(crate) fn handle_metrics(node: &Node, _: &Request<()>, _: &[u8]) -> SimpleResponse {
    let age_ms = node.config_age().map_or(i64::MAX, |age| age.as_millis() as i64);
    node.metrics.config_age_ms.set(age_ms);
    match node.metrics.encode_text() {
        Ok(buf) => Response::new(Full::new(Bytes::from(buf))),
        Err(e) => {
            warn!(event = "metrics_failed", error = %e);
            text_response(StatusCode::INTERNAL_SERVER_ERROR, "metrics")
        }
    }
}
