//! Tests of the membership wire types.

use super::{MAX_MESSAGE_BYTES, MAX_NAME_BYTES, MAX_SERVERS, MemberError, decode, encode};
use fescuemux_core::base::Phase;
use fescuemux_core::member::{
    Addresses, Body, ConfigVersion, DIGEST_BUCKETS, InstanceRecord, MemberState, Message,
    ServerHealth, ServerRecord, Update,
};
use proptest::prelude::{any, prop_assert_eq, proptest};
use smol_str::SmolStr;

fn message(name: &str, servers: usize, body: Body) -> Message {
    let server = ServerRecord {
        server: "s".into(),
        service: "permits".into(),
        slots: 4,
        phase: Phase::Ready,
        health: ServerHealth::Steered,
        incarnation: 1_790_000_000_000,
    };
    let addr = "10.0.0.1:7000".parse().unwrap();
    let record = InstanceRecord {
        instance: name.into(),
        domain: "d1".into(),
        region: "r1".into(),
        incarnation: 1_790_000_000_000,
        version: 3,
        refutation: 1,
        addresses: Addresses { rpc: addr, hop: addr },
        state: MemberState::Leaving,
        servers: vec![server; servers],
        generation: 9,
    };
    let config = ConfigVersion { generation: 9, head_digest: [7; 16] };
    let updates = vec![Update::Full { record, dead_for_secs: 0 }];
    Message { config, digest: 77, updates, body }
}

/// Fails if server names or incarnations change in their relative encoding.
#[test]
fn servers_survive_relative_encoding() {
    for (instance, server) in [
        ("d1-i0001", "d1-i0001-s0"),
        ("d1-i0001", "d1-i0001"),
        ("d1-i0001", "other"),
        ("d1-i0001", "d1"),
        ("é", "è-s"),
        ("ключ-1", "ключ-2"),
    ] {
        for incarnation in [0, 1, u64::MAX] {
            let mut sent = message(instance, 1, Body::Notify);
            let Update::Full { record, .. } = &mut sent.updates[0] else { unreachable!() };
            record.servers[0].server = server.into();
            record.servers[0].incarnation = incarnation;
            assert_eq!(decode(&encode(sent.clone()).unwrap()), Ok(sent), "{instance} {server}");
        }
    }
}

/// Fails if a conversion loses or swaps fields or variants.
#[test]
fn messages_survive_a_round_trip() {
    let bodies = [
        Body::Ping { seq: 1 },
        Body::Ack { seq: 2 },
        Body::PingRequest { seq: 3, target: "b".into() },
        Body::IndirectAck { seq: 4, reached: true },
        Body::SyncRequest { buckets: Box::new([5; DIGEST_BUCKETS]) },
        Body::SyncResponse { covered_buckets: 6, summaries: Vec::new(), more: true },
        Body::Push { requested: vec!["c".into()], truncated: true },
        Body::Notify,
    ];
    for body in bodies {
        let sent = message("a", 8, body);
        assert_eq!(decode(&encode(sent.clone()).unwrap()), Ok(sent));
    }
}

/// Fails if oversized content reaches the core types.
#[test]
fn sizes_are_checked() {
    struct Case {
        description: &'static str,
        name_len: usize,
        servers: usize,
        error: Option<MemberError>,
    }
    let cases = [
        Case {
            description: "name of maximum length",
            name_len: MAX_NAME_BYTES,
            servers: 1,
            error: None,
        },
        Case {
            description: "name that is too long",
            name_len: MAX_NAME_BYTES + 1,
            servers: 1,
            error: Some(MemberError::InvalidNameLength(MAX_NAME_BYTES + 1)),
        },
        Case {
            description: "empty name",
            name_len: 0,
            servers: 1,
            error: Some(MemberError::InvalidNameLength(0)),
        },
        Case {
            description: "maximum number of servers",
            name_len: 1,
            servers: MAX_SERVERS,
            error: None,
        },
        Case {
            description: "too many servers",
            name_len: 1,
            servers: MAX_SERVERS + 1,
            error: Some(MemberError::InvalidEntryCount(MAX_SERVERS + 1)),
        },
    ];
    for case in cases {
        let sent = message(&"n".repeat(case.name_len), case.servers, Body::Notify);
        let got = decode(&encode(sent).unwrap()).err();
        assert_eq!(got, case.error, "{}", case.description);
    }
}

/// Fails if messages that are too long are encoded or accepted, or if bytes after a
/// message are accepted.
#[test]
fn message_length_is_checked() {
    assert_eq!(
        decode(&vec![0; MAX_MESSAGE_BYTES + 1]),
        Err(MemberError::TooLong(MAX_MESSAGE_BYTES + 1))
    );
    let mut bytes = encode(message("a", 1, Body::Notify)).unwrap();
    bytes.push(0);
    assert_eq!(decode(&bytes), Err(MemberError::TrailingBytes(1)));
    let requested = vec![SmolStr::new("w".repeat(MAX_NAME_BYTES)); 4096];
    let long = message("a", 1, Body::Push { requested, truncated: false });
    assert!(matches!(encode(long), Err(MemberError::TooLong(_))));
}

proptest! {
    /// Fails if untrusted bytes cause a panic or excessive allocation.
    #[test]
    fn any_bytes_decode_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..2048)) {
        let _ = decode(&bytes);
    }

    /// Fails if a damaged message causes a panic. These reach decoder paths that random bytes do
    /// not reach.
    #[test]
    fn damaged_messages_decode_without_panic(at in any::<usize>(), with in any::<u8>()) {
        let mut bytes = encode(message("a", 8, Body::Notify)).unwrap();
        let at = at % bytes.len();
        bytes[at] = with;
        if let Ok(decoded) = decode(&bytes) {
            prop_assert_eq!(decode(&encode(decoded.clone()).unwrap()), Ok(decoded));
        }
    }
}
