//! Fails if a settings file is wrongly accepted or rejected, or if the reference page differs from
//! the code.

use fescuemux_settings::{FIELDS, LogFormat, LogLevel, Settings, SettingsError};
use proptest::prelude::{Just, ProptestConfig, Strategy, any, prop, prop_oneof, proptest};
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};
use std::path::Path;
use std::time::Duration;

const SAMPLE_FILE: &str = include_str!("../../../docs/examples/fescuemuxd.jsonc");
const REFERENCE_PAGE: &str = include_str!("../../../docs/operators/settings.md");

/// Returns the smallest accepted file.
fn minimal_file() -> Value {
    json!({
        "instance": "i", "domain": "d", "region": "r",
        "listen": {
            "callers": "127.0.0.1:1", "hop": "127.0.0.1:2", "rpc": "127.0.0.1:3",
            "local": "127.0.0.1:4", "operators": "127.0.0.1:5",
        },
        "store": { "addresses": ["127.0.0.1:6"] },
        "cluster_keys": ["ab".repeat(32)],
    })
}

/// Sets the value at a JSON pointer and creates missing objects along the path.
fn set_at(root: &mut Value, pointer: &str, value: Value) {
    let mut current = root;
    for key in pointer.split('/').skip(1) {
        current = match current {
            Value::Array(entries) => &mut entries[key.parse::<usize>().expect("an index")],
            object => &mut object[key],
        };
    }
    *current = value;
}

fn parse(value: &Value) -> Result<Settings, SettingsError> {
    Settings::parse("f", &value.to_string())
}

/// Fails if the daemon does not accept the sample file.
#[test]
fn the_sample_file_is_accepted() {
    let settings = Settings::parse("sample", SAMPLE_FILE).expect("the sample file is valid");
    assert_eq!(settings.advertise.hop.to_string(), "10.0.2.13:8081");
    assert_eq!(settings.store.addresses.len(), 3);
    assert_eq!(settings.log.format, LogFormat::Json);
    assert_eq!(settings.cluster_keys[1].as_bytes()[..3], [0x0a, 0x1b, 0x2c]);
    assert_eq!(settings.operators[0].token.expose_secret(), "replace-this-token-0123456789");
}

/// Fails if a default differs from the documented default.
#[test]
fn absent_fields_take_their_defaults() {
    let settings = parse(&minimal_file()).expect("the minimal file is valid");
    let limits = &settings.limits;
    assert_eq!(
        (limits.max_head_bytes, limits.max_headers, limits.max_body_bytes),
        (16 << 10, 100, 1 << 30)
    );
    assert_eq!(limits.head_timeout, Duration::from_secs(10));
    assert_eq!(limits.idle_timeout, Duration::from_secs(30));
    assert_eq!(limits.max_replay_bytes, 64 << 10);
    assert_eq!(settings.store.timeout, Duration::from_secs(1));
    assert_eq!(settings.stop.grace_period, Duration::from_secs(30));
    assert_eq!((settings.log.level, settings.log.format), (LogLevel::Info, LogFormat::Text));
    assert_eq!(settings.advertise.hop, settings.listen.hop);
    assert_eq!(settings.advertise.rpc, settings.listen.rpc);
    assert!(settings.operators.is_empty() && settings.seeds.is_empty());
}

