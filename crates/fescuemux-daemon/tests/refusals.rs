//! Requests refused by a guard.

mod support;

use fescuemux_standins::server::ServerFault;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use support::{Fleet, get, intent, send_raw};

/// Fails if a 503 response lacks `Retry-After`: callers would then resend at once.
/// The design page promises the header on every 503 response, whichever component refused the
/// request.
#[test]
fn a_guard_refusal_has_a_retry_after_header() {
    let fleet = Fleet::start(1);
    let request = "GET /slots HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
                   fescuemux-deadline-ms: 1\r\n\r\n";
    let response = send_raw(fleet.callers_addr(0), request.as_bytes());
    assert_eq!(
        (response.status, response.verdict.as_deref()),
        (Some(503), Some("not-run")),
        "{response:?}"
    );
    assert!(response.text.to_ascii_lowercase().contains("\r\nretry-after: "), "{response:?}");
}

/// Fails if `queue_limit` has no effect: with a limit of zero, a request that finds
/// all slots busy must be refused.
#[test]
fn a_queue_limit_of_zero_refuses_when_all_slots_are_busy() {
    let fleet = Fleet::start(1);
    let mut limited = intent();
    limited["content"]["services"][0]["queue_limit"] = 0.into();
    let generation = fleet.confirm(&limited);
    let dump = |fleet: &Fleet| get(fleet.operators_addr(0), "/v1/dump");
    fleet.wait_for("the queue limit", |fleet| dump(fleet)["generation"] == generation);
    fleet.servers[0].set_fault(ServerFault::BlackHole);
    let request = "GET /slots HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
                   fescuemux-deadline-ms: 3000\r\n\r\n";
    let addr = fleet.callers_addr(0);
    let busy_callers: Vec<_> =
        (0..4).map(|_| std::thread::spawn(move || send_raw(addr, request.as_bytes()))).collect();
    fleet.wait_for("four busy slots", |fleet| dump(fleet)["servers"][0]["busy"] == 4);
    let response = send_raw(addr, request.as_bytes());
    busy_callers.into_iter().for_each(|caller| drop(caller.join().unwrap()));
    assert_eq!(
        (response.status, response.verdict.as_deref()),
        (Some(503), Some("not-run")),
        "{response:?}"
    );
    assert!(response.text.contains("the queue is full"), "{response:?}");
}

/// Paths of the requests that a server has run.
type Runs = Arc<Mutex<Vec<String>>>;

/// Announces a server of the service `orders` to a daemon.
fn announce(local: SocketAddr, name: &str, server: SocketAddr) {
    let announcement = format!(
        r#"{{"server":"{name}","service":"orders","address":"{server}","slots":4,"incarnation":1,"phase":"ready"}}"#
    );
    let head = format!("content-length: {}\r\nconnection: close", announcement.len());
    let request = format!("POST /announce HTTP/1.1\r\nhost: a\r\n{head}\r\n\r\n{announcement}");
    assert_eq!(send_raw(local, request.as_bytes()).status, Some(200));
}

/// Starts a server that refuses the first request on each connection, and writes the refusal once
/// more before the answer to each later request, which it runs.
fn start_repeating_server(runs: Runs) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let runs = runs.clone();
            // An error means that the daemon closed the connection.
            std::thread::spawn(move || drop(serve_repeating(stream, &runs)));
        }
    });
    addr
}

fn serve_repeating(mut stream: TcpStream, runs: &Runs) -> std::io::Result<()> {
    const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
        fescuemux-verdict: not-run\r\ncontent-length: 0\r\n\r\n";
    let mut reader = BufReader::new(stream.try_clone()?);
    for request in 0.. {
        let mut request_line = String::new();
        if reader.read_line(&mut request_line)? == 0 {
            break;
        }
        let mut line = String::new();
        while reader.read_line(&mut line)? > 2 {
            line.clear();
        }
        let path = request_line.split(' ').nth(1).unwrap_or_default().to_owned();
        // The daemon checks the health of its servers; those requests do not count.
        if request > 0 && path.starts_with("/slots") {
            runs.lock().unwrap().push(path);
        }
        stream.write_all(REFUSAL)?;
        if request > 0 {
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")?;
        }
    }
    Ok(())
}

/// A faulty server may write an earlier refusal once more on a kept connection. A request that it
/// has run must not be reported as not run.
#[test]
fn a_repeated_refusal_is_not_believed() {
    let mut fleet = Fleet::start(1);
    let runs = Runs::default();
    let server = start_repeating_server(runs.clone());
    let local = fleet.daemons[0].as_ref().unwrap().addresses().local;
    fleet.servers.clear();
    for round in 0..30 {
        announce(local, "repeating", server);
        let path = format!("/slots/{round}");
        let request = format!(
            "GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\nfescuemux-deadline-ms: 500\r\n\r\n"
        );
        let response = send_raw(fleet.callers_addr(0), request.as_bytes());
        let has_run = runs.lock().unwrap().contains(&path);
        assert!(
            !has_run || response.verdict.as_deref() != Some("not-run"),
            "{path} has run: {response:?}"
        );
    }
}

/// A server may stop in the middle of the head of its answer and close. The caller must not get an
/// answer that looks whole, whatever part of the head arrived.
#[test]
fn a_head_that_breaks_off_is_no_answer() {
    const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nx-tag: a\r\ncontent-length: 4\r\n\r\n";
    let mut fleet = Fleet::start(1);
    let cut_at = Arc::new(Mutex::new(0));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = listener.local_addr().unwrap();
    let server_cut_at = cut_at.clone();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let mut line = String::new();
            while reader.read_line(&mut line).is_ok_and(|len| len > 2) {
                line.clear();
            }
            // An error means that the daemon closed the connection.
            let _ = stream.write_all(&HEAD[..*server_cut_at.lock().unwrap()]);
        }
    });
    let local = fleet.daemons[0].as_ref().unwrap().addresses().local;
    fleet.servers.clear();
    for len in 0..HEAD.len() {
        *cut_at.lock().unwrap() = len;
        announce(local, "cut", server);
        let request = "GET /slots HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
                       fescuemux-deadline-ms: 500\r\n\r\n";
        let response = send_raw(fleet.callers_addr(0), request.as_bytes());
        assert!(matches!(response.status, Some(502..=504)), "{len} bytes: {response:?}");
    }
}
