//! Fails if a configuration document causes a panic, changes in a round trip, or is accepted
//! although it is invalid.

use fescuemux_core::base::DetectionPreference;
use fescuemux_core::config::{
    CallerLimit, Change, Chunk, ChunkDigests, Config, Head, Intent, Part, Route, Service,
    split_into_chunks,
};
use fescuemux_wire::config::{
    ChunkSet, ConfigError, OutcomeBody, decode_chunk, decode_head, decode_head_for_update,
    decode_intent, decode_plan, encode_chunk, encode_head, encode_intent,
};
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::{Just, Strategy, any, prop_assert_eq, prop_oneof, proptest};
use sha2::{Digest as _, Sha256};
use std::time::{Duration, UNIX_EPOCH};

fn service() -> impl Strategy<Value = Service> {
    let favor = prop_oneof![
        Just(DetectionPreference::FastDetection),
        Just(DetectionPreference::FewFalseEjections)
    ];
    let numbers = (0..1_000_000u32, any::<u8>(), 1..600_000u64, 0..100_000u32, 0..1_000u32);
    ("[a-zA-Z0-9._-]{1,40}", favor, numbers).prop_map(|(id, favor, n)| Service {
        id: id.into(),
        floor_slots: n.0,
        favor,
        priority: n.1,
        default_deadline: Duration::from_millis(n.2),
        queue_limit: n.3,
        retry_permille: n.4,
    })
}

fn route() -> impl Strategy<Value = Route> {
    let selector = (option::of("[A-Z-]{1,8}"), option::of("[a-z0-9._-]{1,30}"));
    let rest = ("[a-z]{1,8}", any::<bool>(), option::of(1..600_000u64));
    ("[a-zA-Z0-9._-]{1,40}", selector, "(/[!-\"$-.0->@-~]{1,9}){1,4}", rest).prop_map(
        |(id, (method, host), path, (service, idempotent, deadline))| Route {
            id: id.into(),
            method: method.map(Into::into),
            host: host.map(Into::into),
            path_prefix: path.into(),
            service: service.into(),
            idempotent,
            deadline: deadline.map(Duration::from_millis),
        },
    )
}

fn caller_limit() -> impl Strategy<Value = CallerLimit> {
    ("[!-~]{1,60}", 0..1_000_000u32, 0..1_000_000u32).prop_map(|(caller, rate_per_s, burst)| {
        CallerLimit { caller: caller.into(), rate_per_s, burst }
    })
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        service().prop_map(Change::PutService),
        route().prop_map(Change::PutRoute),
        caller_limit().prop_map(Change::PutCaller),
        "[a-zA-Z0-9._-]{1,40}".prop_map(|id| Change::RemoveRoute(id.into())),
    ]
}

