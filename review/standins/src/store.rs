//! Stand-in for the platform's store: items, leases, watches and transactions as `PROTOCOL.md`
//! describes them. It can be down: calls get no answer and are not done, and leases pause.

use crate::http::{self, Request};
use crate::json::{self, Json};
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    history: Vec<(u64, String, String)>,
    rev: u64,
    last_lease: u64,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    down: AtomicBool,
}

#[derive(Clone)]
pub struct Store {
    pub addr: String,
    shared: Arc<Shared>,
}

impl State {
    fn item_json(&self, key: &str) -> Option<String> {
        let item = self.items.get(key)?;
        Some(format!(
            r#""key":"{key}","value":"{}","rev":{},"created":{},"lease":{}"#,
            item.value, item.rev, item.created, item.lease
        ))
    }
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.rev += 1;
        let rev = self.rev;
        let created = self.items.get(key).map_or(rev, |item| item.created);
        self.items.insert(key.into(), Item { value: value.into(), rev, created, lease });
        let event = format!("{{{}}}", self.item_json(key).unwrap_or_default());
        self.history.push((rev, key.into(), event));
    }
    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            let event = format!(r#"{{"key":"{key}","rev":{},"tombstone":true}}"#, self.rev);
            self.history.push((self.rev, key.into(), event));
        }
    }
    fn end_lease(&mut self, id: u64) -> bool {
        let existed = self.leases.remove(&id).is_some();
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.lease == id).map(|(k, _)| k.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
        existed
    }
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }
}

impl Store {
    pub fn start(ip: &str) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the store");
        let addr = listener.local_addr().expect("an address").to_string();
        let store = Store { addr, shared: Arc::default() };
        let shared = store.shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || drop(serve(&shared, stream)));
            }
        });
        store
    }

    /// Writes an item as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        self.shared.state.lock().unwrap().put(key, &base64(value.as_bytes()), 0);
        self.shared.changed.notify_all();
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.shared.state.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Takes the store down or brings it back. Leases pause meanwhile.
    pub fn set_down(&self, down: bool) {
        let mut state = self.shared.state.lock().unwrap();
        for (ttl, end) in state.leases.values_mut() {
            *end = Instant::now() + *ttl + Duration::from_secs(if down { 600 } else { 0 });
        }
        self.shared.down.store(down, Ordering::SeqCst);
        self.shared.changed.notify_all();
    }
}

fn serve(shared: &Shared, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = http::read_request(&mut reader)? {
        std::thread::sleep(Duration::from_millis(4));
        let answer = if shared.down.load(Ordering::SeqCst) { None } else { call(shared, &request) };
        match answer {
            Some((status, body)) => http::write_json(&mut writer, status, &body)?,
            // Nothing is done and nothing is answered, until the caller closes.
            None => {
                let mut rest = String::new();
                let _ = std::io::BufRead::read_line(&mut reader, &mut rest);
                return Ok(());
            }
        }
    }
    Ok(())
}

fn call(shared: &Shared, request: &Request) -> Option<(u16, String)> {
    let body: Json = json::parse(&request.body);
    let query = |name: &str| request.query(name);
    let mut state = shared.state.lock().unwrap();
    state.expire();
    let path = request.path().to_owned();
    let last = path.rsplit('/').next().unwrap_or_default().parse().unwrap_or(0);
    let answer = match (request.method.as_str(), path.as_str()) {
        ("GET", "/api/kv-key") => match state.item_json(&query("key")) {
            Some(item) => (200, format!(r#"{{{item},"as_of":{}}}"#, state.rev)),
            None => (404, format!(r#"{{"as_of":{}}}"#, state.rev)),
        },
        ("GET", "/api/kv-range") => {
            let (prefix, after) = (query("prefix"), query("after"));
            let keys = state.items.keys().filter(|k| k.starts_with(&prefix) && **k > after);
            let items: Vec<String> = keys
                .map(|key| format!("{{{}}}", state.item_json(key).unwrap_or_default()))
                .collect();
            let items = items.join(",");
            (200, format!(r#"{{"items":[{items}],"truncated":false,"as_of":{}}}"#, state.rev))
        }
        ("GET", "/api/kv-watch") => {
            let (prefix, after) = (query("prefix"), query("after").parse().unwrap_or(0));
            let wait = Duration::from_millis(query("wait_ms").parse().unwrap_or(0));
            let deadline = Instant::now() + wait;
            loop {
                if shared.down.load(Ordering::SeqCst) {
                    return None;
                }
                state.expire();
                let events: Vec<String> = state
                    .history
                    .iter()
                    .filter(|(rev, key, _)| *rev > after && key.starts_with(&prefix))
                    .map(|(_, _, event)| event.clone())
                    .collect();
                if !events.is_empty() || Instant::now() >= deadline {
                    let events = events.join(",");
                    break (200, format!(r#"{{"events":[{events}],"as_of":{}}}"#, state.rev));
                }
                let left = deadline.saturating_duration_since(Instant::now());
                let pause = left.min(Duration::from_millis(100));
                state = shared.changed.wait_timeout(state, pause).unwrap().0;
            }
        }
        ("POST", "/api/kv-txn") => {
            for row in body.get("expected").list() {
                let rev = state.items.get(row.get("key").text()).map_or(0, |item| item.rev);
                if rev != row.get("rev").number() {
                    return Some((412, r#"{"items":[]}"#.into()));
                }
            }
            for write in body.get("writes").list() {
                let lease = write.get("lease").number();
                if lease != 0 && !state.leases.contains_key(&lease) {
                    return Some((404, "{}".into()));
                }
            }
            for write in body.get("writes").list() {
                let (key, value) = (write.get("key").text(), write.get("value").text());
                state.put(key, value, write.get("lease").number());
            }
            for key in body.get("delete").list() {
                state.remove(key.text());
            }
            (200, format!(r#"{{"rev":{}}}"#, state.rev))
        }
        ("POST", "/api/kv-lease") => {
            let ttl = body.get("ttl_time").text().trim_end_matches("ms").parse().unwrap_or(1000);
            let ttl = Duration::from_millis(ttl);
            state.last_lease += 1;
            let id = state.last_lease;
            state.leases.insert(id, (ttl, Instant::now() + ttl));
            (200, format!(r#"{{"lease":{id},"ttl_time":"{}ms"}}"#, ttl.as_millis()))
        }
        ("POST", _) if path.starts_with("/api/kv-keep/") => match state.leases.get_mut(&last) {
            Some((ttl, end)) => {
                *end = Instant::now() + *ttl;
                (200, format!(r#"{{"ttl_time":"{}ms"}}"#, ttl.as_millis()))
            }
            None => (404, "{}".into()),
        },
        ("DELETE", _) if path.starts_with("/api/kv-lease-end/") => {
            (if state.end_lease(last) { 200 } else { 404 }, "{}".into())
        }
        _ => (400, "{}".into()),
    };
    drop(state);
    shared.changed.notify_all();
    Some(answer)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (0..3).fold(0u32, |n, i| n << 8 | u32::from(*chunk.get(i).unwrap_or(&0)));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
