//! Shows the limitations for which the data path uses neither `rouille` nor `attohttpc`.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time within which a server that is not blocked by a slow client responds to another client.
const RESPONSE_WINDOW: Duration = Duration::from_millis(300);
/// Length of the request bodies. `rouille` reads shorter bodies before it calls the handler, on a
/// thread that it starts for each connection.
const BODY_BYTES: usize = 8_192;

/// Shows that a client that sends its body slowly occupies a thread of `rouille`. As many slow
/// clients as there are threads block the server.
#[test]
fn a_slow_client_occupies_a_rouille_thread() {
    let completed = Arc::new(Mutex::new(Vec::new()));
    let completed_by_handler = Arc::clone(&completed);
    let server = rouille::Server::new("127.0.0.1:0", move |request| {
        let mut body = String::new();
        if let Some(mut data) = request.data() {
            let _ = data.read_to_string(&mut body);
        }
        completed_by_handler.lock().unwrap().push(body.chars().next());
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
    thread::sleep(RESPONSE_WINDOW);
    let mut fast = send("f", BODY_BYTES);
    thread::sleep(RESPONSE_WINDOW);
    slow.write_all("s".repeat(BODY_BYTES / 2).as_bytes()).unwrap();
    let mut response = String::new();
    fast.read_to_string(&mut response).unwrap();
    assert_eq!(
        *completed.lock().unwrap(),
        [Some('s'), Some('f')],
        "the complete request had to wait"
    );
    let _ = stop.send(());
    handle.join().unwrap();
}

/// Shows that `attohttpc` opens a new connection for each request.
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
        let response = attohttpc::get(format!("http://{addr}/")).send().unwrap();
        assert_eq!(response.text().unwrap(), "ok");
    }
    assert_eq!(server.join().unwrap(), 2, "each request uses its own connection");
}
