//! Tests of the request table.

use crate::base::{Cx, Verdict};
use crate::dedup::{Registration, RequestTable};
use std::time::{Duration, Instant};

#[test]
fn a_copy_gets_the_known_verdict() {
    let now = Instant::now();
    let mut table = RequestTable::new(Duration::from_secs(60), 8);
    let cx = Cx::new(now, 1);
    assert_eq!(table.register(&cx, 7, 0), Some(Registration::New));
    assert_eq!(table.register(&cx, 7, 0), Some(Registration::Duplicate(Verdict::MayHaveRun)));
    table.finish(7, 0, Verdict::Ran);
    assert_eq!(table.register(&cx, 7, 0), Some(Registration::Duplicate(Verdict::Ran)));
    assert_eq!(
        table.register(&cx, 7, 1),
        Some(Registration::New),
        "attempts are tracked separately"
    );
}

#[test]
fn full_table_refuses_new_ids_and_keeps_old_ones() {
    let now = Instant::now();
    let mut table = RequestTable::new(Duration::from_secs(60), 2);
    let cx = Cx::new(now, 1);
    table.register(&cx, 1, 0);
    table.register(&cx, 2, 0);
    assert_eq!(table.register(&cx, 3, 0), None);
    assert_eq!(table.register(&cx, 1, 0), Some(Registration::Duplicate(Verdict::MayHaveRun)));
    let later = Cx::new(now + Duration::from_secs(61), 1);
    assert_eq!(table.register(&later, 3, 0), Some(Registration::New), "expired ids free capacity");
    assert_eq!(table.len(), 1);
}
