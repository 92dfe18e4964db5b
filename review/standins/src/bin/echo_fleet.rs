//! Probe: holds a fleet with a server that answers with the head that it got, for requests by hand.
//! Arguments: record, seconds.
use review_standins::http::read_request;
use review_standins::server::call_control;
use review_standins::*;
use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::path::Path;
use std::thread;

fn main() {
    let mut args = std::env::args().skip(1);
    let record = Record::create(Path::new(&args.next().expect("a record")));
    let seconds: u64 = args.next().and_then(|s| s.parse().ok()).unwrap_or(30);
    let machines = [("desk", "leitrim-a"), ("slotdesk", "leitrim-a")];
    let mut fleet = Fleet::new(record.clone(), &machines);
    (0..2).for_each(|index| fleet.start(index));
    let rules = [
        ("r-read", "safe", "/slots/", "slotdesk", 3_000),
        ("r-book", "unsafe", "/book/", "slotdesk", 3_000),
    ];
    fleet.store.put("op/config", &config(1, &["desk", "slotdesk"], &rules));
    let app = fleet.app(1);
    let listener = TcpListener::bind(&app).expect("the server's address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut writer = stream.try_clone().expect("a handle");
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    let id = request.header("request-id").to_owned();
                    let mut text = format!("{} {}\n", request.method, request.target);
                    for (name, value) in &request.headers {
                        text += &format!("{name}: {value}\n");
                    }
                    text += &format!("body {}", request.body.len());
                    let many: usize = request.header("x-many").parse().unwrap_or(0);
                    let extra: String = (0..many).map(|n| format!("X-H{n}: v\r\n")).collect();
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nReply-Stamp: s\r\n{extra}Content-Length: {}\r\n\r\n",
                        text.len()
                    );
                    let body = if request.method == "HEAD" { "" } else { &text };
                    if writer.write_all(format!("{head}{body}").as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    let control = fleet.control(1);
    thread::spawn(move || {
        for seq in 1.. {
            let body = format!(
                r#"{{"service":"slotdesk","addr":"{app}","zone":"leitrim-a","version":"v1","slots":4,"state":"ready","cold_left":"0ms","seq":{seq},"born":5}}"#
            );
            let call = format!(
                "POST /api/rpc?call=instances.heartbeat&of=i-1 HTTP/1.1\r\nHost: c\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            call_control(&control, call.as_bytes());
            sleep_ms(1_500);
        }
    });
    fleet.wait_until("ready", || (0..2).all(|i| fleet.is_ready(i)));
    record.line(&format!("outbound {}", fleet.outbound(0)));
    record.line(&format!("control {}", fleet.control(1)));
    sleep_ms(seconds * 1_000);
}
