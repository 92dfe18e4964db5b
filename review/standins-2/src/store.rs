//! Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

use crate::http::{self, Request};
use crate::json::{self, quote, Json};
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    /// Changes in order: revision, key, and whether it was removed.
    changes: Vec<(u64, String, bool)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

impl State {
    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            self.changes.push((self.rev, key.to_owned(), true));
        }
    }

    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.rev += 1;
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        let item = Item { value, rev: self.rev, created, lease };
        self.items.insert(key.to_owned(), item);
        self.changes.push((self.rev, key.to_owned(), false));
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<_> = keys.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
        self.leases.remove(&lease).is_some()
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let ended: Vec<_> = ended.map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn render(&self, key: &str) -> Option<String> {
        let item = self.items.get(key)?;
        let Item { value, rev, created, lease } = item;
        let (key, value) = (quote(key), quote(value));
        Some(format!(
            r#""key":{key},"value":{value},"rev":{rev},"created":{created},"lease":{lease}"#
        ))
    }
}

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(addr: SocketAddr) -> io::Result<Store> {
        let listener = TcpListener::bind(addr)?;
        let state = State { rev: 1, next_lease: 1, ..State::default() };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let store = Store { addr, shared };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || drop(store.serve(stream)));
            }
        });
        Ok(store)
    }

    /// Writes an item of the operator.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.shared.0.lock().unwrap().put(key, json::base64(value), 0);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(request) = http::read_request(&mut reader)? {
            let (status, body) = self.call(&request);
            let len = body.len();
            let head = format!("HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n");
            stream.write_all(format!("{head}Content-Length: {len}\r\n\r\n{body}").as_bytes())?;
        }
        Ok(())
    }

    fn call(&self, request: &Request) -> (u16, String) {
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        state.expire();
        let parameter = |name: &str| request.parameter(name).unwrap_or_default().to_owned();
        let body = json::parse(&request.body).unwrap_or(Json::Null);
        let path = request.path().to_owned();
        let id = || path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0u64);
        match (request.method.as_str(), path.as_str()) {
            ("GET", "/api/kv-key") => match state.render(&parameter("key")) {
                Some(item) => (200, format!(r#"{{{item},"as_of":{}}}"#, state.rev)),
                None => (404, format!(r#"{{"as_of":{}}}"#, state.rev)),
            },
            ("GET", "/api/kv-range") => {
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let keys = state.items.keys().filter(|k| k.starts_with(&prefix) && **k > after);
                let keys: Vec<_> = keys.cloned().collect();
                let page = keys.iter().take(500).filter_map(|key| state.render(key));
                let items: Vec<_> = page.map(|item| format!("{{{item}}}")).collect();
                let (items, truncated) = (items.join(","), keys.len() > 500);
                let as_of = state.rev;
                (200, format!(r#"{{"items":[{items}],"truncated":{truncated},"as_of":{as_of}}}"#))
            }
            ("GET", "/api/kv-watch") => {
                let (prefix, after) =
                    (parameter("prefix"), parameter("after").parse().unwrap_or(0));
                let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
                let end = Instant::now() + wait;
                if after > state.rev {
                    return (410, "{}".to_owned());
                }
                loop {
                    let new = state
                        .changes
                        .iter()
                        .filter(|(rev, key, _)| *rev > after && key.starts_with(&prefix));
                    let events: Vec<_> = new
                        .filter_map(|(rev, key, removed)| match removed {
                            true => {
                                let key = quote(key);
                                Some(format!(r#"{{"key":{key},"rev":{rev},"tombstone":true}}"#))
                            }
                            false => state.render(key).map(|item| format!("{{{item}}}")),
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, as_of) = (events.join(","), state.rev);
                        return (200, format!(r#"{{"events":[{events}],"as_of":{as_of}}}"#));
                    }
                    let pause = left.min(Duration::from_millis(100));
                    state = changed.wait_timeout(state, pause).unwrap().0;
                    state.expire();
                }
            }
            ("POST", "/api/kv-txn") => {
                let rev_of = |key: &str| state.items.get(key).map_or(0, |item| item.rev);
                let holds = body
                    .get("expected")
                    .list()
                    .iter()
                    .all(|row| rev_of(row.get("key").text()) == row.get("rev").number() as u64);
                let lease_of = |row: &Json| row.get("lease").number() as u64;
                if !holds {
                    return (412, r#"{"items":[]}"#.to_owned());
                }
                let writes = body.get("writes").list();
                if writes
                    .iter()
                    .any(|w| lease_of(w) > 0 && !state.leases.contains_key(&lease_of(w)))
                {
                    return (404, "{}".to_owned());
                }
                for write in writes {
                    let (key, value) = (write.get("key").text(), write.get("value").text());
                    state.put(key, value.to_owned(), lease_of(write));
                }
                body.get("delete").list().iter().for_each(|key| state.remove(key.text()));
                changed.notify_all();
                (200, format!(r#"{{"rev":{}}}"#, state.rev))
            }
            ("POST", "/api/kv-lease") => {
                let ttl =
                    body.get("ttl_time").text().trim_end_matches("ms").parse().unwrap_or(1000);
                let ttl = Duration::from_millis(ttl);
                let lease = state.next_lease;
                state.next_lease += 1;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!(r#"{{"lease":{lease},"ttl_time":"{}ms"}}"#, ttl.as_millis()))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                match state.leases.get_mut(&id()) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!(r#"{{"ttl_time":"{}ms"}}"#, ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let ended = state.end_lease(id());
                changed.notify_all();
                (if ended { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }
}
