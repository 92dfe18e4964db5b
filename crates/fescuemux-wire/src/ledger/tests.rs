//! Guards against a ledger that changes on its way through the store, and against reading one
//! that this version cannot understand.

use super::{LedgerError, LedgerRecord};
use fescuemux_core::base::Phase;
use fescuemux_core::eject::{Ledger, ServerCapacity, ServiceCapacity};

fn ledger() -> Ledger {
    let mut capacity = ServiceCapacity::new(4);
    for name in ["a", "b", "c", "d"] {
        let server = ServerCapacity { slots: 4, phase: Phase::Ready, alive: true };
        capacity.set(name.into(), server);
    }
    let ledger = Ledger::default().grant(&capacity, &"a".into(), 4, 7).expect("above floor");
    let ledger = ledger.grant(&capacity, &"b".into(), 4, 8).expect("above floor");
    ledger.release(&"a".into(), 7).expect("held")
}

#[test]
fn round_trip_keeps_entries_and_fences() {
    let json = LedgerRecord::from(&ledger()).to_json().expect("serializes");
    let record = LedgerRecord::from_json(&json).expect("parses");
    assert_eq!(Ledger::try_from(record).expect("valid"), ledger());
}

#[test]
fn refuses_what_it_cannot_trust() {
    struct Case {
        name: &'static str,
        json: &'static str,
        expect: fn(&LedgerError) -> bool,
    }
    let cases = [
        Case {
            name: "newer version with another shape",
            json: r#"{"version":2,"ejected":{}}"#,
            expect: |e| matches!(e, LedgerError::Version(2)),
        },
        Case {
            name: "cut value",
            json: r#"{"version":1,"sequence":3,"entr"#,
            expect: |e| matches!(e, LedgerError::Malformed(_)),
        },
        Case {
            name: "server named twice, which would count its slots twice",
            json: r#"{"version":1,"sequence":3,"entries":[
                {"server":"a","slots":4,"incarnation":1,"sequence":1},
                {"server":"a","slots":4,"incarnation":1,"sequence":2}]}"#,
            expect: |e| matches!(e, LedgerError::Duplicate(_)),
        },
        Case {
            name: "number of a change that did not happen yet",
            json: r#"{"version":1,"sequence":3,"entries":[
                {"server":"a","slots":4,"incarnation":1,"sequence":9}]}"#,
            expect: |e| matches!(e, LedgerError::Sequence { item: 9, last: 3 }),
        },
    ];
    for case in cases {
        let result = LedgerRecord::from_json(case.json.as_bytes()).and_then(Ledger::try_from);
        let error = result.expect_err(case.name);
        assert!((case.expect)(&error), "{}: {error}", case.name);
    }
}
