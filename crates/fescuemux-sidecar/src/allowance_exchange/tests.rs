//! Tests of the encoding of messages about allowances.

use super::{AllowanceDatagram, AllowanceRecord, MAX_RECORDS};
use fescuemux_core::allowances::{Allowance, AllowanceMessage, LeaseReply, LeaseRequest};
use std::time::Duration;

fn lease_request(rate: f64) -> AllowanceMessage {
    AllowanceMessage::LeaseRequest(LeaseRequest {
        caller: u64::MAX,
        seq: u32::MAX,
        version: 1 << 20,
        allowance: Allowance { rate, burst: 40.0 },
        wanted: 30,
        returned: 0,
    })
}

/// Each message must arrive unchanged, and a full datagram of the largest must fit into the usual
/// MTU. Prints the sizes from which `docs/CAPACITY.md` is calculated.
#[test]
fn messages_arrive_unchanged() {
    let (caller, seq) = (u64::MAX, u32::MAX);
    let reply = |reply| AllowanceMessage::LeaseReply { caller, seq, reply };
    let messages = [
        lease_request(20.0),
        reply(LeaseReply::Granted(30)),
        reply(LeaseReply::Refused(Duration::from_millis(160))),
        reply(LeaseReply::NotCounting),
        AllowanceMessage::Probe,
        AllowanceMessage::ProbeReply,
    ];
    for message in messages {
        let datagram = |count| AllowanceDatagram {
            to: "instance-100.example".to_owned(),
            from: "instance-200.example".to_owned(),
            records: (0..count).map(|_| AllowanceRecord::from(message)).collect(),
        };
        let buf = postcard::to_stdvec(&datagram(1)).expect("a datagram");
        println!("{} bytes: {message:?}", buf.len());
        let decoded: AllowanceDatagram = postcard::from_bytes(&buf).expect("a datagram");
        let records: Vec<_> = decoded.records.into_iter().map(AllowanceMessage::try_from).collect();
        assert!(matches!(records[..], [Ok(other)] if other == message), "{message:?}");
        let full = postcard::to_stdvec(&datagram(MAX_RECORDS)).expect("a datagram");
        assert!(full.len() < 1_200, "{} bytes: {message:?}", full.len());
    }
}

/// An allowance that no configuration contains must not reach the count: with a rate that is no
/// number, all requests of the customer would be refused or admitted.
#[test]
fn invalid_allowances_are_rejected() {
    for rate in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        let record = AllowanceRecord::from(lease_request(rate));
        assert!(AllowanceMessage::try_from(record).is_err(), "{rate}");
    }
}
