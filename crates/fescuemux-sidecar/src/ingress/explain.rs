//! Explains where a request would be sent, without sending it.
//!
//! The explanation runs the code that places requests. Guards are asked for their load, and the
//! replies are used only for the explanation.

use super::CallerResponse;
use super::locality::Search;
use super::request::CallerRequest;
use crate::load_query::{self, LoadQuery, LoadReply};
use crate::node::Node;
use fescuemux_core::locality::LeaveReason;
use fescuemux_core::placement::{LoadReport, Peer, Readiness};
use http::{Request, header};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Request to explain, in JSON.
#[derive(Deserialize)]
pub(crate) struct ExplainQuery {
    host: String,
    path: String,
    /// Key of the customer; it occurs in no output.
    key: Option<String>,
    /// Size of the body.
    #[serde(default)]
    bytes: u64,
}

/// Where a request would be sent now, and why.
#[derive(Debug, Serialize)]
pub(crate) struct Explanation {
    instance: String,
    domain: String,
    config_version: u64,
    route: String,
    service: String,
    /// Customer of the key; `None` if the request has no customer.
    caller: Option<String>,
    /// Allowance of the customer over all instances, in requests per second.
    allowance_rate: Option<f64>,
    /// Requests that the customer may send at once after a pause, besides the rate.
    allowance_burst: Option<f64>,
    /// Priority of the customer, or else of the route.
    priority: u8,
    idempotent: bool,
    objective_ms: u64,
    deadline_ms: u64,
    expected_running_ms: u64,
    /// Expected size of the request and its answer.
    kilobytes: f64,
    /// Whether the locality policy decides, and not fixed costs.
    locality: bool,
    /// Offers in the order in which slots are requested.
    offers: Vec<OfferRecord>,
    /// Guards that did not reply in time.
    silent: Vec<String>,
    /// Guard at which the first slot is requested.
    chosen: Option<String>,
    /// Why the chosen guard is in another domain.
    left_home: Option<&'static str>,
    /// What would refuse the request.
    refused: Option<&'static str>,
}

#[derive(Debug, Serialize)]
struct OfferRecord {
    instance: String,
    domain: String,
    readiness: &'static str,
    slots: u32,
    used_slots: u32,
    queued: u32,
    wait_ms: u64,
    running_ms: u64,
    failure_probability: f64,
    shed_probability: f64,
    /// Probability of missing the objective there.
    miss_probability: f64,
    /// Reduction of that probability that justifies leaving the domain; zero at home.
    leave_cost: f64,
}

/// Why a request cannot be explained.
#[derive(Debug)]
pub(crate) struct NotPlaced {
    /// Status that the request would get.
    pub(crate) status: u16,
    /// Description for the operator.
    pub(crate) error: String,
}

