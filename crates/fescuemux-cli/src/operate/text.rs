//! Human form of the operator API's answers.

use serde_json::Value;
use std::fmt::Write;

pub(super) fn plan(plan: &Value) -> String {
    let mut out = String::new();
    let _ = writeln!(out, "plan {} on generation {}", word(&plan["id"]), plan["base"]);
    for change in list(&plan["changes"]) {
        let _ = writeln!(out, "  change   {change}");
    }
    for effect in list(&plan["effects"]) {
        let _ = writeln!(
            out,
            "  floor    {}: {} slots announced, floor {} -> {}",
            word(&effect["service"]),
            effect["slots_announced"],
            number(&effect["floor_before"]),
            number(&effect["floor_after"]),
        );
    }
    for warning in list(&plan["warnings"]) {
        let _ = writeln!(out, "  warning  {}", word(&warning["text"]));
    }
    for refusal in list(&plan["refusals"]) {
        let _ = writeln!(out, "  refused  {}", word(&refusal["text"]));
    }
    if list(&plan["refusals"]).is_empty() {
        let _ = writeln!(out, "nothing has changed yet; `fescuemux confirm {}`", word(&plan["id"]));
    } else {
        let _ = writeln!(out, "this plan cannot be confirmed; change the intent");
    }
    out
}

pub(super) fn confirm(body: &Value) -> String {
    match body["result"].as_str() {
        Some("confirmed") => format!("confirmed as generation {}\n", body["generation"]),
        Some("not_confirmed") => {
            let mut out = format!("not confirmed: {}\n", word(&body["reason"]));
            for subject in list(&body["since"]) {
                let _ = writeln!(out, "  changed since the plan was made: {}", word(subject));
            }
            out
        }
        _ => format!("not known yet: {}\n", word(&body["next"])),
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
        word(&status["instance"]),
        status["generation"],
        status["newest"],
    );
    let _ = writeln!(
        out,
        "{:<20} {:<14} {:<10} {:<8} {:>10} {:>7}",
        "INSTANCE", "DOMAIN", "REGION", "STATE", "GENERATION", "SERVERS"
    );
    for member in list(&status["members"]) {
        let behind = if member["current"] == Value::Bool(false) { "  behind" } else { "" };
        let _ = writeln!(
            out,
            "{:<20} {:<14} {:<10} {:<8} {:>10} {:>7}{behind}",
            word(&member["instance"]),
            word(&member["domain"]),
            word(&member["region"]),
            word(&member["state"]),
            number(&member["generation"]),
            number(&member["servers"]),
        );
    }
    out
}

pub(super) fn history(history: &Value) -> String {
    let mut out = format!("{:>10}  {:<32}  {:<16}  TIME (ms)\n", "GENERATION", "PLAN", "AUTHOR");
    for record in list(history) {
        let _ = writeln!(
            out,
            "{:>10}  {:<32}  {:<16}  {}",
            number(&record["generation"]),
            word(&record["plan"]),
            word(&record["author"]),
            record["time_ms"],
        );
    }
    out
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map(Vec::as_slice).unwrap_or_default()
}

fn word(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

fn number(value: &Value) -> String {
    match value {
        Value::Null => "none".to_owned(),
        number => number.to_string(),
    }
}
