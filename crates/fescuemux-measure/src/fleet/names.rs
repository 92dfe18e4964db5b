//! Names, addresses and records of the measured fleet.

use fescuemux_core::base::{InstanceId, Phase};
use fescuemux_core::member::{Addresses, InstanceRecord, MemberState, ServerHealth, ServerRecord};
use std::net::SocketAddr;

/// Failure domains of the target scale.
pub(super) const DOMAINS: usize = 7;
/// Services of the target scale.
const SERVICES: usize = 75;
/// Start of the first processes in milliseconds since 1970.
const FIRST_START_MS: u64 = 1_790_000_000_000;

pub(super) fn name(node: usize) -> InstanceId {
    format!("d{}-i{node:04}", domain(node)).into()
}

pub(super) fn domain(node: usize) -> usize {
    node % DOMAINS
}

/// Returns the region: domains 0 to 3 form one region and 4 to 6 the other.
pub(super) fn region(node: usize) -> usize {
    usize::from(domain(node) >= 4)
}

pub(super) fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (node / 256) as u8, (node % 256) as u8], 7401))
}

/// Returns the node with this address.
pub(super) fn node_at(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => {
            let [_, _, high, low] = v4.ip().octets();
            usize::from(high) * 256 + usize::from(low)
        }
        SocketAddr::V6(_) => unreachable!("all measured addresses are IPv4"),
    }
}

/// Returns the servers of `node`, of which the first `ready` are ready and the rest cold.
pub(super) fn servers(node: usize, count: usize, ready: usize, life: u64) -> Vec<ServerRecord> {
    let server = |i| ServerRecord {
        server: format!("{}-s{i}", name(node)).into(),
        service: format!("service-{:02}", (node * count + i) % SERVICES).into(),
        slots: 4,
        phase: if i < ready { Phase::Ready } else { Phase::Cold },
        health: ServerHealth::Serving,
        incarnation: FIRST_START_MS + life,
    };
    (0..count).map(server).collect()
}

pub(super) fn record(node: usize, count: usize, ready: usize, life: u64) -> InstanceRecord {
    InstanceRecord {
        instance: name(node),
        domain: format!("domain-{}", domain(node)).into(),
        region: format!("region-{}", region(node)).into(),
        incarnation: FIRST_START_MS + life,
        version: 1,
        refutation: 0,
        addresses: Addresses { rpc: address(node), hop: address(node) },
        state: MemberState::Alive,
        servers: servers(node, count, ready, life),
        generation: 0,
    }
}
