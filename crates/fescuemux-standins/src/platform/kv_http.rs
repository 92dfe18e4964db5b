//! HTTP API of the key-value store.

use super::http::{self, Request};
use super::kv_store::{KvFault, Shared};
use serde_json::{Value, json};
use std::io::{self, BufReader};
use std::net::TcpStream;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Delay of each call with [`KvFault::Slow`].
const SLOW_DELAY: Duration = Duration::from_millis(400);

/// Serves calls until the client closes the connection.
pub(super) fn serve_connection(shared: &Arc<Shared>, stream: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(request) = http::read_request(&mut reader)? {
        let fault = shared.fault();
        shared.count_call();
        match fault {
            KvFault::None | KvFault::DeafWatches => {}
            KvFault::Slow => std::thread::sleep(SLOW_DELAY),
            KvFault::Busy => {
                http::write_json(&mut stream, 503, &json!({"error": "busy"}))?;
                continue;
            }
            // Keeps the connection open without a response until the client gives up.
            KvFault::NoResponse => {
                let mut ignored = String::new();
                let _ = io::BufRead::read_line(&mut reader, &mut ignored);
                return Ok(());
            }
            KvFault::LoseResponses => {
                drop(handle_call(shared, &request));
                return Ok(());
            }
        }
        let (status, body) = handle_call(shared, &request);
        http::write_json(&mut stream, status, &body)?;
    }
    Ok(())
}

fn handle_call(shared: &Arc<Shared>, request: &Request) -> (u16, Value) {
    let path = request.path().to_owned();
    let now = Instant::now();
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let parameter = |name: &str| request.query_parameter(name).unwrap_or_default();
    let mut state = shared.state.lock().unwrap_or_else(PoisonError::into_inner);
    state.expire(now);
    match (request.method.as_str(), path.as_str()) {
        ("GET", "/api/kv-key") => match state.item(parameter("key")) {
            Some(mut item) => {
                item["as_of"] = json!(state.rev());
                (200, item)
            }
            None => (404, json!({"as_of": state.rev()})),
        },
        ("GET", "/api/kv-range") => (200, state.range(parameter("prefix"), parameter("after"))),
        ("GET", "/api/kv-watch") => {
            let after = parameter("after").parse().unwrap_or_default();
            let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or_default());
            watch(shared, state, parameter("prefix"), after, now + wait)
        }
        ("POST", "/api/kv-txn") => {
            let response = state.transact(&body);
            shared.changed.notify_all();
            response
        }
        ("POST", "/api/kv-lease") => {
            let ttl = body["ttl_time"].as_str().and_then(|ttl| ttl.strip_suffix("ms"));
            let ttl = Duration::from_millis(ttl.and_then(|ttl| ttl.parse().ok()).unwrap_or(1_000));
            let id = state.grant_lease(ttl, now);
            (200, json!({"lease": id, "ttl_time": format!("{}ms", ttl.as_millis())}))
        }
        ("POST", _) if path.starts_with("/api/kv-keep/") => {
            let renewed_ttl = lease_id(&path).and_then(|id| state.renew_lease(id, now));
            renewed_ttl.map_or((404, json!({})), |ttl| {
                (200, json!({"ttl_time": format!("{}ms", ttl.as_millis())}))
            })
        }
        ("DELETE", _) if path.starts_with("/api/kv-lease-end/") => {
            let ended = lease_id(&path).is_some_and(|id| state.end_lease(id));
            shared.changed.notify_all();
            (if ended { 200 } else { 404 }, json!({}))
        }
        _ => (400, json!({"error": "unknown call"})),
    }
}

fn lease_id(path: &str) -> Option<u64> {
    path.rsplit_once('/').and_then(|(_, id)| id.parse().ok())
}

fn watch(
    shared: &Arc<Shared>,
    mut state: MutexGuard<'_, super::kv_state::KvState>,
    prefix: &str,
    after: u64,
    deadline: Instant,
) -> (u16, Value) {
    /// Longest wait between two checks for expired leases.
    const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
    loop {
        state.expire(Instant::now());
        let Some(events) = state.changes_after(prefix, after) else {
            return (410, json!({"error": "forgotten"}));
        };
        let is_deaf = shared.fault() == KvFault::DeafWatches;
        if is_deaf && Instant::now() >= deadline {
            return (200, json!({"events": [], "as_of": after}));
        }
        if !is_deaf && (!events.is_empty() || Instant::now() >= deadline) {
            return (200, json!({"events": events, "as_of": state.rev()}));
        }
        let wait_result = shared.changed.wait_timeout(state, LEASE_CHECK_INTERVAL);
        state = wait_result.unwrap_or_else(PoisonError::into_inner).0;
    }
}
