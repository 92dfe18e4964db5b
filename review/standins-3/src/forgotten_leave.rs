//! A server's leave is acknowledged, and all processes are killed at the same moment: right after the
//! ack, or later, with an impairment of the store before.

use crate::fleet::{
    Call, Failure, Fleet, Handler, MachineOptions, Record, configuration, read_answer,
    request_head, rule,
};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// What happens around the leave.
#[derive(Clone, Copy, PartialEq)]
pub enum Impairment {
    /// All processes are killed right after the ack. The store is sound.
    KillAfterAck,
    /// The store is away for half a second and comes back from a copy.
    Drill,
    /// The store is silent for 1.5 s after the ack, and all leases expire meanwhile.
    Lapse,
    /// The store is silent for 4.5 s around the leave.
    Outage,
}

/// Times of a run, in milliseconds from the beginning.
struct Times {
    /// The server leaves.
    leave: u64,
    /// All processes are killed.
    kill: u64,
    /// A heartbeat arrives that the server sent just before it left.
    late_heartbeat: u64,
    /// All machines are in touch: `contact_window` after their start and the store's impairment.
    in_touch: u64,
    /// The server exits.
    exit: u64,
}

/// The last machine, whose server leaves.
const LEAVING: usize = 3;

const DRAIN: Duration = Duration::from_millis(2_000);

/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(370);

type Runs = Arc<Mutex<Vec<(String, usize, Instant)>>>;