/// Adds the chunks of `config` to `chunks` and returns a head with two generations: the first puts
/// `config` in force, the second removes the chunk of one part.
fn head_of(config: &Config, chunks: &mut ChunkSet) -> Head {
    let mut changed = Vec::new();
    for (part, chunk) in split_into_chunks(config) {
        let encoded = encode_chunk(&chunk).unwrap();
        changed.push((part, Some(encoded.name)));
        chunks.insert(encoded.name, encoded.bytes).unwrap();
    }
    let first = Head::next(None, 5, "ops".into(), UNIX_EPOCH, &changed);
    Head::next(Some(&first), 6, "ops two".into(), UNIX_EPOCH, &[(Part::Callers(63), None)])
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..Default::default()
    })]

    #[test]
    fn any_bytes_decode_without_panic(bytes in vec(any::<u8>(), 0..400)) {
        let name = Sha256::digest(&bytes).into();
        let _ = (decode_intent(&bytes), decode_plan(&bytes), decode_head(&bytes));
        let _ = decode_chunk(&name, &bytes);
    }

    /// Fails if a damaged record causes a panic. These reach code paths that random bytes do not
    /// reach.
    #[test]
    fn damaged_records_decode_without_panic(
        changes in vec(change(), 0..6), at in any::<u16>(), byte in any::<u8>()
    ) {
        let mut config = Config::default();
        changes.iter().for_each(|change| config.apply_change(change));
        let mut chunks = ChunkSet::new();
        let head = head_of(&config, &mut chunks);
        let mut records = vec![encode_intent(&Intent::Changes(changes)), encode_head(&head)];
        records.extend(split_into_chunks(&config).values().map(|c| encode_chunk(c).unwrap().bytes.to_vec()));
        for mut record in records {
            let index = usize::from(at) % record.len();
            record[index] = byte;
            let name = Sha256::digest(&record).into();
            let _ = (decode_intent(&record), decode_plan(&record), decode_head(&record));
            let _ = decode_chunk(&name, &record);
        }
    }

    #[test]
    fn encoding_preserves_content(changes in vec(change(), 0..40)) {
        let intent = Intent::Changes(changes.clone());
        prop_assert_eq!(&decode_intent(&encode_intent(&intent)).unwrap(), &intent);
        let mut config = Config::default();
        changes.iter().for_each(|change| config.apply_change(change));
        let content = Intent::Content(Box::new(config.clone()));
        prop_assert_eq!(&decode_intent(&encode_intent(&content)).unwrap(), &content);

        let mut chunks = ChunkSet::new();
        let head = head_of(&config, &mut chunks);
        let decoded = decode_head(&encode_head(&head)).unwrap();
        prop_assert_eq!(&decoded, &head);
        let names = decoded.names_at(1).unwrap();
        prop_assert_eq!(chunks.assemble(&names).unwrap(), config);
        prop_assert_eq!(decoded.names_at(0), Some(ChunkDigests::default()));
    }
}

struct InvalidIntent {
    intent: &'static str,
    error: &'static str,
}

