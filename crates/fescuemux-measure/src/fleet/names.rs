//! Names, addresses and records of the simulated instances.

use fescuemux_core::base::{InstanceId, Phase};
use fescuemux_core::member::{Addresses, InstanceRecord, MemberState, ServerHealth, ServerRecord};
use std::net::SocketAddr;

/// Number of failure domains at the target scale.
pub(super) const DOMAINS: usize = 7;
/// Number of services at the target scale.
const SERVICES: usize = 75;
/// Start of the first process of each instance as Unix time, in milliseconds since 1970. The start
/// time is the incarnation of a process.
const FIRST_START_MS: u64 = 1_790_000_000_000;

pub(super) fn instance_id(node: usize) -> InstanceId {
    format!("d{}-i{node:04}", domain(node)).into()
}

pub(super) fn domain(node: usize) -> usize {
    node % DOMAINS
}

/// Returns the region of `node`. Domains 0 to 3 form one region and 4 to 6 the other.
pub(super) fn region(node: usize) -> usize {
    usize::from(domain(node) >= 4)
}

pub(super) fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (node / 256) as u8, (node % 256) as u8], 7401))
}

/// Returns the node with the given address.
pub(super) fn node_of_address(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => {
            let [_, _, high, low] = v4.ip().octets();
            usize::from(high) * 256 + usize::from(low)
        }
        SocketAddr::V6(_) => unreachable!("all measured addresses are IPv4"),
    }
}

/// Returns the records of the `count` servers of `node`. The first `ready` servers are ready and
/// the rest are cold.
pub(super) fn server_records(
    node: usize,
    count: usize,
    ready: usize,
    incarnation_offset_ms: u64,
) -> Vec<ServerRecord> {
    let new_record = |i| ServerRecord {
        server: format!("{}-s{i}", instance_id(node)).into(),
        service: format!("service-{:02}", (node * count + i) % SERVICES).into(),
        slots: 4,
        phase: if i < ready { Phase::Ready } else { Phase::Cold },
        health: ServerHealth::Serving,
        incarnation: FIRST_START_MS + incarnation_offset_ms,
    };
    (0..count).map(new_record).collect()
}

pub(super) fn instance_record(
    node: usize,
    count: usize,
    ready: usize,
    incarnation_offset_ms: u64,
) -> InstanceRecord {
    InstanceRecord {
        instance: instance_id(node),
        domain: format!("domain-{}", domain(node)).into(),
        region: format!("region-{}", region(node)).into(),
        incarnation: FIRST_START_MS + incarnation_offset_ms,
        version: 1,
        refutation: 0,
        addresses: Addresses { rpc: address(node), hop: address(node) },
        state: MemberState::Alive,
        servers: server_records(node, count, ready, incarnation_offset_ms),
        generation: 0,
    }
}
