//! Requests for plans, confirmations, content and history of the configuration.

use super::OperatorContext;
use super::answers::{error, json};
use fescuemux_core::base::Cx;
use fescuemux_core::config::{CapacityReport, ConfirmOutcome, Intent, NotConfirmedReason};
use fescuemux_core::member::MemberState;
use fescuemux_store::config_store::{ConfigStoreError, Confirmation};
use fescuemux_wire::config::{
    decode_intent, encode_intent, encode_plan, format_plan_id, parse_plan_id,
};
use rand::RngCore;
use rouille::{Request, Response};
use serde::Serialize;
use std::io::Read;
use std::time::UNIX_EPOCH;

/// Maximum size of an intent in bytes.
const MAX_INTENT_BYTES: u64 = 8 << 20;

#[derive(Serialize)]
struct RecordBody {
    generation: u64,
    plan: String,
    author: String,
    time_ms: u64,
}

#[derive(Serialize)]
struct RestoreBody {
    generation: u64,
}

#[derive(Serialize)]
#[serde(tag = "result", rename_all = "snake_case")]
enum ConfirmBody {
    Confirmed { plan: String, generation: u64 },
    NotConfirmed { plan: String, reason: String, since: Vec<String>, overlap: Vec<String> },
    Unknown { plan: String, next: String },
}

/// Creates a plan from an intent.
pub(super) fn propose(context: &OperatorContext, req: &Request, operator: &str) -> Response {
    let Some(body) = req.data() else { return error(400, "send the intent as the body") };
    let mut content = Vec::new();
    if body.take(MAX_INTENT_BYTES + 1).read_to_end(&mut content).is_err() {
        return error(400, "the intent did not arrive whole");
    }
    if content.len() as u64 > MAX_INTENT_BYTES {
        return error(413, "an intent has at most 8 MiB");
    }
    let intent = match decode_intent(&content) {
        Ok(intent) => intent,
        Err(e) => return error(400, &e.to_string()),
    };
    context.store.observe_generation(context.config_state.generation());
    let mut cx = Cx::new(context.clock.now(), rand::rng().next_u64());
    let capacity = capacity(context);
    match context.store.propose(&mut cx, &intent, &capacity, operator.into()) {
        Ok(plan) => plan_response(&plan),
        Err(e) => store_error(&e),
    }
}

/// Returns a stored plan.
pub(super) fn show(context: &OperatorContext, id: &str) -> Response {
    let Some(plan_id) = parse_plan_id(id) else { return error(400, "a plan id has 32 hex digits") };
    match context.store.load_plan(plan_id) {
        Ok(Some(plan)) => plan_response(&plan),
        Ok(None) => error(404, "no such plan; plans are kept for an hour"),
        Err(e) => store_error(&e),
    }
}

/// Confirms a stored plan.
pub(super) fn confirm(context: &OperatorContext, id: &str, operator: &str) -> Response {
    let Some(plan_id) = parse_plan_id(id) else { return error(400, "a plan id has 32 hex digits") };
    let Confirmation { outcome, stale, .. } =
        match context.store.confirm(plan_id, operator.into(), context.clock.wall()) {
            Ok(confirmation) => confirmation,
            Err(e) => return store_error(&e),
        };
    let plan = format_plan_id(plan_id);
    match outcome {
        ConfirmOutcome::Confirmed(generation) => json(&ConfirmBody::Confirmed { plan, generation }),
        ConfirmOutcome::NotConfirmed(reason) => {
            let reason = match reason {
                NotConfirmedReason::Stale(generation) => {
                    format!("generation {generation} is in force; make a new plan on it")
                }
                NotConfirmedReason::Refused => "the plan has refusals".to_owned(),
            };
            let (since, overlap) = stale.map_or_else(Default::default, |stale| {
                let since = stale.differences_since_base.unwrap_or_default();
                let since = since.iter().map(|d| format!("{:?}", d.item_name())).collect();
                (since, stale.overlap.iter().map(|subject| format!("{subject:?}")).collect())
            });
            json(&ConfirmBody::NotConfirmed { plan, reason, since, overlap }).with_status_code(409)
        }
        ConfirmOutcome::Unknown { reason, .. } => {
            let next = format!("{reason:?}; ask again with the same plan id, which is harmless");
            json(&ConfirmBody::Unknown { plan, next }).with_status_code(503)
        }
    }
}

/// Writes the active generation to a store that lost its content.
pub(super) fn restore(context: &OperatorContext) -> Response {
    let (head, chunks) = context.config_state.current();
    let Some(head) = head else { return error(404, "no configuration is in force here") };
    match context.store.restore(&head, &chunks) {
        Ok(true) => {
            tracing::info!(generation = head.generation(), "configuration written to the store");
            json(&RestoreBody { generation: head.generation() })
        }
        Ok(false) => error(409, "the store has a configuration; it was left as it is"),
        Err(e) => store_error(&e),
    }
}

/// Returns the active configuration as an intent that would set the same configuration.
pub(super) fn config(context: &OperatorContext) -> Response {
    let Some(effective) = context.ingress.effective_config() else {
        return error(404, "no configuration is in force yet");
    };
    let intent = Intent::Content(Box::new(effective.config.clone()));
    Response::from_data("application/json", encode_intent(&intent))
}

/// Returns the known generations, newest first.
pub(super) fn history(context: &OperatorContext) -> Response {
    let records = match context.store.history() {
        Ok(records) => records,
        Err(e) => return store_error(&e),
    };
    let records: Vec<RecordBody> = records
        .into_iter()
        .map(|record| RecordBody {
            generation: record.generation,
            plan: format_plan_id(record.plan),
            author: record.author.to_string(),
            time_ms: record.time.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64,
        })
        .collect();
    json(&records)
}

fn plan_response(plan: &fescuemux_core::config::Plan) -> Response {
    Response::from_data("application/json", encode_plan(plan))
}

/// Returns the slots of the servers of all instances that are not dead, by service.
fn capacity(context: &OperatorContext) -> CapacityReport {
    let mut report = CapacityReport::default();
    for record in context.members.records() {
        if record.state == MemberState::Dead {
            continue;
        }
        for server in &record.servers {
            *report.slots.entry(server.service.clone()).or_default() += u32::from(server.slots);
        }
    }
    report
}

fn store_error(e: &ConfigStoreError) -> Response {
    match e {
        ConfigStoreError::Store(_)
        | ConfigStoreError::StaleGeneration { .. }
        | ConfigStoreError::PlanIdTaken(_) => {
            error(503, &format!("{e}; nothing changed, try again later"))
        }
        ConfigStoreError::InvalidRecord(_) => error(500, &e.to_string()),
        ConfigStoreError::Plan(_) | ConfigStoreError::Mismatch(_) => error(400, &e.to_string()),
    }
}
