//! Shares of customers in the queue of one server.

use crate::support::{controller_with_server, ms, slot_request};
use fescuemux_core::base::HashMap;
use fescuemux_core::fair_queue::FairShare;
use fescuemux_core::placement::{Admission, AdmissionController, RequestOutcome, SlotRequest};
use std::time::{Duration, Instant};

/// Running time of each request; the server has four slots.
const RUNNING_TIME: Duration = Duration::from_millis(200);

const ROUND: Duration = Duration::from_millis(50);

struct Customer {
    weight: f64,
    /// Requests that arrive per round of [`ROUND`].
    per_round: f64,
}

/// Replays arrivals of several customers at one server and returns the requests of each that got a
/// slot after the first second.
fn replay(customers: &[Customer], shares: bool) -> Vec<u32> {
    let start = Instant::now();
    let mut controller = controller_with_server(start);
    let mut owners: HashMap<u64, usize> = HashMap::default();
    let mut running: Vec<(Instant, u64)> = Vec::new();
    let mut arrivals = vec![0.0; customers.len()];
    let mut served = vec![0; customers.len()];
    let mut next_ticket = 0;
    for round in 0..200 {
        let now = start + ROUND * round;
        let started = |controller: &mut AdmissionController, ticket, served: &mut Vec<u32>| {
            assert!(controller.start(now, ticket));
            if round >= 20 {
                served[owners[&ticket]] += 1;
            }
        };
        running.retain(|(ends_at, ticket)| {
            let ends = *ends_at <= now;
            if ends {
                controller.finish(now, *ticket, RequestOutcome::Answered);
            }
            !ends
        });
        for (ticket, admission) in controller.advance(now) {
            if admission == Admission::Granted {
                started(&mut controller, ticket, &mut served);
                running.push((now + RUNNING_TIME, ticket));
            }
        }
        for (index, customer) in customers.iter().enumerate() {
            arrivals[index] += customer.per_round;
            while arrivals[index] >= 1.0 {
                arrivals[index] -= 1.0;
                next_ticket += 1;
                owners.insert(next_ticket, index);
                let share = shares.then(|| FairShare::new(index as u64, customer.weight));
                let request = SlotRequest {
                    share,
                    expected_running_time: RUNNING_TIME,
                    objective: now + ms(2_000),
                    deadline: now + ms(4_000),
                    ..slot_request(now)
                };
                if controller.request_slot(now, next_ticket, request) == Admission::Granted {
                    served[index] += 1;
                    assert!(controller.start(now, next_ticket));
                    running.push((now + RUNNING_TIME, next_ticket));
                }
            }
        }
    }
    served
}

/// A customer that sends many times what the server can take must not displace the requests of
/// customers that send less than their share. The server serves 20 requests per second.
#[test]
fn a_pressing_customer_gets_only_its_share() {
    struct Case {
        name: &'static str,
        customers: Vec<Customer>,
        /// Minimum of the requests that each customer gets in nine seconds.
        min_served: Vec<u32>,
    }
    let modest = |weight| Customer { weight, per_round: 0.2 };
    let cases = [
        Case {
            name: "one of three customers presses",
            customers: vec![Customer { weight: 1.0, per_round: 5.0 }, modest(1.0), modest(1.0)],
            // The modest customers send 36 requests each, less than their share of 60.
            min_served: vec![60, 34, 34],
        },
        Case {
            name: "two customers press with weights of one to three",
            customers: vec![
                Customer { weight: 1.0, per_round: 3.0 },
                Customer { weight: 3.0, per_round: 3.0 },
            ],
            min_served: vec![36, 108],
        },
        Case {
            name: "a customer alone gets all slots",
            customers: vec![Customer { weight: 0.1, per_round: 3.0 }],
            min_served: vec![172],
        },
    ];
    for case in cases {
        let served = replay(&case.customers, true);
        for (index, min_served) in case.min_served.iter().enumerate() {
            assert!(
                served[index] >= *min_served,
                "{}: {served:?}, expected {:?}",
                case.name,
                case.min_served
            );
        }
    }
}

/// The check above must fail for a queue without shares: otherwise its load shows nothing.
#[test]
fn without_shares_a_pressing_customer_displaces_others() {
    let customers = [
        Customer { weight: 1.0, per_round: 5.0 },
        Customer { weight: 1.0, per_round: 0.2 },
        Customer { weight: 1.0, per_round: 0.2 },
    ];
    let served = replay(&customers, false);
    assert!(served[1] < 34 && served[2] < 34, "{served:?}");
}

/// The expected wait of a customer within its share must not count the requests of one that
/// presses: the request would be refused although it would go next.
#[test]
fn the_expected_wait_counts_only_requests_that_go_before() {
    let now = Instant::now();
    let mut controller = controller_with_server(now);
    let pressing = Some(FairShare::new(1, 1.0));
    let modest = Some(FairShare::new(2, 1.0));
    for ticket in 0..14 {
        let request = SlotRequest { share: pressing, ..slot_request(now) };
        controller.request_slot(now, ticket, request);
    }
    let precedence = slot_request(now).precedence();
    let mut wait =
        |share| controller.load_report_for(now, precedence, share, 7, ms(300)).expected_wait;
    assert!(wait(modest) * 3 < wait(pressing), "{:?}, {:?}", wait(modest), wait(pressing));
}
