//! Fails if a ledger changes in a round trip through the store, or if an invalid ledger or an
//! unsupported version is accepted.

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
fn entries_and_fences_survive_round_trip() {
    let json = LedgerRecord::from(&ledger()).to_json().expect("serializes");
    let record = LedgerRecord::from_json(&json).expect("parses");
    assert_eq!(Ledger::try_from(record).expect("valid"), ledger());
}

#[test]
fn invalid_ledgers_are_refused() {
    struct Case {
        name: &'static str,
        json: &'static str,
        is_expected: fn(&LedgerError) -> bool,
    }
    let cases = [
        Case {
            name: "newer version with different fields",
            json: r#"{"version":2,"ejected":{}}"#,
            is_expected: |e| matches!(e, LedgerError::Version(2)),
        },
        Case {
            name: "truncated value",
            json: r#"{"version":1,"sequence":3,"entr"#,
            is_expected: |e| matches!(e, LedgerError::Malformed(_)),
        },
        Case {
            name: "duplicate server, whose slots would be counted twice",
            json: r#"{"version":1,"sequence":3,"entries":[
                {"server":"a","slots":4,"incarnation":1,"sequence":1},
                {"server":"a","slots":4,"incarnation":1,"sequence":2}]}"#,
            is_expected: |e| matches!(e, LedgerError::Duplicate(_)),
        },
        Case {
            name: "sequence number above the last change",
            json: r#"{"version":1,"sequence":3,"entries":[
                {"server":"a","slots":4,"incarnation":1,"sequence":9}]}"#,
            is_expected: |e| matches!(e, LedgerError::Sequence { item: 9, last: 3 }),
        },
    ];
    for case in cases {
        let result = LedgerRecord::from_json(case.json.as_bytes()).and_then(Ledger::try_from);
        let error = result.expect_err(case.name);
        assert!((case.is_expected)(&error), "{}: {error}", case.name);
    }
}
