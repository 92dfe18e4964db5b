//! Probe: servers start again under the id that they had, while their process is frozen or has just
//! been killed, and their calls arrive late or twice. The last start must be used again.
use review_standins::http::exchange;
use review_standins::server::{Work, call_control};
use review_standins::*;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

fn main() {
    let record = Record::create(Path::new(&std::env::args().nth(1).expect("a record")));
    let machines = [("desk", "leitrim-a"), ("orderdesk", "leitrim-a")];
    let mut fleet = Fleet::new(record.clone(), &machines);
    (0..2).for_each(|index| fleet.start(index));
    let rules = [("r-order", "unsafe", "/order/", "orderdesk", 3_000)];
    fleet.store.put("op/config", &config(1, &["desk", "orderdesk"], &rules));
    let ms = Duration::from_millis;
    let work = Work { first_bytes: 40, first_after: ms(10), rest_bytes: 0, rest_after: ms(0) };
    fleet.wait_until("ready", || (0..2).all(|i| fleet.is_ready(i)));
    let served = |fleet: &Fleet, n: &str, patience: u64| {
        let started = Instant::now();
        while started.elapsed() < ms(patience) {
            let id = format!("order-{n}-{}", started.elapsed().as_millis());
            let bytes = request("POST", "/order/x", &id, 1_500, b"bag");
            if exchange(&fleet.outbound(0), &bytes, ms(2_000)).status == 200 {
                return true;
            }
            sleep_ms(50);
        }
        false
    };
    let mut servers =
        vec![Server::start(&record, &fleet.app(1), "leitrim-a", "orderdesk", "i-1", work)];
    call_control(&fleet.control(1), &servers[0].beat("ready"));
    record.line(&format!("first start served: {}", served(&fleet, "first", 6_000)));
    for round in 0..8 {
        let old = servers.pop().expect("a server");
        let late_beat = old.beat("ready");
        let leave = old.leave();
        let control = fleet.control(1);
        let frozen = round % 2 == 0;
        if frozen {
            fleet.signal(1, SIGSTOP);
        }
        // The old start leaves.
        let call = thread::spawn({
            let (control, leave) = (control.clone(), leave.clone());
            move || call_control(&control, &leave)
        });
        sleep_ms(500);
        if !frozen && round % 4 == 1 {
            fleet.kill(1);
            sleep_ms(200);
            fleet.start(1);
        }
        old.end();
        sleep_ms(300);
        let new = Server::start(&record, &fleet.app(1), "leitrim-a", "orderdesk", "i-1", work);
        let beat = thread::spawn({
            let (control, beat) = (control.clone(), new.beat("ready"));
            move || call_control(&control, &beat)
        });
        sleep_ms(1_500);
        if frozen {
            fleet.signal(1, SIGCONT);
        }
        let _ = (call.join(), beat.join());
        // The heartbeat of the old start arrives late.
        call_control(&control, &late_beat);
        sleep_ms(100);
        call_control(&control, &new.beat("ready"));
        record.line(&format!(
            "round {round}: served {}",
            served(&fleet, &format!("r{round}"), 5_000)
        ));
        servers.push(new);
    }
}