/// Fails if a field is not checked, or if an error lacks the field path, the value or the permitted
/// values.
#[test]
fn wrong_fields_are_refused() {
    struct Case {
        pointer: &'static str,
        value: Value,
        error: &'static str,
    }
    let case = |pointer, value, error| Case { pointer, value, error };
    let reachable_error = "permitted: specified IP address and port from 1 to 65535";
    let operator = json!({ "name": "a", "token": "0123456789abcdef" });
    let cases = [
        case("/instance", json!(""), "instance: \"\" has the wrong length; permitted: 1 to 64"),
        case("/domain", json!("x".repeat(65)), "xxx\" has the wrong length; permitted: 1 to 64"),
        case("/region", json!("A"), "region: \"A\" contains other characters; permitted: 1 to"),
        case("/instance", json!(7), "instance: 7 is not a text; permitted"),
        case("/instance", Value::Null, "instance: null is not a text; permitted"),
        case("/listen/hop", json!("localhost:1"), "listen.hop: \"localhost:1\" is not an IP"),
        case("/listen/callers", json!("127.0.0.1"), "listen.callers: \"127.0.0.1\" is not an IP"),
        case("/listen/rpc", json!("127.0.0.1:1"), "listen.rpc: \"127.0.0.1:1\" is a duplicate"),
        case("/listen/local", json!("10.0.0.1:4"), "listen.local: \"10.0.0.1:4\" is not a loop"),
        case("/listen/hop", json!("0.0.0.0:2"), "advertise.hop: is missing; permitted: specified"),
        case("/listen/rpc", json!("[::]:3"), "advertise.rpc: is missing; permitted: specified"),
        case("/advertise/hop", json!("0.0.0.0:2"), "advertise.hop: \"0.0.0.0:2\" is an unspec"),
        case("/advertise/rpc", json!("10.0.0.1:0"), reachable_error),
        case("/store/addresses", json!([]), "store.addresses: [] has the wrong length; permit"),
        case("/store/addresses", json!("a"), "store.addresses: \"a\" is not a list; permitted: 1"),
        case("/store/addresses/0", json!("x"), "store.addresses[0]: \"x\" is not an IP address"),
        case("/store/timeout_ms", json!(49), "store.timeout_ms: 49 is out of range; permitted: 50"),
        case("/store/timeout_ms", json!(10_001), "10001 is out of range; permitted: 50 to 10000"),
        case("/cluster_keys", json!([]), "cluster_keys: (list of 0 entries) has the wrong length"),
        case("/cluster_keys/0", json!("ab"), "cluster_keys[0]: (secret of 2 characters) is not"),
        case("/cluster_keys/0", json!("g".repeat(64)), "64 characters) is not a key; permitted"),
        case("/cluster_keys", json!(["ab".repeat(32), "AB".repeat(32)]), "[1]: (secret of 64 char"),
        case("/operators", json!([operator, operator]), "operators[1].name: \"a\" is a duplicate"),
        case("/operators", json!([{ "name": "a" }]), "operators[0].token: is missing; permitted"),
        case("/operators", json!([{ "name": "a", "token": "short" }]), "(secret of 5 characters)"),
        case("/operators", json!([{ "token": "0123456789 abcdef" }]), "contains other characters"),
        case(
            "/operators",
            json!(vec![operator.clone(); 65]),
            "operators: (list of 65 entries) has the",
        ),
        case("/operators", json!(["secret"]), "operators[0]: has the wrong type at line 1"),
        case("/operators", json!({}), "operators: has the wrong type at line 1"),
        case("/seeds", json!(["10.0.0.1:1", "10.0.0.1:1"]), "seeds[1]: \"10.0.0.1:1\" is a dup"),
        case("/log/level", json!("loud"), "\"loud\" is not a level; permitted: error, warn, info"),
        case("/log/format", json!("xml"), "log.format: \"xml\" is not a format; permitted: text,"),
        case("/limits/head_bytes", json!(8191), "8191 is out of range; permitted: 8192 to"),
        case("/limits/headers", json!(1001), "1001 is out of range; permitted: 16 to 1000"),
        case("/limits/body_bytes", json!(-1), "limits.body_bytes: -1 is not a whole number"),
        case("/limits/head_timeout_ms", json!(1.5), "limits.head_timeout_ms: 1.5 is not a whole"),
        case("/limits/idle_timeout_ms", json!(99), "99 is out of range; permitted: 100 to 600000"),
        case("/limits/replay_bytes", json!(1 << 21), "limits.replay_bytes: 2097152 is out of"),
        case("/limits/caller_connections", json!(0), "limits.caller_connections: 0 is out of"),
        case("/limits/queue", json!(4097), "limits.queue: 4097 is out of range; permitted: 0 to"),
        case("/limits/in_flight", json!("1"), "limits.in_flight: \"1\" is not a whole number"),
        case("/stop/grace_ms", json!(600_001), "600001 is out of range; permitted: 0 to 600000"),
        case("/limits", json!(3), "limits: has the wrong type at line 1"),
        case("/instanse", json!("i"), "instanse: is not a field"),
        case("/limits/queues", json!(1), "limits.queues: is not a field"),
        case("/operators", json!([{ "tokens": "s" }]), "operators[0].tokens: is not a field"),
    ];
    for Case { pointer, value, error } in cases {
        let mut file = minimal_file();
        set_at(&mut file, pointer, value);
        let message = parse(&file).expect_err(error).to_string();
        assert!(message.lines().all(|line| line.starts_with("f: ")), "{message}");
        assert!(message.contains(error), "wanted {error}, got {message}");
    }
}

/// Fails if text that is not valid JSON is accepted, or rejected without an explanation.
#[test]
fn malformed_texts_are_refused() {
    struct Case {
        text: &'static str,
        error: &'static str,
    }
    let cases = [
        Case { text: "", error: "f: EOF while parsing a value at line 1 column 0" },
        Case {
            text: "[]",
            error: "f: has the wrong type at line 1 column 0; permitted: an object",
        },
        Case { text: "3", error: "f: has the wrong type at line 1 column 1; permitted: an object" },
        Case {
            text: "// a\n{ \"log\": { x } }",
            error: "f: log: key must be a string at line 2 co",
        },
        Case { text: "{} {}", error: "f: trailing characters at line 1 column 4" },
        Case { text: "{ /* open", error: "f: cannot strip the comments" },
        Case { text: "{\"seeds\":[],\"seeds\":[]}", error: "f: duplicate field `seeds` at line 1" },
    ];
    for Case { text, error } in cases {
        let message = Settings::parse("f", text).expect_err(text).to_string();
        assert!(message.starts_with(error), "wanted {error}, got {message}");
    }
}

