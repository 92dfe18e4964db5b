//! Guards against a client that reports a wrong effect, or that repeats a write which may have
//! taken effect at another address.

use fescuemux_standins::store::{MemoryStore, StandInStore, StoreFault};
use fescuemux_store::{
    CallKind, Change, Effect, Expect, Failure, HttpStore, HttpStoreSettings, Store, StoreError,
    Watched,
};
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const PUT: Change<'static> = Change::Put { value: b"v", lease: None };

fn start() -> StandInStore {
    StandInStore::start("127.0.0.1:0").unwrap()
}

fn client(addrs: &[SocketAddr]) -> HttpStore {
    HttpStore::new(HttpStoreSettings::new(addrs.to_vec())).unwrap()
}

/// Returns an address that refuses connections. A port freed by this test could be taken by
/// another one that runs at the same time; no test can take port 1.
fn closed_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

struct Case {
    fault: StoreFault,
    write: Result<(), Effect>,
    read: Result<(), Effect>,
    /// Whether the key exists after the write.
    exists: bool,
}

#[test]
fn effect_of_each_fault() {
    let cases = [
        Case { fault: StoreFault::None, write: Ok(()), read: Ok(()), exists: true },
        Case {
            fault: StoreFault::Unavailable,
            write: Err(Effect::None),
            read: Err(Effect::None),
            exists: false,
        },
        Case {
            fault: StoreFault::LoseReplies(1),
            write: Err(Effect::Unknown),
            read: Ok(()),
            exists: true,
        },
        Case {
            fault: StoreFault::LoseWrites(1),
            write: Err(Effect::Unknown),
            read: Ok(()),
            exists: false,
        },
        Case {
            fault: StoreFault::LoseAllReplies,
            write: Err(Effect::Unknown),
            read: Err(Effect::None),
            exists: true,
        },
        Case { fault: StoreFault::StaleReads, write: Ok(()), read: Ok(()), exists: true },
    ];
    for Case { fault, write, read, exists } in cases {
        let served = start();
        let client = client(&[served.addr()]);
        served.set_fault(fault);
        let effect = |error: StoreError| error.effect;
        let written = client.compare_and_swap("k", Expect::Absent, PUT);
        assert_eq!(written.map(drop).map_err(effect), write, "{fault:?}");
        assert_eq!(client.get("k").map(drop).map_err(effect), read, "{fault:?}");
        assert_eq!(served.memory_store().peek("k").is_some(), exists, "{fault:?}");
        served.stop();
    }
}

#[test]
fn silent_store_leaves_the_effect_unknown() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let settings = HttpStoreSettings {
        call_timeout: Duration::from_millis(50),
        ..HttpStoreSettings::new(vec![silent.local_addr().unwrap()])
    };
    let client = HttpStore::new(settings).unwrap();
    let error = client.compare_and_swap("k", Expect::Absent, PUT).unwrap_err();
    assert_eq!((error.effect, error.failure), (Effect::Unknown, Failure::NoAnswer));
    let error = client.get("k").unwrap_err();
    assert_eq!((error.effect, error.failure), (Effect::None, Failure::NoAnswer));
}

/// Answers one call with the given head and body.
fn answer_once(listener: &TcpListener, answer: &str) {
    let (mut stream, _) = listener.accept().unwrap();
    let mut request = Vec::new();
    let mut buf = [0; 1024];
    while !request.ends_with(b"}") {
        let len = stream.read(&mut buf).unwrap();
        assert!(len > 0, "the request ends early");
        request.extend_from_slice(&buf[..len]);
    }
    stream.write_all(answer.as_bytes()).unwrap();
}

