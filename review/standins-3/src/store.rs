//! Stand-in of the platform's store: the calls that `PROTOCOL.md` names, without conditions.

use crate::http::{BodyReader, Head, read_head};
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

/// Time of an answer, as on the sheets of the small deployments.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// What the store does with its callers.
#[derive(Clone, Copy, Default, PartialEq)]
enum Mode {
    #[default]
    Serving,
    /// Calls are not answered.
    Silent,
    /// Channels are closed.
    Away,
}

#[derive(Clone, Default)]
struct State {
    mode: Mode,
    /// Rises by one each time the store comes back from a copy.
    era: u64,
    items: BTreeMap<String, Item>,
    /// All changes: revision, key, and the item unless it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, Lease>,
    rev: u64,
    last_lease: u64,
}

/// Copy of a store.
pub struct Copy(State);

/// Running store. Its threads run until the process ends.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: &str) -> io::Result<Store> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Store { addr: listener.local_addr()?, shared: Arc::default() };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || drop(store.serve(stream)));
            }
        });
        Ok(store)
    }

    /// Writes an item as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.put(key, base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Stops answering, as `platform_down` (silent), and answers again. Leases pause meanwhile.
    pub fn set_silent(&self, silent: bool) {
        let mut state = self.shared.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.mode = if silent { Mode::Silent } else { Mode::Serving };
        state.restart_leases();
        self.shared.1.notify_all();
    }

    /// Ends all leases, as in an outage in which leases expire (`platform_down`, lapse).
    pub fn end_leases(&self) {
        let mut state = self.shared.0.lock().unwrap_or_else(PoisonError::into_inner);
        let ids: Vec<u64> = state.leases.keys().copied().collect();
        for id in ids {
            state.end_lease(id);
        }
    }

    /// Returns a copy of the whole store.
    pub fn copy(&self) -> Copy {
        Copy(self.lock().clone())
    }

    /// Goes away: all channels are closed, also new ones.
    pub fn go_away(&self) {
        self.lock().mode = Mode::Away;
        self.shared.1.notify_all();
    }

    /// Comes back from a copy. What the operator wrote since is written again.
    pub fn come_back(&self, copy: Copy) {
        let mut state = self.shared.0.lock().unwrap_or_else(PoisonError::into_inner);
        let era = state.era + 1;
        let written = state.items.iter().filter(|(key, _)| key.starts_with("op/"));
        let written: Vec<_> =
            written.map(|(key, item)| (key.clone(), item.value.clone())).collect();
        *state = State { era, mode: Mode::Serving, ..copy.0 };
        state.restart_leases();
        for (key, value) in written {
            state.put(&key, value, 0);
        }
        self.shared.1.notify_all();
    }

    /// Returns the keys that the store holds.
    pub fn keys(&self) -> Vec<String> {
        self.lock().items.keys().cloned().collect()
    }

    fn mode(&self) -> Mode {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner).mode
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.shared.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.expire();
        state
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader)? {
            let mut body = Vec::new();
            let mut body_reader = BodyReader::new(&head);
            let mut buf = vec![0; 16 << 10];
            loop {
                let len = body_reader.read(&mut reader, &mut buf)?;
                if len == 0 {
                    break;
                }
                body.extend_from_slice(&buf[..len]);
            }
            if self.mode() == Mode::Silent {
                // The channel returns nothing further.
                while self.mode() == Mode::Silent {
                    std::thread::sleep(Duration::from_millis(50));
                }
                return Ok(());
            }
            if self.mode() == Mode::Away {
                return Ok(());
            }
            let (status, answer) = self.call(&head, &String::from_utf8_lossy(&body));
            std::thread::sleep(ANSWER_TIME);
            match self.mode() {
                Mode::Serving => {}
                Mode::Silent | Mode::Away => return Ok(()),
            }
            let era = self.lock().era;
            let len = answer.len();
            let head = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Type: application/json\r\n\
                 Content-Length: {len}\r\n\r\n"
            );
            writer.write_all((head + &answer).as_bytes())?;
        }
        Ok(())
    }

    fn call(&self, head: &Head, body: &str) -> (u16, String) {
        let target = head.second().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next().unwrap_or("")
        };
        let method = head.first.split(' ').next().unwrap_or_default();
        let lease_id = || path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok());
        match (method, path) {
            ("GET", "/api/kv-key") => {
                let state = self.lock();
                let key = parameter("key");
                match state.items.get(key) {
                    Some(item) => {
                        let shown = show(key, item);
                        (200, format!("{{{shown},\"as_of\":{}}}", state.rev))
                    }
                    None => (404, format!("{{\"as_of\":{}}}", state.rev)),
                }
            }
            ("GET", "/api/kv-range") => {
                let state = self.lock();
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let items = state.items.iter();
                let items =
                    items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
                let items: Vec<_> =
                    items.map(|(key, item)| format!("{{{}}}", show(key, item))).collect();
                let items = items.join(",");
                let as_of = state.rev;
                (200, format!("{{\"items\":[{items}],\"truncated\":false,\"as_of\":{as_of}}}"))
            }
            ("GET", "/api/kv-watch") => {
                let after = parameter("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
                self.watch(parameter("prefix"), after, Instant::now() + wait)
            }
            ("POST", "/api/kv-txn") => {
                let mut state = self.lock();
                // The nodes write one item, without conditions.
                let text = |name: &str| string_field(body, name).unwrap_or_default();
                let lease = number_field(body, "lease").unwrap_or(0);
                if lease != 0 && !state.leases.contains_key(&lease) {
                    return (404, "{}".to_owned());
                }
                state.put(&text("key"), text("value"), lease);
                let rev = state.rev;
                self.shared.1.notify_all();
                (200, format!("{{\"rev\":{rev}}}"))
            }
            ("POST", "/api/kv-lease") => {
                let mut state = self.lock();
                let ttl = string_field(body, "ttl_time").unwrap_or_default();
                let ms: u64 = ttl.trim_end_matches("ms").parse().unwrap_or(1_000);
                let ttl = Duration::from_millis(ms);
                state.last_lease += 1;
                let id = state.last_lease;
                state.leases.insert(id, Lease { ttl, ends_at: Instant::now() + ttl });
                (200, format!("{{\"lease\":{id},\"ttl_time\":\"{ms}ms\"}}"))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let mut state = self.lock();
                match lease_id().and_then(|id| state.leases.get_mut(&id)) {
                    Some(lease) => {
                        lease.ends_at = Instant::now() + lease.ttl;
                        (200, format!("{{\"ttl_time\":\"{}ms\"}}", lease.ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let mut state = self.lock();
                let ended = lease_id().is_some_and(|id| state.end_lease(id));
                self.shared.1.notify_all();
                (if ended { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, until: Instant) -> (u16, String) {
        let mut state = self.lock();
        loop {
            state.expire();
            if state.mode != Mode::Serving {
                return (503, "{}".to_owned());
            }
            if after > state.rev {
                return (410, "{}".to_owned());
            }
            let changes = state.history.iter();
            let changes = changes.filter(|(rev, key, _)| *rev > after && key.starts_with(prefix));
            let events: Vec<_> = changes
                .map(|(rev, key, item)| match item {
                    Some(item) => format!("{{{}}}", show(key, item)),
                    None => format!("{{\"key\":\"{key}\",\"rev\":{rev},\"tombstone\":true}}"),
                })
                .collect();
            if !events.is_empty() || Instant::now() >= until {
                let (events, as_of) = (events.join(","), state.rev);
                return (200, format!("{{\"events\":[{events}],\"as_of\":{as_of}}}"));
            }
            let waited = self.shared.1.wait_timeout(state, Duration::from_millis(50));
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.rev += 1;
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        let item = Item { value, rev: self.rev, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.rev, key.to_owned(), Some(item)));
    }

    fn restart_leases(&mut self) {
        let now = Instant::now();
        self.leases.values_mut().for_each(|lease| lease.ends_at = now + lease.ttl);
    }

    fn expire(&mut self) {
        if self.mode != Mode::Serving {
            return;
        }
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, lease)| lease.ends_at <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let existed = self.leases.remove(&id).is_some();
        let keys = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.items.remove(&key);
            self.rev += 1;
            self.history.push((self.rev, key, None));
        }
        existed
    }
}

fn show(key: &str, item: &Item) -> String {
    let Item { value, rev, created, lease } = item;
    format!(
        "\"key\":\"{key}\",\"value\":\"{value}\",\"rev\":{rev},\"created\":{created},\
         \"lease\":{lease}"
    )
}

/// Returns a text in a flat JSON text without escapes.
fn string_field(json: &str, name: &str) -> Option<String> {
    let (_, rest) = json.split_once(&format!("\"{name}\":\""))?;
    rest.split_once('"').map(|(value, _)| value.to_owned())
}

fn number_field(json: &str, name: &str) -> Option<u64> {
    let (_, rest) = json.split_once(&format!("\"{name}\":"))?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = [0; 3];
        bits[..group.len()].copy_from_slice(group);
        let bits = u32::from_be_bytes([0, bits[0], bits[1], bits[2]]);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= group.len() { digit as char } else { '=' });
        }
    }
    text
}