pub fn play(
    root: &Path,
    record: &Record,
    trouble: bool,
    impairment: Impairment,
) -> Result<bool, Failure> {
    let times = match impairment {
        // The kill comes right after the ack.
        Impairment::KillAfterAck => Times {
            leave: 1_000,
            kill: 2_500,
            late_heartbeat: 3_000,
            in_touch: 6_000,
            exit: 12_000,
        },
        Impairment::Drill => Times {
            leave: 1_000,
            kill: 5_000,
            late_heartbeat: 6_000,
            in_touch: 9_000,
            exit: 15_000,
        },
        Impairment::Lapse => Times {
            leave: 1_000,
            kill: 5_000,
            late_heartbeat: 6_000,
            in_touch: 9_000,
            exit: 15_000,
        },
        Impairment::Outage => Times {
            leave: 1_000,
            kill: 2_000,
            late_heartbeat: 4_000,
            in_touch: 8_500,
            exit: 15_000,
        },
    };
    let runs = Runs::default();
    let exited = Arc::<AtomicBool>::default();
    let machines = (0..=LEAVING).map(|index| MachineOptions {
        service: "orderdesk",
        slots: 4,
        memory_mb: 260,
        max_fds: 4_100,
        handler: server(index, &runs, &exited, record),
    });
    let rules = [rule("order", "unsafe", 1_500, 3_000, "orderdesk")];
    let config = configuration(1, &rules, &["orderdesk"]);
    let mut fleet = Fleet::start(root, machines.collect(), &config, record)?;
    let outbound = fleet.machines[0].outbound();
    let begin = Instant::now();
    let at = |ms: u64| begin + Duration::from_millis(ms);
    let copy = fleet.store.copy();
    if trouble && impairment == Impairment::Outage {
        sleep_until(at(500));
        fleet.store.set_silent(true);
        record.add("store: silent");
    }
    sleep_until(at(times.leave));
    let late_heartbeat = fleet.machines[LEAVING].heartbeat(1_000);
    fleet.machines[LEAVING].leaves.store(true, Ordering::SeqCst);
    let leave_body = fleet.machines[LEAVING].leave_body();
    let mut acked = fleet.machines[LEAVING].call_control("leave", &leave_body);
    let is_killed = trouble && impairment == Impairment::KillAfterAck && matches!(acked, Ok(200));
    if is_killed {
        for machine in fleet.machines.iter_mut().rev() {
            machine.kill()?;
        }
        record.add("all processes are killed right after the ack");
    }
    record.add(&format!("server {LEAVING}: leaves, answered {acked:?}"));
    while !matches!(acked, Ok(200)) && Instant::now() < at(times.kill) {
        std::thread::sleep(Duration::from_millis(100));
        acked = fleet.machines[LEAVING].call_control("leave", &leave_body);
        record.add(&format!("server {LEAVING}: leaves, answered {acked:?}"));
    }
    if !matches!(acked, Ok(200)) {
        return Err("the leave was not acknowledged".into());
    }
    let acked_at = Instant::now();
    if trouble && impairment == Impairment::Drill {
        sleep_until(at(2_000));
        fleet.store.go_away();
        record.add("store: away");
        sleep_until(at(2_500));
        fleet.store.come_back(copy);
        record.add("store: back from a copy that is 2.5 s old, with a new Store-Era");
    }
    if trouble && impairment == Impairment::Lapse {
        sleep_until(at(1_500));
        fleet.store.set_silent(true);
        record.add("store: silent");
        sleep_until(at(3_000));
        fleet.store.end_leases();
        fleet.store.set_silent(false);
        record.add("store: answers again; all leases have expired");
    }
    if impairment != Impairment::KillAfterAck {
        sleep_until(at(times.kill));
        for machine in &mut fleet.machines {
            machine.kill()?;
        }
        record.add("all processes are killed");
    }
    record.add(&format!("the store holds {}", fleet.store.keys().join(" ")));
    if impairment != Impairment::KillAfterAck || is_killed {
        std::thread::sleep(Duration::from_millis(300));
        for index in 0..=LEAVING {
            fleet.restart_node(root, index)?;
        }
        record.add("all processes are started again");
    }
    sleep_until(at(times.late_heartbeat));
    let answered = fleet.machines[LEAVING].call_control("heartbeat", &late_heartbeat);
    record.add(&format!("server {LEAVING}: a heartbeat of before the leave arrives: {answered:?}"));
    if trouble && impairment == Impairment::Outage {
        sleep_until(at(5_000));
        fleet.store.set_silent(false);
        record.add("store: answers again");
    }
    sleep_until(at(times.in_touch));
    let mut orders = Vec::new();
    for order in 0.. {
        if Instant::now() >= at(times.exit + 500) {
            break;
        }
        if Instant::now() >= at(times.exit) && !exited.swap(true, Ordering::SeqCst) {
            record.add(&format!("server {LEAVING}: exits"));
        }
        let (id, record) = (format!("order-{order}"), record.clone());
        orders.push(std::thread::spawn(move || send(outbound, &id, &record)));
        std::thread::sleep(Duration::from_millis(80));
    }
    let mut served = 0;
    for order in orders {
        served += usize::from(order.join().is_ok_and(|status| status == Some(200)));
    }
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let is_late = |(_, server, reached_at): &&(String, usize, Instant)| {
        *server == LEAVING && *reached_at > acked_at + DRAIN
    };
    let late = runs.iter().filter(is_late).count();
    record.add(&format!("{served} orders answered 200, {} reached a server", runs.len()));
    record.add(&format!("{late} orders reached server {LEAVING} later than `drain` after its ack"));
    if served == 0 {
        return Err("no order was served".into());
    }
    if late > 0 {
        record.add("BROKEN: requests reach a server that has left");
    }
    Ok(late == 0)
}

fn server(index: usize, runs: &Runs, exited: &Arc<AtomicBool>, record: &Record) -> Handler {
    let (runs, exited, record) = (runs.clone(), exited.clone(), record.clone());
    Arc::new(move |call: &mut Call<'_>| {
        let id = call.id();
        let has_exited = || index == LEAVING && exited.load(Ordering::SeqCst);
        if has_exited() {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        call.read_rest()?;
        record.add(&format!("{id}: runs at server {index}"));
        runs.lock().unwrap_or_else(PoisonError::into_inner).push((id, index, Instant::now()));
        std::thread::sleep(WORK);
        if has_exited() {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        call.answer(b"ordered")
    })
}

/// Sends an order and returns the status of its answer.
fn send(addr: SocketAddr, id: &str, record: &Record) -> Option<u16> {
    let exchange = || -> Result<u16, Failure> {
        let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(4)))?;
        let head = request_head("POST /order/1", id, 3_000, "Content-Length: 5");
        stream.write_all((head + "coals").as_bytes())?;
        let (head, _) = read_answer(&mut BufReader::new(stream))?;
        Ok(head.status())
    };
    let status = exchange();
    let shown = status.as_ref().map_or_else(ToString::to_string, ToString::to_string);
    record.add(&format!("{id}: POST /order/1 to machine 0: {shown}"));
    status.ok()
}

/// Sleeps until `at`.
fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}
