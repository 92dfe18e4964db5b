//! Cases of the third review. `review3 CASE RECORD` plays one; `TROUBLE=0` leaves its disruption out.
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod fleet;
mod forgotten_leave;
mod http;
mod store;

use fleet::{Failure, Record};
use forgotten_leave::Impairment;
use std::path::{Path, PathBuf};

/// Plays a case in the repository at `root`, and returns whether the rule held.
type Case = fn(root: &Path, record: &Record, trouble: bool) -> Result<bool, Failure>;

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: review3 CASE RECORD");
        std::process::exit(2);
    };
    let case: Case = match name.as_str() {
        "leave-ack" => |root, record, trouble| {
            forgotten_leave::play(root, record, trouble, Impairment::KillAfterAck)
        },
        "leave-drill" => {
            |root, record, trouble| forgotten_leave::play(root, record, trouble, Impairment::Drill)
        }
        "leave-lapse" => {
            |root, record, trouble| forgotten_leave::play(root, record, trouble, Impairment::Lapse)
        }
        "leave-outage" => {
            |root, record, trouble| forgotten_leave::play(root, record, trouble, Impairment::Outage)
        }
        _ => {
            eprintln!("no case {name}");
            std::process::exit(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let code = match play(case, &PathBuf::from(path), trouble) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(e) => {
            eprintln!("{name} could not run: {e}");
            2
        }
    };
    std::process::exit(code);
}

fn play(case: Case, path: &Path, trouble: bool) -> Result<bool, Failure> {
    let record = Record::create(path)?;
    let root = std::env::current_dir()?;
    record.add(&format!("trouble: {trouble}"));
    let result = case(&root, &record, trouble);
    match &result {
        Ok(held) => record.add(if *held { "the rule held" } else { "the rule was broken" }),
        Err(e) => record.add(&format!("could not run: {e}")),
    }
    result
}
