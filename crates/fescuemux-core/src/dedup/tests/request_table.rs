use crate::base::{Cx, Verdict};
use crate::dedup::{RequestTable, Seen};
use std::time::{Duration, Instant};

#[test]
fn a_copy_gets_the_known_verdict() {
    let now = Instant::now();
    let mut table = RequestTable::new(Duration::from_secs(60), 8);
    let cx = Cx::new(now, 1);
    assert_eq!(table.begin(&cx, 7, 0), Some(Seen::First));
    assert_eq!(table.begin(&cx, 7, 0), Some(Seen::Before(Verdict::MayHaveRun)));
    table.finish(7, 0, Verdict::Ran);
    assert_eq!(table.begin(&cx, 7, 0), Some(Seen::Before(Verdict::Ran)));
    assert_eq!(table.begin(&cx, 7, 1), Some(Seen::First), "another attempt is another id");
}

#[test]
fn a_full_table_refuses_instead_of_forgetting() {
    let now = Instant::now();
    let mut table = RequestTable::new(Duration::from_secs(60), 2);
    let cx = Cx::new(now, 1);
    table.begin(&cx, 1, 0);
    table.begin(&cx, 2, 0);
    assert_eq!(table.begin(&cx, 3, 0), None);
    assert_eq!(table.begin(&cx, 1, 0), Some(Seen::Before(Verdict::MayHaveRun)));
    let later = Cx::new(now + Duration::from_secs(61), 1);
    assert_eq!(table.begin(&later, 3, 0), Some(Seen::First), "old ids make room");
    assert_eq!(table.len(), 1);
}
