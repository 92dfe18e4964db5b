//! Commands that call the operator API of a running fleet.

mod text;

use crate::api::{ApiArgs, ApiResponse};
use anyhow::Context;
use serde_json::Value;
use std::io::Read;
use std::path::Path;
use std::process::ExitCode;

/// Exit code when the result of a confirm is not known yet.
const EXIT_UNKNOWN: u8 = 3;
/// Exit code when a plan was refused.
const EXIT_REFUSED: u8 = 4;

/// Shows what an intent would change.
pub(crate) fn plan(api: &ApiArgs, intent: &Path) -> anyhow::Result<ExitCode> {
    let body = read_intent(intent)?;
    let plan = api.post("/v1/plans", body)?.into_success_body()?;
    print_body(api, &plan, text::plan);
    let is_refused = plan["refusals"].as_array().is_some_and(|refusals| !refusals.is_empty());
    Ok(if is_refused { ExitCode::from(EXIT_REFUSED) } else { ExitCode::SUCCESS })
}

/// Confirms a plan, which puts it in force.
pub(crate) fn confirm(api: &ApiArgs, plan: &str) -> anyhow::Result<ExitCode> {
    let response = api.post(&format!("/v1/plans/{plan}/confirm"), Vec::new())?;
    let ApiResponse { status, body } = response;
    let result = body.get("result").and_then(Value::as_str).unwrap_or_default().to_owned();
    let code = match result.as_str() {
        "confirmed" => ExitCode::SUCCESS,
        "not_confirmed" => ExitCode::from(EXIT_REFUSED),
        "unknown" => ExitCode::from(EXIT_UNKNOWN),
        _ => {
            ApiResponse { status, body }.into_success_body()?;
            anyhow::bail!("the daemon's answer has no result");
        }
    };
    print_body(api, &body, text::confirm);
    Ok(code)
}

/// Shows which daemons have the newest configuration in force.
pub(crate) fn status(api: &ApiArgs) -> anyhow::Result<ExitCode> {
    let status = api.get("/v1/status")?.into_success_body()?;
    print_body(api, &status, text::status);
    let any_behind = status["members"].as_array().is_some_and(|members| {
        members.iter().any(|member| member["current"] == Value::Bool(false))
    });
    Ok(if any_behind { ExitCode::from(crate::EXIT_FAILED) } else { ExitCode::SUCCESS })
}

/// Shows the history of confirmed generations.
pub(crate) fn history(api: &ApiArgs) -> anyhow::Result<ExitCode> {
    let history = api.get("/v1/history")?.into_success_body()?;
    print_body(api, &history, text::history);
    Ok(ExitCode::SUCCESS)
}

/// Writes the configuration in force at a daemon to a store that lost its content.
pub(crate) fn restore(api: &ApiArgs) -> anyhow::Result<ExitCode> {
    let restored = api.post("/v1/restore", Vec::new())?.into_success_body()?;
    print_body(api, &restored, text::restore);
    Ok(ExitCode::SUCCESS)
}

/// Prints the state of one daemon as JSON.
pub(crate) fn dump(api: &ApiArgs) -> anyhow::Result<ExitCode> {
    let dump = api.get("/v1/dump")?.into_success_body()?;
    println!("{}", serde_json::to_string_pretty(&dump)?);
    Ok(ExitCode::SUCCESS)
}

/// Changes the log level of one daemon.
pub(crate) fn log_level(api: &ApiArgs, level: &str) -> anyhow::Result<ExitCode> {
    api.put(&format!("/v1/log/{level}"))?.into_success_body()?;
    Ok(ExitCode::SUCCESS)
}

fn print_body(api: &ApiArgs, body: &Value, to_text: fn(&Value) -> String) {
    if api.json {
        println!("{body:#}");
    } else {
        print!("{}", to_text(body));
    }
}

fn read_intent(path: &Path) -> anyhow::Result<Vec<u8>> {
    let mut content = Vec::new();
    if path == Path::new("-") {
        std::io::stdin().read_to_end(&mut content)?;
        return Ok(content);
    }
    std::fs::read(path).with_context(|| format!("cannot read the intent {}", path.display()))
}
