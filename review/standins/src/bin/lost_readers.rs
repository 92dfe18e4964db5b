//! Several machines are lost at once, among them those that read the configuration for their zones.
//! Rule CONFIG: the machines that are left are in touch, so a route that is added 0.3 s later is in
//! force there `apply` after its ack.

use review_standins::http::exchange;
use review_standins::server::{Work, call_control};
use review_standins::*;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const APPLY: Duration = Duration::from_millis(2_000);

fn main() {
    let record = Record::create(Path::new(&std::env::args().nth(1).expect("a record")));
    std::process::exit(run(record));
}

fn run(record: Record) -> i32 {
    // The machines of bmfd-mesh.
    let zones: [(&str, usize, usize, usize); 3] =
        [("leitrim-a", 5, 5, 2), ("leitrim-b", 2, 2, 2), ("leitrim-c", 2, 2, 2)];
    let mut machines = Vec::new();
    for (zone, order, slot, permits) in zones {
        machines.extend((0..order).map(|_| ("orderdesk", zone)));
        machines.extend((0..slot).map(|_| ("slotdesk", zone)));
        machines.extend((0..permits).map(|_| ("permits", zone)));
    }
    let count = machines.len();
    let mut fleet = Fleet::new(record.clone(), &machines);
    (0..count).for_each(|index| fleet.start(index));
    let services = ["orderdesk", "slotdesk", "permits"];
    let old = ("r-slots", "safe", "/slots/", "slotdesk", 3_000);
    fleet.store.put("op/config", &config(1, &services, &[old]));
    let work = Work {
        first_bytes: 400,
        first_after: Duration::from_millis(50),
        rest_bytes: 0,
        rest_after: Duration::ZERO,
    };
    let servers: Vec<Server> = (0..count)
        .map(|index| {
            let (service, zone) = machines[index];
            let id = format!("i-{index}");
            let server = Server::start(&record, &fleet.app(index), zone, service, &id, work);
            let (beating, addr) = (server.clone(), fleet.control(index));
            thread::spawn(move || {
                loop {
                    call_control(&addr, &beating.beat("ready"));
                    sleep_ms(1_500);
                }
            });
            server
        })
        .collect();
    fleet.wait_until("all processes are ready", || (0..count).all(|index| fleet.is_ready(index)));
    sleep_ms(14_000);

    // Which machines read the store, or stand by for that, stands in their logs.
    let roles: Vec<String> = (0..count)
        .map(|index| {
            let lines = fleet.log_lines(index, r#""event":"config_role""#);
            let last = lines.last().map_or("", String::as_str);
            let role = last.split(r#""role":""#).nth(1).unwrap_or_default();
            role.split('"').next().unwrap_or_default().to_owned()
        })
        .collect();
    let left: Vec<usize> = (0..count).filter(|&index| roles[index] == "Follower").collect();
    record.line(&format!("roles: {roles:?}"));
    if left.is_empty() || left.len() == count {
        fleet.give_up("the roles are not told in the logs");
    }
    if trouble() {
        for index in 0..count {
            if !left.contains(&index) {
                // Silent, as without power; it is killed at the end.
                fleet.signal(index, SIGSTOP);
                servers[index].end();
            }
        }
        record.line(&format!(
            "{} of {count} machines are lost, {} are left",
            count - left.len(),
            left.len()
        ));
    }
    sleep_ms(300);
    let new = ("r-orders", "safe", "/orders/", "orderdesk", 3_000);
    fleet.store.put("op/config", &config(2, &services, &[old, new]));
    let acked_at = Instant::now();
    record.line("the operator adds the route /orders/: acknowledged");
    let probes: Vec<_> = left
        .iter()
        .map(|&index| {
            let (addr, name) = (fleet.outbound(index), fleet.nodes[index].name.clone());
            let record = record.clone();
            thread::spawn(move || {
                let mut late = 0;
                let mut known_after = None;
                for n in 0.. {
                    let id = format!("probe-{index}-{n}");
                    let sent_after = acked_at.elapsed();
                    if sent_after > Duration::from_secs(12) || known_after.is_some() && n > 4 {
                        break;
                    }
                    let bytes = request("GET", "/orders/1", &id, 1_500, b"");
                    let outcome = exchange(&addr, &bytes, Duration::from_millis(1_500));
                    record.line(&format!(
                        "{id} to {name}, sent {:.2} s after the ack: status {}",
                        sent_after.as_secs_f64(),
                        outcome.status
                    ));
                    if outcome.status == 404 {
                        late += usize::from(sent_after > APPLY);
                    } else if outcome.status != 0 {
                        known_after.get_or_insert(sent_after);
                    }
                    sleep_ms(250);
                }
                (late, known_after)
            })
        })
        .collect();
    let mut late = 0;
    let mut latest = Duration::ZERO;
    let mut unknown = 0;
    for probe in probes {
        let (count, known_after) = probe.join().expect("a prober");
        late += count;
        match known_after {
            Some(after) => latest = latest.max(after),
            None => unknown += 1,
        }
    }
    record.line(&format!(
        "requests sent over 2 s after the ack and refused with 404: {late}; the route was known at all \
         after {:.2} s at the latest ({unknown} never)",
        latest.as_secs_f64()
    ));
    if late > 0 {
        record.line("CONFIG is broken");
        return BROKEN;
    }
    record.line("CONFIG held");
    HELD
}
