//! Fails if the client reports a wrong effect, or retries a write at another address although the
//! write may have taken effect.

use fescuemux_standins::store::{MemoryStore, StandInStore, StoreFault};
use fescuemux_store::{
    CallKind, Effect, FailureKind, HttpStore, HttpStoreSettings, Mutation, Precondition, Store,
    StoreError, WatchResult,
};
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const PUT: Mutation<'static> = Mutation::Put { value: b"v", lease: None };

fn start() -> StandInStore {
    StandInStore::start("127.0.0.1:0").unwrap()
}

fn client(addrs: &[SocketAddr]) -> HttpStore {
    HttpStore::new(HttpStoreSettings::new(addrs.to_vec())).unwrap()
}

/// Returns an address that refuses connections. Another test could take a port that this
/// test released, but no test can take port 1.
fn refusing_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

struct Case {
    fault: StoreFault,
    /// Expected result of the write.
    write: Result<(), Effect>,
    /// Expected result of the read after the write.
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
        let server = start();
        let client = client(&[server.addr()]);
        server.set_fault(fault);
        let effect = |error: StoreError| error.effect;
        let write_result = client.compare_and_swap("k", Precondition::Absent, PUT);
        assert_eq!(write_result.map(drop).map_err(effect), write, "{fault:?}");
        assert_eq!(client.get("k").map(drop).map_err(effect), read, "{fault:?}");
        assert_eq!(server.memory_store().peek("k").is_some(), exists, "{fault:?}");
        server.stop();
    }
}

#[test]
fn unresponsive_store_leaves_the_effect_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let settings = HttpStoreSettings {
        call_timeout: Duration::from_millis(50),
        ..HttpStoreSettings::new(vec![listener.local_addr().unwrap()])
    };
    let client = HttpStore::new(settings).unwrap();
    let error = client.compare_and_swap("k", Precondition::Absent, PUT).unwrap_err();
    assert_eq!((error.effect, error.kind), (Effect::Unknown, FailureKind::NoResponse));
    let error = client.get("k").unwrap_err();
    assert_eq!((error.effect, error.kind), (Effect::None, FailureKind::NoResponse));
}

/// Responds to one call with the given bytes.
fn respond_once(listener: &TcpListener, response: &str) {
    let (mut stream, _) = listener.accept().unwrap();
    let mut request = Vec::new();
    let mut buf = [0; 1024];
    while !request.ends_with(b"}") {
        let len = stream.read(&mut buf).unwrap();
        assert!(len > 0, "the request ended early");
        request.extend_from_slice(&buf[..len]);
    }
    stream.write_all(response.as_bytes()).unwrap();
}