#[test]
fn effect_of_each_answer() {
    let ok = r#"{"done":true,"version":3}"#;
    let none = r#"{"error":"x","no_effect":true}"#;
    let cases = [
        ("200 OK", ok, None),
        ("200 OK", "{", Some((Effect::Unknown, Failure::BadAnswer))),
        ("200 OK", r#"{"done":"yes"}"#, Some((Effect::Unknown, Failure::BadAnswer))),
        ("400 Bad Request", "", Some((Effect::None, Failure::Refused))),
        ("408 Request Timeout", "", Some((Effect::Unknown, Failure::Unavailable))),
        ("429 Too Many Requests", "", Some((Effect::None, Failure::Unavailable))),
        ("302 Found", "", Some((Effect::Unknown, Failure::Unavailable))),
        ("502 Bad Gateway", ok, Some((Effect::Unknown, Failure::Unavailable))),
        ("503 Service Unavailable", "", Some((Effect::Unknown, Failure::Unavailable))),
        ("503 Service Unavailable", none, Some((Effect::None, Failure::Unavailable))),
        ("NOT HTTP", "", Some((Effect::Unknown, Failure::BadAnswer))),
    ];
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = client(&[listener.local_addr().unwrap()]);
    for (status, body, expected) in cases {
        let len = body.len();
        let answer = format!("HTTP/1.1 {status}\r\ncontent-length: {len}\r\n\r\n{body}");
        let found = std::thread::scope(|scope| {
            scope.spawn(|| answer_once(&listener, &answer));
            client.compare_and_swap("k", Expect::Absent, PUT)
        });
        let found = found.err().map(|error| (error.effect, error.failure));
        assert_eq!(found, expected, "{status} {body}");
    }
}

#[test]
fn other_addresses_are_tried_only_when_safe() {
    let (broken, healthy) = (start(), start());
    let client = client(&[closed_addr(), broken.addr(), healthy.addr()]);
    broken.set_fault(StoreFault::LoseAllReplies);
    let error = client.compare_and_swap("k", Expect::Absent, PUT).unwrap_err();
    assert_eq!(error.effect, Effect::Unknown);
    assert!(broken.memory_store().peek("k").is_some());
    assert!(healthy.memory_store().peek("k").is_none(), "the write is not repeated");
    assert_eq!(client.get("k").unwrap(), None, "a read goes on to the healthy address");

    broken.set_fault(StoreFault::None);
    assert!(client.compare_and_swap("k", Expect::Absent, PUT).is_ok());
    assert!(
        healthy.memory_store().peek("k").is_some(),
        "the address that answered last comes first"
    );
    broken.stop();
    healthy.stop();
}

#[test]
fn unreachable_store_has_no_effect() {
    let client = client(&[closed_addr(), closed_addr()]);
    let error = client.compare_and_swap("k", Expect::Absent, PUT).unwrap_err();
    assert_eq!((error.effect, error.failure), (Effect::None, Failure::Unreachable));
    let no_address = HttpStore::new(HttpStoreSettings::new(Vec::new()));
    assert_eq!(no_address.err().map(|error| error.failure), Some(Failure::Refused));
}

#[test]
fn calls_are_counted_as_the_store_counts_them() {
    let served = start();
    let counts: Arc<[AtomicU64; 2]> = Arc::default();
    let hook = Arc::clone(&counts);
    let client = client(&[served.addr()]).with_hook(Arc::new(move |kind| {
        let place = usize::from(kind == CallKind::Write);
        hook[place].fetch_add(1, Ordering::Relaxed);
    }));
    client.compare_and_swap("k", Expect::Absent, PUT).unwrap();
    client.list("").unwrap();
    let lease = client.lease_grant(Duration::from_secs(9)).unwrap();
    client.lease_renew(lease).unwrap();
    client.watch("k", 0, Duration::from_secs(9)).unwrap();
    let counters = served.counters();
    assert_eq!((counters.reads, counters.writes), (2, 3));
    assert_eq!(counts.each_ref().map(|count| count.load(Ordering::Relaxed)), [2, 3]);
    served.stop();
}

/// Guards against a watch that polls, and against one that misses the change it waits for.
#[test]
fn waiting_watch_is_one_call() {
    let served = start();
    let client = client(&[served.addr()]);
    std::thread::scope(|scope| {
        let watch = scope.spawn(|| client.watch("k", 0, Duration::from_secs(30)));
        while served.counters().reads == 0 {
            std::thread::yield_now();
        }
        served.memory_store().compare_and_swap("k", Expect::Absent, PUT).unwrap();
        let seen = watch.join().unwrap().unwrap();
        assert!(matches!(seen, Watched::Changed(entry) if entry.value == b"v"));
    });
    assert_eq!(served.counters().reads, 1);
    served.stop();
}

/// Guards against a stopped store that still answers, and content that is lost in a restart.
#[test]
fn stopped_store_is_unreachable_until_served_again() {
    // No other test listens on this address, so that none can take the port in between.
    let memory = Arc::new(MemoryStore::new());
    let served = StandInStore::serve("127.0.0.9:0", Arc::clone(&memory)).unwrap();
    let addr = served.addr();
    let client = client(&[addr]);
    client.compare_and_swap("k", Expect::Absent, PUT).unwrap();
    served.stop();
    // Connections that the system took while the listener closed are dropped without an answer.
    loop {
        let error = client.get("k").unwrap_err();
        assert_eq!(error.effect, Effect::None);
        match error.failure {
            Failure::Unreachable => break,
            failure => assert_eq!(failure, Failure::NoAnswer),
        }
    }
    let served = StandInStore::serve(addr, memory).unwrap();
    assert!(client.get("k").unwrap().is_some());
    served.stop();
}
