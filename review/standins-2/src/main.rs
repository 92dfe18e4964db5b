//! Stand-ins and checks of the scripts `review/N/run.sh`, N from 6 to 10.
//!
//! `review-standins-2 CASE FOLDER` runs a case from the top of the repository and writes `record.txt`
//! into its folder. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the
//! case could not run. With `TROUBLE=0` the disruption is left out.

mod client;
mod clock_back;
mod fleet;
mod http;
mod json;
mod pipelined_requests;
mod record;
mod refused_after_run;
mod server;
mod sites;
mod slow_readers;
mod stalled_bodies;
mod store;

use record::Record;
use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

/// A case ends by then.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let args: Vec<_> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: review-standins-2 CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::begin(&PathBuf::from(folder)) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("no record: {e}");
            exit(2);
        }
    };
    record.line(&format!("case {case}, disruption: {trouble}"));
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        fleet::end_all();
        eprintln!("the case took longer than {} s", TIME_LIMIT.as_secs());
        exit(2);
    });
    let result = match case.as_str() {
        "refused-after-run" => refused_after_run::run(&record, trouble),
        "stalled-bodies" => stalled_bodies::run(&record, trouble),
        "pipelined-requests" => pipelined_requests::run(&record, trouble),
        "clock-back" => clock_back::run(&record, trouble),
        "slow-readers" => slow_readers::run(&record, trouble),
        _ => Err(std::io::Error::other("unknown case")),
    };
    match result {
        Ok(true) => {
            record.say("the rule held");
            exit(0);
        }
        Ok(false) => {
            record.say("the rule was broken");
            exit(1);
        }
        Err(e) => {
            record.say(&format!("the case could not run: {e}"));
            exit(2);
        }
    }
}