const INVALID_INTENTS: [InvalidIntent; 10] = [
    InvalidIntent {
        intent: r#"{"changes":[{"put_service":{"id":"a","floor_slots":1,"flor":2}}]}"#,
        error: "at changes[0].put_service.flor: unknown field",
    },
    InvalidIntent {
        intent: r#"{"changes":[{"put_service":{"id":"a b","floor_slots":1}}]}"#,
        error: "at changes[0].put_service: id: must have 1 to 128",
    },
    InvalidIntent {
        intent: r#"{"changes":[{"put_service":{"id":"a"}}]}"#,
        error: "at changes[0].put_service: missing field `floor_slots`",
    },
    InvalidIntent {
        intent: r#"{"changes":[{"put_service":{"id":"a","floor_slots":-1}}]}"#,
        error: "at changes[0].put_service",
    },
    InvalidIntent {
        intent: r#"{"changes":[{"put_service":{"id":"a","floor_slots":1,"default_deadline_ms":0}}]}"#,
        error: "default_deadline_ms: is 0 ms, must be 1 to 600000",
    },
    InvalidIntent {
        intent: r#"{"changes":[{"remove_caller":"a"},{"put_route":{"id":"r","path_prefix":"/a/","service":"s","idempotent":true}}]}"#,
        error: "at changes[1].put_route: path_prefix: must start with /",
    },
    InvalidIntent {
        intent: r#"{"changes":[{"put_route":{"id":"r","path_prefix":"/a","service":"s"}}]}"#,
        error: "missing field `idempotent`",
    },
    InvalidIntent {
        intent: r#"{"content":{"services":[],"routes":[],"callers":[{"caller":"a","rate_per_s":1,"burst":1},{"caller":"a","rate_per_s":2,"burst":1}]}}"#,
        error: "caller a appears twice",
    },
    InvalidIntent {
        intent: r#"{"content":{"services":[],"routes":[],"callers":[{"caller":"a","rate_per_s":2000000,"burst":1}]}}"#,
        error: "at content.callers[0]: rate_per_s: is 2000000, must be 0 to 1000000",
    },
    InvalidIntent { intent: r#"{"chnges":[]}"#, error: "unknown variant `chnges`" },
];

#[test]
fn invalid_intents_are_refused_with_path() {
    for InvalidIntent { intent, error } in INVALID_INTENTS {
        let message = decode_intent(intent.as_bytes()).unwrap_err().to_string();
        assert!(message.contains(error), "{intent}: {message}");
    }
}

/// Fails if an example in the operator documentation is refused.
#[test]
fn example_intents_of_operator_page_are_valid() {
    let page = include_str!("../../../docs/operators/configuration.md");
    let blocks = page.split("```json").skip(1).filter_map(|rest| rest.split("```").next());
    let intents: Vec<_> = blocks.map(|block| decode_intent(block.as_bytes())).collect();
    assert_eq!(intents.len(), 3);
    intents.iter().for_each(|intent| assert!(intent.is_ok(), "{intent:?}"));
}

/// Fails if the operator CLI decodes an outcome as a different outcome.
#[test]
fn outcomes_survive_round_trip() {
    use fescuemux_core::config::{ConfirmOutcome, NotConfirmedReason, UnknownReason};
    let unknown = |reason| ConfirmOutcome::Unknown { plan: 7, swap_sent: true, reason };
    let outcomes = [
        ConfirmOutcome::Confirmed(3),
        ConfirmOutcome::NotConfirmed(NotConfirmedReason::Stale(4)),
        ConfirmOutcome::NotConfirmed(NotConfirmedReason::Refused),
        unknown(UnknownReason::StoreAway),
        unknown(UnknownReason::HistoryTooShort),
        unknown(UnknownReason::NoSuchPlan),
    ];
    for outcome in outcomes {
        let text = serde_json::to_vec(&OutcomeBody::from(outcome)).unwrap();
        let body: OutcomeBody = serde_json::from_slice(&text).unwrap();
        assert_eq!(ConfirmOutcome::try_from(body), Ok(outcome));
    }
    let text = serde_json::to_string(&OutcomeBody::from(outcomes[1])).unwrap();
    assert_eq!(text, r#"{"outcome":"not_confirmed","reason":{"stale":4}}"#);
}

/// Fails if a rolling upgrade would fail: an older daemon must read records of a newer
/// daemon, but must not write these records back and lose unknown fields.
#[test]
fn newer_formats_are_read_but_not_written_back() {
    let bytes = br#"{"format":2,"services":[{"id":"a","floor_slots":1,"zone":"x"}],"new":1}"#;
    let name = Sha256::digest(bytes).into();
    let (chunk, format) = decode_chunk(&name, bytes).unwrap();
    assert_eq!(
        (chunk, format),
        (Chunk::Services(vec![Service { floor_slots: 1, ..Service::new("a") }]), 2)
    );
    let mut chunks = ChunkSet::new();
    chunks.insert(name, bytes.to_vec().into()).unwrap();
    let mut names = ChunkDigests::default();
    names.set(Part::Services, Some(name));
    assert_eq!(chunks.check_writable(&names), Err(ConfigError::NewerFormat(2)));

    let head = Head::next(None, 5, "ops".into(), UNIX_EPOCH, &[]);
    let text = String::from_utf8(encode_head(&head)).unwrap();
    let newer = text.replace(r#""format":1"#, r#""format":2,"zone":"x""#);
    assert_eq!(decode_head(newer.as_bytes()), Ok(head));
    assert_eq!(decode_head_for_update(newer.as_bytes()), Err(ConfigError::NewerFormat(2)));
}

#[test]
fn mismatched_chunks_are_refused() {
    let encoded = encode_chunk(&Chunk::Callers(3, Vec::new())).unwrap();
    assert_eq!(decode_chunk(&[0; 32], &encoded.bytes), Err(ConfigError::DigestMismatch));
    let mut chunks = ChunkSet::new();
    chunks.insert(encoded.name, encoded.bytes).unwrap();
    let mut names = ChunkDigests::default();
    names.set(Part::Callers(4), Some(encoded.name));
    assert!(chunks.assemble(&names).is_err(), "the chunk is listed under the wrong part");
    names.set(Part::Callers(5), Some([9; 32]));
    assert_eq!(chunks.missing(&names), [[9; 32]]);
}