#[test]
fn effect_of_each_response() {
    let ok = r#"{"done":true,"version":3}"#;
    let no_effect = r#"{"error":"x","no_effect":true}"#;
    let cases = [
        ("200 OK", ok, None),
        ("200 OK", "{", Some((Effect::Unknown, FailureKind::InvalidResponse))),
        ("200 OK", r#"{"done":"yes"}"#, Some((Effect::Unknown, FailureKind::InvalidResponse))),
        ("400 Bad Request", "", Some((Effect::None, FailureKind::Refused))),
        ("408 Request Timeout", "", Some((Effect::Unknown, FailureKind::Unavailable))),
        ("429 Too Many Requests", "", Some((Effect::None, FailureKind::Unavailable))),
        ("302 Found", "", Some((Effect::Unknown, FailureKind::Unavailable))),
        ("502 Bad Gateway", ok, Some((Effect::Unknown, FailureKind::Unavailable))),
        ("503 Service Unavailable", "", Some((Effect::Unknown, FailureKind::Unavailable))),
        ("503 Service Unavailable", no_effect, Some((Effect::None, FailureKind::Unavailable))),
        ("NOT HTTP", "", Some((Effect::Unknown, FailureKind::InvalidResponse))),
    ];
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = client(&[listener.local_addr().unwrap()]);
    for (status, body, expected) in cases {
        let len = body.len();
        let response = format!("HTTP/1.1 {status}\r\ncontent-length: {len}\r\n\r\n{body}");
        let result = std::thread::scope(|scope| {
            scope.spawn(|| respond_once(&listener, &response));
            client.compare_and_swap("k", Precondition::Absent, PUT)
        });
        let result = result.err().map(|error| (error.effect, error.kind));
        assert_eq!(result, expected, "{status} {body}");
    }
}

/// A response that is broken says nothing about the effect of a write, although its body may look
/// like that of a success.
#[test]
fn a_broken_response_leaves_the_effect_unknown() {
    struct Case {
        name: &'static str,
        response: &'static str,
    }
    let cases = [
        Case {
            name: "an early end",
            response: "HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\n{\"done\":true,\"version\":3}",
        },
        Case {
            name: "a sign before the length",
            response: "HTTP/1.1 200 OK\r\ncontent-length: +25\r\n\r\n{\"done\":true,\"version\":3}",
        },
        Case {
            name: "a blank in the name of the length",
            response: "HTTP/1.1 200 OK\r\ncontent length: 25\r\n\r\n{\"done\":true,\"version\":3}",
        },
        Case {
            name: "a control byte in the name of a field",
            response: "HTTP/1.1 200 OK\r\nx-\u{1}a: b\r\ncontent-length: 25\r\n\r\n\
                       {\"done\":true,\"version\":3}",
        },
        Case {
            name: "an unknown coding",
            response: "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n\
                       {\"done\":true,\"version\":3}",
        },
        Case {
            name: "an unknown coding, then chunks",
            response: "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n\
                       19\r\n{\"done\":true,\"version\":3}\r\n0\r\n\r\n",
        },
        Case {
            name: "a length and chunks",
            response: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 25\r\n\r\n\
                       19\r\n{\"done\":true,\"version\":3}\r\n0\r\n\r\n",
        },
        Case {
            name: "a sign before a chunk size",
            response: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
                       +19\r\n{\"done\":true,\"version\":3}\r\n0\r\n\r\n",
        },
        Case {
            name: "no last chunk",
            response: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
                       19\r\n{\"done\":true,\"version\":3}\r\n",
        },
        Case {
            name: "another protocol",
            response: "ICY 200 OK\r\ncontent-length: 25\r\n\r\n{\"done\":true,\"version\":3}",
        },
        Case { name: "status 000", response: "HTTP/1.1 000 OK\r\ncontent-length: 0\r\n\r\n" },
        Case {
            name: "a refusal with a line that is no field",
            response: "HTTP/1.1 429 X\r\nno field\r\ncontent-length: 0\r\n\r\n",
        },
        Case {
            name: "a refusal that ends early",
            response: "HTTP/1.1 400 X\r\ncontent-length: 9\r\n\r\n",
        },
        Case {
            name: "a statement without effect that ends early",
            response: "HTTP/1.1 503 X\r\ncontent-length: 40\r\n\r\n\
                       {\"error\":\"x\",\"no_effect\":true}",
        },
    ];
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = client(&[listener.local_addr().unwrap()]);
    let mut failures = Vec::new();
    for Case { name, response } in cases {
        let result = std::thread::scope(|scope| {
            scope.spawn(|| respond_once(&listener, response));
            client.compare_and_swap("k", Precondition::Absent, PUT)
        });
        if result.as_ref().err().map(|e| e.effect) != Some(Effect::Unknown) {
            failures.push(format!("{name}: {result:?}"));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
fn other_addresses_are_tried_only_when_safe() {
    let (broken, healthy) = (start(), start());
    let client = client(&[refusing_addr(), broken.addr(), healthy.addr()]);
    broken.set_fault(StoreFault::LoseAllReplies);
    let error = client.compare_and_swap("k", Precondition::Absent, PUT).unwrap_err();
    assert_eq!(error.effect, Effect::Unknown);
    assert!(broken.memory_store().peek("k").is_some());
    assert!(healthy.memory_store().peek("k").is_none(), "the write is not retried");
    assert_eq!(client.get("k").unwrap(), None, "a read is retried at the healthy address");

    broken.set_fault(StoreFault::None);
    assert!(client.compare_and_swap("k", Precondition::Absent, PUT).is_ok());
    assert!(
        healthy.memory_store().peek("k").is_some(),
        "the address that responded last is used first"
    );
    broken.stop();
    healthy.stop();
}

#[test]
fn unreachable_store_has_no_effect() {
    let client = client(&[refusing_addr(), refusing_addr()]);
    let error = client.compare_and_swap("k", Precondition::Absent, PUT).unwrap_err();
    assert_eq!((error.effect, error.kind), (Effect::None, FailureKind::Unreachable));
    let no_address = HttpStore::new(HttpStoreSettings::new(Vec::new()));
    assert_eq!(no_address.err().map(|error| error.kind), Some(FailureKind::Refused));
}

#[test]
fn calls_are_counted_as_the_store_counts_them() {
    let server = start();
    let counts: Arc<[AtomicU64; 2]> = Arc::default();
    let hook = Arc::clone(&counts);
    let client = client(&[server.addr()]).with_call_hook(Arc::new(move |kind| {
        let index = usize::from(kind == CallKind::Write);
        hook[index].fetch_add(1, Ordering::Relaxed);
    }));
    client.compare_and_swap("k", Precondition::Absent, PUT).unwrap();
    client.list("").unwrap();
    let lease = client.lease_grant(Duration::from_secs(9)).unwrap();
    client.lease_renew(lease).unwrap();
    client.watch("k", 0, Duration::from_secs(9)).unwrap();
    let counters = server.counters();
    assert_eq!((counters.reads, counters.writes), (2, 3));
    assert_eq!(counts.each_ref().map(|count| count.load(Ordering::Relaxed)), [2, 3]);
    server.stop();
}

/// Fails if a watch polls or misses the awaited change.
#[test]
fn waiting_watch_is_one_call() {
    let server = start();
    let client = client(&[server.addr()]);
    std::thread::scope(|scope| {
        let watch = scope.spawn(|| client.watch("k", 0, Duration::from_secs(30)));
        while server.counters().reads == 0 {
            std::thread::yield_now();
        }
        server.memory_store().compare_and_swap("k", Precondition::Absent, PUT).unwrap();
        let watched = watch.join().unwrap().unwrap();
        assert!(matches!(watched, WatchResult::Changed(entry) if entry.value == b"v"));
    });
    assert_eq!(server.counters().reads, 1);
    server.stop();
}

/// Fails if a stopped store still responds, or if content is lost in a restart.
#[test]
fn stopped_store_is_unreachable_until_served_again() {
    // No other test listens on this IP address, so no other test can take the port in the meantime.
    let memory = Arc::new(MemoryStore::new());
    let server = StandInStore::serve("127.0.0.9:0", Arc::clone(&memory)).unwrap();
    let addr = server.addr();
    let client = client(&[addr]);
    client.compare_and_swap("k", Precondition::Absent, PUT).unwrap();
    server.stop();
    // Connections that the kernel accepted while the listener closed are dropped without a
    // response.
    loop {
        let error = client.get("k").unwrap_err();
        assert_eq!(error.effect, Effect::None);
        match error.kind {
            FailureKind::Unreachable => break,
            failure => assert_eq!(failure, FailureKind::NoResponse),
        }
    }
    let server = StandInStore::serve(addr, memory).unwrap();
    assert!(client.get("k").unwrap().is_some());
    server.stop();
}
