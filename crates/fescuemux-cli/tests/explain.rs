//! Output and exit codes of `fescuemux explain`.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};

const KEY: &str = "key-that-must-not-show";

/// Answers one call with `status` and `body`.
fn start_instance(status: &'static str, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let addr = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        let (mut len, mut line) = (0, String::new());
        while reader.read_line(&mut line).expect("a line") > 2 {
            if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                len = value.trim().parse().expect("a length");
            }
            line.clear();
        }
        reader.read_exact(&mut vec![0; len]).expect("a body");
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(format!("{head}{body}").as_bytes()).expect("a response");
    });
    addr
}

fn explain(addr: SocketAddr, further: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fescuemux"))
        .args(["explain", "--addr", &addr.to_string(), "--host", "h.example", "--key", KEY])
        .args(further)
        .output()
        .expect("the command runs")
}

/// Operators must see why there is no explanation, and scripts must get valid JSON. No output may
/// show the key.
#[test]
fn explanations_and_errors_are_printed() {
    struct Case {
        status: &'static str,
        body: &'static str,
        code: i32,
        shown: &'static str,
    }
    let cases = [
        Case {
            status: "200 OK",
            body: r#"{"route":"r-1","chosen":"i-1","offers":[{"instance":"i-1"}],"silent":["i-2"]}"#,
            code: 0,
            shown: "i-2",
        },
        Case {
            status: "404 Not Found",
            body: r#"{"error":"no route for host h.example and path /"}"#,
            code: 1,
            shown: "no route for host h.example",
        },
        Case {
            status: "503 Service Unavailable",
            body: r#"{"error":"the process has no configuration yet"}"#,
            code: 1,
            shown: "no configuration",
        },
        Case { status: "200 OK", body: "metrics", code: 1, shown: "is no explanation" },
    ];
    for Case { status, body, code, shown } in cases {
        for further in [&[][..], &["--json"]] {
            let output = explain(start_instance(status, body), further);
            let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
            let text = stdout.clone() + &String::from_utf8_lossy(&output.stderr);
            assert_eq!(output.status.code(), Some(code), "{text}");
            assert!(text.contains(shown) && !text.contains(KEY), "{text}");
            let is_json = serde_json::from_str::<serde_json::Value>(&stdout).is_ok();
            assert_eq!(is_json, code == 0 && !further.is_empty(), "{stdout}");
        }
    }
}

/// An instance that is not there is named.
#[test]
fn an_unreachable_instance_is_named() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let addr = listener.local_addr().expect("an address");
    drop(listener);
    let output = explain(addr, &[]);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1));
    assert!(text.contains(&format!("the instance at {addr} does not answer")), "{text}");
}