/// Explains a request.
///
/// # Errors
/// Fails if the request would be answered before any guard is asked.
pub(crate) async fn explain(node: &Node, query: ExplainQuery) -> Result<Explanation, NotPlaced> {
    let request = placed_request(node, &query)?;
    let search = Search::new(node, &request, query.bytes, false, None);
    let load_query = LoadQuery {
        precedence: request.precedence(),
        share: request.share(),
        route_hash: request.route_hash,
        expected_running_time: search.placed.running_time,
    };
    let mut replies: Vec<LoadReply> = Vec::new();
    let mut queried: Vec<Peer> = Vec::new();
    for batch_count in 0.. {
        let excluded: Vec<_> = queried.iter().map(|peer| peer.id.clone()).collect();
        let peers = node.without_effects(|| search.sample(batch_count, &replies, &excluded));
        if peers.is_empty() {
            break;
        }
        queried.extend(peers.iter().cloned());
        let answers = load_query::ask_peers(node, peers, load_query).await;
        replies.extend(answers.replies.into_iter().map(|(reply, _)| reply));
        if !search.should_query_more(batch_count + 1, &replies) {
            break;
        }
    }
    let is_silent = |peer: &&Peer| replies.iter().all(|reply| reply.peer.id != peer.id);
    let silent = queried.iter().filter(is_silent).map(|peer| peer.id.to_string()).collect();
    // Without the random factor of the cost.
    let leave_reason = search.order_with(1.0, &mut replies);
    let placed = &search.placed;
    let best = replies.first();
    let left_home = best.filter(|best| best.peer.domain != placed.home).map(|_| leave_reason);
    let allowance = request.account.as_ref().and_then(|account| account.allowance);
    Ok(Explanation {
        instance: node.settings.borrow().instance.to_string(),
        domain: placed.home.to_string(),
        config_version: node.config_version(),
        route: request.policy.id.to_string(),
        service: placed.service.to_string(),
        caller: request.customer().map(str::to_owned),
        allowance_rate: allowance.map(|allowance| allowance.rate),
        allowance_burst: allowance.map(|allowance| allowance.burst),
        priority: request.priority,
        idempotent: placed.idempotent,
        objective_ms: millis(request.policy.objective),
        deadline_ms: millis(request.deadline.saturating_duration_since(request.arrival)),
        expected_running_ms: millis(placed.running_time),
        kilobytes: placed.kilobytes,
        locality: node.settings.borrow().locality,
        offers: replies.iter().map(|reply| offer_record(node, &search, reply)).collect(),
        silent,
        chosen: best.map(|best| best.peer.id.to_string()),
        left_home: left_home.map(LeaveReason::as_str),
        refused: best.is_none().then_some("no_server"),
    })
}

/// Returns the request as the ingress would handle it.
fn placed_request(node: &Node, query: &ExplainQuery) -> Result<CallerRequest, NotPlaced> {
    let mut builder = Request::builder().uri(&query.path).header(header::HOST, &query.host);
    builder = builder.header(node.dialect.headers().request_id, "explain");
    if let Some(key) = &query.key {
        builder = builder.header(header::AUTHORIZATION, format!("Bearer {key}"));
    }
    // The error of the builder might show the key.
    let invalid = |_| NotPlaced { status: 400, error: "invalid host, path or key".to_owned() };
    let (parts, ()) = builder.body(()).map_err(invalid)?.into_parts();
    let request = node.without_effects(|| CallerRequest::new(node, &parts, node.now()));
    request.map_err(|response| not_placed(&response, query))
}

fn not_placed(response: &CallerResponse, query: &ExplainQuery) -> NotPlaced {
    let reason = response.reason.unwrap_or_default();
    let error = match reason {
        "no_route" => format!("no route for host {} and path {}", query.host, query.path),
        "no_configuration" => "the process has no configuration yet".to_owned(),
        _ => format!("the request would be refused: {reason}"),
    };
    NotPlaced { status: response.status.as_u16(), error }
}

fn offer_record(node: &Node, search: &Search<'_>, reply: &LoadReply) -> OfferRecord {
    let (now, policy) = (node.now(), node.locality.borrow());
    let LoadReport { slots, used_slots, queued, .. } = reply.load_report;
    let is_home = reply.peer.domain == search.placed.home;
    OfferRecord {
        instance: reply.peer.id.to_string(),
        domain: reply.peer.domain.to_string(),
        readiness: match reply.load_report.readiness {
            Readiness::Open => "open",
            Readiness::Idle => "idle",
            Readiness::Closed => "closed",
        },
        slots,
        used_slots,
        queued,
        wait_ms: millis(reply.load_report.expected_wait),
        running_ms: millis(reply.load_report.expected_running_time),
        failure_probability: reply.load_report.failure_probability,
        shed_probability: reply.load_report.shed_probability,
        miss_probability: policy.miss(now, &search.placed, &reply.offered()),
        leave_cost: match is_home {
            true => 0.0,
            false => policy.leave_cost(now, &reply.peer.domain, &search.placed),
        },
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
