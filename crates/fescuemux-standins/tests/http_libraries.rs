//! Why the data path uses neither `rouille` nor `attohttpc`.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time in which a server that does not wait for a slow caller would answer another one.
const CHANCE: Duration = Duration::from_millis(300);
/// Length of the bodies. The library reads short ones before it calls the handler, in a thread
/// that it starts for each connection.
const BODY_BYTES: usize = 8_192;

/// Shows that a caller that sends its body slowly holds a thread of `rouille`, so that as many
/// slow callers as there are threads stop the server.
#[test]
fn a_slow_caller_holds_a_thread_of_rouille() {
    let order = Arc::new(Mutex::new(Vec::new()));
    let seen = Arc::clone(&order);
    let server = rouille::Server::new("127.0.0.1:0", move |req| {
        let mut body = String::new();
        if let Some(mut data) = req.data() {
            let _ = data.read_to_string(&mut body);
        }
        seen.lock().unwrap().push(body.chars().next());
        rouille::Response::text("ok")
    })
    .unwrap()
    .pool_size(1);
    let addr = server.server_addr();
    let (handle, stop) = server.stoppable();
    let send = |letter: &str, bytes: usize| {
        let mut stream = TcpStream::connect(addr).unwrap();
        let head = format!(
            "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(letter.repeat(bytes).as_bytes()).unwrap();
        stream
    };
    let mut slow = send("s", BODY_BYTES / 2);
    thread::sleep(CHANCE);
    let mut quick = send("f", BODY_BYTES);
    thread::sleep(CHANCE);
    slow.write_all("s".repeat(BODY_BYTES / 2).as_bytes()).unwrap();
    let mut answer = String::new();
    quick.read_to_string(&mut answer).unwrap();
    assert_eq!(*order.lock().unwrap(), [Some('s'), Some('f')], "the complete request had to wait");
    let _ = stop.send(());
    handle.join().unwrap();
}

/// Shows that `attohttpc` opens a connection for each request.
#[test]
fn attohttpc_does_not_reuse_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let mut connections = 0;
        for _ in 0..2 {
            let (mut stream, _) = listener.accept().unwrap();
            connections += 1;
            let mut buf = [0; 1_024];
            let _ = stream.read(&mut buf).unwrap();
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").unwrap();
        }
        connections
    });
    for _ in 0..2 {
        let answer = attohttpc::get(format!("http://{addr}/")).send().unwrap();
        assert_eq!(answer.text().unwrap(), "ok");
    }
    assert_eq!(server.join().unwrap(), 2, "each request came over a connection of its own");
}
