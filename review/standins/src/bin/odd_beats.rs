//! Probe: heartbeats of another writer. After each of them the known server must still be used.
use review_standins::http::exchange;
use review_standins::server::{Work, call_control};
use review_standins::*;
use std::path::Path;
use std::thread;
use std::time::Duration;

fn main() {
    let record = Record::create(Path::new(&std::env::args().nth(1).expect("a record")));
    let machines = [("desk", "leitrim-a"), ("orderdesk", "leitrim-a")];
    let mut fleet = Fleet::new(record.clone(), &machines);
    (0..2).for_each(|index| fleet.start(index));
    let rules = [("r-order", "unsafe", "/order/", "orderdesk", 3_000)];
    fleet.store.put("op/config", &config(1, &["desk", "orderdesk"], &rules));
    let ms = Duration::from_millis;
    let work = Work { first_bytes: 40, first_after: ms(10), rest_bytes: 0, rest_after: ms(0) };
    let server = Server::start(&record, &fleet.app(1), "leitrim-a", "orderdesk", "i-1", work);
    let (s, addr) = (server.clone(), fleet.control(1));
    thread::spawn(move || {
        loop {
            call_control(&addr, &s.beat("ready"));
            sleep_ms(500);
        }
    });
    fleet.wait_until("ready", || (0..2).all(|i| fleet.is_ready(i)));
    sleep_ms(4_000);
    let fields = [
        ("service", r#""orderdesk""#.to_owned()),
        ("addr", format!(r#""{}""#, fleet.spare(1))),
        ("zone", r#""leitrim-a""#.to_owned()),
        ("version", r#""v1""#.to_owned()),
        ("slots", "4".to_owned()),
        ("state", r#""ready""#.to_owned()),
        ("cold_left", r#""0ms""#.to_owned()),
        ("seq", "5".to_owned()),
        ("born", String::new()),
    ];
    let mut odd: Vec<(String, Vec<u8>)> = Vec::new();
    let body = |change: &dyn Fn(&str, String) -> Option<String>| {
        let born = (unix_ms() + 1).to_string();
        let parts: Vec<String> = fields
            .iter()
            .filter_map(|(name, value)| {
                let value = if *name == "born" { born.clone() } else { value.clone() };
                change(name, value).map(|value| format!(r#""{name}":{value}"#))
            })
            .collect();
        format!("{{{}}}", parts.join(",")).into_bytes()
    };
    for (field, _) in &fields {
        odd.push((format!("{field} missing"), body(&|n, v| (n != *field).then_some(v))));
        for other in ["null", "true", "7.5", "[]", "{}", "-3", r#""odd""#, "1e300"] {
            odd.push((
                format!("{field} {other}"),
                body(&|n, v| Some(if n == *field { other.to_owned() } else { v })),
            ));
        }
    }
    odd.push(("no json".into(), vec![0xff, 0xfe, 0, 1]));
    odd.push(("deep".into(), vec![b'['; 50_000]));
    odd.push(("empty".into(), Vec::new()));
    for (n, (what, body)) in odd.iter().enumerate() {
        let mut call = format!(
            "POST /api/rpc?call=instances.heartbeat&of=i-odd{n} HTTP/1.1\r\nHost: c\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        call.extend(body);
        let acked = call_control(&fleet.control(1), &call);
        sleep_ms(20);
        let id = format!("order-{n}");
        let bytes = request("POST", "/order/x", &id, 3_000, b"bag");
        let outcome = exchange(&fleet.outbound(0), &bytes, ms(3_500));
        if outcome.status != 200 || acked {
            record
                .line(&format!("{what}: acknowledged {acked}; the next order: {}", outcome.status));
        }
        if outcome.status != 200 {
            // A new start of the process forgets it.
            fleet.kill(1);
            fleet.start(1);
            sleep_ms(1_500);
            for _ in 0..20 {
                let bytes = request("POST", "/order/x", &format!("again-{n}"), 3_000, b"bag");
                if exchange(&fleet.outbound(0), &bytes, ms(3_500)).status == 200 {
                    break;
                }
                sleep_ms(300);
            }
        }
    }
    record.line("done");
}