/// Fails if only the first wrong field is reported.
#[test]
fn all_wrong_fields_are_reported_at_once() {
    let mut file = minimal_file();
    for (pointer, value) in [
        ("/region", json!("North")),
        ("/listen/local", json!("10.0.2.13:8083")),
        ("/limits/queue", json!(70_000)),
        ("/operators", json!([{ "name": "a", "token": "letmein" }])),
        ("/stop/grace", json!(1)),
    ] {
        set_at(&mut file, pointer, value);
    }
    let error = Settings::parse("fescuemuxd.jsonc", &file.to_string()).expect_err("five errors");
    assert_eq!(error.problems.len(), 5);
    for line in error.to_string().lines() {
        assert!(REFERENCE_PAGE.contains(line), "the settings page lacks the error: {line}");
    }
}

/// Fails if debug output or an error shows a secret, which could then reach the logs.
#[test]
fn secrets_are_redacted() {
    let settings = Settings::parse("sample", SAMPLE_FILE).expect("the sample file is valid");
    let debug = format!("{settings:?}");
    assert!(!debug.contains("replace-this-token") && !debug.contains("5f1c0e8a"), "{debug}");
    assert!(!debug.contains("95, 28, 14"), "the bytes of the key are shown: {debug}");
    for (pointer, value) in [
        ("/cluster_keys", json!("letmein")),
        ("/cluster_keys", json!(["letmein"])),
        ("/cluster_keys", json!({ "letmein": "letmein" })),
        ("/operators", json!("letmein")),
        ("/operators", json!(["letmein"])),
        ("/operators", json!([{ "token": "letmein" }])),
        ("/operators", json!([{ "token": ["letmein"] }])),
        ("/operators", json!([{ "tokn": "letmein" }])),
    ] {
        let mut file = minimal_file();
        set_at(&mut file, pointer, value.clone());
        let error = parse(&file).expect_err("a wrong secret");
        assert!(!format!("{error} {error:?}").contains("letmein"), "{value}: {error}");
    }
}

/// Fails if an unreadable file is reported without its name.
#[test]
fn a_missing_file_is_reported_with_its_name() {
    let error = Settings::load(Path::new("/nonexistent/x.jsonc")).expect_err("no file");
    assert!(error.to_string().starts_with("/nonexistent/x.jsonc: "), "{error}");
}

/// Fails if the reference page and the code list different fields.
#[test]
fn the_settings_page_lists_every_field() {
    let rows: Vec<[&str; 3]> = REFERENCE_PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|line| {
            let mut cells = line.split(" | ");
            Some([cells.next()?.trim_end_matches('`'), cells.next()?, cells.next()?])
        })
        .collect();
    let fields: Vec<[String; 3]> = FIELDS
        .iter()
        .map(|field| [field.path.into(), field.permitted.to_string(), field.default.to_string()])
        .collect();
    assert_eq!(rows, fields);
}

/// Fails if the code does not read a field of [`FIELDS`].
#[test]
fn every_field_of_the_reference_is_read() {
    for field in FIELDS {
        let mut file = minimal_file();
        set_at(&mut file, "/operators", json!([{ "name": "a", "token": "0123456789abcdef" }]));
        let pointer = format!("/{}", field.path.replace("[]", "/0").replace('.', "/"));
        set_at(&mut file, &pointer, json!(false));
        let error = parse(&file).expect_err(field.path);
        assert_eq!(error.problems.len(), 1, "{error}");
        assert_eq!(error.problems[0].path.replace("[0]", "[]"), field.path);
        assert_ne!(error.problems[0].reason, "is not a field", "{}", field.path);
    }
}

fn any_value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        any::<String>().prop_map(Value::from),
        any::<std::net::SocketAddr>().prop_map(|addr| addr.to_string().into()),
    ];
    leaf.prop_recursive(3, 24, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map("[a-z_]{1,12}", inner, 0..4)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512, rng_seed: RngSeed::Fixed(1), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Fails if arbitrary text causes a panic.
    #[test]
    fn any_text_parses_without_panic(text in any::<String>()) {
        let _ = Settings::parse("f", &text);
    }

    /// Fails if a damaged settings file causes a panic.
    #[test]
    fn any_damaged_sample_parses_without_panic(
        from in 0..SAMPLE_FILE.len(), length in 0..40_usize, insert in ".{0,8}",
    ) {
        let mut bytes = SAMPLE_FILE.as_bytes().to_vec();
        let to = (from + length).min(bytes.len());
        bytes.splice(from..to, insert.bytes());
        let _ = Settings::parse("f", &String::from_utf8_lossy(&bytes));
    }

    /// Fails if a field with an arbitrary value causes a panic.
    #[test]
    fn any_value_in_any_field_parses_without_panic(
        field in prop::sample::select(FIELDS), value in any_value(),
    ) {
        let mut file = minimal_file();
        set_at(&mut file, "/operators", json!([{ "name": "a", "token": "0123456789abcdef" }]));
        let pointer = format!("/{}", field.path.replace("[]", "/0").replace('.', "/"));
        set_at(&mut file, &pointer, value);
        let _ = parse(&file);
    }
}
