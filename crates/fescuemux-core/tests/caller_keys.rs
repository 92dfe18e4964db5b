//! Tests of customers and the authentication of their requests.

use fescuemux_core::allowances::Allowance;
use fescuemux_core::caller_keys::{
    CallerAccount, CallerKeys, CallerKeysError, KeyContext, KeyRefusal, PresentedKey,
    UnfinishedParents,
};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(8);

fn account(id: &str) -> CallerAccount {
    CallerAccount::new(id.into(), None, 0.0, 0.0).expect("a valid account")
}

fn keys(customers: &[(&str, &[&str])]) -> Result<CallerKeys, CallerKeysError> {
    CallerKeys::new(customers.iter().map(|(id, keys)| (account(id), keys.to_vec())))
}

/// A name, rate or burst that is not valid would give a customer the identity of another at the
/// server, or an allowance that no computation can use.
#[test]
fn accounts_are_valid_or_refused() {
    struct Case {
        id: &'static str,
        rate: f64,
        burst: f64,
        allowance: Result<Option<Allowance>, &'static str>,
    }
    let case = |id, rate, burst, allowance| Case { id, rate, burst, allowance };
    let cases = [
        case("a", 0.0, 0.0, Ok(None)),
        case("a", 0.0, 5.0, Ok(None)),
        case("a", 2.5, 0.0, Ok(Some(Allowance { rate: 2.5, burst: 0.0 }))),
        case("größe & co", 1.0, 4.0, Ok(Some(Allowance { rate: 1.0, burst: 4.0 }))),
        case("", 0.0, 0.0, Err("a customer has an empty name")),
        case("a ", 0.0, 0.0, Err(r#"the name "a " has control characters or white space around"#)),
        case("a\r\nb: c", 0.0, 0.0, Err(r#"the name "a\r\nb: c" has control characters"#)),
        case("a", -1.0, 0.0, Err(r#"customer "a" has the rate -1"#)),
        case("a", f64::NAN, 0.0, Err(r#"customer "a" has the rate NaN"#)),
        case("a", f64::INFINITY, 0.0, Err(r#"customer "a" has the rate inf"#)),
        case("a", 1.0, -0.5, Err(r#"customer "a" has the burst -0.5"#)),
        case("a", 0.0, f64::INFINITY, Err(r#"customer "a" has the burst inf"#)),
    ];
    for case in cases {
        let account = CallerAccount::new(case.id.into(), None, case.rate, case.burst);
        match (account, case.allowance) {
            (Ok(account), Ok(allowance)) => assert_eq!(account.allowance, allowance),
            (Err(e), Err(text)) => {
                let e = e.to_string();
                assert!(e.starts_with(text) && !e.contains('\n'), "{e}, not {text}");
            }
            (account, expected) => panic!("{account:?}, not {expected:?}"),
        }
    }
}

/// Of two customers with the same name or key, a request would get either; the error must not show
/// the key.
#[test]
fn tables_without_contradictions_are_accepted() {
    struct Case {
        name: &'static str,
        customers: &'static [(&'static str, &'static [&'static str])],
        error: Option<&'static str>,
    }
    let cases = [
        Case { name: "no keys", customers: &[("a", &[])], error: None },
        Case { name: "two keys", customers: &[("a", &["k1", "k2"]), ("b", &["k3"])], error: None },
        Case {
            name: "a customer twice",
            customers: &[("a", &["k1"]), ("b", &[]), ("a", &["k2"])],
            error: Some(r#"customer "a" occurs twice"#),
        },
        Case {
            name: "an empty key",
            customers: &[("a", &["k1", ""])],
            error: Some(r#"customer "a" has an empty key"#),
        },
        Case {
            name: "a key of two customers",
            customers: &[("a", &["k1"]), ("b", &["k2", "k1"])],
            error: Some(r#"customer "b" has a key that customer "a" has already"#),
        },
        Case {
            name: "a key twice",
            customers: &[("a", &["k1", "k1"])],
            error: Some(r#"customer "a" has a key that customer "a" has already"#),
        },
    ];
    for case in cases {
        let error = keys(case.customers).err().map(|e| e.to_string());
        assert_eq!(error.as_deref(), case.error, "{}", case.name);
    }
}

/// Keys must not come out by way of `Debug`, which log lines and messages of failed tests use.
#[test]
fn debug_shows_no_key() {
    let keys = keys(&[("customer", &["secret"])]).expect("a table");
    let presented = [PresentedKey::Key(b"secret"), PresentedKey::Unreadable, PresentedKey::Missing];
    let text = format!("{keys:?} {:?} {presented:?}", keys.lookup(b"secret"));
    assert!(text.contains("customer") && !text.contains("secret"), "{text}");
    assert!(!text.contains("115, 101, 99"), "{text}");
}

/// Each combination of key, route and parent: an unknown key must never run, and a nested request
/// must never be refused for lack of a key.
#[test]
fn requests_run_with_the_right_customer_or_are_refused() {
    struct Case {
        name: &'static str,
        key: PresentedKey<'static>,
        public: bool,
        nested: bool,
        unknown_parent_for: Option<Duration>,
        expected: Result<Option<&'static str>, KeyRefusal>,
    }
    let base = Case {
        name: "known",
        key: PresentedKey::Key(b"k1"),
        public: false,
        nested: false,
        unknown_parent_for: None,
        expected: Ok(Some("a")),
    };
    let second = Case { name: "second key", key: PresentedKey::Key(b"k2"), ..base };
    let other = Case {
        name: "other customer",
        key: PresentedKey::Key(b"k3"),
        expected: Ok(Some("b")),
        ..base
    };
    let unknown = Case {
        name: "unknown",
        key: PresentedKey::Key(b"k"),
        expected: Err(KeyRefusal::UnknownKey),
        ..base
    };
    let missing = Case {
        name: "missing",
        key: PresentedKey::Missing,
        expected: Err(KeyRefusal::MissingKey),
        ..base
    };
    let unreadable = Case { name: "unreadable", key: PresentedKey::Unreadable, ..unknown };
    let wait = Some(TIMEOUT);
    let retry = Err(KeyRefusal::UnknownParent { retry_in: TIMEOUT });
    let cases = [
        Case { name: "known, public", public: true, ..base },
        Case { name: "known, looks nested", nested: true, ..base },
        Case { name: "known, after a restart", unknown_parent_for: wait, ..base },
        Case { name: "unknown, public", public: true, ..unknown },
        Case { name: "unknown, looks nested", nested: true, ..unknown },
        Case { name: "unknown, after a restart", unknown_parent_for: wait, ..unknown },
        Case { name: "unreadable, public", public: true, ..unreadable },
        Case { name: "missing, public", public: true, expected: Ok(None), ..missing },
        Case { name: "missing, nested", nested: true, expected: Ok(None), ..missing },
        Case {
            name: "missing, after a restart",
            unknown_parent_for: wait,
            expected: retry,
            ..missing
        },
        Case {
            name: "missing, nested, after a restart",
            nested: true,
            unknown_parent_for: wait,
            expected: Ok(None),
            ..missing
        },
        base,
        second,
        other,
        unknown,
        missing,
        unreadable,
    ];
    let keys = keys(&[("a", &["k1", "k2"]), ("b", &["k3"])]).expect("a table");
    for Case { name, key, public, nested, unknown_parent_for, expected } in cases {
        let cx = KeyContext { public, nested, unknown_parent_for };
        let account = keys.authenticate(key, cx);
        let id =
            account.as_ref().map(|account| account.as_ref().map(|account| account.id.as_str()));
        assert_eq!(id, expected.as_ref().map(|id| *id), "{name}");
    }
}

/// The priority of the route must not override that of the customer, also where that is lower.
#[test]
fn the_priority_of_the_customer_takes_precedence() {
    let with = |priority| CallerAccount { priority, ..account("a") };
    let cases =
        [(Some(with(Some(0))), 0), (Some(with(Some(9))), 9), (Some(with(None)), 2), (None, 2)];
    for (account, expected) in cases {
        let priority = CallerAccount::effective_priority(account.as_ref(), 2);
        assert_eq!(priority, expected, "{account:?}");
    }
}

/// Requests nested in parents that the process does not know must not be refused for good, and other
/// requests without a key must not wait longer than such a parent may run.
#[test]
fn unknown_parents_may_run_for_the_longest_timeout() {
    struct Case {
        name: &'static str,
        first_start: bool,
        after_ms: u64,
        id: &'static str,
        left_ms: Option<u64>,
    }
    let case = |name, first_start, after_ms, id, left_ms| Case {
        name,
        first_start,
        after_ms,
        id,
        left_ms,
    };
    let cases = [
        case("first start", true, 1_000, "x", None),
        case("restart", false, 1_000, "x", Some(7_000)),
        case("longest timeout after the restart", false, 8_000, "x", None),
        case("nested in a parent broken off at 3 s", true, 5_000, "parent-1", Some(6_000)),
        case("the same after a restart", false, 5_000, "parent-1", Some(6_000)),
        case("the parent itself", true, 5_000, "parent", None),
        case("a parent broken off long ago", true, 11_000, "parent-1", None),
    ];
    for Case { name, first_start, after_ms, id, left_ms } in cases {
        let start = Instant::now();
        let mut parents = UnfinishedParents::new(start, first_start);
        parents.on_broken_off(start + Duration::from_secs(3), "parent");
        let left = parents.may_run_for(start + Duration::from_millis(after_ms), id, TIMEOUT);
        assert_eq!(left, left_ms.map(Duration::from_millis), "{name}");
    }
}

/// A server whose requests are broken off again and again must not fill the memory of the process.
#[test]
fn the_number_of_unknown_parents_is_bounded() {
    let now = Instant::now();
    let mut parents = UnfinishedParents::new(now, true);
    (0..1_000).for_each(|n| parents.on_broken_off(now, &format!("p{n:04}")));
    let known =
        (0..1_000).filter(|n| parents.may_run_for(now, &format!("p{n:04}-1"), TIMEOUT).is_some());
    assert_eq!(known.collect::<Vec<_>>(), (744..1_000).collect::<Vec<_>>());
}
