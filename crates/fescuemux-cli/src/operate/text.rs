//! Human-readable form of the responses of the operator API.

use serde_json::Value;
use std::fmt::Write;

pub(super) fn plan(plan: &Value) -> String {
    let mut out = String::new();
    let _ = writeln!(out, "plan {} on generation {}", str_or_dash(&plan["id"]), plan["base"]);
    for change in array(&plan["changes"]) {
        let _ = writeln!(out, "  change   {change}");
    }
    for effect in array(&plan["effects"]) {
        let _ = writeln!(
            out,
            "  floor    {}: {} slots announced, floor {} -> {}",
            str_or_dash(&effect["service"]),
            effect["slots_announced"],
            number_or_none(&effect["floor_before"]),
            number_or_none(&effect["floor_after"]),
        );
    }
    for warning in array(&plan["warnings"]) {
        let _ = writeln!(out, "  warning  {}", str_or_dash(&warning["text"]));
    }
    for refusal in array(&plan["refusals"]) {
        let _ = writeln!(out, "  refused  {}", str_or_dash(&refusal["text"]));
    }
    if array(&plan["refusals"]).is_empty() {
        let _ = writeln!(
            out,
            "nothing has changed yet; `fescuemux confirm {}`",
            str_or_dash(&plan["id"])
        );
    } else {
        let _ = writeln!(out, "this plan cannot be confirmed; change the intent");
    }
    out
}

pub(super) fn confirm(body: &Value) -> String {
    match body["result"].as_str() {
        Some("confirmed") => format!("confirmed as generation {}\n", body["generation"]),
        Some("not_confirmed") => {
            let mut out = format!("not confirmed: {}\n", str_or_dash(&body["reason"]));
            for subject in array(&body["since"]) {
                let _ =
                    writeln!(out, "  changed since the plan was made: {}", str_or_dash(subject));
            }
            out
        }
        _ => format!("not known yet: {}\n", str_or_dash(&body["next"])),
    }
}

pub(super) fn restore(body: &Value) -> String {
    format!("the store has generation {} again\n", body["generation"])
}

pub(super) fn status(status: &Value) -> String {
    let mut out = String::new();
    let store = match &status["store_generation"] {
        Value::Null => "store does not answer".to_owned(),
        generation => format!("store has {generation}"),
    };
    let _ = writeln!(
        out,
        "{}: generation {}, newest known {}, {store}",
        str_or_dash(&status["instance"]),
        status["generation"],
        status["newest"],
    );
    let _ = writeln!(
        out,
        "{:<20} {:<14} {:<10} {:<8} {:>10} {:>7}",
        "INSTANCE", "DOMAIN", "REGION", "STATE", "GENERATION", "SERVERS"
    );
    for member in array(&status["members"]) {
        let behind = if member["current"] == Value::Bool(false) { "  behind" } else { "" };
        let _ = writeln!(
            out,
            "{:<20} {:<14} {:<10} {:<8} {:>10} {:>7}{behind}",
            str_or_dash(&member["instance"]),
            str_or_dash(&member["domain"]),
            str_or_dash(&member["region"]),
            str_or_dash(&member["state"]),
            number_or_none(&member["generation"]),
            number_or_none(&member["servers"]),
        );
    }
    out
}

pub(super) fn history(history: &Value) -> String {
    let mut out = format!("{:>10}  {:<32}  {:<16}  TIME (ms)\n", "GENERATION", "PLAN", "AUTHOR");
    for record in array(history) {
        let _ = writeln!(
            out,
            "{:>10}  {:<32}  {:<16}  {}",
            number_or_none(&record["generation"]),
            str_or_dash(&record["plan"]),
            str_or_dash(&record["author"]),
            record["time_ms"],
        );
    }
    out
}

fn array(value: &Value) -> &[Value] {
    value.as_array().map(Vec::as_slice).unwrap_or_default()
}

fn str_or_dash(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

fn number_or_none(value: &Value) -> String {
    match value {
        Value::Null => "none".to_owned(),
        number => number.to_string(),
    }
}
