//! Calls of the store over HTTP.

use super::http::{self, Request};
use super::kv_store::{KvFault, Shared};
use serde_json::{Value, json};
use std::io::{self, BufReader};
use std::net::TcpStream;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Answer time of a slow store.
const SLOW: Duration = Duration::from_millis(400);

/// Serves a connection until it ends.
pub(super) fn serve(shared: &Arc<Shared>, stream: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(request) = http::read(&mut reader)? {
        let fault = shared.fault();
        shared.count_call();
        match fault {
            KvFault::None => {}
            KvFault::Slow => std::thread::sleep(SLOW),
            KvFault::Busy => {
                http::write_json(&mut stream, 503, &json!({"error": "busy"}))?;
                continue;
            }
            // The connection stays open without an answer until the caller gives up.
            KvFault::NoResponse => {
                let mut end = String::new();
                let _ = io::BufRead::read_line(&mut reader, &mut end);
                return Ok(());
            }
            KvFault::LoseResponses => {
                drop(answer(shared, &request));
                return Ok(());
            }
        }
        let (status, body) = answer(shared, &request);
        http::write_json(&mut stream, status, &body)?;
    }
    Ok(())
}

fn answer(shared: &Arc<Shared>, request: &Request) -> (u16, Value) {
    let path = request.path().to_owned();
    let now = Instant::now();
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let text = |name: &str| request.parameter(name).unwrap_or_default();
    let mut state = shared.state.lock().unwrap_or_else(PoisonError::into_inner);
    state.expire(now);
    match (request.method.as_str(), path.as_str()) {
        ("GET", "/api/kv-key") => match state.item(text("key")) {
            Some(mut item) => {
                item["as_of"] = json!(state.rev());
                (200, item)
            }
            None => (404, json!({"as_of": state.rev()})),
        },
        ("GET", "/api/kv-range") => (200, state.range(text("prefix"), text("after"))),
        ("GET", "/api/kv-watch") => {
            let after = text("after").parse().unwrap_or_default();
            let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or_default());
            watch(shared, state, text("prefix"), after, now + wait)
        }
        ("POST", "/api/kv-txn") => {
            let answer = state.transact(&body);
            shared.changed.notify_all();
            answer
        }
        ("POST", "/api/kv-lease") => {
            let ttl = body["ttl_time"].as_str().and_then(|ttl| ttl.strip_suffix("ms"));
            let ttl = Duration::from_millis(ttl.and_then(|ttl| ttl.parse().ok()).unwrap_or(1_000));
            let id = state.grant(ttl, now);
            (200, json!({"lease": id, "ttl_time": format!("{}ms", ttl.as_millis())}))
        }
        ("POST", _) if path.starts_with("/api/kv-keep/") => {
            let kept = lease_of(&path).and_then(|id| state.keep(id, now));
            kept.map_or((404, json!({})), |ttl| {
                (200, json!({"ttl_time": format!("{}ms", ttl.as_millis())}))
            })
        }
        ("DELETE", _) if path.starts_with("/api/kv-lease-end/") => {
            let ended = lease_of(&path).is_some_and(|id| state.end_lease(id));
            shared.changed.notify_all();
            (if ended { 200 } else { 404 }, json!({}))
        }
        _ => (400, json!({"error": "unknown call"})),
    }
}

fn lease_of(path: &str) -> Option<u64> {
    path.rsplit_once('/').and_then(|(_, id)| id.parse().ok())
}

fn watch(
    shared: &Arc<Shared>,
    mut state: MutexGuard<'_, super::kv_state::KvState>,
    prefix: &str,
    after: u64,
    until: Instant,
) -> (u16, Value) {
    /// Longest sleep between looks for leases that end.
    const LOOK: Duration = Duration::from_millis(100);
    loop {
        state.expire(Instant::now());
        let Some(events) = state.changes(prefix, after) else {
            return (410, json!({"error": "forgotten"}));
        };
        if !events.is_empty() || Instant::now() >= until {
            return (200, json!({"events": events, "as_of": state.rev()}));
        }
        let waited = shared.changed.wait_timeout(state, LOOK);
        state = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
}
