//! Tests of authentication between daemons.

use super::{KeyRing, MacCodec, accept, connect};
use bytes::BytesMut;
use std::pin::Pin;
use tokio_serde::{Deserializer, Serializer};

struct HandshakeCase {
    guards_against: &'static str,
    /// Bytes that the keys of the client repeat.
    client: Vec<u8>,
    /// Bytes that the keys of the server repeat.
    server: Vec<u8>,
    succeeds: bool,
}

fn ring(key_bytes: &[u8]) -> KeyRing {
    KeyRing::new(key_bytes.iter().map(|byte| [*byte; 32]).collect()).unwrap()
}

#[tokio::test]
async fn handshake_requires_a_common_key() {
    let cases = [
        HandshakeCase {
            guards_against: "refusing a common key",
            client: vec![1],
            server: vec![1],
            succeeds: true,
        },
        HandshakeCase {
            guards_against: "a peer without a shared key",
            client: vec![2],
            server: vec![1],
            succeeds: false,
        },
        HandshakeCase {
            guards_against: "daemons that cannot connect during a key rotation",
            client: vec![2, 1],
            server: vec![1, 2],
            succeeds: true,
        },
    ];
    for case in cases {
        let (mut a, mut b) = tokio::io::duplex(1024);
        let (client_keys, server_keys) = (ring(&case.client), ring(&case.server));
        let client = async move { connect(&mut a, &client_keys).await.is_ok() };
        let server = async move { accept(&mut b, &server_keys).await.is_ok() };
        let (client, server) = tokio::join!(client, server);
        assert_eq!(client && server, case.succeeds, "{}", case.guards_against);
    }
}

#[tokio::test]
async fn changed_repeated_or_reflected_frames_are_refused() {
    let (mut a, mut b) = tokio::io::duplex(1024);
    let keys = ring(&[1]);
    let (client, server) = tokio::join!(connect(&mut a, &keys), accept(&mut b, &keys));
    let mut client: MacCodec<u32, u32> = MacCodec::new(client.unwrap());
    let mut server: MacCodec<u32, u32> = MacCodec::new(server.unwrap());
    let frame = BytesMut::from(&Pin::new(&mut client).serialize(&7).unwrap()[..]);

    let mut changed = frame.clone();
    changed[0] ^= 1;
    assert!(Pin::new(&mut server).deserialize(&changed).is_err(), "changed");
    assert!(Pin::new(&mut client).deserialize(&frame).is_err(), "reflected");
    assert_eq!(Pin::new(&mut server).deserialize(&frame).unwrap(), 7);
    assert!(Pin::new(&mut server).deserialize(&frame).is_err(), "repeated");
    assert!(Pin::new(&mut server).deserialize(&BytesMut::from(&b"x"[..])).is_err(), "short");
}
