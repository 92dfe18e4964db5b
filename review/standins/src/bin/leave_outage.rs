//! A server leaves while the platform's store is down, its process is stopped and started again as
//! planned work, and a heartbeat that the server sent before it left arrives late. Rule DRAIN: the
//! acknowledged leave binds, so the server gets no request later than `drain` after the ack.

use review_standins::http::exchange;
use review_standins::server::{Work, call_control};
use review_standins::*;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT_WINDOW: Duration = Duration::from_millis(3_000);
/// Length of the outage, as in the site file's `platform_down`.
const OUTAGE_MS: u64 = 4_500;

struct Sent {
    id: String,
    at: Instant,
}

fn main() {
    let record = Record::create(Path::new(&std::env::args().nth(1).expect("a record")));
    std::process::exit(run(record));
}

/// Returns whether the server has answered all that it ran, the last a little while ago.
fn is_idle(server: &Server) -> bool {
    let pause = Duration::from_millis(60);
    let is_over = |run: &server::Run| run.answered_at.is_some_and(|at| at.elapsed() > pause);
    let runs = server.runs();
    runs.iter().all(is_over) && runs.iter().any(|run| run.at.elapsed() < Duration::from_millis(400))
}

fn run(record: Record) -> i32 {
    let machines = [("desk", "leitrim-a"), ("orderdesk", "leitrim-a"), ("orderdesk", "leitrim-a")];
    let mut fleet = Fleet::new(record.clone(), &machines);
    (0..3).for_each(|index| fleet.start(index));
    let rules = [("r-order", "unsafe", "/order/", "orderdesk", 3_000)];
    fleet.store.put("op/config", &config(1, &["desk", "orderdesk"], &rules));
    let work = Work {
        first_bytes: 400,
        first_after: Duration::from_millis(150),
        rest_bytes: 0,
        rest_after: Duration::ZERO,
    };
    let start_server = |index: usize, id: &str| {
        let (service, zone) = machines[index];
        Server::start(&record, &fleet.app(index), zone, service, id, work)
    };
    let leaver = start_server(1, "i-leaver");
    let stayer = start_server(2, "i-stayer");
    let leaving = Arc::new(AtomicBool::new(false));
    for (server, index) in [(leaver.clone(), 1), (stayer.clone(), 2)] {
        let (addr, leaving) = (fleet.control(index), leaving.clone());
        thread::spawn(move || {
            while index != 1 || !leaving.load(Ordering::SeqCst) {
                call_control(&addr, &server.beat("ready"));
                sleep_ms(1_500);
            }
        });
    }
    fleet.wait_until("all processes are ready", || (0..3).all(|index| fleet.is_ready(index)));
    sleep_ms(8_000);

    // Requesters at the first machine: six orders every 600 ms until the end.
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let done = Arc::new(AtomicBool::new(false));
    {
        let (sent, done, record, addr) =
            (sent.clone(), done.clone(), record.clone(), fleet.outbound(0));
        thread::spawn(move || {
            for burst in 0.. {
                if done.load(Ordering::SeqCst) {
                    return;
                }
                for n in 0..6 {
                    let id = format!("order-{burst}-{n}");
                    let (record, addr) = (record.clone(), addr.clone());
                    sent.lock().unwrap().push(Sent { id: id.clone(), at: Instant::now() });
                    thread::spawn(move || {
                        record.line(&format!("requester sends {id}"));
                        let path = format!("/order/{id}");
                        let bytes = request("POST", &path, &id, 3_000, b"one bag");
                        let outcome = exchange(&addr, &bytes, Duration::from_millis(3_000));
                        record.line(&format!(
                            "{id}: status {}, complete: {} {}",
                            outcome.status, outcome.complete, outcome.problem
                        ));
                    });
                }
                sleep_ms(600);
            }
        });
    }
    sleep_ms(4_000);
    if leaver.runs().is_empty() {
        fleet.give_up("the server got no request before the leave");
    }

    if trouble() {
        record.line("the store is down");
        fleet.store.set_down(true);
    }
    let down_at = Instant::now();
    sleep_ms(400);
    // This heartbeat is on its way for some seconds.
    leaving.store(true, Ordering::SeqCst);
    let late_beat = leaver.beat("ready");
    let beat_at = Instant::now();
    record.line("i-leaver sends a heartbeat (ready) that arrives late");
    sleep_ms(300);
    // The server leaves at a moment at which it runs nothing.
    let idle_since = Instant::now();
    while !is_idle(&leaver) {
        if idle_since.elapsed() > Duration::from_secs(1) {
            fleet.give_up("the server is never idle");
        }
        sleep_ms(5);
    }
    if !call_control(&fleet.control(1), &leaver.leave()) {
        fleet.give_up("the leave was not acknowledged");
    }
    let acked_at = Instant::now();
    record.line("i-leaver leaves: acknowledged");
    sleep_ms(300);
    fleet.signal(1, SIGTERM);
    let term_at = Instant::now();
    while !fleet.has_ended(1) {
        if term_at.elapsed() > Duration::from_millis(6_000) {
            fleet.kill(1);
        }
        sleep_ms(20);
    }
    record.line("the process beside i-leaver has ended");
    sleep_ms(200);
    fleet.start(1);
    let restarted_at = Instant::now();
    sleep_ms(OUTAGE_MS.saturating_sub(down_at.elapsed().as_millis() as u64));
    if trouble() {
        fleet.store.set_down(false);
        record.line("the store is back");
    }
    let up_at = Instant::now();
    fleet.wait_until("the restarted process is ready", || fleet.is_ready(1));
    let acked = call_control(&fleet.control(1), &late_beat);
    record.line(&format!(
        "the late heartbeat arrives, {:.1} s after it was sent (acknowledged: {acked})",
        beat_at.elapsed().as_secs_f64()
    ));

    // The server serves on for some seconds after its leave, and then exits.
    let watch_until = acked_at + Duration::from_secs(14);
    while Instant::now() < watch_until {
        sleep_ms(50);
    }
    let busy_since = Instant::now();
    while leaver.runs().iter().all(|run| run.answered_at.is_some())
        && busy_since.elapsed() < Duration::from_secs(1)
    {
        sleep_ms(5);
    }
    leaver.end();
    sleep_ms(1_000);
    done.store(true, Ordering::SeqCst);
    sleep_ms(3_200);

    // All machines are in touch from here on: the store is stable, and the restarted process runs
    // for `contact_window`.
    let in_touch_at = up_at.max(restarted_at) + CONTACT_WINDOW;
    let bound_at = in_touch_at.max(acked_at + DRAIN);
    let sent = sent.lock().unwrap();
    let late: Vec<String> = leaver
        .runs()
        .iter()
        .filter(|run| run.at > bound_at)
        .filter(|run| sent.iter().any(|sent| sent.id == run.id && sent.at > bound_at))
        .map(|run| format!("{} ({:.1} s after the ack)", run.id, (run.at - acked_at).as_secs_f64()))
        .collect();
    let records = fleet.store.keys("fescuemux/departures/");
    record.line(&format!("records of departures in the store: {records:?}"));
    record.line(&format!("requests that reached i-leaver too late: {}: {late:?}", late.len()));
    if !late.is_empty() {
        record.line("DRAIN is broken");
        return BROKEN;
    }
    record.line("DRAIN held");
    HELD
}
